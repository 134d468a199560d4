package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"yardflow/internal/testing/standin/deployment"
)

// drainLength is how long a drained worker stays out: longer than the grace, so that a late byte would show.
const drainLength = 620 * time.Millisecond

// drains: 200 times under load the roster reports that a worker drains, while DNS goes on naming it with 300 s to live.
// Some workers are out at any moment.
func drains() ([]row, error) {
	const rounds, workers = 200, 12
	s, _, err := startDeployment(1, workers, workers, 300, operatorFile(""))
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	var windows []drainWindow
	all, err := underLoad(context.Background(), s, 150, func() (err error) {
		windows, err = drainInTurns(s, rounds, workers)
		return err
	})
	if err != nil {
		return nil, err
	}
	var late []time.Duration
	for _, w := range windows {
		late = append(late, w.lastFirstByte(s))
	}
	slices.Sort(late)
	p := func(q float64) time.Duration { return late[int(q*float64(len(late)-1))].Round(10 * time.Microsecond) }
	arrived := 0
	for _, w := range s.Workers {
		arrived += len(w.Arrivals())
	}
	return []row{
		{fmt.Sprintf("last first byte after %d drains told: p50, p99, longest", len(windows)), fmt.Sprint(p(0.5), ", ", p(0.99), ", ", p(1)),
			"500ms at most", p(1) <= 500*time.Millisecond && len(windows) == rounds},
		{fmt.Sprintf("jobs not served of %d meanwhile", len(all)), strconv.Itoa(unserved(all)), "0", unserved(all) == 0 && arrived >= len(all) && len(all) > 1000},
		{"issue-loan sent twice", strconv.Itoa(len(s.Twice("issue-loan"))), "0", len(s.Twice("issue-loan")) == 0},
	}, nil
}

// drainWindow is the time in which a worker drained, from when the program was notified.
type drainWindow struct {
	worker   string
	from, to time.Time
}

// lastFirstByte returns how long after its drain the worker got its last job.
func (w drainWindow) lastFirstByte(s *deployment.Shop) (last time.Duration) {
	for _, a := range s.Workers[w.worker].Arrivals() {
		if a.First.After(w.from) && a.First.Before(w.to) {
			last = max(last, a.First.Sub(w.from))
		}
	}
	return last
}

// drainInTurns drains workers and brings them back, half of them at once: each lane has two, and drains them in turn.
func drainInTurns(s *deployment.Shop, rounds, workers int) ([]drainWindow, error) {
	lanes := workers / 2
	var mu sync.Mutex
	var windows []drainWindow
	var failed error
	var wg sync.WaitGroup
	for lane := range lanes {
		wg.Go(func() {
			for i := lane; i < rounds; i += lanes {
				id := fmt.Sprint("w", lane+lanes*(i/lanes%2))
				from, err := drain(s, id)
				time.Sleep(drainLength)
				mu.Lock()
				windows, failed = append(windows, drainWindow{id, from, time.Now()}), errors.Join(failed, err)
				mu.Unlock()
				s.Roster.Mark(id, "SERVING")
			}
		})
	}
	wg.Wait()
	return windows, failed
}

// drain has the roster report that a worker drains, and returns when the program was notified.
func drain(s *deployment.Shop, worker string) (notified time.Time, err error) {
	return s.Roster.Told(s.Roster.Mark(worker, "DRAINING"), 5*time.Second)
}
