package worker

import (
	"strings"
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

const (
	taskA = "00000000000000aa.0.0.0"
	taskB = "00000000000000bb.0.0.0"
)

func TestStartIsSentRightBehindAnAnswer(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.tick(time.Second)
	h.place(taskA, 1, true)
	if len(h.starts) != 0 {
		t.Fatal("start sent although the worker has not answered for 1 s")
	}
	h.answerPoll(PollAnswer{})
	if start := h.answerStart(Accepted); start.LeaseUntilMs != h.clockMs()+leaseMs {
		t.Errorf("start grants a lease until %d, want leaseMs from now", start.LeaseUntilMs)
	}
	h.wantReports()
	h.golden()
}

// TestUnansweredStartIsReconciled checks that an unanswered start is repeated under a higher token, once a list under a
// higher token shows that the command never arrived.
func TestUnansweredStartIsReconciled(t *testing.T) {
	h := afterStartCommand(t)
	first := h.answerStart(Unanswered)
	h.tick(500 * time.Millisecond)
	for range 3 {
		if len(h.starts) == 0 {
			h.answerPoll(PollAnswer{})
		}
	}
	second := h.nextStart()
	if second.FencingToken <= first.FencingToken || second.Run != first.Run {
		t.Errorf("start repeated as run %d with token %d after token %d, want the same run with a higher token",
			second.Run, second.FencingToken, first.FencingToken)
	}
	h.wantReports()
	h.golden()
}

// TestUnansweredStartThatArrivedIsNotRepeated checks that an unanswered start is not repeated if the worker lists the run.
func TestUnansweredStartThatArrivedIsNotRepeated(t *testing.T) {
	h := afterStartOutcome(t, Unanswered)
	for range 4 {
		h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1}}})
	}
	if len(h.starts) != 0 {
		t.Error("start sent again although the run is listed")
	}
	h.wantReports()
}

// TestPollSentBeforeTheStartProvesNoLoss is a regression test: a poll that was sent before the run was known to be running,
// and whose answer arrived after an answer that listed the run, made the run count as lost.
func TestPollSentBeforeTheStartProvesNoLoss(t *testing.T) {
	h := afterStartCommand(t) // the start command is not answered yet
	h.tick(time.Second)
	if len(h.polls) < 1 {
		t.Fatal("no poll is in flight")
	}
	h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: taskB, Run: 1, Undispatched: true})
	h.takeActions() // requests a short poll in addition to the long one
	if len(h.polls) < 2 {
		t.Fatalf("%d polls in flight, want 2", len(h.polls))
	}
	h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1}}})
	h.answerPoll(PollAnswer{}) // written by the worker before it received the start command
	h.wantReports()
}

func TestEndsAreAcknowledgedOnlyOnceCommitted(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	for range 3 {
		h.answerPoll(PollAnswer{Ended: []EndedRun{{Number: 4, Task: taskA, Run: 1, Reason: taskrun.Done}}})
		h.tick(600 * time.Millisecond)
		for _, poll := range h.polls {
			if poll.AcknowledgedEnd >= 4 {
				t.Fatal("end acknowledged before the control machines have committed it")
			}
		}
	}
	h.wantReports("aa done")
	h.owner.AcknowledgeEnd(h.now, 4)
	h.takeActions()
	h.place(taskB, 1, true)
	h.tick(600 * time.Millisecond)
	acknowledged := uint64(0)
	for range len(h.polls) {
		acknowledged = max(acknowledged, h.nextPoll().AcknowledgedEnd)
	}
	if acknowledged != 4 {
		t.Errorf("ends acknowledged up to %d, want 4", acknowledged)
	}
}

// TestTakeoverReconcilesBeforeItStarts checks that a new owner waits for the worker's list before it starts runs that a
// previous owner may have dispatched.
func TestTakeoverReconcilesBeforeItStarts(t *testing.T) {
	h := newHarness(t)
	h.place(taskA, 3, false)
	h.place(taskB, 1, false)
	if len(h.starts) != 0 {
		t.Fatal("start sent before the first list")
	}
	h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 3}}})
	if start := h.nextStart(); start.Task != taskB || len(h.starts) != 0 {
		t.Errorf("first start %v, want a single start, of task b", start)
	}
	h.golden()
}

// silence leaves all polls unanswered for the given time.
func (h *harness) silence(span time.Duration) {
	h.t.Helper()
	for end := h.now + span; h.now < end; {
		for count := len(h.polls); count > 0; count-- {
			h.losePoll()
		}
		h.tick(250 * time.Millisecond)
	}
}

func TestRunsAtSilentWorkerAreLostOnceTheLeaseHasExpired(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.silence(5900 * time.Millisecond) // a previous owner may have granted 6 s
	h.wantReports()
	h.silence(700 * time.Millisecond)
	h.wantReports("aa lost")
}

// TestUnansweredStartExtendsTheLease checks that an unanswered start delays the loss of runs: it may be carried out 12 s
// later, and its lease counts from then on.
func TestUnansweredStartExtendsTheLease(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.place(taskB, 1, true)
	h.answerStart(Unanswered)
	h.silence(15 * time.Second)
	h.wantReports()
	h.silence(2 * time.Second)
	h.wantReports("aa lost", "bb lost")
}

func TestPendingRunThatIsStoppedIsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.tick(time.Second)
	h.place(taskA, 1, true)
	h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, Stopping: true})
	h.takeActions()
	h.wantReports("aa not-started")
	if len(h.starts) != 0 {
		t.Error("start sent for a run that must stop")
	}
}

// TestRefusedConnectionsAreNotRetriedAtOnce checks that a call that fails immediately is retried only after a delay.
func TestRefusedConnectionsAreNotRetriedAtOnce(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	calls := 0
	for end := h.now + time.Second; h.now < end; h.tick(20 * time.Millisecond) {
		for count := len(h.polls); count > 0; count-- {
			calls++
			h.owner.HandlePollOutcome(h.now, h.nextPoll(), Unreachable, PollAnswer{})
			h.takeActions()
		}
	}
	if calls > 20 {
		t.Errorf("%d calls in 1 s, want at most 20", calls)
	}
}

func TestRunWithoutPlacementIsStopped(t *testing.T) {
	h := newHarness(t)
	h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 2}}})
	if len(h.stops) != 1 || h.stops[0].Run != 2 {
		t.Errorf("stops %v, want one, of run 2", h.stops)
	}
}

func TestRejectedStartIsReportedAsNotStarted(t *testing.T) {
	for outcome, want := range map[Outcome]string{NoCapacity: "aa not-started", Unhealthy: "aa not-started",
		Unreachable: "aa not-started"} {
		h := afterStartOutcome(t, outcome)
		h.wantReports(want)
	}
}

func TestOutdatedRunIsReportedAsNotStarted(t *testing.T) {
	h := afterStartOutcome(t, OutdatedRun)
	h.tick(time.Second)
	for range 3 {
		if len(h.reports) == 0 {
			h.answerPoll(PollAnswer{})
		}
	}
	h.wantReports("aa not-started")
	if len(h.starts) != 0 {
		t.Error("start of an outdated run sent again")
	}
}

func TestStuckRunIsStopped(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	for range 8 {
		h.tick(600 * time.Millisecond)
		for count := len(h.polls); count > 0; count-- {
			h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1, Percent: 40}}})
		}
	}
	if len(h.stops) == 0 {
		t.Error("run without progress is not stopped")
	}
}

// TestFencedCommandsPauseAndResume checks that an owner whose commands are fenced repeatedly pauses, and resumes after the
// pause if it still is the owner.
func TestFencedCommandsPauseAndResume(t *testing.T) {
	h := afterStartCommand(t)
	answerUntilStart := func() {
		for range 4 {
			if len(h.starts) == 0 {
				h.answerPoll(PollAnswer{})
			}
		}
	}
	for range maxTimesFenced + 1 {
		answerUntilStart()
		h.answerStart(Fenced)
	}
	for len(h.polls) > 0 {
		h.answerPoll(PollAnswer{})
	}
	h.tick(retryPause / 2)
	if len(h.polls)+len(h.starts) != 0 {
		t.Error("commands sent during the pause")
	}
	h.tick(retryPause)
	answerUntilStart()
	h.answerStart(Accepted)
	h.wantReports()
}

// TestDrainStopsRunsThatCannotEndInTime checks that a run that cannot end in time is stopped at once, that a run with
// checkpoints is stopped just before the worker leaves, and that a run that ends in time is not stopped.
func TestDrainStopsRunsThatCannotEndInTime(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	const short, long, checkpointed = "00000000000000aa.0.0.0", "00000000000000bb.0.0.0", "00000000000000cc.0.0.0"
	place := func(task string, estimateMs int64, checkpoints bool) {
		h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: task, Run: 1, Undispatched: true,
			EstimateMs: estimateMs, RecordCheckpoints: checkpoints})
		h.takeActions()
		for range 3 {
			if len(h.starts) == 0 {
				h.answerPoll(PollAnswer{})
			}
		}
		h.answerStart(Accepted)
	}
	place(short, 2000, false)
	place(long, 9000, false)
	place(checkpointed, 9000, true)
	stopped := func() string {
		names := []string{}
		for _, stop := range h.stops {
			names = append(names, stop.Task[14:16])
		}
		return strings.Join(names, " ")
	}
	h.owner.Drain(h.now, 4*time.Second)
	h.takeActions()
	if got := stopped(); got != "bb" {
		t.Fatalf("stopped at once: %q, want \"bb\"", got)
	}
	h.stops = nil
	h.tick(2 * time.Second)
	if got := stopped(); strings.Contains(got, "aa") || strings.Contains(got, "cc") {
		t.Errorf("stopped with 2 s left: %q, want neither \"aa\" nor \"cc\"", got)
	}
	h.stops = nil
	h.tick(600 * time.Millisecond)
	if got := stopped(); !strings.Contains(got, "cc") || strings.Contains(got, "aa") {
		t.Errorf("stopped just before departure: %q, want \"cc\" but not \"aa\"", got)
	}
}
