package claims

// This file owns claims: who runs which step, until when, and what becomes of a step whose holder
// is lost. It must never give out one that may have run and is not to be repeated.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/aging"
	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/template"
)

// DispatcherKey names one life of a dispatcher.
func DispatcherKey(name string, life uint64) string { return fmt.Sprintf("%s/%d", name, life) }

// LeaseChecks tells of lives of dispatchers, by Who, what they may do now.
type LeaseChecks struct {
	MayClaim func(who string) bool // take up new work: it holds a lease under the policy in force
	MayHold  func(who string) bool // go on with what it has claimed
}

func (l *Table) claim(now time.Duration, grants uint64, c *ClaimRequest, may LeaseChecks) (a Answer, err error) {
	who := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !may.MayHold(who) {
		return a, &LeaseError{c.Dispatcher}
	}
	own := l.of[who]
	for _, no := range own {
		if h := l.Claims[no]; no > c.LastSeenClaim && len(a.Claimed) < MaxClaimsPerAnswer {
			h.Grant = grants // its holder counts from this telling, not from an earlier one that was lost
			a.Claimed = append(a.Claimed, l.task(now, l.Workflows[h.Key], h.Ref, no))
		}
	}
	for n := len(own); may.MayClaim(who) && n < c.WantedSteps && len(a.Claimed) < MaxClaimsPerAnswer; n++ {
		f, s, run, ok := l.take(c.Pools)
		if !ok {
			break
		}
		l.LastNumber++
		run.State, run.StateSince, run.ClaimNumber, run.IntentSequence = expansion.Claimed, now, l.LastNumber, 0
		l.Claims[l.LastNumber] = &held{f.Key, who, s.ref, grants}
		l.of[who] = append(l.of[who], l.LastNumber)
		f.OpenClaims++
		a.Claimed = append(a.Claimed, l.task(now, f, s.ref, l.LastNumber))
	}
	a.MoreReady = l.more(c.Pools)
	return a, nil
}

func (l *Table) task(now time.Duration, f *Workflow, r expansion.StepRef, no uint64) ClaimedStep {
	n := &f.g.Nodes[r.Step]
	run := f.Tree.StepRun(r)
	t := ClaimedStep{ClaimNumber: no, Workflow: f.Key, Template: f.g.Template.Name, Tenant: f.g.Template.Tenant, Team: f.g.Template.Team, Step: n.Name, Class: n.Class, Pool: n.Pool,
		Ref: r, ItemValues: f.Tree.ItemValues(r), PinnedCell: run.PinnedCell, RunUncertain: f.RunUncertain && !run.ConfirmedNotRun, DispatcherShare: f.g.Template.DispatcherShare, ResultUsed: n.ResultUsed, Overdue: now >= run.EligibleSince+aging.MaxDelay}
	if run.RepeatableUntil > 0 {
		t.RepeatWindowLeft = max(run.RepeatableUntil-now, 1)
	}
	t.Results, t.FanOutCounts = f.Tree.DependencyResults(r)
	return t
}

// held is a claim that a dispatcher holds; nil: it does not.
func (l *Table) held(who string, no uint64) (*Workflow, *held, *expansion.StepRun) {
	h := l.Claims[no]
	if h == nil || h.Who != who {
		l.StaleReports++
		return nil, nil, nil
	}
	f := l.Workflows[h.Key]
	return f, h, f.Tree.StepRun(h.Ref)
}

func (l *Table) mark(now time.Duration, c *DispatchIntents, may LeaseChecks) (a Answer, err error) {
	who := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !may.MayHold(who) {
		return a, &LeaseError{c.Dispatcher}
	}
	for _, m := range c.Intents {
		f, h, run := l.held(who, m.ClaimNumber)
		if f == nil {
			a.Rejected = append(a.Rejected, m.ClaimNumber)
			continue
		}
		if run.IntentSequence == 0 && f.State != WorkflowRunning { // one of a flow that goes on no more is not begun
			a.Rejected = append(a.Rejected, m.ClaimNumber)
			l.drop(f, m.ClaimNumber)
			if run.PossiblyExecutedAt > 0 && f.State > WorkflowHeld {
				l.over(now, f, h.Ref, expansion.Unknown, nil, nil, "its flow was ended before it was repeated")
			} else {
				l.back(now, f, h.Ref, run, 0)
			}
			l.look(now, f)
			continue
		}
		if m.Sequence < run.IntentSequence {
			continue // it was overtaken
		}
		again := m.Sequence == run.IntentSequence // asked twice
		if run.RepeatableUntil > 0 && run.RepeatableUntil < forever && !m.NotRunBefore {
			// It is to be repeated while repeats are dropped. How much time has passed is known only by a
			// clock that was read after it was claimed.
			if h.Grant > l.GrantsSeen {
				continue // asked again
			}
			if run.RepeatableUntil <= now && !again {
				l.drop(f, m.ClaimNumber)
				l.over(now, f, h.Ref, expansion.Unknown, nil, nil, "the time is over in which it may be repeated")
				l.look(now, f)
				a.Rejected = append(a.Rejected, m.ClaimNumber)
				continue
			}
			if a.RepeatWindows == nil {
				a.RepeatWindows = map[uint64]time.Duration{}
			}
			a.RepeatWindows[m.ClaimNumber] = max(run.RepeatableUntil-now, 1)
		}
		a.Recorded = append(a.Recorded, m.ClaimNumber)
		if again {
			continue
		}
		if run.IntentSequence == 0 {
			run.Attempts++
		}
		run.IntentSequence = m.Sequence
		if run.StateSince = max(now, 1); run.PossiblyExecutedAt == 0 || m.NotRunBefore {
			run.PinnedCell = m.PinnedCell
			switch {
			case m.AtMostOnce:
				run.RepeatableUntil = 0
			case m.DedupWindow > 0:
				run.RepeatableUntil = run.StateSince + m.DedupWindow
			default:
				run.RepeatableUntil = forever
			}
		}
		run.PossiblyExecutedAt = run.StateSince
	}
	return a, nil
}

// forever is of steps that may be repeated at any time.
const forever = time.Duration(1<<63 - 1)

func (l *Table) end(now time.Duration, c *StepEnds, may LeaseChecks) (a Answer, err error) {
	who := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !may.MayHold(who) {
		return a, &LeaseError{c.Dispatcher}
	}
	for _, e := range c.Ends {
		f, h, run := l.held(who, e.ClaimNumber)
		if f == nil {
			a.Rejected = append(a.Rejected, e.ClaimNumber)
			continue
		}
		l.drop(f, e.ClaimNumber)
		switch e.Outcome {
		case OutcomeDone:
			items, bad := results(&f.g.Nodes[h.Ref.Step], &f.g.Template, e.Result)
			if bad != nil {
				l.over(now, f, h.Ref, expansion.Failed, nil, nil, bad.Error())
			} else {
				l.over(now, f, h.Ref, expansion.Done, e.Result, items, "")
			}
		case OutcomeFailed:
			l.again(now, f, h.Ref, run, expansion.Failed, e.Reason, e.Repeatable)
		case OutcomeUnknown:
			l.again(now, f, h.Ref, run, expansion.Unknown, e.Reason, e.Repeatable)
		case OutcomeRequeue:
			// It has not run under this claim; where it had under none before, it never has.
			if run.IntentSequence > 0 {
				if run.Attempts--; run.Attempts == 0 {
					run.PossiblyExecutedAt, run.RepeatableUntil, run.PinnedCell = 0, 0, 0
				}
			}
			l.back(now, f, h.Ref, run, e.RetryAfter)
		}
		l.look(now, f)
	}
	return a, nil
}

// results checks a step's result, and reads the items of a fan-out over it.
func results(n *graph.Node, t *template.Template, text []byte) (items []string, err error) {
	if len(text) > template.MaxResultBytes {
		return nil, &ResultError{Step: n.Name, Bytes: len(text), Limit: template.MaxResultBytes}
	}
	if len(n.FanOuts) > 0 && (json.Unmarshal(text, &items) != nil || len(items) > t.FanOutLimit()) {
		return nil, &ResultError{Step: n.Name, Limit: t.FanOutLimit()}
	}
	return items, nil
}

// drop lets go of a claim.
func (l *Table) drop(f *Workflow, no uint64) {
	who := l.Claims[no].Who
	if i, ok := slices.BinarySearch(l.of[who], no); ok {
		l.of[who] = slices.Delete(l.of[who], i, i+1)
	}
	if len(l.of[who]) == 0 {
		delete(l.of, who)
	}
	delete(l.Claims, no)
	f.OpenClaims--
}

// back makes a step ready again that has not run under its last claim.
func (l *Table) back(now time.Duration, f *Workflow, r expansion.StepRef, run *expansion.StepRun, after time.Duration) {
	if f.State > WorkflowHeld {
		run.State = expansion.Waiting // its flow begins nothing more
		return
	}
	run.State, run.StateSince = expansion.Ready, now+min(max(after, 0), time.Minute)
	l.queue(f, r, run)
}

// again is for a step that has failed, or of which nobody knows: it is tried again where its class
// may be repeated, in the time that is left for that and as often as its template lets it.
func (l *Table) again(now time.Duration, f *Workflow, r expansion.StepRef, run *expansion.StepRun, how expansion.StepState, why string, repeats bool) {
	n := &f.g.Nodes[r.Step]
	if repeats && f.State == WorkflowRunning && run.RepeatableUntil > now && run.Attempts < n.AttemptLimit() {
		l.back(now, f, r, run, 100*time.Millisecond<<run.Attempts)
		return
	}
	if repeats && run.Attempts >= n.AttemptLimit() && how == expansion.Unknown {
		how, why = expansion.Failed, fmt.Sprintf("tried %d times, the last time: %s", run.Attempts, why)
	}
	l.over(now, f, r, how, nil, nil, why)
}

// over ends a step, and does to its flow what the template says.
func (l *Table) over(now time.Duration, f *Workflow, r expansion.StepRef, how expansion.StepState, result []byte, items []string, why string) {
	n := &f.g.Nodes[r.Step]
	act := n.OnFailed.Action
	if how == expansion.Unknown {
		act = n.OnUnknown.Action
	}
	run := f.Tree.StepRun(r)
	run.Reason = why
	if how == expansion.Done || f.State == WorkflowClosing {
		f.Tree.EndStep(now, r, how, result, items)
		l.fresh(f)
		return
	}
	where := n.Name
	if at := f.Tree.ItemValues(r); len(at) > 0 {
		where += fmt.Sprint(" ", at)
	}
	switch act {
	case template.HoldForOperator:
		if run.State, run.OutcomeBeforeHold, run.StateSince = expansion.AwaitingOperator, how, now; f.HeldSteps == 0 {
			f.State, f.Reason = WorkflowHeld, fmt.Sprintf("%s is %v: %s", where, how, why)
		}
		f.HeldSteps++
		f.Tree.NoNewSteps = true
		return
	case template.FailWorkflow:
		l.shut(f, WorkflowFailed, fmt.Sprintf("%s is %v: %s", where, how, why))
	case template.Compensate:
		f.Tree.NoNewSteps = false // for the step that undoes this one, which an earlier one's may have shut out
	}
	f.Tree.EndStep(now, r, how, nil, nil)
	if act == template.Compensate {
		l.undo(f, fmt.Sprintf("%s is %v: %s", where, how, why))
	}
	l.fresh(f)
}

// undo lets the steps run that take back what failed ones have left, and nothing else; then the
// flow has failed.
func (l *Table) undo(f *Workflow, why string) {
	f.Tree.NoNewSteps, f.FinalState = true, WorkflowFailed
	if f.State == WorkflowRunning {
		f.Reason = why
	}
	f.Tree.ForEachStep(func(o expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.Ready && !f.g.Nodes[o.Step].Compensates {
			run.State = expansion.Waiting
		}
	})
}

// undoing tells whether nothing of a flow is begun any more but what undoes it.
func (f *Workflow) undoing() bool { return f.State < WorkflowClosing && f.FinalState == WorkflowFailed }

// shut begins no more of a flow, which ends so once nothing of it is out.
func (l *Table) shut(f *Workflow, as WorkflowState, why string) {
	if f.State == WorkflowClosing {
		return
	}
	f.State, f.FinalState, f.Reason, f.Tree.NoNewSteps = WorkflowClosing, as, why, true
	f.Tree.ForEachStep(func(_ expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.Ready {
			run.State = expansion.Waiting
		}
	})
}

// ReclaimFrom takes back the claims of a dispatcher's life whose lease is over: a step that may have run
// and is never to be repeated is unknown from here on, any other is ready again.
func (l *Table) ReclaimFrom(now time.Duration, who string) (news bool) {
	for _, no := range slices.Clone(l.of[who]) {
		h := l.Claims[no]
		f := l.Workflows[h.Key]
		run := f.Tree.StepRun(h.Ref)
		l.drop(f, no)
		l.ExpiredClaims++
		if run.IntentSequence == 0 {
			l.back(now, f, h.Ref, run, 0)
		} else {
			l.again(now, f, h.Ref, run, expansion.Unknown, "its dispatcher "+who+" was lost while it may have run", run.RepeatableUntil > 0)
		}
		l.look(now, f)
	}
	return l.news()
}

// Holders are the lives that hold claims.
func (l *Table) Holders() []string { return slices.Sorted(maps.Keys(l.of)) }
