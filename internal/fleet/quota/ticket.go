package quota

import "time"

// Ticket is what one admitted request has taken. The zero Ticket has taken nothing.
type Ticket struct {
	count int // of its meters: the first in first, further ones in more
	first [4]*meter
	more  []*meter

	class string
	slots float64
	work  int64 // estimated, in millionths of a slot-second
}

func (t *Ticket) add(m *meter) {
	if t.count < len(t.first) {
		t.first[t.count] = m
	} else {
		t.more = append(t.more, m)
	}
	t.count++
}

// each calls f for each meter of the ticket.
func (t *Ticket) each(f func(m *meter)) {
	for i := range min(t.count, len(t.first)) {
		f(t.first[i])
	}
	for _, m := range t.more {
		f(m)
	}
}

// TakeRetry takes one retry of an admitted request from the retry budgets that count it, and reports whether there is
// one.
func (l *Limiter) TakeRetry(now time.Duration, t *Ticket) bool {
	if t.count == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.retryAllowed(now, t)
	t.each(func(m *meter) {
		if m.Kind != RetryBudget {
			return
		}
		if m.demanded += Unit; ok {
			m.bucket.tokens -= Unit
		}
	})
	l.exhausted = l.exhausted || !ok
	return ok
}

// CanRetry reports whether TakeRetry would take one now.
func (l *Limiter) CanRetry(now time.Duration, t *Ticket) bool {
	if t.count == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retryAllowed(now, t)
}

// retryAllowed reports whether every retry budget of the ticket has one left. The caller holds mu.
func (l *Limiter) retryAllowed(now time.Duration, t *Ticket) bool {
	ok := true
	t.each(func(m *meter) {
		if m.Kind == RetryBudget {
			m.refill(now, l.sharesExpiry)
			ok = ok && m.bucket.tokens >= Unit
		}
	})
	return ok
}

// ReturnRetry gives back a retry that was taken and not made.
func (l *Limiter) ReturnRetry(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.each(func(m *meter) {
		if m.Kind == RetryBudget {
			m.bucket.tokens += Unit
		}
	})
}
