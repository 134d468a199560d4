package worker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardflow/scheduling/taskrun"

	"github.com/sebdah/goldie/v2"
)

// bench plays one agent against a worker, with a timeline of a column each.
type bench struct {
	t       *testing.T
	agent   *Owner
	now     time.Duration
	clock   int64 // the worker's clock runs with the test's
	reports []EndReport
	starts  []StartCommand
	stops   []StopCommand
	holds   []Poll
	overs   int // how often the worker's life was told to be over
	lines   []string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, agent: NewOwner(0, "w1", 5, 6000)}
	b.tick(0)
	return b
}

// afterOrder returns a bench at whose worker task a was ordered, and no answer has come.
func afterOrder(t *testing.T) *bench {
	b := newBench(t)
	b.contact()
	b.place(taskA, 1, true)
	return b
}

// afterAnswer returns a bench at which the order to start task a was answered so.
func afterAnswer(t *testing.T, answer Outcome) *bench {
	b := afterOrder(t)
	b.answerStart(answer)
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
	calls := b.agent.TakeActions()
	for _, hold := range calls.Polls {
		b.note(0, "look %d, token %d, renews %v, seen %d", hold.Sequence, hold.FencingToken&0xff, hold.LeaseUntilMs > 0, hold.AcknowledgedEnd)
	}
	for _, start := range calls.Starts {
		b.note(0, "start %s run %d, token %d", start.Task[14:16], start.Run, start.FencingToken&0xff)
	}
	for _, stop := range calls.Stops {
		b.note(0, "stop %s run %d", stop.Task[14:16], stop.Run)
	}
	for _, report := range calls.Reports {
		b.note(0, "reports %s run %d %v", report.Ended.Job[14:16], report.Ended.Run, report.Ended.Reason)
	}
	if calls.IncarnationEnded {
		b.overs++
		b.note(0, "its life is over")
	}
	b.holds = append(b.holds, calls.Polls...)
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

func (b *bench) nextHold() Poll {
	b.t.Helper()
	if len(b.holds) == 0 {
		b.t.Fatal("no look is under way")
	}
	hold := b.holds[0]
	b.holds = b.holds[1:]
	return hold
}

// answerHold lets the worker answer the oldest look with these lists.
func (b *bench) answerHold(lists PollAnswer) Poll {
	b.t.Helper()
	hold := b.nextHold()
	lists.ClockMs = b.clockMs()
	b.note(1, "answers look %d: %d running, %d ended", hold.Sequence, len(lists.Running), len(lists.Ended))
	b.agent.HandlePollOutcome(b.now, hold, Accepted, lists)
	b.take()
	return hold
}

func (b *bench) loseHold() {
	b.t.Helper()
	hold := b.nextHold()
	b.note(1, "no answer to look %d", hold.Sequence)
	b.agent.HandlePollOutcome(b.now, hold, Unanswered, PollAnswer{})
	b.take()
}

func (b *bench) nextStart() StartCommand {
	b.t.Helper()
	if len(b.starts) == 0 {
		b.t.Fatal("nothing was started")
	}
	start := b.starts[0]
	b.starts = b.starts[1:]
	return start
}

func (b *bench) answerStart(answer Outcome) StartCommand {
	b.t.Helper()
	start := b.nextStart()
	b.note(1, "answers start of %s: %d", start.Task[14:16], answer)
	b.agent.HandleStartOutcome(b.now, start.Task, start.Run, answer, b.clockMs())
	b.take()
	return start
}

func (b *bench) place(task string, run uint64, fresh bool) {
	b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: task, Run: run, Undispatched: fresh, EstimateMs: 1000})
	b.take()
}

// contact lets the first look under the token be answered.
func (b *bench) contact() {
	b.t.Helper()
	b.answerHold(PollAnswer{})
}

func (b *bench) wantReports(want ...string) {
	b.t.Helper()
	got := []string{}
	for _, report := range b.reports {
		got = append(got, report.Ended.Job[14:16]+" "+report.Ended.Reason.String())
	}
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		b.t.Errorf("reported %v, want %v", got, want)
	}
}

func (b *bench) golden() {
	b.t.Helper()
	goldie.New(b.t).Assert(b.t, b.t.Name(), []byte(strings.Join(b.lines, "\n")+"\n"))
}
