//go:build review

package main

import (
	"net/http"
	"time"
)

func init() { cases["10"], shapes["10"] = playFirstStart, [2]int{3, 1} }

// Spans of case 10.
const (
	startSpread   = 300 * time.Millisecond // within which all machines start
	lossAt        = 200 * time.Millisecond // when the machine that has started first loses its disk
	comesBack     = time.Second
	startPatience = 60 * time.Second // five times RecoveryS
)

// playFirstStart starts the whole system for the first time. The core machine that starts first loses its disk before the others
// start, and comes back with an empty disk.
func playFirstStart(c *cluster, trouble bool) int {
	if _, err := c.addWorker("i-"+newID()[:8], "roundmaker", "z1", []string{"a", "r1-1"}, resources{16000, 65536, 0}, nil); err != nil {
		return c.couldNotRun("a worker can't be started")
	}
	began := time.Now()
	first := c.cores[0]
	if first.start() != nil {
		return c.couldNotRun("a process can't be started")
	}
	time.Sleep(time.Until(began.Add(lossAt)))
	if trouble {
		first.kill()
		if first.wipe() != nil {
			return c.couldNotRun("the disk can't be emptied")
		}
	}
	time.Sleep(time.Until(began.Add(startSpread)))
	for _, n := range []*node{c.cores[1], c.cores[2], c.fronts[0]} {
		if n.start() != nil {
			return c.couldNotRun("a process can't be started")
		}
	}
	if trouble {
		time.Sleep(comesBack)
		if first.start() != nil {
			return c.couldNotRun("a process can't be started")
		}
	}
	c.record.printf("all machines run")
	q := queue{"r-1", "/board/", "roundmaker", 0, 250, 1.5}
	if !c.configure(1, 0, configBody(1, q), startPatience) {
		c.record.printf("FAULT: no configuration was taken in %v, so no request can be served", startPatience)
		for _, core := range c.cores {
			status, text := c.call(http.MethodGet, core.listen, "", "/-/status", "")
			c.record.printf("%s: GET /-/status: %d %s", core.name, status, text)
		}
		return broken
	}
	if !c.awaitReady(20 * time.Second) {
		c.record.printf("FAULT: the dispatcher is not ready")
		return broken
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if !c.handIn(c.fronts[0], q, id, jobBody(300, 1000, "")) {
		return broken
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if c.state(c.fronts[0], q, id) == "completed" {
			return held
		}
	}
	return broken
}
