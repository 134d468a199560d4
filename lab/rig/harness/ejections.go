package harness

// This file owns the scenarios of verdicts of the whole fleet.

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/testing/standin/worker"
)

const outlierPolicy = "[verdicts]\nenabled = true\nhearing = \"800ms\"\npace = \"400ms\"\n"

// awaitEjections waits until just so many hold, and returns them.
func awaitEjections(t T, r *Rig, n int) (all []*outlier.Ejection) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%d workers are condemned", n), func() bool {
		s, _, err := r.State()
		if err == nil && s.Outliers != nil {
			all = s.Outliers.Ejections
		}
		return err == nil && len(all) == n
	}))
	return all
}

// busiest are the workers, by how many jobs have come to them: many to the first.
func (r *Rig) busiest() []*worker.Worker {
	for r.AdmittedWithin(time.Minute) < 200 {
		time.Sleep(5 * time.Millisecond)
	}
	all := slices.Clone(r.Workers)
	slices.SortFunc(all, func(a, b *worker.Worker) int { return len(b.Arrivals()) - len(a.Arrivals()) })
	return all
}

// arrivals counts the jobs that come to a worker while f runs.
func arrivals(w *worker.Worker, f func()) int {
	before := len(w.Arrivals())
	f()
	return len(w.Arrivals()) - before
}

// loadUnderPolicy puts a policy in force, and has so many clients ask that each dispatcher uses all workers; stop ends them.
func loadUnderPolicy(t T, r *Rig, policy string) (stop func()) {
	t.Helper()
	r.Runs(40 * time.Millisecond)
	enforcePolicy(t, r, policy)
	return r.PushOf("package-file", 10, r.Dispatchers...)
}

func ejectFailingWorker(t T, r *Rig) {
	defer loadUnderPolicy(t, r, outlierPolicy)()
	bad := r.busiest()[0]
	began := time.Now()
	bad.Fail(true)
	lost := arrivals(bad, func() {
		if got := awaitEjections(t, r, 1)[0]; got.Subject.Worker != bad.ID || got.Zone != outlier.AllZones || got.Reporters < 2 {
			t.Errorf("condemned: %+v", got)
		}
	})
	ejectedAfter := time.Since(began)
	after := arrivals(bad, func() { time.Sleep(4 * time.Second) })
	r.Most("verdicts, 4 dispatchers: jobs lost until a bad worker is condemned", float64(lost), 24)
	// Trials at 0.4, 0.8, 1.6 s and so on; what was on its way when it was condemned comes, too.
	if !r.Most("verdicts, 4 dispatchers: jobs at it in the 4 s after", float64(after), 4+4) {
		t.Errorf("%d jobs came to a condemned worker in 4 s", after)
	}
	r.Most("verdicts, 4 dispatchers: seconds until it is condemned", ejectedAfter.Seconds(), 5)
	bad.Fail(false)
	began = time.Now()
	awaitEjections(t, r, 0)
	check(t, Until("it is used again by all", func() bool { return arrivals(bad, func() { time.Sleep(200 * time.Millisecond) }) > 5 }))
	r.Most("verdicts, 4 dispatchers: seconds until it is used again, once good", time.Since(began).Seconds(), 10)
	// Ejected again, it is replaced under its address by another incarnation.
	bad.Fail(true)
	awaitEjections(t, r, 1)
	bad.Fail(false)
	restartedAt := time.Now().Add(-time.Minute) // long warm
	for _, d := range r.Dispatchers {
		check(t, r.list(d.Name, func(i int) time.Time {
			if r.Workers[i] == bad {
				return restartedAt
			}
			return time.Time{}
		}))
	}
	check(t, Until("its new life is used at once", func() bool { return arrivals(bad, func() { time.Sleep(200 * time.Millisecond) }) > 5 }))
}

func ejectForOneZone(t T, r *Rig) {
	defer loadUnderPolicy(t, r, outlierPolicy)()
	far := r.busiest()[0]
	for i, d := range r.Dispatchers {
		if i%2 == 1 {
			r.Link(d.Name, far.ID).Refuse(true)
		}
	}
	if got := awaitEjections(t, r, 1)[0]; got.Zone != 1 || got.Subject.Worker != far.ID {
		t.Errorf("condemned: %+v", got)
	}
	if n := arrivals(far, func() { time.Sleep(2 * time.Second) }); n < 20 {
		t.Errorf("%d jobs in 2 s came to a worker that one zone alone can't reach", n)
	}
	for _, d := range r.Dispatchers {
		r.Link(d.Name, far.ID).Refuse(false)
	}
	awaitEjections(t, r, 0)
}

func ejectAtMostHalf(t T, r *Rig) {
	defer loadUnderPolicy(t, r, outlierPolicy+"most = 0.5\n")()
	for _, w := range r.busiest()[:5] {
		w.Fail(true)
	}
	awaitEjections(t, r, 3)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s, _, err := r.State(); err == nil && len(s.Outliers.Ejections) > 3 {
			t.Fatalf("%d of 6 workers are condemned", len(s.Outliers.Ejections))
		}
	}
	// Nobody hears anything. Those condemned are good again, and all others fail: once what was
	// said is too old, a lease later, only what each has seen itself counts, and jobs end well there.
	all, _, err := r.State()
	check(t, err)
	for _, d := range r.Dispatchers {
		r.Cut(d.Name, true)
	}
	for _, w := range r.Workers {
		w.Fail(!slices.ContainsFunc(all.Outliers.Ejections, func(s *outlier.Ejection) bool { return s.Subject.Worker == w.ID }))
	}
	for _, d := range r.Dispatchers {
		check(t, Until(d.Name+" serves by those condemned, while the keepers are out of reach", func() bool { return r.AskOf(d, "package-file") == 200 }))
	}
	for _, w := range r.Workers {
		w.Fail(false)
	}
	for _, d := range r.Dispatchers {
		r.Cut(d.Name, false)
	}
}

func ignoreFalseReports(t T, r *Rig) {
	defer loadUnderPolicy(t, r, outlierPolicy)()
	ctx, end := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer func() { end(); wg.Wait() }()
	l, err := r.Front(r.Coordinators[0].Name)
	check(t, err)
	reportCount := 0
	liar := transport.NewLeaseSession(transport.NewClient(fleet, []string{l.Addr()}), policylease.New("liar", 1, "", statemachine.KeepLastPolicy), time.Now(),
		transport.Hooks{CheckPolicy: func(statemachine.Policy) error { return nil }, ApplyPolicy: func(statemachine.Policy) error { return nil }, Log: func(string) {},
			QuotaExhausted: func() bool { return true }, ReportsUndelivered: func([]outlier.Report) {},
			AddReports: func(hold *statemachine.LeaseRequest) {
				reportCount++
				hold.WorkerCount = 1 << 40
				for _, w := range r.Workers {
					for _, started := range []int64{0, 1 << 60, -1} {
						hold.OutlierReports = append(hold.OutlierReports, outlier.Report{Subject: outlier.Incarnation{Worker: w.ID, Started: started}, Sequence: 1<<60 + uint64(reportCount), Failures: 1 << 60, Successes: -1 << 60, Age: -time.Hour})
					}
				}
			}})
	wg.Go(func() { liar.Run(ctx) })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s, _, err := r.State()
		check(t, err)
		if len(s.Outliers.Ejections) > 0 {
			t.Fatalf("by one liar's word: %+v", s.Outliers.Ejections[0])
		}
	}
	s, _, err := r.State()
	check(t, err)
	suspected := 0
	for _, e := range s.Outliers.Records {
		if e.Observations.SuspectedSince > 0 {
			suspected++
		}
	}
	if suspected < len(r.Workers) {
		t.Errorf("%d accused: the liar was not heard", suspected)
	}
	// It counts as one: a worker that is really bad is condemned beside it.
	bad := r.busiest()[0]
	bad.Fail(true)
	if got := awaitEjections(t, r, 1)[0]; got.Subject.Worker != bad.ID {
		t.Errorf("condemned: %+v", got)
	}
}
