//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	jobsPerS    = 60
	pauseFor    = 180 * time.Millisecond
	pauseEach   = 5 * time.Second
	pauses      = 3
	nothingRuns = 3 * time.Second
)

type handedIn struct {
	id       string
	accepted bool
}

// idle reports whether nothing runs on any worker.
func (y *yard) idle() bool {
	for _, w := range y.workers {
		w.mu.Lock()
		busy := len(w.runs) > 0
		w.mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}

// pauseCase lets jobs of two short tasks come that run one after the other, and freezes the last machine of the chain three
// times for pauseFor, each time right after a burst of calls.
func pauseCase(y *yard, trouble bool) (broken []string, err error) {
	y.perRack = 1
	if err := y.lay(3, 9, 9, 16000, 65536); err != nil {
		return nil, err
	}
	if err := y.up(); err != nil {
		return nil, err
	}
	if err := y.spread(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	jobs := []handedIn{}
	var all sync.WaitGroup
	stop := make(chan struct{})
	const burst = 36
	submit := func(front int) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		spec := fmt.Sprintf("300/1000;%d,%d;-", 25+rand.IntN(40), 25+rand.IntN(40))
		body := fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":2,"Cpu":300,"MemMb":1000,"EstimateMs":100,"Requires":"r%d","AntiAffinity":1}]}`, spec, rand.IntN(9))
		accepted := y.handIn(front, id, body)
		mu.Lock()
		jobs = append(jobs, handedIn{id, accepted})
		mu.Unlock()
	}
	go func() {
		defer close(stop)
		for range pauses {
			time.Sleep(pauseEach)
			if s, ok := y.status(y.cores[0]); ok && len(s.Chain) == 3 {
				core := y.core(s.Chain[2])
				third, _ := y.status(core)
				y.rec.line("trouble %v: pause %s for %v; chain %v; %d dispatchers are connected to it", trouble, core.name, pauseFor, s.Chain, third.Dispatched)
				for i := range burst {
					all.Go(func() { submit(i % len(y.fronts)) })
				}
				time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Microsecond)
				if trouble {
					core.signal(syscall.SIGSTOP)
					time.Sleep(pauseFor)
					core.signal(syscall.SIGCONT)
				}
			}
		}
		time.Sleep(time.Second)
	}()
	ticker := time.NewTicker(time.Second / jobsPerS)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-stop:
			running = false
		case <-ticker.C:
			all.Go(func() { submit(rand.IntN(len(y.fronts))) })
		}
	}
	all.Wait()
	y.rec.line("no more jobs; %d were handed in", len(jobs))
	time.Sleep(finishS)
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		state := y.state(y.fronts[rand.IntN(len(y.fronts))], j.id)
		if state == "completed" || state == "failed" {
			continue
		}
		runs := y.rec.runsOf(j.id)
		last := time.Time{}
		for _, r := range runs {
			if r.how == "" {
				last = time.Now()
			} else if r.ended.After(last) {
				last = r.ended
			}
		}
		if time.Since(last) > nothingRuns && y.idle() {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted and is shown as %s; nothing of it has run for %.1f s, and the workers are idle",
				j.id, state, time.Since(last).Seconds()))
			for _, r := range runs {
				y.rec.line("  %s run %d at %s: %s", r.task, r.run, r.worker, r.how)
			}
		}
	}
	y.rec.line("%d jobs judged", len(jobs))
	return broken, nil
}

// spread starts the dispatchers again, before any traffic, until two or more are connected to the last machine of the chain.
func (y *yard) spread() error {
	for range 6 {
		s, ok := y.status(y.cores[0])
		if !ok || len(s.Chain) < 3 {
			time.Sleep(time.Second)
			continue
		}
		if third, ok := y.status(y.core(s.Chain[2])); ok && third.Dispatched >= 2 {
			return nil
		}
		for _, front := range y.fronts {
			front.kill()
			if err := front.start(false); err != nil {
				return err
			}
		}
		time.Sleep(3 * time.Second)
	}
	return errors.New("no dispatcher connects to the last machine of the chain")
}
