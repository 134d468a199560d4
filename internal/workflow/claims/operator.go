package claims

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/expansion"
)

// maxExisting is how many of the existing keys an error names that a workflow is not among.
const maxExisting = 5

func (t *Table) workflow(key string) (*Workflow, error) {
	w := t.Workflows[key]
	if w == nil {
		existing := slices.Sorted(maps.Keys(t.Workflows))
		return nil, &NotFoundError{"flow", key, existing[:min(len(existing), maxExisting)]}
	}
	return w, nil
}

// cancel starts no further step of a workflow; it ends as cancelled once its open claims have ended. Steps that wait for
// an operator end with the outcome that they had.
func (t *Table) cancel(now time.Duration, c *Cancellation) error {
	w, err := t.workflow(c.Workflow)
	switch {
	case err != nil:
		return err
	case w.State == WorkflowCancelled || w.State == WorkflowClosing && w.FinalState == WorkflowCancelled:
		return nil // asked twice
	case w.ended() || w.State == WorkflowClosing:
		return &StateError{c.Workflow, w.State.String(), "one that has not ended"}
	}
	w.Tree.ForEachStep(func(ref expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.AwaitingOperator {
			w.Tree.EndStep(now, ref, run.OutcomeBeforeHold, nil, nil)
		}
	})
	w.HeldSteps = 0
	t.startClosing(w, WorkflowCancelled, "by "+c.RequestedBy)
	t.finishIfEnded(now, w)
	return nil
}

// resolve ends a step that waits for an operator, or has it handed out again. With the last of them its workflow
// resumes.
func (t *Table) resolve(now time.Duration, c *Resolution) error {
	w, err := t.workflow(c.Workflow)
	if err != nil {
		return err
	}
	if w.State != WorkflowHeld {
		return &StateError{c.Workflow, w.State.String(), "one that is held"}
	}
	run := w.Tree.StepRun(c.Step)
	if run == nil || run.State != expansion.AwaitingOperator {
		return &StateError{c.Workflow, "that step is not to be settled", "one that keeper flow show names as stuck"}
	}
	w.HeldSteps--
	if w.HeldSteps == 0 {
		resume(w)
	}
	switch c.Outcome {
	case OutcomeDone:
		w.Tree.EndStep(now, c.Step, expansion.Done, nil, nil)
	case OutcomeRequeue:
		// Only an operator can say this of a step that may have run: who has made sure that it has not.
		run.PossiblyExecutedAt, run.RepeatableUntil, run.PinnedCell, run.Attempts, run.ConfirmedNotRun = 0, 0, 0, 0, true
		run.State, run.StateSince = expansion.Ready, now
		t.enqueue(w, c.Step, run)
	default:
		w.Tree.EndStep(now, c.Step, expansion.Failed, nil, nil)
	}
	run.Reason = fmt.Sprintf("settled by %s", c.RequestedBy)
	if w.State == WorkflowRunning {
		w.Tree.Resume(now)
		t.enqueueAllReady(w)
		w.Tree.TakeReady() // they were queued with all others
	}
	t.finishIfEnded(now, w)
	return nil
}

// resume has a held workflow run again, or go on with its compensation.
func resume(w *Workflow) {
	w.State, w.Tree.NoNewSteps = WorkflowRunning, w.compensating()
	w.ResumeCount++ // its queue entries from before may have been dropped, and no longer match
	if !w.Tree.NoNewSteps {
		w.Reason = ""
	}
}
