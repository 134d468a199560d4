//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["label-lost"] = playLabelLost }

// Figures of the case label-lost. Rates are below those of bula-yard, whose board-update comes 55 times a second with a
// label on 12 of 100.
const (
	labelWorkers    = 16
	labelFronts     = 2
	labelRackSize   = 2
	labelTraffic    = 66 * time.Second
	labelLossAt     = 5 * time.Second
	labelInterval   = 150 * time.Millisecond // between jobs of priority 0 with the label
	otherInterval   = 400 * time.Millisecond // between jobs of priority 0 without a label
	lowInterval     = time.Second            // between jobs of priority 1 without a label
	maxNothingRuns  = 3 * time.Second
	watchAfter      = 6 * time.Second // beyond finish_s
	taskCPU         = 1200
	taskMemory      = 4500
	taskRunMs       = 500
	crashedListedIn = 4 * time.Second
)

const labelRoutes = `{"Name":"r-board","Host":"quiz.example","PathPrefix":"/board/","Kind":"unsafe","TimeoutMs":3000,` +
	`"TargetLatencyMs":250,"Priority":0,"Service":"rounds","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"r-build","Host":"quiz.example","PathPrefix":"/build/","Kind":"unsafe","TimeoutMs":3000,` +
	`"TargetLatencyMs":1000,"Priority":1,"Service":"rounds","MaxAttempts":3,"Stretch":2.2}`

func oneTask(label string) string {
	requires := ""
	if label != "" {
		requires = fmt.Sprintf(`,"Requires":%q`, label)
	}
	return fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":1,"Cpu":%d,"MemMb":%d,"EstimateMs":%d%s}]}`,
		spec(taskCPU, taskMemory, taskRunMs), taskCPU, taskMemory, taskRunMs, requires)
}

// playLabelLost loses the only rack whose workers have the label b. Jobs of priority 0 that require b wait from then on,
// rightly. Jobs of priority 1 that require nothing have 14 idle workers, and have to run.
func playLabelLost(c *cluster, trouble bool) (verdict, error) {
	workers := []*worker{}
	for i := range labelWorkers {
		kind := "a"
		if i >= labelWorkers-labelRackSize {
			kind = "b"
		}
		w, err := newWorker(c.record, fmt.Sprintf("w-%02d", i+1), kind, fmt.Sprintf("r-%d", i/labelRackSize+1))
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	if err := c.start(workers, labelFronts, labelRoutes); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.AfterFunc(labelLossAt, func() {
			for _, w := range workers[labelWorkers-labelRackSize:] {
				w.crash()
				c.platform.remove(w, crashedListedIn)
			}
		})
	}
	low := &jobLog{}
	var traffic sync.WaitGroup
	end := time.Now().Add(labelTraffic)
	stream := func(first int, prefix, label string, interval time.Duration, log *jobLog) {
		for i := 0; time.Now().Before(end); i++ {
			path := fmt.Sprintf("%s%016x", prefix, first+i)
			traffic.Go(func() {
				if c.handIn(path, oneTask(label), i) && log != nil {
					log.add(path, i)
				}
			})
			time.Sleep(interval)
		}
	}
	var streams sync.WaitGroup
	streams.Go(func() { stream(0x10000, "/board/", "b", labelInterval, nil) })
	streams.Go(func() { stream(0x20000, "/board/", "", otherInterval, nil) })
	streams.Go(func() { stream(0x30000, "/build/", "", lowInterval, low) })
	streams.Wait()
	traffic.Wait()
	c.record.note("case", "the traffic is over; %d jobs of priority 1 are accepted", len(low.paths))
	time.Sleep(finishS * time.Second)
	return c.watchLow(workers, low, trouble)
}

// watchLow asks for the jobs of priority 1 later than finish_s after the traffic, and judges those that have nothing
// running for maxNothingRuns while there is room for them twice over and under half of the service is in use.
func (c *cluster) watchLow(workers []*worker, low *jobLog, trouble bool) (verdict, error) {
	roomSince := time.Now()
	var waiting map[string]bool
	for until := time.Now().Add(watchAfter); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used, total, free := int64(0), int64(0), 0
		for i, w := range workers {
			if trouble && i >= labelWorkers-labelRackSize {
				continue // lost
			}
			cpu, memory := w.usage()
			used, total = used+cpu, total+w.cpu
			for cpu+taskCPU <= w.cpu && memory+taskMemory <= w.memory {
				cpu, memory, free = cpu+taskCPU, memory+taskMemory, free+1
			}
		}
		if free < 2 || 2*used >= total {
			roomSince, waiting = time.Now(), nil
			continue
		}
		if waiting == nil {
			waiting = c.unfinished(low)
			c.record.note("case", "%d jobs of priority 1 wait; %d of %d CPU in use, room for %d such tasks", len(waiting),
				used, total, free)
		}
		if len(waiting) == 0 {
			return verdict{false, fmt.Sprintf("all %d jobs of priority 1 have run", len(low.paths))}, nil
		}
		if time.Since(roomSince) > maxNothingRuns {
			still := c.unfinished(low)
			stuck := 0
			for path := range still {
				if waiting[path] {
					stuck++
				}
			}
			if stuck > 0 {
				return verdict{true, fmt.Sprintf("%d of %d accepted jobs of priority 1 had nothing running for %v later than "+
					"finish_s after the traffic, with room for %d such tasks and %d of %d CPU in use", stuck, len(low.paths),
					maxNothingRuns, free, used, total)}, nil
			}
			roomSince, waiting = time.Now(), nil
		}
	}
	return verdict{false, "no job of priority 1 waited for too long"}, nil
}

// unfinished returns the jobs that are shown as queued: none of their tasks runs or has run.
func (c *cluster) unfinished(low *jobLog) map[string]bool {
	queued := map[string]bool{}
	for i, path := range low.paths {
		if _, text := c.call(c.fronts[i%len(c.fronts)], http.MethodGet, path, ""); strings.Contains(text, `"queued"`) {
			queued[path] = true
		}
	}
	return queued
}

// jobLog holds the paths of accepted jobs.
type jobLog struct {
	mu    sync.Mutex
	paths []string
}

func (l *jobLog) add(path string, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paths = append(l.paths, path)
}
