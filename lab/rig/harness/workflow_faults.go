package harness

// This file owns the scenarios of workflows under faults.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"yardflow/internal/testing/standin/worker"
)

// stepOwnerKilled has the dispatcher of at-most-once steps killed while they are in flight; partitioned from the coordinators,
// so that it gets their results and can't report them, and killed; stopped beyond its lease and resumed with the results at
// hand. Each time the steps are unknown, none is sent again, and another dispatcher sends what was not sent yet.
func stepOwnerKilled(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 200), 0)
	one, two := r.Dispatchers[0], r.Dispatchers[1]
	play := func(key string, fault func()) {
		t.Helper()
		r.Cut(two.Name, true)
		time.Sleep(lease) // the other can claim nothing
		r.Runs(1500 * time.Millisecond)
		check(t, r.Submit(key, "course", 6))
		awaitSent(t, r, key+"/loan", 4) // of what one dispatcher takes at first
		n := len(r.Sent(key + "/loan"))
		fault()
		r.Cut(two.Name, false)
		r.Runs(5 * time.Millisecond)
		v, err := r.Ends(key, "done")
		check(t, err)
		t.Logf("%s: %d loans were out; %v", key, n, v.EndCounts)
		if v.EndCounts[2] < 4 || v.EndCounts[2] > 6 || v.EndCounts[0]+v.EndCounts[1]+v.EndCounts[2]+v.EndCounts[3] != 13 {
			t.Errorf("%s: %v: expected 4 to 6 unknown of 13", key, v.EndCounts)
		}
		checkSentSoundly(t, r, key)
		if sent := countSentOnce(t, r, key, "loan"); sent < 4 || 6-sent > v.EndCounts[2] { // marked, and not sent: unknown, too
			t.Errorf("%s: %d of 6 loans were sent, %d are unknown", key, sent, v.EndCounts[2])
		}
	}
	play("killed", func() { one.Kill() })
	check(t, one.Start())
	play("answered", func() {
		r.Cut(one.Name, true)
		time.Sleep(2 * time.Second) // it has the results, and can't report them
		one.Kill()
	})
	r.Cut(one.Name, false)
	check(t, one.Start())
	play("woken", func() {
		one.Stop()
		time.Sleep(3 * lease)
		one.Go()
	})
	awaitAnswer(t, r, one, true)
}

// workflowsUnderRandomFaults injects faults by the seed: every workflow ends, no loan is sent twice, no package goes to two cells.
func workflowsUnderRandomFaults(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 30), 0)
	r.Runs(20 * time.Millisecond)
	for _, k := range r.Coordinators[1:] {
		r.Link("d1", k.Name).Double(300 * time.Millisecond)
	}
	var keys []string
	titles := r.size(80, 30)
	for i := range r.size(6, 4) {
		keys = append(keys, fmt.Sprint("storm", i))
		check(t, r.Submit(keys[i], "course", titles))
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 34))
	for range r.size(14, 7) {
		injectWorkflowFault(t, r, rnd)
	}
	unknown, steps := 0, 0
	for _, key := range keys {
		v, err := r.Ends(key, "done")
		check(t, err)
		checkSentSoundly(t, r, key)
		if v.EndCounts[0]+v.EndCounts[1]+v.EndCounts[2]+v.EndCounts[3] != 2*titles+1 {
			t.Errorf("%s: %v of %d steps", key, v.EndCounts, 2*titles+1)
		}
		unknown, steps = unknown+v.EndCounts[2], steps+2*titles+1
	}
	t.Logf("%d of %d steps unknown", unknown, steps)
	r.Most("share of steps unknown", float64(unknown)/float64(steps), 0.25)
}

// injectWorkflowFault injects a fault that is drawn, and ends it after a drawn time.
func injectWorkflowFault(t T, r *Rig, rnd *rand.Rand) {
	pause := func(most time.Duration) { time.Sleep(time.Duration(rnd.Int64N(int64(most)))) }
	d := r.Dispatchers[rnd.IntN(len(r.Dispatchers))]
	switch rnd.IntN(6) {
	case 0, 1:
		d.Kill()
		pause(lease)
		check(t, d.Start())
	case 2:
		d.Stop()
		pause(2 * lease)
		d.Go()
	case 3:
		r.Cut(d.Name, true)
		pause(2 * lease)
		r.Cut(d.Name, false)
	case 4:
		l := awaitLeader(t, r)
		l.Kill()
		pause(lease / 2)
		check(t, l.Start())
	case 5:
		for _, k := range r.Coordinators {
			r.Link(d.Name, k.Name).CutWays(false, true) // its messages arrive, the answers do not
		}
		pause(lease)
		for _, k := range r.Coordinators {
			r.Link(d.Name, k.Name).CutWays(false, false)
		}
	}
	pause(lease / 2)
}

// stepsThatKillWorkers sends steps that kill each worker that takes them: one that may be repeated kills as many workers as it
// has attempts, a loan kills one. An answer under another's id is none: the step is unknown, or tried again.
func stepsThatKillWorkers(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 50), 0)
	var mu sync.Mutex
	kills := map[string]int{}
	for _, w := range r.Workers {
		w.Spoil = func(id, class string) worker.Spoilt {
			step, _, _ := strings.Cut(id, "#")
			switch {
			case strings.HasPrefix(step, "q/package[7 ") || strings.HasPrefix(step, "p/loan[3 "):
				mu.Lock()
				kills[step]++
				mu.Unlock()
				return worker.Kills
			case strings.HasPrefix(step, "p/loan[5 "):
				return worker.Alien
			}
			return worker.Sound
		}
	}
	check(t, r.Submit("p", "course", 20))
	check(t, r.Submit("q", "course", 10))
	p, err := r.Ends("p", "done")
	check(t, err)
	q, err := r.Ends("q", "done")
	check(t, err)
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%v, %v; workers killed: %v", p.EndCounts, q.EndCounts, kills)
	// With a worker goes what else is open there: that loan is unknown, too, and its package skipped.
	if kills["p/loan[3 0 0]"] != 1 || kills["q/package[7 0 0]"] != 3 && len(r.Sent("q/package[7 ")) > 0 {
		t.Errorf("workers killed: %v; expected 1 by a loan, 3 by a package", kills)
	}
	countSentOnce(t, r, "p", "loan")
	countSentOnce(t, r, "q", "loan")
	if p.EndCounts[2] < 2 || q.EndCounts[1] < 1 && len(r.Sent("q/package[7 ")) > 0 {
		t.Errorf("%v, %v: expected two loans unknown, and a package failed", p.EndCounts, q.EndCounts)
	}
}
