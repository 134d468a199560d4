package harness

// This file owns the scenarios of workflows.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/testing/standin/worker"
	"yardflow/internal/workflow/claims"
)

// Flows that nothing happens to: submitted at two keepers at once by one key, many in a second, a
// wide one; each step sent once, nothing before what it needs.
func flowCalm(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 200), 0)
	errs := make(chan error, 2)
	for range 2 {
		go func() { errs <- r.Submit("twice", "course", 20) }()
	}
	check(t, errors.Join(<-errs, <-errs))
	began := time.Now()
	titles := r.size(1000, 100)
	check(t, r.Submit("wide", "course", titles))
	for _, key := range []string{"twice", "wide"} {
		v, err := r.Ends(key, "done")
		check(t, err)
		t.Logf("%s: %+v after %v", key, v, time.Since(began))
		if want := map[string]int{"twice": 20, "wide": titles}[key]; once(t, r, key, "loan") != want || once(t, r, key, "package") != want || once(t, r, key, "collect") != 1 {
			t.Errorf("%s: %d loans, %d packages", key, once(t, r, key, "loan"), once(t, r, key, "package"))
		}
	}
}

// out waits until so many steps of a kind were sent.
func out(t T, r *Rig, prefix string, n int) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%d of %s are sent", n, prefix), func() bool { return len(r.Sent(prefix)) >= n }))
}

// The dispatcher of steps that run only once is killed while they are out; cut off from the keepers,
// so that their answers come and its word does not, and killed; stopped through its lease and woken
// with the answers in hand. Each time they are unknown, none is sent again, and what was not sent yet
// is, by another.
func flowKilled(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 200), 0)
	one, two := r.Dispatcher[0], r.Dispatcher[1]
	play := func(key string, fault func()) {
		t.Helper()
		r.Cut(two.Name, true)
		time.Sleep(lease) // the other can claim nothing
		r.Runs(1500 * time.Millisecond)
		check(t, r.Submit(key, "course", 6))
		out(t, r, key+"/loan", 4) // of what one dispatcher takes at first
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
		sound(t, r, key)
		if sent := once(t, r, key, "loan"); sent < 4 || 6-sent > v.EndCounts[2] { // marked, and not sent: unknown, too
			t.Errorf("%s: %d of 6 loans were sent, %d are unknown", key, sent, v.EndCounts[2])
		}
	}
	play("killed", func() { one.Kill() })
	check(t, one.Start())
	play("answered", func() {
		r.Cut(one.Name, true)
		time.Sleep(2 * time.Second) // the answers are there, and its word is not
		one.Kill()
	})
	r.Cut(one.Name, false)
	check(t, one.Start())
	play("woken", func() {
		one.Stop()
		time.Sleep(3 * lease)
		one.Go()
	})
	serves(t, r, one, true)
}

// Whatever happens, by the seed: every flow ends, no loan is sent twice, no package goes to two cells.
func flowStorm(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 30), 0)
	r.Runs(20 * time.Millisecond)
	for _, k := range r.Keeper[1:] {
		r.Link("d1", k.Name).Double(300 * time.Millisecond)
	}
	var keys []string
	titles := r.size(80, 30)
	for i := range r.size(6, 4) {
		keys = append(keys, fmt.Sprint("storm", i))
		check(t, r.Submit(keys[i], "course", titles))
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 34))
	pause := func(most time.Duration) { time.Sleep(time.Duration(rnd.Int64N(int64(most)))) }
	for range r.size(14, 7) {
		d := r.Dispatcher[rnd.IntN(len(r.Dispatcher))]
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
			l := leads(t, r)
			l.Kill()
			pause(lease / 2)
			check(t, l.Start())
		case 5:
			for _, k := range r.Keeper {
				r.Link(d.Name, k.Name).CutWays(false, true) // its words get there, their answers do not
			}
			pause(lease)
			for _, k := range r.Keeper {
				r.Link(d.Name, k.Name).CutWays(false, false)
			}
		}
		pause(lease / 2)
	}
	unknown, steps := 0, 0
	for _, key := range keys {
		v, err := r.Ends(key, "done")
		check(t, err)
		sound(t, r, key)
		if v.EndCounts[0]+v.EndCounts[1]+v.EndCounts[2]+v.EndCounts[3] != 2*titles+1 {
			t.Errorf("%s: %v of %d steps", key, v.EndCounts, 2*titles+1)
		}
		unknown, steps = unknown+v.EndCounts[2], steps+2*titles+1
	}
	t.Logf("%d of %d steps unknown", unknown, steps)
	r.Most("share of steps unknown", float64(unknown)/float64(steps), 0.25)
}

// A majority of the keepers is lost for good while steps are out, and one is made anew of a folder
// that is left, older than what was done: what may have run is unknown, and none of it is sent again.
func flowRestore(t T, r *Rig) {
	inForce(t, r, "one", strings.ReplaceAll(fmt.Sprintf(course, 20), `on_unknown = "pass"`, `on_unknown = "hold"`), 0)
	r.Runs(30 * time.Millisecond)
	check(t, r.Submit("old", "course", 60))
	out(t, r, "old/loan", 15)
	left := r.Keeper[2]
	left.Kill() // its folder is old from here on
	out(t, r, "old/loan", 35)
	before := r.Keeper
	for _, k := range before {
		k.Kill()
	}
	sent := len(r.Sent("old/loan"))
	next, err := r.keeper("k9", 9, nil)
	check(t, err)
	staff(t, r, 0, "restore", "--config", r.Dir+"/k9.toml", "--from", r.Dir+"/"+left.Name, "--accept-loss")
	replaceKeepers(t, r, next)
	v, err := r.Ends("old", "held")
	check(t, err)
	t.Logf("%d loans were sent before; %+v", sent, v)
	if !v.RunUncertain {
		t.Error("it is not in doubt")
	}
	time.Sleep(2 * lease)
	once(t, r, "old", "loan")
	if n := len(r.Sent("old/loan")); n > sent+4 {
		t.Errorf("%d loans were sent, %d before the keepers were lost: what is in doubt is not sent", n, sent)
	}
	// An operator who knows that one has not run has it sent; who cancels ends it.
	if never := stuckAndNeverSent(t, r); never != nil {
		name := fmt.Sprintf("old/loan%v", never.Ref.Path)
		staff(t, r, 0, "flow", "settle", "old", fmt.Sprintf("loan[%d]", never.Ref.Path[0]), "again")
		resolveStuckSteps(t, r)
		check(t, Until(name+" is sent by the operator's word", func() bool { return r.Sent(name)[name] == 1 }))
	}
	staff(t, r, 0, "flow", "cancel", "old")
	_, err = r.Ends("old", "cancelled", "failed")
	check(t, err)
	check(t, r.Submit("new", "course", 5))
	_, err = r.Ends("new", "done")
	check(t, err)
	once(t, r, "old", "loan")
	once(t, r, "new", "loan")
}

// stuckAndNeverSent returns a loan of the workflow old that is stuck and was sent to no worker, nil where there is none.
func stuckAndNeverSent(t T, r *Rig) (never *claims.StepStatus) {
	v, err := r.View("old")
	check(t, err)
	sent := r.Sent("old/loan")
	for i, s := range v.Steps {
		if s.State == "stuck" && s.Name == "loan" && sent[fmt.Sprintf("old/loan%v", s.Ref.Path)] == 0 {
			never = &v.Steps[i]
		}
	}
	return never
}

// resolveStuckSteps resolves the stuck steps of the workflow old as failed until it is held no more.
func resolveStuckSteps(t T, r *Rig) {
	for {
		v, err := r.View("old")
		check(t, err)
		if v.State != "held" {
			return
		}
		stuck := false
		for _, s := range v.Steps {
			if s.State == "stuck" {
				stuck = true
				_, err := r.Flow(claims.Command{Resolve: &claims.Resolution{Workflow: "old", Step: s.Ref, Outcome: claims.OutcomeFailed, RequestedBy: "rig"}})
				check(t, err)
			}
		}
		if !stuck {
			t.Fatalf("held, and nothing is stuck: %+v", v)
		}
	}
}

const pools = `
[[pool]]
name = "lenders"
kinds = ["dual-fast"]
[[pool]]
name = "packers"
kinds = ["triple-slow"]
`

// Steps go to their pool alone. One pool drains whole in the middle: its steps wait, nothing is lost.
// A template is changed with flows under way, each of which ends by its own; what can't be run is
// refused, by the command or by a dispatcher.
func flowPools(t T, r *Rig) {
	text := pools + strings.Replace(strings.Replace(fmt.Sprintf(course, 40), `class = "issue-loan"`, "class = \"issue-loan\"\npool = \"lenders\"", 1), "name = \"package\"", "name = \"package\"\npool = \"packers\"", 1)
	inForce(t, r, "one", text, 0)
	r.Runs(20 * time.Millisecond)
	titles := r.size(150, 60)
	check(t, r.Submit("a", "course", titles))
	out(t, r, "a/package", 10)
	var packers []string
	for i, w := range r.Workers {
		if i%2 == 1 {
			packers = append(packers, w.ID)
		}
	}
	check(t, r.Drain(true, packers...))
	out(t, r, "a/loan", 40)
	time.Sleep(time.Second)
	had := len(r.Sent("a/package"))
	changed := strings.Replace(text, `name = "collect"`, "name = \"gather\"", 1)
	inForce(t, r, "two", changed, 1)
	check(t, r.Submit("b", "course", 10))
	time.Sleep(time.Second)
	if now := len(r.Sent("a/package")); now > had {
		t.Errorf("%d packages were sent while no packer serves", now-had)
	}
	if refusal, err := r.Refused("poolless", fmt.Sprintf(course, 41), 2); err != nil || !strings.Contains(refusal, "flow-pool-needed") {
		t.Errorf("a policy without a pool that flows need: %v, refused with %q", err, refusal)
	}
	check(t, r.Drain(false, packers...))
	for _, key := range []string{"a", "b"} {
		v, err := r.Ends(key, "done")
		check(t, err)
		sound(t, r, key)
		want := map[string]int{"a": 2*titles + 1, "b": 21}[key]
		if last := map[string]string{"a": "collect", "b": "gather"}[key]; v.EndCounts[0]+v.EndCounts[2] < want-4 || len(r.Sent(key+"/"+last)) != 1 {
			t.Errorf("%s: %v of %d; %d of %s were sent", key, v.EndCounts, want, len(r.Sent(key+"/"+last)), last)
		}
	}
	for i, w := range r.Workers {
		for _, a := range w.Arrivals() {
			if strings.Contains(a.ID, "/loan[") && i%2 == 1 || strings.Contains(a.ID, "/package[") && i%2 == 0 {
				t.Fatalf("%s was sent to %s", a.ID, w.ID)
			}
		}
	}
	check(t, r.Propose("class", strings.Replace(changed, `"issue-loan"`, `"issue-loans"`, 1), 2, false))
	if c, err := r.Change("class", statemachine.Withdrawn); err != nil || !strings.Contains(c.Reason, `step "loan": class: issue-loans; expected one of the settings'`) {
		t.Error(err, c)
	}
	check(t, r.Propose("kind", strings.Replace(changed, `"triple-slow"`, `"triple-fast"`, 1), 2, false))
	if c, err := r.Change("kind", statemachine.Withdrawn); err != nil || !strings.Contains(c.Reason, `pool "packers": kinds: "triple-fast"; expected one of the settings'`) {
		t.Error(err, c)
	}
}

// 1,000 flows are submitted in one second, from many sides; one of 10,000 items; one is cancelled with
// 500 steps out, which are waited for.
func flowMany(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 600), 0)
	began := time.Now()
	var wg sync.WaitGroup
	flows, wide, off := r.size(1000, 100), r.size(10000, 400), r.size(500, 60)
	errs := make(chan error, flows)
	for k := range 20 {
		wg.Go(func() {
			for i := range flows / 20 {
				errs <- r.Submit(fmt.Sprintf("m%d-%d", k, i), "course", 2)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		check(t, err)
	}
	took := time.Since(began)
	check(t, Until("all flows are done", func() bool {
		a, err := r.Flow(claims.Command{Query: &claims.StatusQuery{}})
		return err == nil && a.CountsByState["done"] == flows
	}))
	t.Logf("%d flows of 5 steps submitted in %v, done after %v", flows, took, time.Since(began))
	r.Most("submissions take, s", took.Seconds(), 3)
	sent := r.Sent("m")
	for step, n := range sent {
		if n > 1 {
			t.Errorf("%s was sent %d times", step, n)
		}
	}
	if len(sent) != 5*flows {
		t.Errorf("%d of %d steps were sent", len(sent), 5*flows)
	}
	began = time.Now()
	check(t, r.Submit("wide", "course", wide))
	check(t, r.Submit("off", "course", off*6/5))
	r.Runs(1500 * time.Millisecond)
	check(t, Until("many steps of one flow are out", func() bool { v, err := r.View("off"); return err == nil && v.OpenClaims >= off }))
	staff(t, r, 0, "flow", "cancel", "off")
	v, err := r.View("off")
	check(t, err)
	if v.State != "closing" || v.OpenClaims == 0 {
		t.Errorf("just cancelled: %v with %d out", v.State, v.OpenClaims)
	}
	r.Runs(time.Millisecond)
	v, err = r.Ends("off", "cancelled")
	check(t, err)
	n := len(r.Sent("off/"))
	t.Logf("cancelled with %d sent: %v", n, v.EndCounts)
	if v.EndCounts[2] > 0 || v.EndCounts[0] != n {
		t.Errorf("%v, with %d sent: what was out is waited for", v.EndCounts, n)
	}
	v, err = r.Ends("wide", "done")
	check(t, err)
	t.Logf("a fan-out of %d: %v after %v", wide, v.EndCounts, time.Since(began))
	if n := once(t, r, "wide", "loan"); n != wide || v.EndCounts[0] != 2*wide+1 {
		t.Errorf("%d loans were sent; %v", n, v.EndCounts)
	}
}

// A step that kills each worker that takes it kills as many as it may be tried, and ends; a loan that
// does kills one. An answer under another's id is none: the step is unknown, or tried again.
func flowPoison(t T, r *Rig) {
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
	once(t, r, "p", "loan")
	once(t, r, "q", "loan")
	if p.EndCounts[2] < 2 || q.EndCounts[1] < 1 && len(r.Sent("q/package[7 ")) > 0 {
		t.Errorf("%v, %v: expected two loans unknown, and a package failed", p.EndCounts, q.EndCounts)
	}
}

// Clients ask at 0.8 of what the workers bear, without a workflow beside them, and with one that takes
// all it can get: what they lose is under a point.
func flowBeside(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 400), 0)
	r.Runs(40 * time.Millisecond)
	const rate = 0.8 * 4 * 8 / 0.040 // a second
	ask := func(d time.Duration) (share float64, n int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, began := 0, time.Now()
		for ; time.Since(began) < d; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
			p := r.Dispatcher[n%len(r.Dispatcher)]
			wg.Go(func() {
				at := time.Now()
				if r.AskOf(p, "package-file") == 200 && time.Since(at) < 500*time.Millisecond {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return float64(served) / float64(n), n
	}
	long := time.Duration(r.size(4, 2)) * time.Second
	ask(2 * time.Second) // what is not warm yet is nobody's
	before, _ := ask(long)
	check(t, r.Submit("beside", "course", 10000))
	sent := len(r.Sent("beside/"))
	with, n := ask(long)
	steps := len(r.Sent("beside/")) - sent
	staff(t, r, 0, "flow", "cancel", "beside")
	t.Logf("served within 0.5 s: %.4f, and %.4f beside %d steps, of %d", before, with, steps, n)
	r.Most("points of clients' work lost beside a flow", 100*(before-with), 1)
	r.Least("steps a second meanwhile", float64(steps)/long.Seconds(), 10)
}
