package worker

// This file owns the clock of a stand-in machine: it drives the pure machine by the
// time that is, the wall's or a synctest bubble's, and hands each job its own news.

import (
	"sync"
	"time"

	"yardflow/internal/platform/timers"
	"yardflow/internal/testing/standin/machine"
)

// Engine runs one machine in time.
type Engine struct {
	mu    sync.Mutex
	m     *machine.Machine
	began time.Time
	timer *time.Timer
	jobs  map[uint64]chan machine.Event
	next  uint64
}

// NewEngine starts a machine at this moment.
func NewEngine(m *machine.Machine) *Engine {
	return &Engine{m: m, began: time.Now(), jobs: map[uint64]chan machine.Event{}}
}

// Submit hands in a job and returns its number and its news, two at most.
func (e *Engine) Submit(slots int, work time.Duration) (uint64, <-chan machine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	news := make(chan machine.Event, 2)
	e.jobs[e.next] = news
	e.tell(e.m.Submit(time.Since(e.began), machine.Job{ID: e.next, Slots: slots, Work: work}))
	return e.next, news
}

// Cancel takes a job out.
func (e *Engine) Cancel(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.jobs, id)
	e.tell(e.m.Cancel(time.Since(e.began), id))
}

// Do does something to the machine now: a drain, a restart, another speed.
func (e *Engine) Do(f func(m *machine.Machine, now time.Duration) []machine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tell(f(e.m, time.Since(e.began)))
}

// Free is how many slots are free.
func (e *Engine) Free() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.m.Free()
}

// tell hands out news and sets the next moment. The caller holds mu.
func (e *Engine) tell(news []machine.Event) {
	for _, n := range news {
		if to := e.jobs[n.Job]; to != nil {
			to <- n
			if n.Kind != machine.Started {
				delete(e.jobs, n.Job)
			}
		}
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	if at, ok := e.m.Next(); ok {
		e.timer = time.AfterFunc(timers.Positive(at-time.Since(e.began)), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.tell(e.m.Advance(time.Since(e.began)))
		})
	}
}
