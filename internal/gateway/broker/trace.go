package broker

// This file writes trace lines: what came in and what was decided, a line each. lab/fleet counts them over a whole
// fleet, so their format is fixed.

import "fmt"

// SetTrace sets who gets the trace lines. Before any request.
func (b *Broker) SetTrace(trace func(line string)) { b.trace = trace }

// Tracing reports whether trace lines are wanted. Callers check it before Tracef, whose arguments cost memory even where
// no line is written.
func (b *Broker) Tracing() bool { return b.trace != nil }

// Tracef writes a line where lines are wanted.
func (b *Broker) Tracef(format string, args ...any) {
	if b.trace != nil {
		b.trace(fmt.Sprintf(format, args...))
	}
}

// Tracing reports whether trace lines are wanted.
func (a *Attempt) Tracing() bool { return a.session != nil && a.session.b.Tracing() }

// Tracef writes a line on this attempt where lines are wanted.
func (a *Attempt) Tracef(format string, args ...any) {
	if a.Tracing() {
		a.session.b.trace(fmt.Sprintf("try %d n=%d ", a.session.id, a.Number) + fmt.Sprintf(format, args...))
	}
}
