package dispatcher

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/taskrun"
	"yardflow/scheduling/worker"
)

// TestCallsAreAnsweredBeforeTheStop: a call that waits for its outcome is told that there is none yet, before the
// process ends.
func TestCallsAreAnsweredBeforeTheStop(t *testing.T) {
	d := idle()
	close(d.hurried)
	call := httptest.NewRequest("DELETE", "/queue/00000000000000aa", nil)
	_, how := d.ask(call, time.Hour, func() *statemachine.Command { return cancel("00000000000000aa") })
	if how != unknown {
		t.Errorf("outcome %v of a call under way", how)
	}
}

func TestTimeForCallsBehindSIGTERM(t *testing.T) {
	for _, c := range []struct {
		graceS float64
		want   time.Duration
	}{
		{0, 3 * time.Second}, // not told: 6 s
		{6, 3 * time.Second},
		{10, 7 * time.Second},
		{2, leastDrain},
	} {
		d := New(&settings.Settings{Bounds: settings.Bounds{GraceS: c.graceS}}, deaf{}, zerolog.Nop())
		if within := d.drainWithin(); within != c.want {
			t.Errorf("GraceS %v: %v, want %v", c.graceS, within, c.want)
		}
	}
}

// TestEndsAreNotedOnceTheyAreTakenIn keeps that a worker forgets an end only when the control machines have it.
func TestEndsAreNotedOnceTheyAreTakenIn(t *testing.T) {
	for _, code := range []statemachine.Code{statemachine.OK, statemachine.Conflict, statemachine.Invalid} {
		d := idle()
		w := newOwnedWorker(d, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Address: "w1:1"}, Token: 5})
		ended := taskrun.Ended{Worker: "w1", Job: "00000000000000aa", Run: 1, Reason: taskrun.Failed}
		w.agent.HandlePollOutcome(0, worker.Poll{}, worker.Accepted, worker.PollAnswer{Ended: []worker.EndedRun{{Number: 1,
			Task: "00000000000000aa.0.0.0", Run: 1, Reason: taskrun.Failed}}})
		w.agent.TakeActions()
		w.report(worker.EndReport{Number: 1, Ended: ended})
		d.uplink.receiveOutcome(protocol.Outcome{Tag: d.uplink.nextTag, Result: statemachine.Result{Code: code}})
		w.agent.SetPlacement(time.Second, taskrun.Placement{Worker: "w1", Task: "00000000000000bb.0.0.0", Run: 1})
		holds := w.agent.TakeActions().Polls
		if len(holds) == 0 {
			t.Fatal("no look at the worker")
		}
		if noted := holds[0].AcknowledgedEnd == 1; noted != (code == statemachine.OK) {
			t.Errorf("outcome %d: the worker is told that %d ends are noted", code, holds[0].AcknowledgedEnd)
		}
	}
}
