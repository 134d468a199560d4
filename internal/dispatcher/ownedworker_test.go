package dispatcher

import (
	"testing"
	"time"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/taskrun"
	"yardflow/scheduling/worker"
)

// TestRunEndsAreAcknowledgedOnceCommitted checks that the end of a run is acknowledged to the worker, which then forgets it,
// only after the control machines have committed it.
func TestRunEndsAreAcknowledgedOnceCommitted(t *testing.T) {
	for _, code := range []statemachine.Code{statemachine.OK, statemachine.Conflict, statemachine.Invalid} {
		d := newDispatcherWithoutLoop()
		w := newOwnedWorker(d, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Address: "w1:1"}, Token: 5})
		ended := taskrun.Ended{Worker: "w1", Job: "00000000000000aa", Run: 1, Reason: taskrun.Failed}
		w.owner.HandlePollOutcome(0, worker.Poll{}, worker.Accepted, worker.PollAnswer{Ended: []worker.EndedRun{{Number: 1,
			Task: "00000000000000aa.0.0.0", Run: 1, Reason: taskrun.Failed}}})
		w.owner.TakeActions()
		w.reportEnd(worker.EndReport{Number: 1, Ended: ended})
		d.uplink.receiveOutcome(protocol.Outcome{Tag: d.uplink.commands.lastTag, Result: statemachine.Result{Code: code}})
		w.owner.SetPlacement(time.Second, taskrun.Placement{Worker: "w1", Task: "00000000000000bb.0.0.0", Run: 1})
		polls := w.owner.TakeActions().Polls
		if len(polls) == 0 {
			t.Fatal("the worker is not polled")
		}
		if acknowledged := polls[0].AcknowledgedEnd == 1; acknowledged != (code == statemachine.OK) {
			t.Errorf("outcome %d: the poll has AcknowledgedEnd %d", code, polls[0].AcknowledgedEnd)
		}
	}
}
