package simwire

import "testing"

// Each action adds its own bytes: a mark and a length, and what the wire's page gives it.
func TestActionsHaveTheLengthsOfTheWire(t *testing.T) {
	for name, c := range map[string]struct {
		action func(*Reply)
		bytes  int
	}{
		"reject":    {func(r *Reply) { r.SayNo(1, 20) }, 16},
		"fail":      {func(r *Reply) { r.ReportFailure(1) }, 8},
		"cancel":    {func(r *Reply) { r.DropAttempt(1, 2) }, 10},
		"subscribe": {func(r *Reply) { r.Observe(true) }, 1},
		"broadcast": {func(r *Reply) { r.Announce([]byte("usage")) }, 9},
	} {
		var empty, full Reply
		c.action(&full)
		header := len(full.buf) - len(empty.buf) - c.bytes
		var other Reply
		other.Observe(false)
		if want := len(other.buf) - 1; header != want {
			t.Errorf("%s: a header of %d bytes, want %d", name, header, want)
		}
	}
}
