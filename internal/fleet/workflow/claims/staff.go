package claims

// This file owns what operators do with flows: cancel one, settle a step that nobody knows of, and
// what becomes of all where the keepers go on from an older folder.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

func (l *Table) flow(key string) (*Workflow, error) {
	f := l.Workflows[key]
	if f == nil {
		have := slices.Sorted(maps.Keys(l.Workflows))
		return nil, &NotFoundError{"flow", key, have[:min(len(have), 5)]}
	}
	return f, nil
}

func (l *Table) cancel(now time.Duration, c *Cancellation) error {
	f, err := l.flow(c.Workflow)
	switch {
	case err != nil:
		return err
	case f.State == WorkflowCancelled || f.State == WorkflowClosing && f.FinalState == WorkflowCancelled:
		return nil // asked twice
	case f.Tree == nil || f.State == WorkflowClosing:
		return &StateError{c.Workflow, f.State.String(), "one that has not ended"}
	}
	f.Tree.ForEachStep(func(r expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.AwaitingOperator {
			f.Tree.EndStep(now, r, run.OutcomeBeforeHold, nil, nil)
		}
	})
	f.HeldSteps = 0
	l.shut(f, WorkflowCancelled, "by "+c.RequestedBy)
	l.look(now, f)
	return nil
}

// settle says how a step has ended that is stuck. With the last of them its flow goes on.
func (l *Table) settle(now time.Duration, c *Resolution) error {
	f, err := l.flow(c.Workflow)
	if err != nil {
		return err
	}
	if f.State != WorkflowHeld {
		return &StateError{c.Workflow, f.State.String(), "one that is held"}
	}
	run := f.Tree.StepRun(c.Step)
	if run == nil || run.State != expansion.AwaitingOperator {
		return &StateError{c.Workflow, "that step is not to be settled", "one that keeper flow show names as stuck"}
	}
	f.HeldSteps--
	if f.HeldSteps == 0 {
		f.State, f.Tree.NoNewSteps = WorkflowRunning, f.undoing()
		f.ResumeCount++ // whatever waited while it was held does so anew
		if !f.Tree.NoNewSteps {
			f.Reason = ""
		}
	}
	switch c.Outcome {
	case OutcomeDone:
		f.Tree.EndStep(now, c.Step, expansion.Done, nil, nil)
	case OutcomeRequeue:
		// By an operator's word alone: who knows that it has not run.
		run.PossiblyExecutedAt, run.RepeatableUntil, run.PinnedCell, run.Attempts, run.ConfirmedNotRun = 0, 0, 0, 0, true
		run.State, run.StateSince = expansion.Ready, now
		l.queue(f, c.Step, run)
	default:
		f.Tree.EndStep(now, c.Step, expansion.Failed, nil, nil)
	}
	run.Reason = fmt.Sprintf("settled by %s", c.RequestedBy)
	if f.State == WorkflowRunning {
		f.Tree.Resume(now)
		f.Tree.ForEachStep(func(r expansion.StepRef, run *expansion.StepRun) {
			if run.State == expansion.Ready {
				l.queue(f, r, run)
			}
		})
		f.Tree.TakeReady()
	}
	l.look(now, f)
	return nil
}

// ResetAfterRestore makes of this ledger, which may be an old one, one that is safe to go on from: whatever
// was not ended by it may have run since. Such steps are told as in doubt from here on, and those
// that may not be repeated are unknown.
func (l *Table) ResetAfterRestore(now time.Duration, skip uint64) {
	l.LastNumber += skip
	for _, no := range slices.Sorted(maps.Keys(l.Claims)) {
		h := l.Claims[no]
		f := l.Workflows[h.Key]
		run := f.Tree.StepRun(h.Ref)
		l.drop(f, no)
		l.again(now, f, h.Ref, run, expansion.Unknown, "it was claimed when the keepers were restored", run.RepeatableUntil > 0)
	}
	for _, key := range slices.Sorted(maps.Keys(l.Workflows)) {
		if f := l.Workflows[key]; f.Tree != nil {
			f.RunUncertain = true
			l.look(now, f)
		}
	}
	l.news() // who comes back asks anyway
}
