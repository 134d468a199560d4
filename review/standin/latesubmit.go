//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-submit"] = playLateSubmit }

// Figures of the case late-submit.
const (
	lateFronts    = 9 // as in bula-yard
	lateJobs      = 24
	lateSpread    = 200 * time.Millisecond // over which they are handed in: twice the rate of bula-yard
	lateWorkers   = 16
	freezeFor     = 4 * time.Second // as the site's node_freeze of the leader
	lastTryMs     = 300             // what is left of a client's deadline of 3 s at its last try
	cancelMs      = 3000 * time.Millisecond
	contactMs     = 3000 * time.Millisecond
	lateWatch     = 20 * time.Second
	lateSteps     = 4
	lateRunMs     = 4000
	lateCPU       = 1000
	lateMemory    = 1000
	cancelRetries = 8

	// leastAttached is how many dispatchers have to be connected to each control process but the head. Which one a
	// dispatcher chooses is its own luck, so some are started anew before the case begins.
	leastAttached = 3
	spreadTries   = 150
	settleTime    = 5 * time.Second // from the last start until all processes are in touch
)

// lateJob is a job of the case, which its client cancels once its deadline is over.
type lateJob struct {
	path     string
	handedIn int // status of the POST; 0: no answer
	ackedAt  time.Time
	acked    int // status of the DELETE
}

// chainOfSteps returns a job of several steps, each of which depends on the one before it.
func chainOfSteps() string {
	steps := []string{}
	for i := range lateSteps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"DependsOn":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"Count":1,"Cpu":%d,"MemMb":%d,"EstimateMs":%d%s}`, lateCPU, lateMemory, lateRunMs,
			after))
	}
	return fmt.Sprintf(`{"Spec":%q,"Steps":[%s]}`, spec(lateCPU, lateMemory, lateRunMs), strings.Join(steps, ","))
}

// playLateSubmit freezes the head of the control processes. Clients hand jobs in with the last part of their deadlines, are
// told that there is no outcome, and cancel the jobs at another dispatcher.
func playLateSubmit(c *cluster, trouble bool) (verdict, error) {
	workers := []*worker{}
	for i := range lateWorkers {
		w, err := newWorker(c.record, fmt.Sprintf("w-%02d", i+1), "a", fmt.Sprintf("r-%d", i/4+1))
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	if err := c.start(workers, lateFronts, labelRoutes); err != nil {
		return verdict{}, err
	}
	head, err := c.spread()
	if err != nil {
		return verdict{}, err
	}
	thawed := time.Now()
	if trouble {
		c.signal(head, syscall.SIGSTOP)
		thawed = thawed.Add(freezeFor)
		time.AfterFunc(freezeFor, func() { c.signal(head, syscall.SIGCONT) })
	}
	jobs := []*lateJob{}
	var clients sync.WaitGroup
	for k := range lateJobs {
		i := k % lateFronts
		j := (i + 1 + 5*k%(lateFronts-1)) % lateFronts // another one
		job := &lateJob{path: fmt.Sprintf("/board/%016x", 0x40000+k)}
		jobs = append(jobs, job)
		clients.Go(func() { c.handInAndCancel(job, c.fronts[i], j) })
		time.Sleep(lateSpread / lateJobs)
	}
	clients.Wait()
	time.Sleep(lateWatch)
	return c.judgeLate(workers, jobs, thawed.Add(contactMs))
}

// spread starts dispatchers anew until each control process but the head has leastAttached of them, and returns the head.
func (c *cluster) spread() (*process, error) {
	for try := range spreadTries {
		head := c.head()
		if head == nil {
			return nil, fmt.Errorf("no head is known")
		}
		spread := true
		for _, control := range c.controls {
			status := c.status(control)
			c.record.note(control.name, "serves %d dispatchers; head %v", status.Dispatched, control == head)
			spread = spread && (control == head || status.Dispatched >= leastAttached)
		}
		if spread {
			time.Sleep(settleTime)
			return head, nil
		}
		front := c.fronts[try%len(c.fronts)]
		c.kill(front)
		if err := c.launch(front, false); err != nil {
			return nil, err
		}
		for !c.isReady(front) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil, fmt.Errorf("the dispatchers are all connected to few control processes")
}

// handInAndCancel hands a job in, and cancels it at another dispatcher until it is told 2xx or 410.
func (c *cluster) handInAndCancel(job *lateJob, front *process, at int) {
	job.handedIn, _ = c.callWithin(lastTryMs, front, http.MethodPost, job.path, chainOfSteps())
	for try := range cancelRetries {
		status, _ := c.call(c.fronts[(at+try)%len(c.fronts)], http.MethodDelete, job.path, "")
		if status == http.StatusOK || status == http.StatusGone {
			job.acked, job.ackedAt = status, time.Now()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// judgeLate looks for starts later than cancelMs after the cancelling was acknowledged, when all processes are in touch.
func (c *cluster) judgeLate(workers []*worker, jobs []*lateJob, inTouch time.Time) (verdict, error) {
	broken, text := 0, ""
	for _, job := range jobs {
		if job.acked == 0 {
			return verdict{}, fmt.Errorf("the cancelling of %s was not acknowledged", job.path)
		}
		id := job.path[strings.LastIndex(job.path, "/")+1:]
		late := 0
		for _, w := range workers {
			for _, began := range w.startsOf(id) {
				if began.After(job.ackedAt.Add(cancelMs)) && began.After(inTouch) {
					late++
				}
			}
		}
		if late == 0 {
			continue
		}
		broken++
		status, state := c.call(c.fronts[0], http.MethodGet, job.path, "")
		text = fmt.Sprintf("%s: POST %d, DELETE %d, %d tasks begun later than cancel_ms after that, now shown as %d %s", job.path,
			job.handedIn, job.acked, late, status, state)
	}
	if broken > 0 {
		return verdict{true, fmt.Sprintf("%d of %d cancelled jobs ran on; %s", broken, len(jobs), text)}, nil
	}
	return verdict{false, fmt.Sprintf("none of %d cancelled jobs ran on", len(jobs))}, nil
}
