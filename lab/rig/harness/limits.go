package harness

// This file owns the scenarios of limits of the whole fleet.

import (
	"fmt"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// enforcePolicy puts a policy in force, and waits until all serve under it.
func enforcePolicy(t T, r *Rig, text string) (version uint64) {
	t.Helper()
	s, _, err := r.State()
	check(t, err)
	version = s.CurrentPolicy().Version + 1
	id := fmt.Sprint("v", version)
	check(t, r.Propose(id, text, version-1, true))
	awaitStage(t, r, id, statemachine.InForce)
	return version
}

// faultsUnderLoad is what befalls a fleet of four while it is under load: two are cut off from the coordinators
// for two leases while demand on the others rises, one hears nothing and is heard, one stands
// still for three leases and wakes in the middle of a burst, one is killed and starts again with
// its old lease still running, and the leading coordinator dies and comes back.
func faultsUnderLoad(t T, r *Rig, more func(to ...*Process) (stop func())) {
	d := r.Dispatchers
	for _, p := range d[:2] {
		r.Cut(p.Name, true)
	}
	end := more(d[2:]...)
	time.Sleep(2 * lease)
	end()
	for _, p := range d[:2] {
		r.Cut(p.Name, false)
	}
	for _, k := range r.Coordinators {
		r.Link(d[2].Name, k.Name).CutWays(false, true)
	}
	d[3].Stop()
	time.Sleep(2 * lease)
	for _, k := range r.Coordinators {
		r.Link(d[2].Name, k.Name).Cut(false)
	}
	d[0].Kill()
	check(t, d[0].Start())
	lead := awaitLeader(t, r)
	lead.Kill()
	time.Sleep(lease)
	d[3].Go()
	check(t, lead.Start())
	time.Sleep(lease)
}

func limitRate(t T, r *Rig) {
	version := enforcePolicy(t, r, fmt.Sprintf(rateLimit, 200, 24))
	stop := r.Push(3, r.Dispatchers...)
	defer stop()
	awaitVersionEverywhere(t, r, version)
	// 160 and 40 a second: the static shares of the four that are not there stay theirs.
	check(t, Until("the limit is used", func() bool { return r.AdmittedWithin(time.Second) >= 171 }))
	calm, _ := r.Beyond(rateOf(t, r))
	faultsUnderLoad(t, r, func(to ...*Process) func() { return r.Push(10, to...) })
	check(t, Until("the limit is used again", func() bool { return r.AdmittedWithin(time.Second) >= 171 }))
	worst, what := r.Beyond(rateOf(t, r))
	if !r.Most("rate, "+r.OnLeaseLoss+": beyond the limit with all links up, requests", calm, 0.001) || !r.Most("rate, "+r.OnLeaseLoss+": beyond it at the worst moment of the trouble", worst, 0.001) {
		t.Errorf("%.3f requests beyond the limit: %s", worst, what)
	}
	s, _, err := r.State()
	check(t, err)
	if s.Quota.Overcommits != 0 {
		t.Errorf("%d times more was out than may be", s.Quota.Overcommits)
	}
}

func limitLowered(t T, r *Rig) {
	stop := r.Push(3, r.Dispatchers...)
	defer stop()
	for _, amount := range []int{200, 50, 0} {
		version := enforcePolicy(t, r, fmt.Sprintf(rateLimit, amount, 12))
		for _, d := range r.Dispatchers {
			if amount > 0 {
				awaitVersion(t, r, d, version)
			}
		}
		time.Sleep(lease)
	}
	if worst, what := r.Beyond(rateOf(t, r)); !r.Most("rate, quartered and set to 0: beyond the limit", worst, 0.001) {
		t.Errorf("%.3f requests beyond the limit: %s", worst, what)
	}
	checkNoOverlap(t, r)
}

func limitOpen(t T, r *Rig) {
	r.Runs(150 * time.Millisecond)
	version := enforcePolicy(t, r, "dispatchers = 7\nsettle = \"3s\"\n[[limit]]\nname = \"open\"\nkind = \"open\"\namount = 28.0\nstatic = 0.5\n[[limit]]\nname = \"each\"\nkind = \"at-worker\"\namount = 14.0\nstatic = 0.5\n")
	// Under the fence "last" a dispatcher admits by the policy before, which limits nothing, until it has the new one.
	awaitVersionEverywhere(t, r, version)
	for _, w := range r.Workers {
		w.Peak()
	}
	stop := r.Push(10, r.Dispatchers...)
	defer stop()
	check(t, Until("the limit is used", func() bool { return r.AdmittedWithin(time.Second) >= 60 }))
	faultsUnderLoad(t, r, func(to ...*Process) func() { return r.Push(20, to...) })
	for i, w := range r.Workers {
		if peak := w.Peak(); !r.Most(fmt.Sprintf("at each worker, 14: most jobs open at worker %d", i+1), float64(peak), 14) || peak < 5 {
			t.Errorf("%d jobs were open at worker %d, of 14", peak, i+1)
		}
	}
}

func limitRetries(t T, r *Rig) {
	for _, w := range r.Workers {
		w.Fail(true)
	}
	const share, each, burst = 0.2, 4, 8
	enforcePolicy(t, r, fmt.Sprintf("dispatchers = 8\n[[limit]]\nname = \"again\"\nkind = \"retries\"\nshare = %v\namount = %d.0\nburst = %d.0\nstatic = 0.25\n", share, each, burst))
	began := time.Now()
	for _, w := range r.Workers {
		w.Clear()
	}
	stop := r.PushOf("package-file", 4, r.Dispatchers...)
	time.Sleep(2 * lease)
	for _, d := range r.Dispatchers[:2] {
		r.Cut(d.Name, true)
	}
	time.Sleep(2 * lease)
	stop()
	span := time.Since(began).Seconds()
	tries, ids := 0, map[string]bool{}
	for _, w := range r.Workers {
		for _, a := range w.Arrivals() {
			tries++
			ids[a.ID] = true
		}
	}
	again, most := float64(tries-len(ids)), share*float64(len(ids))+each*span+burst
	if !r.Most("retries of the whole fleet in a storm", again, most) || again < 1 || len(ids) < 30 {
		t.Errorf("%v retries of %d first tries, want %.0f at the most", again, len(ids), most)
	}
}
