package quota

// This file owns the dispatcher's half: what may be admitted now, by the parts that it holds. It
// must never wait or ask; what it was refused for want of a part it notes as wanted.

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// Scope is whom a request is for.
type Scope struct{ Team, Tenant, Class string }

// Limiter admits. Its methods may be called from any goroutine; time is the caller's clock.
type Limiter struct {
	mu     sync.Mutex
	meters []*meter // by name
	of     map[Scope][]*meter
	until  time.Duration    // the parts hold
	asked  time.Duration    // when the wants were last worded
	starve bool             // something was refused since then
	runs   map[string]int64 // typical run of a class's jobs, in millionths of a second
}

type meter struct {
	Limit
	part   int64 // in force until the desk's until; then Own
	tokens int64 // of what flows
	rest   uint64
	at     time.Duration
	open   int64 // of stocks
	peak   int64 // most that was wanted at once, since the wants were last worded
	asked  int64 // that was wanted since then, of what flows
}

// NewLimiter makes one without limits: all is admitted.
func NewLimiter() *Limiter { return &Limiter{of: map[Scope][]*meter{}, runs: map[string]int64{}} }

// SetLimits puts these limits in the place of all that were. What is open under one that stays, and
// what is left of its burst, goes on; a new one begins with nothing to burst with.
func (d *Limiter) SetLimits(now time.Duration, limits []Limit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var next []*meter
	for _, l := range limits {
		m := &meter{at: now}
		if i := slices.IndexFunc(d.meters, func(m *meter) bool { return m.Name == l.Name && m.Kind == l.Kind }); i >= 0 {
			m = d.meters[i]
			m.refill(now, d.until)
		}
		m.Limit = l
		m.tokens = min(m.tokens, m.most(m.now(now, d.until)))
		next = append(next, m)
	}
	d.meters, d.of = next, map[Scope][]*meter{}
}

// SetShares takes in parts that hold until then.
func (d *Limiter) SetShares(now, until time.Duration, parts []Share) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.meters {
		m.refill(now, d.until)
		m.part = m.StaticPerHolder() // it was not named: its static share
	}
	for _, p := range parts {
		if i := slices.IndexFunc(d.meters, func(m *meter) bool { return m.Name == p.Limit }); i >= 0 {
			d.meters[i].part = p.Amount
		}
	}
	d.until = until
	for _, m := range d.meters {
		m.tokens = min(m.tokens, m.most(m.now(now, until)))
	}
}

// now is what may be used at a moment.
func (m *meter) now(now, until time.Duration) int64 {
	if now < until {
		return m.part
	}
	return m.StaticPerHolder()
}

// most is how much may be saved up of a part: one, and its share of the rest of the burst. All
// such come to no more than the burst.
func (m *meter) most(part int64) int64 {
	if m.Kind.stock() {
		return 0
	}
	rest := max(m.Burst-m.MaxHolders*Unit, 0)
	if part > 0 && m.Amount > 0 {
		hi, lo := bits.Mul64(uint64(rest), uint64(min(part, m.Amount)))
		q, _ := bits.Div64(hi, lo, uint64(m.Amount))
		return Unit + int64(q)
	}
	return Unit
}

// refill lets time pass: to the end of the lease by the part, after it by the static share.
func (m *meter) refill(now, until time.Duration) {
	if m.Kind.stock() || now <= m.at {
		return
	}
	if m.at < until && now > until {
		m.flow(until-m.at, m.part)
		m.at = until
	}
	part := m.now(m.at, until)
	m.flow(now-m.at, part)
	m.at = now
}

func (m *meter) flow(d time.Duration, part int64) {
	most := m.most(part)
	hi, lo := bits.Mul64(uint64(max(part, 0)), uint64(d))
	lo, carry := bits.Add64(lo, m.rest, 0)
	if hi += carry; hi >= uint64(time.Second) { // more than can be counted
		m.tokens, m.rest = most, 0
		return
	}
	q, r := bits.Div64(hi, lo, uint64(time.Second))
	if q > 1<<62 {
		q = 1 << 62
	}
	if m.rest = r; m.tokens+int64(min(q, 1<<61)) >= most {
		m.tokens, m.rest = most, 0
		return
	}
	m.tokens += int64(q)
}

// Ticket is what was taken for one request.
type Ticket struct {
	n    int
	at   [4]*meter
	more []*meter

	class string
	slots float64
	work  int64 // reckoned, in millionths of a slot-second
}

func (t *Ticket) add(m *meter) {
	if t.n < len(t.at) {
		t.at[t.n] = m
	} else {
		t.more = append(t.more, m)
	}
	t.n++
}

// each goes over the meters of a ticket.
func (t *Ticket) each(f func(m *meter)) {
	for i := range min(t.n, len(t.at)) {
		f(t.at[i])
	}
	for _, m := range t.more {
		f(m)
	}
}

// match finds a request's meters. The caller holds mu.
func (d *Limiter) match(key Scope) []*meter {
	all, ok := d.of[key]
	if !ok {
		for _, m := range d.meters {
			if m.Kind != PerWorkerConcurrency && (m.Team == "" || m.Team == key.Team) && (m.Tenant == "" || m.Tenant == key.Tenant) && (m.Class == "" || m.Class == key.Class) {
				all = append(all, m)
			}
		}
		d.of[key] = all
	}
	return all
}

// Admit takes what a request needs of all its limits, or nothing, and says then which one has
// none left, and after what time to come back. Its work is reckoned by its slots and the typical
// run of its class; Done settles it by what it took.
func (d *Limiter) Admit(now time.Duration, key Scope, slots float64) (t Ticket, short string, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.match(key)
	if len(all) == 0 {
		return t, "", 0
	}
	run, ok := d.runs[key.Class]
	if !ok {
		run = Unit / 5
	}
	t.class, t.slots = key.Class, max(slots, 1)
	t.work = int64(float64(run) * t.slots)
	for _, m := range all {
		part := m.now(now, d.until)
		switch m.Kind {
		case Concurrency:
			m.peak = max(m.peak, m.open+Unit)
			if m.open+Unit > part {
				short, wait = m.Name, 100*time.Millisecond
			}
		case WarmingShare: // it is sent by its part, and waits elsewhere: nothing is refused for want of one
			m.asked += t.work
		case RequestRate, WorkRate:
			m.refill(now, d.until)
			cost := m.cost(&t)
			m.asked += cost
			// A job dearer than all that may be saved up passes, and is paid back.
			if need := min(cost, m.most(part)); m.tokens < need && short == "" {
				short, wait = m.Name, time.Second
				if part > 0 {
					wait = min(time.Duration(float64(need-m.tokens)/float64(part)*float64(time.Second)), 10*time.Second)
				}
			}
		}
	}
	if short != "" {
		d.starve = true
		return Ticket{}, short, wait
	}
	for _, m := range all {
		switch m.Kind {
		case Concurrency:
			m.open += Unit
		case RequestRate, WorkRate:
			m.tokens -= m.cost(&t)
		case RetryBudget:
			m.refill(now, d.until)
			m.tokens = min(m.tokens+m.RetryRatio, max(m.most(m.now(now, d.until)), m.RetryRatio))
		}
		t.add(m)
	}
	return t, "", 0
}

// cost is what a request takes of what flows.
func (m *meter) cost(t *Ticket) int64 {
	if m.Kind == WorkRate {
		return t.work
	}
	return Unit
}

// Done gives back what is held, and settles work by what it really took.
func (d *Limiter) Done(t *Ticket, ran time.Duration) {
	if t.n == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	took := int64(float64(max(ran, 0).Microseconds()) * t.slots)
	if ran > 0 {
		was, ok := d.runs[t.class]
		if !ok {
			was = ran.Microseconds()
		}
		d.runs[t.class] = was + (ran.Microseconds()-was)/16
	}
	t.each(func(m *meter) {
		switch m.Kind {
		case Concurrency:
			m.open -= Unit
		case WorkRate:
			m.tokens += t.work - took
		}
	})
	t.n, t.more = 0, nil
}

// TakeRetry takes one further try of a request, or tells that there is none.
func (d *Limiter) TakeRetry(now time.Duration, t *Ticket) bool {
	if t.n == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.canRetry(now, t)
	t.each(func(m *meter) {
		if m.Kind != RetryBudget {
			return
		}
		if m.asked += Unit; ok {
			m.tokens -= Unit
		}
	})
	d.starve = d.starve || !ok
	return ok
}

// CanRetry tells whether Retry would, now.
func (d *Limiter) CanRetry(now time.Duration, t *Ticket) bool {
	if t.n == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canRetry(now, t)
}

func (d *Limiter) canRetry(now time.Duration, t *Ticket) bool {
	ok := true
	t.each(func(m *meter) {
		if m.Kind == RetryBudget {
			m.refill(now, d.until)
			ok = ok && m.tokens >= Unit
		}
	})
	return ok
}

// ReturnRetry gives back a try that was not made.
func (d *Limiter) ReturnRetry(t *Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.each(func(m *meter) {
		if m.Kind == RetryBudget {
			m.tokens += Unit
		}
	})
}

// PerWorkerLimit is how many jobs may be open at any one worker, where there is such a limit.
func (d *Limiter) PerWorkerLimit(now time.Duration) (most int, limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.meters {
		if m.Kind == PerWorkerConcurrency {
			if part := int(m.now(now, d.until) / Unit); !limited || part < most {
				most, limited = part, true
			}
		}
	}
	return most, limited
}

// WarmingShare is the part of what any one cold worker bears that may be sent it now, in millionths of
// the whole, where the fleet hands that out.
func (d *Limiter) WarmingShare(now time.Duration) (part int64, limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.meters {
		if m.Kind == WarmingShare {
			if p := m.now(now, d.until); !limited || p < part {
				part, limited = p, true
			}
		}
	}
	return part, limited
}

// ObserveBusiestWorker notes how many jobs are open at the fullest worker.
func (d *Limiter) ObserveBusiestWorker(jobs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.meters {
		if m.Kind == PerWorkerConcurrency {
			m.open = jobs * Unit
			m.peak = max(m.peak, m.open+Unit)
		}
	}
}

// Exhausted tells whether something was refused since the wants were last worded, so that to ask
// soon is of use.
func (d *Limiter) Exhausted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starve
}

// Requests words what could be used, by what was wanted since it was last worded.
func (d *Limiter) Requests(now time.Duration) (out []Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := max(now-d.asked, 50*time.Millisecond)
	d.asked, d.starve = now, false
	for _, m := range d.meters {
		w := Request{Limit: m.Name, InUse: m.open}
		if m.Kind.stock() {
			if w.Demand = max(m.peak, m.open); w.Demand > m.now(now, d.until) {
				w.Demand += m.part // it may be far more: what was refused is not open
			}
			m.peak = m.open
		} else {
			w.Demand = int64(float64(m.asked) / span.Seconds())
			m.asked = 0
		}
		if w.Demand > 0 || w.InUse > 0 {
			out = append(out, w)
		}
	}
	return out
}
