package dispatcher

import (
	"testing"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestDrainIsKeptWhenOlderUpdatesFollow: the notice that a worker drains may arrive before states and placements of the
// worker that were committed earlier. After such an update the dispatcher must not dispatch runs to the worker again. The
// emulator's checker reports a run that starts there too late as the violation DRAIN.
func TestDrainIsKeptWhenOlderUpdatesFollow(t *testing.T) {
	d := newDispatcherWithoutLoop()
	d.uplink.session = 7
	ready := statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Address: "w1:1",
		Capacity: job.Resources{CPU: 8000, MemoryMB: 8000}}, Owner: 7, Token: 5}
	receive := func(update statemachine.Update) { d.receiveUpdate(time.Second, &update, nil) }
	worker := func(token uint64) statemachine.Update {
		state := ready
		state.Token = token
		return statemachine.Update{Worker: &state}
	}
	receive(statemachine.Update{WorkerDraining: "w1"}) // ignored: the worker is not known yet, and its state follows
	receive(worker(5))
	receive(statemachine.Update{WorkerDraining: "w1"})
	receive(worker(6)) // committed before the drain
	receive(statemachine.Update{Placement: &taskrun.Placement{Worker: "w1", Task: "00000000000000aa.0.0.0", Run: 1,
		Undispatched: true}})
	if !d.workers["w1"].Draining {
		t.Error("the worker is no longer draining after an older state")
	}
	reports := d.ownedWorkers["w1"].owner.TakeActions().Reports
	if len(reports) != 1 || reports[0].Ended.Reason != taskrun.NotStarted {
		t.Errorf("the reports are %v, want the run as not started", reports)
	}
	if ready.Draining {
		t.Error("the worker state in the update was modified, although other code may hold it")
	}
}
