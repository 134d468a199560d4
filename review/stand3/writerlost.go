//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["9"], shapes["9"] = playWriterLost, [2]int{3, 2} }

// Spans of the case of the lost writer.
const (
	writerBack   = time.Second      // after which each of the two machines is back
	recovery     = 12 * time.Second // RecoveryS
	catchUp      = 5 * time.Second  // CatchUpS, and a second more
	rounds       = 4                // at most; the moment is not met in each
	afterwards   = 20 * time.Second // for which requests are counted, later than RecoveryS after all machines are back
	requestPause = 200 * time.Millisecond
	changeWithin = 500 * time.Millisecond // for which the next view is waited for
)

// chain returns the names of the machines in the chain, the head first, as a core machine shows them.
func (c *cluster) chain(core *node) []string {
	status := struct{ Chain []string }{}
	_, text := c.call(http.MethodGet, core.listen, "", "/-/status", "")
	_ = json.Unmarshal([]byte(text), &status)
	return status.Chain
}

// awaitChain returns the chain once all core machines are in it.
func (c *cluster) awaitChain() (names []string) {
	for end := time.Now().Add(recovery); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if names = c.chain(c.cores[0]); len(names) == len(c.cores) {
			return names
		}
	}
	return names
}

// configRead reports whether the configuration can be read at some core machine within a while, and waits for it.
func (c *cluster) configRead(within time.Duration) bool {
	status := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, core := range c.cores {
			if status, _ = c.call(http.MethodGet, core.listen, "", "/-/config", ""); status == http.StatusOK {
				c.record.printf("operator: GET /-/config at %s: 200", core.name)
				return true
			}
		}
	}
	c.record.printf("operator: GET /-/config: %d for %v", status, within)
	return false
}

// loseTwo kills a process of the core, and has another core machine lose its disk as soon as that one goes on with the next view.
// Both are back a second later.
func (c *cluster) loseTwo(killed, lost *node) bool {
	before := c.epoch(lost)
	c.record.printf("%s is killed; its disk stays", killed.name)
	killed.kill()
	killedAt := time.Now()
	for c.epoch(lost) == before && time.Since(killedAt) < changeWithin {
		time.Sleep(time.Millisecond)
	}
	c.record.printf("%s goes on with the next view, %v after the kill", lost.name, time.Since(killedAt).Round(time.Millisecond))
	lost.kill()
	if lost.wipe() != nil {
		return false
	}
	time.Sleep(writerBack)
	return killed.start() == nil && lost.start() == nil
}

// epoch returns the number of the view in force at a core machine.
func (c *cluster) epoch(core *node) uint64 {
	status := struct{ Epoch uint64 }{}
	_, text := c.call(http.MethodGet, core.listen, "", "/-/status", "")
	_ = json.Unmarshal([]byte(text), &status)
	return status.Epoch
}

func (c *cluster) core(name string) *node {
	for _, n := range c.cores {
		if n.name == name {
			return n
		}
	}
	return nil
}

// playWriterLost kills one of the two machines that keep each entry, and the other one loses its disk right after. Both are back a
// second later; the third machine runs all the time. Where the system serves again, the same comes once more, CatchUpS later.
func playWriterLost(c *cluster, trouble bool) int {
	if _, err := c.addWorker("i-"+newID()[:8], "roundmaker", "z1", []string{"a", "r1-1"}, resources{16000, 65536, 0}, nil); err != nil {
		return c.couldNotRun("a worker can't be started")
	}
	for _, n := range append(append([]*node{}, c.cores...), c.fronts...) {
		if n.start() != nil {
			return c.couldNotRun("a process can't be started")
		}
	}
	q := queue{"r-1", "/board/", "roundmaker", 0, 250, 1.5}
	if !c.configure(1, 0, configBody(1, q), 20*time.Second) || !c.awaitReady(20*time.Second) {
		return c.couldNotRun("the system is not up after its start")
	}
	time.Sleep(5 * time.Second)
	kept := newID()
	if !c.handIn(c.fronts[0], q, kept, jobBody(300, 1000, "")) {
		return c.couldNotRun("the first job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if before := c.served(q, 3*time.Second); before < 0.25 {
		return c.couldNotRun("too little is served before the disruption")
	}
	for round := 1; round <= rounds; round++ {
		names := c.awaitChain()
		c.record.printf("round %d, chain: %s", round, strings.Join(names, ", "))
		if len(names) != len(c.cores) {
			return c.couldNotRun("not all core machines are in the chain")
		}
		if trouble && !c.loseTwo(c.core(names[1]), c.core(names[0])) {
			return c.couldNotRun("a process can't be stopped or started")
		}
		c.record.printf("all machines are back")
		if !c.configRead(recovery) {
			break
		}
		if round < rounds {
			time.Sleep(catchUp)
		} else {
			time.Sleep(recovery)
		}
	}
	share := c.served(q, afterwards)
	status, text := c.call(http.MethodGet, c.cores[0].listen, "", "/-/config", "")
	c.record.printf("operator: GET /-/config at core-1: %d %.60s", status, text)
	c.record.printf("job %s, accepted and completed before: %q", kept, c.state(c.fronts[0], q, kept))
	for _, core := range c.cores {
		status, text := c.call(http.MethodGet, core.listen, "", "/-/status", "")
		c.record.printf("%s: GET /-/status: %d %s", core.name, status, strings.TrimSpace(text))
	}
	if share < 0.25 {
		c.record.printf("RECOVER: %.2f of the requests sent later than %v after the machines were back were served", share, recovery)
		return broken
	}
	return held
}

// served hands jobs in for a while, at the dispatchers in turn, and returns the share that was accepted.
func (c *cluster) served(q queue, span time.Duration) float64 {
	sent, accepted := 0, 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(requestPause) {
		if c.handIn(c.fronts[sent%len(c.fronts)], q, newID(), jobBody(300, 1000, "")) {
			accepted++
		}
		sent++
	}
	c.record.printf("%s", fmt.Sprintf("%d of %d requests were served", accepted, sent))
	return float64(accepted) / float64(sent)
}
