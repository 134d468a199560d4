package harness

// This file owns the scenarios of coordinators that fall, come back, and are taken in and out.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// The coordinator that leads is killed while a change is under way, then the next one stands still
// and goes on believing that it leads: the change ends, in force everywhere or withdrawn.
func leadersFail(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	lead := func() *Process {
		var who uint64
		check(t, Until("a keeper leads", func() bool { _, l, err := r.State(); who = l; return err == nil && l > 0 }))
		return r.Coordinators[who-1]
	}
	first := lead()
	check(t, r.Propose("one", second, 0, false))
	first.Kill()
	awaitStage(t, r, "one", statemachine.InForce)
	next := lead()
	next.Stop()
	check(t, r.Propose("two", third, 1, false))
	awaitStage(t, r, "two", statemachine.InForce)
	next.Go()
	check(t, first.Start())
	awaitVersionEverywhere(t, r, 2)
	// Those that come back know what was agreed on without them.
	for _, k := range []*Process{first, next} {
		awaitVersionAt(t, k.Name+" knows version 2", 2, k.Addr)
	}
	checkNoOverlap(t, r)
}

// A majority of the coordinators is lost: nobody is harmed at once, leases end, and under refuse
// nothing is admitted then; back, all serve again. Under last all serve on, by the last.
func coordinatorsLost(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	awaitVersionEverywhere(t, r, 1)
	mark := r.Dispatchers[0].Mark()
	r.Coordinators[0].Kill()
	r.Coordinators[1].Kill()
	if status := r.Ask(r.Dispatchers[0]); status != 200 {
		t.Errorf("%d at once", status)
	}
	_, err := r.Dispatchers[0].Await(mark, "no keeper answers")
	check(t, err)
	if r.OnLeaseLoss == "refuse" {
		for _, d := range r.Dispatchers {
			awaitAnswer(t, r, d, false)
		}
	} else {
		for until := time.Now().Add(2 * lease); time.Now().Before(until); {
			for _, d := range r.Dispatchers {
				if status := r.Ask(d); status != 200 {
					t.Fatalf("%s: %d without keepers", d.Name, status)
				}
			}
		}
	}
	check(t, r.Coordinators[0].Start())
	check(t, r.Coordinators[1].Start())
	check(t, r.Propose("two", third, 1, false))
	awaitStage(t, r, "two", statemachine.InForce)
	awaitVersionEverywhere(t, r, 2)
	if r.OnLeaseLoss == "refuse" {
		checkNoOverlap(t, r)
	} else if d, what := r.Overlap(); d > lease {
		t.Error(what)
	}
}

// Links that pass 1 KB a second, and are reset in the middle of messages: slower, and right.
func badLinks(t T, r *Rig) {
	for _, k := range r.Coordinators {
		r.Link("d1", k.Name).Slow(1000)
	}
	stop := r.Load()
	defer stop()
	over := make(chan struct{})
	go func() {
		defer close(over)
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, k := range r.Coordinators {
				r.Link("d2", k.Name).Reset()
			}
		}
	}()
	check(t, r.Propose("one", second, 0, true))
	awaitStage(t, r, "one", statemachine.InForce)
	<-over
	for _, k := range r.Coordinators {
		r.Link("d1", k.Name).Slow(0)
	}
	awaitVersionEverywhere(t, r, 1)
	checkNoOverlap(t, r)
}

// The coordinator that leads hears nobody, and is heard; and the other way round: others go on without
// it. A dispatcher whose words arrive and that hears nothing stops at its lease's end.
func oneWay(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	cut := func(name string, out, in bool) {
		for ends, l := range r.relays {
			if ends[0] == name {
				l.CutWays(out, in)
			} else if ends[1] == name && strings.HasPrefix(ends[0], "k") {
				l.CutWays(in, out)
			}
		}
	}
	version := uint64(0)
	for _, out := range []bool{false, true} {
		first := awaitLeader(t, r)
		cut(first.Name, out, !out)
		check(t, Until("another leads", func() bool { _, l, err := r.State(); return err == nil && l > 0 && r.Coordinators[l-1] != first }))
		id := fmt.Sprint("out ", out)
		check(t, r.Propose(id, fmt.Sprintf("attempts = %d\n", version+2), version, true))
		awaitStage(t, r, id, statemachine.InForce)
		version++
		cut(first.Name, false, false)
		awaitVersionEverywhere(t, r, version)
	}
	deaf := r.Dispatchers[1]
	cut(deaf.Name, false, true)
	awaitAnswer(t, r, deaf, false)
	check(t, r.Propose("deaf", third, version, true))
	awaitStage(t, r, "deaf", statemachine.InForce)
	awaitVersion(t, r, r.Dispatchers[0], version+1)
	cut(deaf.Name, false, false)
	awaitVersion(t, r, deaf, version+1)
	checkNoOverlap(t, r)
}

// All that goes to the coordinators arrives once more, from each other and from dispatchers, much of it
// after another incarnation of a dispatcher has begun.
func doubled(t T, r *Rig) {
	for ends, l := range r.relays {
		if ends[0] == "all" {
			continue
		}
		after := 60 * time.Millisecond
		if ends[0] == "d1" {
			after = 400 * time.Millisecond
		}
		l.Double(after)
		l.Reset() // what is open begins anew, doubled
	}
	stop := r.Load()
	defer stop()
	one := r.Dispatchers[0]
	for version := range uint64(4) {
		id := fmt.Sprint("c", version)
		check(t, r.Propose(id, fmt.Sprintf("attempts = %d\n", version+2), version, true))
		one.Kill()
		check(t, one.Start())
		awaitStage(t, r, id, statemachine.InForce)
		awaitVersionEverywhere(t, r, version+1)
	}
	checkNoOverlap(t, r)
}

// All coordinators are killed in the middle of a change, and come back: it goes on.
func allBack(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	still := r.Dispatchers[1]
	still.Stop() // the change waits for it
	check(t, r.Propose("one", second, 0, true))
	awaitStage(t, r, "one", statemachine.Proposed)
	for _, k := range r.Coordinators {
		k.Kill()
	}
	for _, k := range r.Coordinators {
		check(t, k.Start())
	}
	awaitStage(t, r, "one", statemachine.InForce)
	still.Go()
	awaitVersionEverywhere(t, r, 1)
	checkNoOverlap(t, r)
}

// Coordinators are taken in and out while changes are made: the one taken in learns first, has a say
// then, and knows all after a restart; the one that leads hands that over and is out; a number is
// used once; and those left go on without one more.
func members(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	fourth, addr, err := r.Join("k4", 4)
	check(t, err)
	if out := staff(t, r, 0, "members", "add", "4", addr); !strings.Contains(out, "4 learns") || !strings.Contains(out, "4 is a member") {
		t.Errorf("add: %s", out)
	}
	if out := staff(t, r, 0, "members"); strings.Count(out, "true") != 4 || strings.Contains(out, "learner") {
		t.Errorf("members: %s", out)
	}
	out := awaitLeader(t, r)
	id := strings.TrimPrefix(out.Name, "k")
	check(t, r.Propose("two", third, 1, false))
	staff(t, r, 0, "members", "remove", id)
	awaitStage(t, r, "two", statemachine.InForce)
	out.Kill()
	if out := staff(t, r, 1, "members", "add", id, out.Addr); !strings.Contains(out, "a number is used once") {
		t.Errorf("taken in again: %s", out)
	}
	fourth.Kill()
	check(t, fourth.Start())
	// Two of the three that are left are a majority, k4 among them.
	for _, k := range r.Coordinators[:3] {
		if k != out {
			k.Kill()
			break
		}
	}
	if out := staff(t, r, 1, "members", "remove", "4"); !strings.Contains(out, "no majority") {
		t.Errorf("one of the two that answer is taken out: %s", out)
	}
	check(t, r.Propose("three", second, 2, true))
	awaitStage(t, r, "three", statemachine.InForce)
	awaitVersionEverywhere(t, r, 3)
	checkNoOverlap(t, r)
}

// A dispatcher starts again while the coordinators are away: under last it goes on by the policy that
// it ran by before, and marks itself; what it kept is not whole: it admits nothing.
func restartLast(t T, r *Rig) {
	d, k := r.Dispatchers[0], r.Coordinators[0]
	check(t, r.Propose("one", third, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	awaitVersion(t, r, d, 1)
	k.Kill()
	before := r.Admitted(d.Name, 1)
	d.Kill()
	check(t, d.Start())
	awaitAnswer(t, r, d, true)
	if r.Admitted(d.Name, 1) <= before {
		t.Error("it serves under another version")
	}
	d.Kill()
	kept, err := filepath.Glob(filepath.Join(r.Dir, d.Name, "*.policy"))
	check(t, err)
	for _, file := range kept {
		check(t, os.Truncate(file, 100))
	}
	mark := d.Mark()
	check(t, d.Start())
	_, err = d.Await(mark, "left out")
	check(t, err)
	awaitAnswer(t, r, d, false)
	check(t, k.Start())
	awaitAnswer(t, r, d, true)
}

// 300 holders lose their coordinators, and come back at once when these do: all hold leases again.
func leasesAfterOutage(t T, r *Rig) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	var all []*transport.LeaseSession
	for i := range 300 {
		addrs, err := r.fronts()
		check(t, err)
		h := transport.NewLeaseSession(transport.NewClient(fleet, addrs), policylease.New(fmt.Sprint("h", i), 1, "", statemachine.RefuseWork), time.Now(),
			transport.Hooks{CheckPolicy: func(statemachine.Policy) error { return nil }, ApplyPolicy: func(statemachine.Policy) error { return nil }, Log: func(string) {}})
		all = append(all, h)
		wg.Go(func() { h.Run(ctx) })
	}
	holding := func() (n int) {
		for _, h := range all {
			if held, _ := h.Admission(); held.Allowed {
				n++
			}
		}
		return n
	}
	check(t, Until("all 300 hold leases", func() bool { return holding() == 300 }))
	for _, k := range r.Coordinators {
		k.Kill()
	}
	check(t, Until("none holds a lease", func() bool { return holding() == 0 }))
	for _, k := range r.Coordinators {
		check(t, k.Start())
	}
	began := time.Now()
	check(t, Until("all 300 hold leases again", func() bool { return holding() == 300 }))
	t.Logf("300 hold leases again %v after the keepers serve", time.Since(began).Round(time.Millisecond))
}
