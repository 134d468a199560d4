package dispatcher

import (
	"testing"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestDrainThatOvertakesOtherUpdatesIsNotForgotten guards against DRAIN: the drain comes before placements and states of the
// worker that were committed earlier; none of them may make it a worker to dispatch to.
func TestDrainThatOvertakesOtherUpdatesIsNotForgotten(t *testing.T) {
	d := newStopped()
	d.uplink.session = 7
	ready := statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Address: "w1:1",
		Capacity: job.Resources{CPU: 8000, MemoryMB: 8000}}, Owner: 7, Token: 5}
	receive := func(update statemachine.Update) { d.receiveUpdate(time.Second, &update, nil) }
	worker := func(token uint64) statemachine.Update {
		state := ready
		state.Token = token
		return statemachine.Update{Worker: &state}
	}
	receive(statemachine.Update{WorkerDraining: "w1"}) // not known yet: its state follows and says so
	receive(worker(5))
	receive(statemachine.Update{WorkerDraining: "w1"})
	receive(worker(6)) // committed before the drain
	receive(statemachine.Update{Placement: &taskrun.Placement{Worker: "w1", Task: "00000000000000aa.0.0.0", Run: 1, Undispatched: true}})
	if !d.workers["w1"].Draining {
		t.Error("the drain is forgotten")
	}
	reports := d.ownedWorkers["w1"].owner.TakeActions().Reports
	if len(reports) != 1 || reports[0].Ended.Reason != taskrun.NotStarted {
		t.Errorf("reported %v, want the run as not started", reports)
	}
	if ready.Draining {
		t.Error("an update was changed that others may hold")
	}
}
