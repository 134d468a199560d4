package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/scheduling/dispatch"
)

// An ejection holds for one incarnation of a worker, a trial is one job whose outcome is reported with its number, and what
// the fleet's limits do not admit is rejected at once with a Retry-After.
func TestEjectionsAndFleetLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(t)
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		limiter, reporter := quota.NewLimiter(), outlier.NewReporter(10*time.Second, 1)
		b.SetLimiter(limiter, now)
		b.SetOutlierReporter(reporter)
		started := time.UnixMilli(time.Now().Add(-time.Hour).UnixMilli())
		b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "a", Addr: "a:1", State: dispatch.Ready, Weight: 1, StartedAt: started}, {ID: "b", Addr: "b:1", State: dispatch.Ready, Weight: 1}})
		incarnation := outlier.Incarnation{Worker: "a", Started: started.UnixMilli()}
		serve := func() (to string, a Answer) {
			a = b.Serve(t.Context(), Request{Class: 1, Deadline: time.Now().Add(5 * time.Second), Slots: 1}, func(_ context.Context, at *Attempt) Outcome {
				to = at.Worker
				return Outcome{Code: OK}
			})
			return to, a
		}
		b.ApplyEjections([]outlier.EjectionNotice{{Subject: incarnation, Zone: outlier.AllZones}}, false)
		for range 20 {
			if to, _ := serve(); to != "b" {
				t.Fatalf("a job goes to %q", to)
			}
		}
		b.ApplyEjections([]outlier.EjectionNotice{{Subject: incarnation, Zone: outlier.AllZones, Trial: 7}}, false)
		if to, _ := serve(); to != "a" {
			t.Errorf("the trial's job goes to %q", to)
		}
		b.ApplyEjections([]outlier.EjectionNotice{{Subject: incarnation, Zone: outlier.AllZones, Trial: 7}}, false) // repeated
		b.ApplyEjections([]outlier.EjectionNotice{{Subject: incarnation, Zone: outlier.AllZones}}, true)
		if to, _ := serve(); to != "b" {
			t.Errorf("a second job of one trial goes to %q", to)
		}
		if all := reporter.Reports(now()); len(all) != 1 || all[0].Trial != 7 || all[0].Subject != incarnation || all[0].Failures != 0 || all[0].Successes == 0 {
			t.Errorf("the trial's outcome is reported as %+v", all)
		}
		b.ApplyEjections([]outlier.EjectionNotice{{Subject: outlier.Incarnation{Worker: "b", Started: 5}, Zone: outlier.AllZones}, {Subject: incarnation, Zone: outlier.AllZones}}, false)
		if to, _ := serve(); to != "b" {
			t.Errorf("%q is used: an ejection of another incarnation of b is in force", to)
		}
		limiter.SetLimits(now(), []quota.Limit{{Name: "l", Kind: quota.Concurrency, Amount: 5 * quota.Unit, MaxHolders: 1}})
		limiter.SetShares(now(), now()+time.Hour, []quota.Share{{Limit: "l", Amount: 0}})
		if _, a := serve(); a.Kind != AnswerRejected || !a.OverBudget || a.RetryAfter <= 0 {
			t.Errorf("over a limit: %+v", a)
		}
		limiter.SetShares(now(), now()+time.Hour, []quota.Share{{Limit: "l", Amount: quota.Unit}})
		for range 5 { // each releases its share
			if to, a := serve(); to == "" || a.Kind != AnswerServed {
				t.Errorf("within it: %+v", a)
			}
		}
		b.Close()
		time.Sleep(time.Second) // its goroutine may be between two rounds
	})
}

// An attempt that waits for its connection, or whose process stands still, is not sent under a share of the limit at each
// worker whose lease has expired meanwhile.
func TestAttemptMayNotBeSentAfterShareExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(t)
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		limiter := quota.NewLimiter()
		b.SetLimiter(limiter, now)
		limiter.SetLimits(now(), []quota.Limit{{Name: "each", Kind: quota.PerWorkerConcurrency, Amount: 14 * quota.Unit, MaxHolders: 7, ReclaimDelay: time.Second}})
		limiter.SetShares(now(), now()+2*time.Second, []quota.Share{{Limit: "each", Amount: 3 * quota.Unit}})
		b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "a", Addr: "a:1", State: dispatch.Ready, Weight: 1}})
		attempts := 0
		b.Serve(t.Context(), Request{Class: 1, Deadline: time.Now().Add(10 * time.Second), Slots: 1}, func(_ context.Context, at *Attempt) Outcome {
			attempts++
			if !at.MaySend() {
				t.Error("it may not be sent while the lease holds")
			}
			time.Sleep(5 * time.Second) // the lease has expired, and its share may be another process's
			if at.MaySend() {
				t.Error("it may be sent when the lease has expired")
			}
			return Outcome{Code: NotSent}
		})
		if attempts != 1 {
			t.Errorf("%d attempts", attempts)
		}
		b.Close()
		time.Sleep(time.Second) // its goroutine may be between two rounds
	})
}
