// Package machine is the inside of a stand-in loan worker: slots, a queue that is
// served strictly in order (the head waits until it fits), a cold start, a speed that
// varies, and drains that hand back what has not started or don't.
//
// It is a pure machine that is handed events: it has no clock, so the same code runs
// in virtual time, many times faster than the wall, and behind a socket. It must
// never start a job out of turn.
package machine

import (
	"math"
	"slices"
	"time"
)

// Job is one job. Work is how long it runs on a warm worker of speed 1.
type Job struct {
	ID    uint64
	Slots int
	Work  time.Duration
}

// Kind is what became of a job.
type Kind uint8

// The kinds. A returned job never started; a lost one may have.
const (
	Started Kind = iota
	Done
	Returned
	Lost
)

// Event is news of a job.
type Event struct {
	Job  uint64
	Kind Kind
	At   time.Duration
}

type running struct {
	Job
	left float64 // seconds of work
}

// Machine is one worker.
type Machine struct {
	Slots, Queue int // slots in work, and places for jobs that wait

	now      time.Duration
	speed    float64
	launched time.Duration // of a ramp from share to 1 over ramp; ramp 0: warm
	ramp     time.Duration
	share    float64
	draining bool
	waiting  []Job
	runs     []running
	used     int
}

// New makes a warm machine.
func New(slots, queue int, speed float64) *Machine {
	return &Machine{Slots: slots, Queue: queue, speed: speed}
}

// Restart empties it, at a moment from which it warms up; all it held is lost.
func (m *Machine) Restart(now time.Duration, share float64, ramp time.Duration) (lost []Event) {
	m.Advance(now)
	for _, r := range m.runs {
		lost = append(lost, Event{r.ID, Lost, now})
	}
	for _, j := range m.waiting {
		lost = append(lost, Event{j.ID, Lost, now})
	}
	m.runs, m.waiting, m.used, m.draining = nil, nil, 0, false
	m.launched, m.share, m.ramp = now, share, ramp
	return lost
}

// Drain makes it take nothing new; what waits is handed back, if it returns that.
func (m *Machine) Drain(now time.Duration, returns bool) []Event {
	out := m.Advance(now)
	m.draining = true
	if returns {
		for _, j := range m.waiting {
			out = append(out, Event{j.ID, Returned, now})
		}
		m.waiting = nil
	}
	return out
}

// Resume ends a drain.
func (m *Machine) Resume() { m.draining = false }

// Speed changes how fast it works from now on.
func (m *Machine) Speed(now time.Duration, speed float64) []Event {
	out := m.Advance(now)
	m.speed = speed
	return out
}

// Free is how many slots run nothing and are wanted by nobody.
func (m *Machine) Free() int {
	if len(m.waiting) > 0 {
		return 0
	}
	return m.Slots - m.used
}

// Starts is when a job of one slot that was handed in now would start, if all stays as it is.
func (m *Machine) Starts() time.Duration {
	free := make([]float64, max(m.Slots-m.used, 0), m.Slots)
	for _, r := range m.runs {
		for range r.Slots {
			free = append(free, m.takes(m.now, r.left))
		}
	}
	for _, j := range append(slices.Clone(m.waiting), Job{Slots: 1}) {
		slices.Sort(free)
		at := free[min(j.Slots, len(free))-1]
		for i := range min(j.Slots, len(free)) {
			free[i] = at + m.takes(m.now, j.Work.Seconds())
		}
		if j.ID == 0 && j.Work == 0 {
			return m.now + time.Duration(min(at, 1e6)*1e9)
		}
	}
	return m.now
}

// Takes is how long so much work would take, from now on.
func (m *Machine) Takes(work time.Duration) time.Duration {
	return time.Duration(min(m.takes(m.now, work.Seconds()), 1e6) * 1e9)
}

// Submit hands in a job. It is returned where there is no place, or on a drain.
func (m *Machine) Submit(now time.Duration, j Job) []Event {
	out := m.Advance(now)
	if m.draining || j.Slots > m.Slots || len(m.waiting) >= m.Queue && (len(m.waiting) > 0 || m.used+j.Slots > m.Slots) {
		return append(out, Event{j.ID, Returned, now})
	}
	m.waiting = append(m.waiting, j)
	return append(out, m.fill(now)...)
}

// Cancel takes a job out, wherever it is.
func (m *Machine) Cancel(now time.Duration, id uint64) []Event {
	out := m.Advance(now)
	m.waiting = slices.DeleteFunc(m.waiting, func(j Job) bool { return j.ID == id })
	for i, r := range m.runs {
		if r.ID == id {
			m.used -= r.Slots
			m.runs = slices.Delete(m.runs, i, i+1)
			break
		}
	}
	return append(out, m.fill(now)...)
}

// fill starts what fits, in order.
func (m *Machine) fill(now time.Duration) (out []Event) {
	for len(m.waiting) > 0 && m.used+m.waiting[0].Slots <= m.Slots {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.used += j.Slots
		m.runs = append(m.runs, running{j, j.Work.Seconds()})
		out = append(out, Event{j.ID, Started, now})
	}
	return out
}

// capacity is what it does in a second, so many seconds after its start.
func (m *Machine) capacity(age float64) float64 {
	full := m.ramp.Seconds()
	if full <= 0 || age >= full {
		return m.speed
	}
	return m.speed * (m.share + (1-m.share)*max(age, 0)/full)
}

// worked is how much work gets done from now on in a time.
func (m *Machine) worked(from time.Duration, span float64) float64 {
	age, full := (from - m.launched).Seconds(), m.ramp.Seconds()
	if age >= full {
		return m.speed * span
	}
	cold := min(span, full-age)
	return (m.capacity(age)+m.capacity(min(age+cold, full-1e-12)))/2*cold + m.speed*(span-cold)
}

// takes is how long so much work needs from now on.
func (m *Machine) takes(from time.Duration, work float64) float64 {
	if m.speed <= 0 {
		return math.Inf(1)
	}
	age, full := (from - m.launched).Seconds(), m.ramp.Seconds()
	if age >= full {
		return work / m.speed
	}
	have, slope := m.capacity(age), m.speed*(1-m.share)/full
	rest := full - age
	if done := have*rest + slope*rest*rest/2; work > done {
		return rest + (work-done)/m.speed
	}
	if slope == 0 {
		return work / have
	}
	return (math.Sqrt(have*have+2*slope*work) - have) / slope
}

// Next is when the next job will be done, if all stays as it is.
func (m *Machine) Next() (at time.Duration, ok bool) {
	for _, r := range m.runs {
		t := m.takes(m.now, r.left)
		if math.IsInf(t, 1) || t > 1e6 {
			continue
		}
		// Up to the next microsecond: rounded down, it would not be done then.
		if end := m.now + time.Duration(t*1e9) + time.Microsecond; !ok || end < at {
			at, ok = end, true
		}
	}
	return at, ok
}

// Advance works on up to a moment, and tells what happened on the way.
func (m *Machine) Advance(now time.Duration) (out []Event) {
	for {
		next, ok := m.Next()
		if !ok || next > now {
			break
		}
		m.work(next)
		rest := m.runs[:0]
		for _, r := range m.runs {
			if r.left <= 0 {
				m.used -= r.Slots
				out = append(out, Event{r.ID, Done, next})
			} else {
				rest = append(rest, r)
			}
		}
		m.runs = rest
		out = append(out, m.fill(next)...)
	}
	m.work(now)
	return out
}

func (m *Machine) work(now time.Duration) {
	if now <= m.now {
		return
	}
	done := m.worked(m.now, (now - m.now).Seconds())
	for i := range m.runs {
		m.runs[i].left -= done
	}
	m.now = now
}
