package worker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardflow/scheduling/taskrun"

	"github.com/sebdah/goldie/v2"
)

// harness drives one owner against a simulated worker, and records a timeline with one column for the owner and one for the
// worker.
type harness struct {
	t               *testing.T
	owner           *Owner
	now             time.Duration
	reports         []EndReport
	starts          []StartCommand
	stops           []StopCommand
	polls           []Poll
	incarnationEnds int // how many times the end of the incarnation was reported
	lines           []string
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, owner: NewOwner(0, "w1", 5, 6000)}
	h.tick(0)
	return h
}

// afterStartCommand returns a harness in which a start command for task a is in flight.
func afterStartCommand(t *testing.T) *harness {
	h := newHarness(t)
	h.establishContact()
	h.place(taskA, 1, true)
	return h
}

// afterStartOutcome returns a harness in which a start command for task a had the given outcome.
func afterStartOutcome(t *testing.T, outcome Outcome) *harness {
	h := afterStartCommand(t)
	h.answerStart(outcome)
	return h
}

// record adds a line to the timeline, in the column of the owner (0) or of the worker (1).
func (h *harness) record(column int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if column == 1 {
		text = strings.Repeat(" ", 44) + "| " + text
	}
	h.lines = append(h.lines, fmt.Sprintf("%6d ms  %s", h.now.Milliseconds(), text))
}

// takeActions takes the owner's actions and adds them to the timeline.
func (h *harness) takeActions() {
	actions := h.owner.TakeActions()
	for _, poll := range actions.Polls {
		h.record(0, "poll %d, token %d, renews %v, acknowledges %d", poll.Sequence,
			poll.FencingToken&0xff, poll.LeaseUntilMs > 0, poll.AcknowledgedEnd)
	}
	for _, start := range actions.Starts {
		h.record(0, "start %s run %d, token %d", start.Task[14:16], start.Run, start.FencingToken&0xff)
	}
	for _, stop := range actions.Stops {
		h.record(0, "stop %s run %d", stop.Task[14:16], stop.Run)
	}
	for _, report := range actions.Reports {
		h.record(0, "reports %s run %d %v", report.Ended.Job[14:16], report.Ended.Run, report.Ended.Reason)
	}
	if actions.IncarnationEnded {
		h.incarnationEnds++
		h.record(0, "its incarnation has ended")
	}
	h.polls = append(h.polls, actions.Polls...)
	h.starts = append(h.starts, actions.Starts...)
	h.stops = append(h.stops, actions.Stops...)
	h.reports = append(h.reports, actions.Reports...)
}

func (h *harness) tick(after time.Duration) {
	h.now += after
	h.owner.Tick(h.now, true)
	h.takeActions()
}

func (h *harness) clockMs() int64 { return 1000 + h.now.Milliseconds() }

func (h *harness) nextPoll() Poll {
	h.t.Helper()
	if len(h.polls) == 0 {
		h.t.Fatal("no poll is in flight")
	}
	poll := h.polls[0]
	h.polls = h.polls[1:]
	return poll
}

// answerPoll answers the oldest poll with the given lists.
func (h *harness) answerPoll(lists PollAnswer) Poll {
	h.t.Helper()
	poll := h.nextPoll()
	lists.ClockMs = h.clockMs()
	h.record(1, "answers poll %d: %d running, %d ended", poll.Sequence, len(lists.Running), len(lists.Ended))
	h.owner.HandlePollOutcome(h.now, poll, Accepted, lists)
	h.takeActions()
	return poll
}

func (h *harness) losePoll() {
	h.t.Helper()
	poll := h.nextPoll()
	h.record(1, "no answer to poll %d", poll.Sequence)
	h.owner.HandlePollOutcome(h.now, poll, Unanswered, PollAnswer{})
	h.takeActions()
}

func (h *harness) nextStart() StartCommand {
	h.t.Helper()
	if len(h.starts) == 0 {
		h.t.Fatal("no start command is in flight")
	}
	start := h.starts[0]
	h.starts = h.starts[1:]
	return start
}

func (h *harness) answerStart(outcome Outcome) StartCommand {
	h.t.Helper()
	start := h.nextStart()
	h.record(1, "answers start of %s: %d", start.Task[14:16], outcome)
	h.owner.HandleStartOutcome(h.now, start.Task, start.Run, outcome, h.clockMs())
	h.takeActions()
	return start
}

func (h *harness) place(task string, run uint64, undispatched bool) {
	h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: task, Run: run, Undispatched: undispatched,
		EstimateMs: 1000})
	h.takeActions()
}

// establishContact answers the first poll under the owner's token.
func (h *harness) establishContact() {
	h.t.Helper()
	h.answerPoll(PollAnswer{})
}

func (h *harness) wantReports(want ...string) {
	h.t.Helper()
	got := []string{}
	for _, report := range h.reports {
		got = append(got, report.Ended.Job[14:16]+" "+report.Ended.Reason.String())
	}
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		h.t.Errorf("reported %v, want %v", got, want)
	}
}

func (h *harness) golden() {
	h.t.Helper()
	goldie.New(h.t).Assert(h.t, h.t.Name(), []byte(strings.Join(h.lines, "\n")+"\n"))
}
