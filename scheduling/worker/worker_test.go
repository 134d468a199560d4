package worker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"linnetlift/internal/control/cluster"
)

const (
	taskA = "00000000000000aa.0.0.0"
	taskB = "00000000000000bb.0.0.0"
)

// bench plays one agent against a worker, with a timeline of a column each.
type bench struct {
	t       *testing.T
	agent   *Agent
	now     time.Duration
	clock   int64 // the worker's clock runs with the test's
	reports []Report
	starts  []Start
	stops   []Stop
	holds   []Hold
	overs   int // how often the worker's life was told to be over
	lines   []string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, agent: New(0, "w1", 5, 6000)}
	b.tick(0)
	return b
}

func (b *bench) note(column int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if column == 1 {
		text = strings.Repeat(" ", 44) + "| " + text
	}
	b.lines = append(b.lines, fmt.Sprintf("%6d ms  %s", b.now.Milliseconds(), text))
}

// take collects the calls that the agent wants made.
func (b *bench) take() {
	calls := b.agent.Take()
	for _, hold := range calls.Holds {
		b.note(0, "look %d, token %d, renews %v, seen %d", hold.Sequence, hold.Fence&0xff, hold.UntilMs > 0, hold.LastSeen)
	}
	for _, start := range calls.Starts {
		b.note(0, "start %s run %d, token %d", start.Task[14:16], start.Command, start.Fence&0xff)
	}
	for _, stop := range calls.Stops {
		b.note(0, "stop %s run %d", stop.Task[14:16], stop.Command)
	}
	for _, report := range calls.Reports {
		b.note(0, "reports %s run %d %v", report.Ended.Job[14:16], report.Ended.Run, report.Ended.How)
	}
	if calls.Over {
		b.overs++
		b.note(0, "its life is over")
	}
	b.holds = append(b.holds, calls.Holds...)
	b.starts = append(b.starts, calls.Starts...)
	b.stops = append(b.stops, calls.Stops...)
	b.reports = append(b.reports, calls.Reports...)
}

func (b *bench) tick(after time.Duration) {
	b.now += after
	b.agent.Tick(b.now, true)
	b.take()
}

func (b *bench) clockMs() int64 { return 1000 + b.now.Milliseconds() }

func (b *bench) nextHold() Hold {
	b.t.Helper()
	if len(b.holds) == 0 {
		b.t.Fatal("no look is under way")
	}
	hold := b.holds[0]
	b.holds = b.holds[1:]
	return hold
}

// answerHold lets the worker answer the oldest look with these lists.
func (b *bench) answerHold(lists Lists) Hold {
	b.t.Helper()
	hold := b.nextHold()
	lists.ClockMs = b.clockMs()
	b.note(1, "answers look %d: %d running, %d ended", hold.Sequence, len(lists.Running), len(lists.Ended))
	b.agent.HoldAnswered(b.now, hold, Done, lists)
	b.take()
	return hold
}

func (b *bench) loseHold() {
	b.t.Helper()
	hold := b.nextHold()
	b.note(1, "no answer to look %d", hold.Sequence)
	b.agent.HoldAnswered(b.now, hold, Unanswered, Lists{})
	b.take()
}

func (b *bench) nextStart() Start {
	b.t.Helper()
	if len(b.starts) == 0 {
		b.t.Fatal("nothing was started")
	}
	start := b.starts[0]
	b.starts = b.starts[1:]
	return start
}

func (b *bench) answerStart(answer Answer) Start {
	b.t.Helper()
	start := b.nextStart()
	b.note(1, "answers start of %s: %d", start.Task[14:16], answer)
	b.agent.StartAnswered(b.now, start.Task, start.Command, answer, b.clockMs())
	b.take()
	return start
}

func (b *bench) place(task string, run uint64, fresh bool) {
	b.agent.Place(b.now, cluster.Placement{Worker: "w1", Task: task, Run: run, Fresh: fresh, EstimateMs: 1000})
	b.take()
}

// contact lets the first look under the token be answered.
func (b *bench) contact() {
	b.t.Helper()
	b.answerHold(Lists{})
}

func (b *bench) wantReports(want ...string) {
	b.t.Helper()
	got := []string{}
	for _, report := range b.reports {
		got = append(got, report.Ended.Job[14:16]+" "+report.Ended.How.String())
	}
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		b.t.Errorf("reported %v, want %v", got, want)
	}
}

func (b *bench) golden() {
	b.t.Helper()
	goldie.New(b.t).Assert(b.t, b.t.Name(), []byte(strings.Join(b.lines, "\n")+"\n"))
}

func TestStartsRightBehindAnAnswer(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.tick(time.Second)
	b.place(taskA, 1, true)
	if len(b.starts) != 0 {
		t.Fatal("started though the worker has not answered for a second")
	}
	b.answerHold(Lists{})
	if start := b.answerStart(Done); start.UntilMs != b.clockMs()+holdMs {
		t.Errorf("holds until %d", start.UntilMs)
	}
	b.wantReports()
	b.golden()
}

// TestUnansweredStartIsSettled: the list under a higher token shows that the order never arrived.
func TestUnansweredStartIsSettled(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	first := b.answerStart(Unanswered)
	b.tick(500 * time.Millisecond)
	for range 3 {
		if len(b.starts) == 0 {
			b.answerHold(Lists{})
		}
	}
	second := b.nextStart()
	if second.Fence <= first.Fence || second.Command != first.Command {
		t.Errorf("ordered again as run %d under %d after %d", second.Command, second.Fence, first.Fence)
	}
	b.wantReports()
	b.golden()
}

// TestUnansweredStartThatArrived: the same, but the list shows the run.
func TestUnansweredStartThatArrived(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Unanswered)
	for range 4 {
		b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 1}}})
	}
	if len(b.starts) != 0 {
		t.Error("started again")
	}
	b.wantReports()
}

// TestLookUnderWayProvesNothing keeps a fault of the first sitting: a look that was sent before the run was
// known, and answered behind one that showed it, made the run count as lost.
func TestLookUnderWayProvesNothing(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true) // started, and not answered yet
	b.tick(time.Second)
	if len(b.holds) < 1 {
		t.Fatal("no look is under way")
	}
	b.agent.Place(b.now, cluster.Placement{Worker: "w1", Task: taskB, Run: 1, Fresh: true})
	b.take() // wants a short look beside the long one
	if len(b.holds) < 2 {
		t.Fatalf("%d looks are under way", len(b.holds))
	}
	b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 1}}})
	b.answerHold(Lists{}) // seen by the worker before the start came
	b.wantReports()
}

func TestEndsAreNotedOnlyOnceTheyAreDurable(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
	for range 3 {
		b.answerHold(Lists{Ended: []End{{Number: 4, Task: taskA, Command: 1, How: cluster.Done}}})
		b.tick(600 * time.Millisecond)
		for _, hold := range b.holds {
			if hold.LastSeen >= 4 {
				t.Fatal("noted before the control machines have it")
			}
		}
	}
	b.wantReports("aa done")
	b.agent.Noted(b.now, 4)
	b.take()
	b.place(taskB, 1, true)
	b.tick(600 * time.Millisecond)
	seen := uint64(0)
	for range len(b.holds) {
		seen = max(seen, b.nextHold().LastSeen)
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
	b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 3}}})
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
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
	b.silence(5900 * time.Millisecond) // a former owner may have given 6 s
	b.wantReports()
	b.silence(700 * time.Millisecond)
	b.wantReports("aa lost")
}

// TestLateOrderLengthensTheHold: an unanswered start may be carried out 12 s later, and its time count from then.
func TestLateOrderLengthensTheHold(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
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
	b.agent.Place(b.now, cluster.Placement{Worker: "w1", Task: taskA, Run: 1, Stopping: true})
	b.take()
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("started all the same")
	}
}

// TestRefusedConnectionsMakeNoLoop: a call that fails at once is not made again at once.
func TestRefusedConnectionsMakeNoLoop(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
	calls := 0
	for end := b.now + time.Second; b.now < end; b.tick(20 * time.Millisecond) {
		for count := len(b.holds); count > 0; count-- {
			calls++
			b.agent.HoldAnswered(b.now, b.nextHold(), Unreached, Lists{})
			b.take()
		}
	}
	if calls > 20 {
		t.Errorf("%d calls in a second", calls)
	}
}

func TestRunThatIsNotWantedIsStopped(t *testing.T) {
	b := newBench(t)
	b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 2}}})
	if len(b.stops) != 1 || b.stops[0].Command != 2 {
		t.Errorf("stops %v", b.stops)
	}
}

func TestRejections(t *testing.T) {
	for answer, want := range map[Answer]string{NoRoom: "aa not-started", Unhealthy: "aa not-started", Unreached: "aa not-started"} {
		b := newBench(t)
		b.contact()
		b.place(taskA, 1, true)
		b.answerStart(answer)
		b.wantReports(want)
	}
}

func TestOutdatedRunIsGivenBack(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Old)
	b.tick(time.Second)
	for range 3 {
		if len(b.reports) == 0 {
			b.answerHold(Lists{})
		}
	}
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("ordered again, though it is outdated there")
	}
}

// answerOtherLife lets another life at the address answer the oldest look.
func (b *bench) answerOtherLife() {
	b.t.Helper()
	hold := b.nextHold()
	b.note(1, "another life answers look %d", hold.Sequence)
	b.agent.HoldAnswered(b.now, hold, OtherLife, Lists{})
	b.take()
}

// TestOtherLifeProvesTheEnd: orders never go to another life. Its second answer in a row proves that this one is over,
// and that is told once.
func TestOtherLifeProvesTheEnd(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(OtherLife)
	if b.overs != 0 || len(b.starts) != 0 {
		t.Fatalf("after one answer of another life: told %d times, %d starts", b.overs, len(b.starts))
	}
	for len(b.holds) > 1 {
		b.loseHold()
	}
	b.answerOtherLife()
	b.tick(time.Second)
	if b.overs != 1 || !b.agent.Over() || len(b.starts)+len(b.holds) != 0 {
		t.Errorf("told %d times; %d starts and %d looks go on", b.overs, len(b.starts), len(b.holds))
	}
	b.wantReports()
	b.golden()
}

// TestOneAnswerOfAnotherLifeProvesNothing: the life that is meant answers the next look, and the order goes out again.
func TestOneAnswerOfAnotherLifeProvesNothing(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(OtherLife)
	for len(b.starts) == 0 && len(b.holds) > 0 {
		b.answerHold(Lists{})
	}
	if b.overs != 0 || len(b.starts) != 1 {
		t.Errorf("told %d times, %d starts", b.overs, len(b.starts))
	}
}

// TestUnlistedWorkerThatAnswersGoesOn: the platform's list lacks the worker, which lives; what runs there stays.
func TestUnlistedWorkerThatAnswersGoesOn(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
	b.agent.Listed(b.now, false)
	b.take()
	for range 12 {
		b.tick(200 * time.Millisecond)
		for count := len(b.holds); count > 0; count-- {
			b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 1, Percent: int(b.now.Milliseconds() / 50)}}})
		}
	}
	b.wantReports()
}

// TestFullListProvesNoEnd: a worker tells 500 ends at once, so a full list does not show what it lacks.
func TestFullListProvesNoEnd(t *testing.T) {
	for _, told := range []int{endsAtOnce - 1, endsAtOnce} {
		b := newBench(t)
		b.contact()
		b.place(taskA, 1, true)
		b.answerStart(Done)
		ends := make([]End, told)
		for i := range ends {
			ends[i] = End{Number: uint64(i + 1), Task: taskB, Command: uint64(i + 1), How: cluster.RunFailed}
		}
		for range 3 { // the looks under way were sent before the run began
			b.tick(time.Second)
			for count := len(b.holds); count > 0; count-- {
				b.answerHold(Lists{Ended: ends})
			}
		}
		lost := 0
		for _, report := range b.reports {
			if report.Ended.How == cluster.Lost {
				lost++
			}
		}
		if full := told == endsAtOnce; full != (lost == 0) {
			t.Errorf("a list of %d ends: %d runs are given up", told, lost)
		}
	}
}

// TestUnlistedWorkerStartsNothing: what was placed before and is not ordered yet goes elsewhere.
func TestUnlistedWorkerStartsNothing(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.tick(time.Second)
	b.agent.Listed(b.now, false)
	b.place(taskA, 1, true)
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("started at a worker that is not listed any more")
	}
}

// TestUnlistedWorkerThatIsSilentIsGivenUp: neither the list nor the worker itself shows that it lives. A new owner,
// who does not know what a former one has ordered, gives its runs up by that.
func TestUnlistedWorkerThatIsSilentIsGivenUp(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "unlisted": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.place(taskA, 1, false)
			b.agent.Listed(b.now, listed)
			b.take()
			for range 12 {
				b.tick(200 * time.Millisecond)
				for len(b.holds) > 0 {
					b.loseHold()
				}
			}
			if listed {
				b.wantReports()
				return
			}
			b.wantReports("aa lost")
			if evidence := b.reports[0].Evidence; evidence != SilentOffList {
				t.Errorf("evidence: %v", evidence)
			}
		})
	}
}

func TestStuckRunIsStopped(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	b.answerStart(Done)
	for range 8 {
		b.tick(600 * time.Millisecond)
		for count := len(b.holds); count > 0; count-- {
			b.answerHold(Lists{Running: []Running{{Task: taskA, Command: 1, Percent: 40}}})
		}
	}
	if len(b.stops) == 0 {
		t.Error("a run whose progress stands still goes on")
	}
}

// An owner whose orders a higher token rejects again and again pauses, and goes on where it still is the owner.
func TestFencedOrdersPauseAndGoOn(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	answerUntilStart := func() {
		for range 4 {
			if len(b.starts) == 0 {
				b.answerHold(Lists{})
			}
		}
	}
	for range fencesBeforePause + 1 {
		answerUntilStart()
		b.answerStart(Fenced)
	}
	for len(b.holds) > 0 {
		b.answerHold(Lists{})
	}
	b.tick(retryPause / 2)
	if len(b.holds)+len(b.starts) != 0 {
		t.Error("orders during the pause")
	}
	b.tick(retryPause)
	answerUntilStart()
	b.answerStart(Done)
	b.wantReports()
}

// A worker that leaves: what can't end in time begins anew elsewhere at once, what is saved stays until just
// before the end, and what ends in time is left alone.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	b := newBench(t)
	b.contact()
	const short, long, saved = "00000000000000aa.0.0.0", "00000000000000bb.0.0.0", "00000000000000cc.0.0.0"
	place := func(task string, estimateMs int64, saves bool) {
		b.agent.Place(b.now, cluster.Placement{Worker: "w1", Task: task, Run: 1, Fresh: true, EstimateMs: estimateMs, Saves: saves})
		b.take()
		for range 3 {
			if len(b.starts) == 0 {
				b.answerHold(Lists{})
			}
		}
		b.answerStart(Done)
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
	b.agent.Leave(b.now, 4*time.Second)
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
