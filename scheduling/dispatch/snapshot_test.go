package dispatch

import (
	"math"
	"testing"
	"time"

	"yardflow/internal/fleet/coldstart/speeds"
)

// A dispatcher that takes over has the estimates of the former one, except for a worker that has restarted in
// between, and none of its requests.
func TestSnapshotRestoresEstimatesButNotRequests(t *testing.T) {
	s, list := testSettings(), []Worker{{ID: 1, Launched: time.Second}, {ID: 2, Kind: 1}}
	old, out := newDispatcher(s, 1), &recorder{}
	old.UpdateWorkers(time.Hour, ListFull, list, out)
	old.Arrive(time.Hour, Request{ID: 1, TimeLeft: time.Minute}, out)
	for _, w := range old.fleet.workers {
		w.speed.logSlowness, w.errorShare, w.threshold.theta, w.limit.slots, w.speed.evidence = 0.5, 0.25, 3, 2, 9
	}
	old.fleet.kindOf(old.fleet.workers[2]).slots.seen = 3
	old.speeds.classOf(&s.Classes[0]).logWork = -1
	next := newDispatcher(s, 2)
	next.Restore([]byte("no memory"))
	next.Restore(old.Snapshot())
	list[0].Launched = 2 * time.Second
	next.UpdateWorkers(time.Hour, ListCached, list, out)
	if restarted, other := next.fleet.workers[1], next.fleet.workers[2]; restarted.speed.logSlowness != 0 || restarted.errorShare != 0 || other.speed.logSlowness != 0.5 || other.errorShare < 0.2 || other.limit.slots != 2 || other.speed.evidence != 9 {
		t.Errorf("restarted worker %+v, other worker %+v", restarted, other)
	}
	if slots := next.fleet.kindOf(next.fleet.workers[2]).slots.seen; slots != 3 || next.speeds.classes["safe"].logWork != -1 || len(next.requests)+len(next.attempts) != 0 {
		t.Errorf("%v slots, want 3; class %+v, want logWork -1; %d requests, want none", slots, next.speeds.classes["safe"], len(next.requests))
	}
}

// A snapshot of speeds may be restored after the first list. It supplies missing speeds and changes nothing
// else: start delays, estimates with more evidence, and the numbering of kinds stay.
func TestSpeedsAreRestoredAfterTheFirstList(t *testing.T) {
	old, out := mustNew(t, testSettings(), 1), &recorder{}
	old.UpdateWorkers(ms, ListFull, []Worker{{ID: 1, State: Ready, Weight: 1, Kind: 1}}, out)
	for i := range 30 {
		now := time.Duration(i+1) * time.Second
		old.Arrive(now, Request{ID: RequestID(i + 1), TimeLeft: 5 * time.Second}, out)
		old.Notify(now+ms, Notification{ID: RequestID(i + 1), Worker: 1, Kind: NotificationStarted}, out)
		old.AttemptEnded(now+601*ms, Outcome{ID: RequestID(i + 1), Worker: 1, Code: OK, Answered: true}, out)
	}
	known := speeds.Decode(old.Snapshot())
	if known == nil {
		t.Fatal("no speeds in the snapshot of a dispatcher that has completed jobs")
	}
	d := mustNew(t, testSettings(), 2).(*dispatcher)
	d.UpdateWorkers(ms, ListFull, []Worker{{ID: 1, State: Ready, Weight: 1, Kind: 1}}, out)
	kinds, delay := len(d.fleet.kinds), d.speeds.startDelay
	d.Restore(known.Encode())
	source := old.(*dispatcher)
	if len(d.fleet.kinds) != kinds || d.speeds.startDelay != delay || d.speeds.logMeanRun != source.speeds.logMeanRun || d.fleet.kinds[1].evidence != source.fleet.kinds[1].evidence || d.speeds.classes["safe"].logWork != source.speeds.classes["safe"].logWork {
		t.Errorf("%d kinds, want %d; start delays %v, want %v; log mean run %v, want %v", len(d.fleet.kinds), kinds, d.speeds.startDelay, delay, d.speeds.logMeanRun, source.speeds.logMeanRun)
	}
}

// Restoring the same snapshot several times gives bit-identical values.
func TestRestoreIsDeterministic(t *testing.T) {
	s, out := testSettings(), &recorder{}
	var list []Worker
	for id := range 40 {
		list = append(list, Worker{ID: WorkerID(id + 1)})
	}
	old := newDispatcher(s, 1)
	old.UpdateWorkers(time.Hour, ListFull, list, out)
	for id, w := range old.fleet.workers {
		w.threshold.omega = 0.1 + math.Pow(3, float64(id%17))*1e-9
	}
	data, sums := old.Snapshot(), map[float64]bool{}
	for range 50 {
		next := newDispatcher(s, 2)
		next.Restore(data)
		sums[next.learner.squaredLength] = true
	}
	if len(sums) != 1 {
		t.Errorf("%d different sums restored from one snapshot: %v", len(sums), sums)
	}
}
