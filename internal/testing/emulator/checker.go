package emulator

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"yardflow/scheduling/job"
)

// Checker judges the rules by what workers, clients and operators observe, and records each violation.
type Checker struct {
	mu      sync.Mutex
	broken  []string
	began   time.Time
	tasks   map[string]*taskSeen
	jobs    map[string]*jobSeen
	used    map[*Worker]job.Resources
	latest  int64            // newest acknowledged version of the configuration
	bodies  map[int64]string // what was acknowledged under each version
	stopped bool
	drainMs int64 // within which starts at a draining worker end; 0: not judged
	excused int   // starts at workers that had drained for longer, by machines out of touch or carried out late
	inTouch func(sender, worker string, at time.Time) bool
	// ConfirmAfter is how much later a start is judged by whether its machine was in touch; 0: at once. It may be set before
	// the start of the cluster, where trouble is recorded late.
	ConfirmAfter time.Duration
	drains       map[*Worker]time.Time // since when the list has shown that a worker drains
}

type jobSeen struct {
	request  job.Request
	handedIn time.Time
	accepted bool
	// cancelSent is set once a client may have sent a cancelling, and cancelledAt is when the first one was acknowledged.
	cancelSent  bool
	cancelledAt time.Time
	state       string
	done        map[job.StepKey]int
	running     int       // runs that are at work
	exhausted   bool      // a task has failed as often as it may
	idleSince   time.Time // since when nothing has run beside room; zero: it has not
	idleNoted   bool
}

// NewChecker returns a checker without observations. DrainMs is how long after the list has shown a drain tasks may be started
// at that worker; 0: any time.
func NewChecker(drainMs int64) *Checker {
	return &Checker{drainMs: drainMs, drains: map[*Worker]time.Time{}, began: time.Now(), tasks: map[string]*taskSeen{}, jobs: map[string]*jobSeen{}, used: map[*Worker]job.Resources{},
		bodies: map[int64]string{}}
}

func (c *Checker) violated(rule, format string, args ...any) {
	if c.stopped {
		return
	}
	at := time.Since(c.began).Seconds()
	c.broken = append(c.broken, fmt.Sprintf("%s at %.3f s: %s", rule, at, fmt.Sprintf(format, args...)))
}

// AddViolation records a violation of a rule that the caller has observed.
func (c *Checker) AddViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(rule, format, args...)
}

// Violations returns all violations so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// acceptedAmong counts the jobs that were handed in first within a span, and those of them that were accepted.
func (c *Checker) acceptedAmong(from, to time.Time) (handedIn, accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range c.jobs {
		if seen.handedIn.Before(from) || seen.handedIn.After(to) {
			continue
		}
		handedIn++
		if seen.accepted {
			accepted++
		}
	}
	return handedIn, accepted
}

// underWay counts the runs that are at work, and the accepted jobs of which clients have seen no end.
func (c *Checker) underWay() (runs, jobs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range c.tasks {
		runs += len(task.runs)
	}
	for _, seen := range c.jobs {
		if seen.accepted && !seen.cancelSent && seen.state != "completed" && seen.state != "failed" {
			jobs++
		}
	}
	return runs, jobs
}

// Finish judges what must hold at the end.
func (c *Checker) Finish() (accepted, completed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, seen := range c.jobs {
		if !seen.accepted {
			continue
		}
		accepted++
		switch {
		case seen.state == "completed" || seen.state == "failed" && isPoison(&seen.request):
			completed++
		case !seen.cancelSent:
			c.violated("LOST", "%s was accepted and is %q at the end", id, seen.state)
		}
	}
	c.stopped = true
	return accepted, completed
}

// summary says of each job what became of it, in the order of their names.
func (c *Checker) summary() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := []string{}
	for id, seen := range c.jobs {
		tasks, done := 0, 0
		for step := range seen.request.Steps {
			tasks += seen.request.Steps[step].Count
			done += seen.done[job.StepKey{Step: step}]
		}
		state := seen.state
		if !seen.accepted {
			state = "not accepted"
		}
		lines = append(lines, fmt.Sprintf("job %s: %-10s %d of %d tasks done", id, state, done, tasks))
	}
	sort.Strings(lines)
	return lines
}
