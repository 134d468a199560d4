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

func TestStartsRightBehindAnAnswer(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.tick(time.Second)
	b.place(taskA, 1, true)
	if len(b.starts) != 0 {
		t.Fatal("started though the worker has not answered for a second")
	}
	b.answerHold(PollAnswer{})
	if start := b.answerStart(Accepted); start.LeaseUntilMs != b.clockMs()+holdMs {
		t.Errorf("holds until %d", start.LeaseUntilMs)
	}
	b.wantReports()
	b.golden()
}

// TestUnansweredStartIsSettled: the list under a higher token shows that the order never arrived.
func TestUnansweredStartIsSettled(t *testing.T) {
	b := afterOrder(t)
	first := b.answerStart(Unanswered)
	b.tick(500 * time.Millisecond)
	for range 3 {
		if len(b.starts) == 0 {
			b.answerHold(PollAnswer{})
		}
	}
	second := b.nextStart()
	if second.FencingToken <= first.FencingToken || second.Run != first.Run {
		t.Errorf("ordered again as run %d under %d after %d", second.Run, second.FencingToken, first.FencingToken)
	}
	b.wantReports()
	b.golden()
}

// TestUnansweredStartThatArrived: the same, but the list shows the run.
func TestUnansweredStartThatArrived(t *testing.T) {
	b := afterAnswer(t, Unanswered)
	for range 4 {
		b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1}}})
	}
	if len(b.starts) != 0 {
		t.Error("started again")
	}
	b.wantReports()
}

// TestLookUnderWayProvesNothing keeps a fault of the first sitting: a look that was sent before the run was
// known, and answered behind one that showed it, made the run count as lost.
func TestLookUnderWayProvesNothing(t *testing.T) {
	b := afterOrder(t) // started, and not answered yet
	b.tick(time.Second)
	if len(b.holds) < 1 {
		t.Fatal("no look is under way")
	}
	b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: taskB, Run: 1, Undispatched: true})
	b.take() // wants a short look beside the long one
	if len(b.holds) < 2 {
		t.Fatalf("%d looks are under way", len(b.holds))
	}
	b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1}}})
	b.answerHold(PollAnswer{}) // seen by the worker before the start came
	b.wantReports()
}

func TestEndsAreNotedOnlyOnceTheyAreDurable(t *testing.T) {
	b := afterAnswer(t, Accepted)
	for range 3 {
		b.answerHold(PollAnswer{Ended: []EndedRun{{Number: 4, Task: taskA, Run: 1, Reason: taskrun.Done}}})
		b.tick(600 * time.Millisecond)
		for _, hold := range b.holds {
			if hold.AcknowledgedEnd >= 4 {
				t.Fatal("noted before the control machines have it")
			}
		}
	}
	b.wantReports("aa done")
	b.agent.AcknowledgeEnd(b.now, 4)
	b.take()
	b.place(taskB, 1, true)
	b.tick(600 * time.Millisecond)
	seen := uint64(0)
	for range len(b.holds) {
		seen = max(seen, b.nextHold().AcknowledgedEnd)
	}
	if seen != 4 {
		t.Errorf("noted up to %d", seen)
	}
}

// TestTakeoverSettlesBeforeItStarts: what a former owner may have ordered is looked for first.
func TestTakeoverSettlesBeforeItStarts(t *testing.T) {
	b := newBench(t)
	b.place(taskA, 3, false)
	b.place(taskB, 1, false)
	if len(b.starts) != 0 {
		t.Fatal("started before the first list")
	}
	b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 3}}})
	if start := b.nextStart(); start.Task != taskB || len(b.starts) != 0 {
		t.Errorf("started %v", start)
	}
	b.golden()
}

// silence lets all calls go without an answer for so long.
func (b *bench) silence(span time.Duration) {
	b.t.Helper()
	for end := b.now + span; b.now < end; {
		for count := len(b.holds); count > 0; count-- {
			b.loseHold()
		}
		b.tick(250 * time.Millisecond)
	}
}

func TestSilentWorkerIsGivenUpWhenTheHoldIsOverForCertain(t *testing.T) {
	b := afterAnswer(t, Accepted)
	b.silence(5900 * time.Millisecond) // a former owner may have given 6 s
	b.wantReports()
	b.silence(700 * time.Millisecond)
	b.wantReports("aa lost")
}

// TestLateOrderLengthensTheHold: an unanswered start may be carried out 12 s later, and its time count from then.
func TestLateOrderLengthensTheHold(t *testing.T) {
	b := afterAnswer(t, Accepted)
	b.place(taskB, 1, true)
	b.answerStart(Unanswered)
	b.silence(15 * time.Second)
	b.wantReports()
	b.silence(2 * time.Second)
	b.wantReports("aa lost", "bb lost")
}

func TestStoppedBeforeItRan(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.tick(time.Second)
	b.place(taskA, 1, true)
	b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, Stopping: true})
	b.take()
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("started all the same")
	}
}

// TestRefusedConnectionsMakeNoLoop: a call that fails at once is not made again at once.
func TestRefusedConnectionsMakeNoLoop(t *testing.T) {
	b := afterAnswer(t, Accepted)
	calls := 0
	for end := b.now + time.Second; b.now < end; b.tick(20 * time.Millisecond) {
		for count := len(b.holds); count > 0; count-- {
			calls++
			b.agent.HandlePollOutcome(b.now, b.nextHold(), Unreachable, PollAnswer{})
			b.take()
		}
	}
	if calls > 20 {
		t.Errorf("%d calls in a second", calls)
	}
}

func TestRunThatIsNotWantedIsStopped(t *testing.T) {
	b := newBench(t)
	b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 2}}})
	if len(b.stops) != 1 || b.stops[0].Run != 2 {
		t.Errorf("stops %v", b.stops)
	}
}

func TestRejections(t *testing.T) {
	for answer, want := range map[Outcome]string{NoCapacity: "aa not-started", Unhealthy: "aa not-started", Unreachable: "aa not-started"} {
		b := afterAnswer(t, answer)
		b.wantReports(want)
	}
}

func TestOutdatedRunIsGivenBack(t *testing.T) {
	b := afterAnswer(t, OutdatedRun)
	b.tick(time.Second)
	for range 3 {
		if len(b.reports) == 0 {
			b.answerHold(PollAnswer{})
		}
	}
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("ordered again, though it is outdated there")
	}
}

func TestStuckRunIsStopped(t *testing.T) {
	b := afterAnswer(t, Accepted)
	for range 8 {
		b.tick(600 * time.Millisecond)
		for count := len(b.holds); count > 0; count-- {
			b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1, Percent: 40}}})
		}
	}
	if len(b.stops) == 0 {
		t.Error("a run whose progress stands still goes on")
	}
}

// An owner whose orders a higher token rejects again and again pauses, and goes on where it still is the owner.
func TestFencedOrdersPauseAndGoOn(t *testing.T) {
	b := afterOrder(t)
	answerUntilStart := func() {
		for range 4 {
			if len(b.starts) == 0 {
				b.answerHold(PollAnswer{})
			}
		}
	}
	for range fencesBeforePause + 1 {
		answerUntilStart()
		b.answerStart(Fenced)
	}
	for len(b.holds) > 0 {
		b.answerHold(PollAnswer{})
	}
	b.tick(retryPause / 2)
	if len(b.holds)+len(b.starts) != 0 {
		t.Error("orders during the pause")
	}
	b.tick(retryPause)
	answerUntilStart()
	b.answerStart(Accepted)
	b.wantReports()
}

// A worker that leaves: what can't end in time begins anew elsewhere at once, what is saved stays until just
// before the end, and what ends in time is left alone.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	b := newBench(t)
	b.contact()
	const short, long, saved = "00000000000000aa.0.0.0", "00000000000000bb.0.0.0", "00000000000000cc.0.0.0"
	place := func(task string, estimateMs int64, saves bool) {
		b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: task, Run: 1, Undispatched: true, EstimateMs: estimateMs, RecordCheckpoints: saves})
		b.take()
		for range 3 {
			if len(b.starts) == 0 {
				b.answerHold(PollAnswer{})
			}
		}
		b.answerStart(Accepted)
	}
	place(short, 2000, false)
	place(long, 9000, false)
	place(saved, 9000, true)
	stopped := func() string {
		names := []string{}
		for _, stop := range b.stops {
			names = append(names, stop.Task[14:16])
		}
		return strings.Join(names, " ")
	}
	b.agent.Drain(b.now, 4*time.Second)
	b.take()
	if got := stopped(); got != "bb" {
		t.Fatalf("stopped at once: %q", got)
	}
	b.stops = nil
	b.tick(2 * time.Second)
	if got := stopped(); strings.Contains(got, "aa") || strings.Contains(got, "cc") {
		t.Errorf("stopped with time left: %q", got)
	}
	b.stops = nil
	b.tick(600 * time.Millisecond)
	if got := stopped(); !strings.Contains(got, "cc") || strings.Contains(got, "aa") {
		t.Errorf("stopped just before the end: %q", got)
	}
}
