//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["9"], shapes["9"] = playCase9, [2]int{3, 2} }

// Spans and rates of case 9.
const (
	urgentSpan  = 40 * time.Second // for which urgent jobs come
	urgentPause = 125 * time.Millisecond
	finish      = 14 * time.Second // finish_s
	nothingRuns = 3 * time.Second  // of the rule
	fewWorkers  = 8
	oneInEight  = 7 // the worker of kind b
)

// playCase9 loses the only worker of kind b for good. Urgent jobs that need a worker of that kind wait from then on, which they
// may. Less urgent jobs that run on any worker come at the same dispatchers.
func playCase9(c *cluster, trouble bool) int {
	for i := range fewWorkers {
		kind := "a"
		if i == oneInEight {
			kind = "b"
		}
		if _, err := c.addWorker("i-"+newID()[:8], "roundmaker", "z1", []string{kind, "r1-1"}, resources{16000, 65536, 0}, nil); err != nil {
			return couldNot
		}
	}
	for _, n := range append(append([]*node{}, c.cores...), c.fronts...) {
		if n.start() != nil {
			return couldNot
		}
	}
	urgent := queue{"r-1", "/board/", "roundmaker", 0, 250, 1.5}
	other := queue{"r-2", "/round/", "roundmaker", 1, 1000, 2.2}
	if !c.configure(1, 0, configBody(1, urgent, other), 20*time.Second) || !c.awaitReady(20*time.Second) {
		return couldNot
	}
	time.Sleep(4 * time.Second) // until the list is known

	early := c.handInEverywhere(other, jobBody(500, 1000, ""))
	time.Sleep(3 * time.Second)
	if trouble {
		lost := c.workers[oneInEight]
		c.record.printf("worker %s of kind b crashes and is lost for good (1 of 8); it stays on the list for 3 s", lost.id)
		lost.crash()
		c.platform.removeAfter(lost, 3*time.Second)
	}
	accepted := map[string]bool{}
	until := time.Now().Add(urgentSpan)
	for i := 0; time.Now().Before(until); i++ {
		id := newID()
		if c.handIn(c.fronts[i%len(c.fronts)], urgent, id, jobBody(300, 1000, "b")) {
			accepted[id] = true
		}
		time.Sleep(urgentPause)
	}
	c.record.printf("%d urgent jobs that need kind b were accepted", len(accepted))
	late := c.handInEverywhere(other, jobBody(500, 1000, ""))
	c.record.printf("end of the traffic")
	time.Sleep(finish)
	return c.judgeIdle(append(early, late...), other)
}

// handIn hands a job in at a dispatcher and reports whether it was accepted.
func (c *cluster) handIn(front *node, q queue, id, body string) bool {
	status, text := c.call(http.MethodPost, front.listen, routeHost, q.prefix+id, body, "Yardflow-Deadline-Remaining", "3000")
	c.record.printf("client: POST %s%s at %s: %d %s", q.prefix, id, front.name, status, strings.TrimSpace(text))
	return status == http.StatusOK
}

// handInEverywhere hands one job in at each dispatcher and returns the IDs of those that were accepted.
func (c *cluster) handInEverywhere(q queue, body string) []string {
	ids := []string{}
	for _, front := range c.fronts {
		if id := newID(); c.handIn(front, q, id, body) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *cluster) state(front *node, q queue, id string) string {
	status, text := c.call(http.MethodGet, front.listen, routeHost, q.prefix+id, "")
	c.record.printf("client: GET %s%s at %s: %d %s", q.prefix, id, front.name, status, strings.TrimSpace(text))
	if status != http.StatusOK {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`)
}

// judgeIdle reports whether a job that is not completed has nothing running for 3 s, while there is room for it twice over on
// workers that are up, and under half of the service's capacity is in use.
func (c *cluster) judgeIdle(ids []string, q queue) int {
	open := []string{}
	for _, id := range ids {
		switch state := c.state(c.fronts[0], q, id); state {
		case "completed":
		case "queued", "running":
			open = append(open, id)
		default:
			c.record.printf("job %s is shown as %q", id, state)
			return broken
		}
	}
	if len(ids) == 0 {
		return couldNot
	}
	ran := map[string]bool{}
	isHalf := false
	for end := time.Now().Add(nothingRuns); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used, capacity, roomy := int64(0), int64(0), 0
		for _, w := range c.workers {
			if w.isDead() {
				continue
			}
			load, _ := w.load("")
			used, capacity = used+load.Cpu, capacity+w.capacity.Cpu
			if w.capacity.Cpu-load.Cpu >= 2000 {
				roomy++
			}
			for _, id := range open {
				if _, count := w.load(id); count > 0 {
					ran[id] = true
				}
			}
		}
		isHalf = isHalf || 2*used >= capacity || roomy == 0
	}
	verdict := held
	for _, id := range open {
		if !ran[id] && !isHalf && c.state(c.fronts[0], q, id) != "completed" {
			c.record.printf("LOST: job %s was accepted, is not completed, and nothing of it has run for 3 s, with room for it "+
				"twice over and under half of the service in use", id)
			verdict = broken
		}
	}
	return verdict
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}
