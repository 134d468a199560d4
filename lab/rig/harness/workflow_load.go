package harness

// This file owns the scenarios of workflows in numbers: many, wide, and beside the work of clients.

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"yardflow/internal/workflow/claims"
)

// workflowsWithoutFaults submits one workflow by one key at two coordinators at once, and a wide one: each step is sent once.
func workflowsWithoutFaults(t T, r *Rig) {
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
		if want := map[string]int{"twice": 20, "wide": titles}[key]; countSentOnce(t, r, key, "loan") != want || countSentOnce(t, r, key, "package") != want || countSentOnce(t, r, key, "collect") != 1 {
			t.Errorf("%s: %d loans, %d packages", key, countSentOnce(t, r, key, "loan"), countSentOnce(t, r, key, "package"))
		}
	}
}

// manyWorkflows submits 1,000 workflows within a second from many clients; then one of 10,000 items, and one that is cancelled
// with 500 steps in flight, which are waited for.
func manyWorkflows(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 600), 0)
	submitManyWorkflows(t, r)
	cancelBesideWideWorkflow(t, r)
}

// submitManyWorkflows submits workflows of two titles each, and requires that each step is sent once.
func submitManyWorkflows(t T, r *Rig) {
	began := time.Now()
	var wg sync.WaitGroup
	flows := r.size(1000, 100)
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
}

// cancelBesideWideWorkflow cancels a workflow with many steps in flight beside one of many items, which ends whole.
func cancelBesideWideWorkflow(t T, r *Rig) {
	wide, off := r.size(10000, 400), r.size(500, 60)
	began := time.Now()
	check(t, r.Submit("wide", "course", wide))
	check(t, r.Submit("off", "course", off*6/5))
	r.Runs(1500 * time.Millisecond)
	check(t, Until("many steps of one flow are out", func() bool { v, err := r.View("off"); return err == nil && v.OpenClaims >= off }))
	awaitSent(t, r, "off/", 1) // a claim whose step was not sent is given back at once, and leaves nothing to wait for
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
	if n := countSentOnce(t, r, "wide", "loan"); n != wide || v.EndCounts[0] != 2*wide+1 {
		t.Errorf("%d loans were sent; %v", n, v.EndCounts)
	}
}

// clientsBesideWorkflow has clients send 0.8 of what the workers can take, without a workflow and with one that takes all
// capacity that it can get: the clients lose less than a point.
func clientsBesideWorkflow(t T, r *Rig) {
	inForce(t, r, "one", fmt.Sprintf(course, 400), 0)
	r.Runs(40 * time.Millisecond)
	const rate = 0.8 * 4 * 8 / 0.040 // a second
	ask := func(d time.Duration) (share float64, n int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, began := 0, time.Now()
		for ; time.Since(began) < d; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
			p := r.Dispatchers[n%len(r.Dispatchers)]
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
