package claims

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// Reasons that the table itself gives for the end of a step. They are stored in the replicated state, which must be the
// same on all coordinators while a rolling upgrade mixes their versions: these texts must not change, nor may those that
// are formatted in this file, in operator.go and reclaim.go, or that of ResultError.
const (
	reasonEndedBeforeRepeat = "its flow was ended before it was repeated"
	reasonRepeatWindowOver  = "the time is over in which it may be repeated"
	reasonRestored          = "it was claimed when the keepers were restored"
)

// Delays of a step that is handed out again.
const (
	maxRequeueDelay = time.Minute            // the longest that a dispatcher may ask for
	retryBackoff    = 100 * time.Millisecond // doubled with each attempt that may have run
)

// stepOutcome is how a step ends for good.
type stepOutcome struct {
	state  expansion.StepState
	reason string
	result []byte   // of Done
	items  []string // of Done: those of fan-outs over the result
}

func endAs(state expansion.StepState, reason string) stepOutcome {
	return stepOutcome{state: state, reason: reason}
}

// endSteps takes in a dispatcher's reports of how its claims have ended. A report under a claim that it does not hold is
// answered as rejected.
func (t *Table) endSteps(now time.Duration, c *StepEnds, leases LeaseChecks) (a Answer, err error) {
	holder := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !leases.MayHold(holder) {
		return a, &LeaseError{c.Dispatcher}
	}
	for i := range c.Ends {
		e := &c.Ends[i]
		w, claim, run := t.lookupClaim(holder, e.ClaimNumber)
		if w == nil {
			a.Rejected = append(a.Rejected, e.ClaimNumber)
			continue
		}
		t.releaseClaim(w, e.ClaimNumber)
		t.endClaim(now, w, claim.Step, run, e)
		t.finishIfEnded(now, w)
	}
	return a, nil
}

// endClaim ends a claimed step as reported, or has it handed out again.
func (t *Table) endClaim(now time.Duration, w *Workflow, ref expansion.StepRef, run *expansion.StepRun, e *StepEnd) {
	switch e.Outcome {
	case OutcomeDone:
		items, err := parseResult(&w.graph.Nodes[ref.Step], &w.graph.Template, e.Result)
		if err != nil {
			t.endStep(now, w, ref, endAs(expansion.Failed, err.Error()))
		} else {
			t.endStep(now, w, ref, stepOutcome{state: expansion.Done, result: e.Result, items: items})
		}
	case OutcomeFailed:
		t.retryOrEnd(now, w, ref, run, expansion.Failed, e.Reason, e.Repeatable)
	case OutcomeUnknown:
		t.retryOrEnd(now, w, ref, run, expansion.Unknown, e.Reason, e.Repeatable)
	case OutcomeRequeue:
		// It has not run under this claim. Where it had not under an earlier one either, it never has.
		if run.IntentSequence > 0 {
			run.Attempts--
			if run.Attempts == 0 {
				run.PossiblyExecutedAt, run.RepeatableUntil, run.PinnedCell = 0, 0, 0
			}
		}
		t.requeue(now, w, ref, run, e.RetryAfter)
	}
}

// parseResult checks a step's result, and returns the items of the fan-outs over it: a JSON list of texts.
func parseResult(n *graph.Node, t *template.Template, text []byte) (items []string, err error) {
	if len(text) > template.MaxResultBytes {
		return nil, &ResultError{Step: n.Name, Bytes: len(text), Limit: template.MaxResultBytes}
	}
	if len(n.FanOuts) > 0 && (json.Unmarshal(text, &items) != nil || len(items) > t.FanOutLimit()) {
		return nil, &ResultError{Step: n.Name, Limit: t.FanOutLimit()}
	}
	return items, nil
}

// requeue makes a step ready again after a delay. The caller knows that it has not run under its last claim, or that it
// may be repeated.
func (t *Table) requeue(now time.Duration, w *Workflow, ref expansion.StepRef, run *expansion.StepRun, after time.Duration) {
	if w.State > WorkflowHeld {
		run.State = expansion.Waiting // its workflow starts no step any more
		return
	}
	run.State, run.StateSince = expansion.Ready, now+min(max(after, 0), maxRequeueDelay)
	t.enqueue(w, ref, run)
}

// retryOrEnd retries a step that has failed, or whose outcome is unknown, where its class may be repeated (repeatable),
// its repeat window is open and it has attempts left; else the step ends so.
func (t *Table) retryOrEnd(now time.Duration, w *Workflow, ref expansion.StepRef, run *expansion.StepRun, state expansion.StepState, reason string, repeatable bool) {
	limit := w.graph.Nodes[ref.Step].AttemptLimit()
	if repeatable && w.State == WorkflowRunning && run.RepeatableUntil > now && run.Attempts < limit {
		t.requeue(now, w, ref, run, retryBackoff<<run.Attempts)
		return
	}
	if repeatable && run.Attempts >= limit && state == expansion.Unknown {
		state, reason = expansion.Failed, fmt.Sprintf("tried %d times, the last time: %s", run.Attempts, reason)
	}
	t.endStep(now, w, ref, endAs(state, reason))
}

// endStep ends a step, and does to its workflow what the template says for the outcome.
func (t *Table) endStep(now time.Duration, w *Workflow, ref expansion.StepRef, o stepOutcome) {
	n := &w.graph.Nodes[ref.Step]
	run := w.Tree.StepRun(ref)
	run.Reason = o.reason
	if o.state == expansion.Done || w.State == WorkflowClosing {
		w.Tree.EndStep(now, ref, o.state, o.result, o.items)
		t.enqueueNewlyReady(w)
		return
	}
	reaction := n.OnFailed
	if o.state == expansion.Unknown {
		reaction = n.OnUnknown
	}
	workflowReason := fmt.Sprintf("%s is %v: %s", stepName(w, ref), o.state, o.reason)
	switch reaction.Action {
	case template.HoldForOperator:
		t.hold(now, w, run, o.state, workflowReason)
		return
	case template.FailWorkflow:
		t.startClosing(w, WorkflowFailed, workflowReason)
	case template.Compensate:
		w.Tree.NoNewSteps = false // so that this step's handler becomes ready, also where an earlier compensation has set it
	}
	w.Tree.EndStep(now, ref, o.state, nil, nil)
	if reaction.Action == template.Compensate {
		t.compensate(w, workflowReason)
	}
	t.enqueueNewlyReady(w)
}

// stepName names a step with the items around it, for operators.
func stepName(w *Workflow, ref expansion.StepRef) string {
	name := w.graph.Nodes[ref.Step].Name
	if items := w.Tree.ItemValues(ref); len(items) > 0 {
		name += fmt.Sprint(" ", items)
	}
	return name
}

// hold stops a workflow from starting steps until an operator has resolved the step.
func (t *Table) hold(now time.Duration, w *Workflow, run *expansion.StepRun, outcome expansion.StepState, reason string) {
	run.State, run.OutcomeBeforeHold, run.StateSince = expansion.AwaitingOperator, outcome, now
	if w.HeldSteps == 0 {
		w.State, w.Reason = WorkflowHeld, reason
	}
	w.HeldSteps++
	w.Tree.NoNewSteps = true
}

// compensate lets a workflow start only the steps that take back what failed ones have done; then it ends as failed.
func (t *Table) compensate(w *Workflow, reason string) {
	w.Tree.NoNewSteps, w.FinalState = true, WorkflowFailed
	if w.State == WorkflowRunning {
		w.Reason = reason
	}
	w.Tree.ForEachStep(func(ref expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.Ready && !w.graph.Nodes[ref.Step].Compensates {
			run.State = expansion.Waiting
		}
	})
}

// startClosing stops a workflow from starting steps; it ends in a final state once it has no open claims.
func (t *Table) startClosing(w *Workflow, final WorkflowState, reason string) {
	if w.State == WorkflowClosing {
		return
	}
	w.State, w.FinalState, w.Reason, w.Tree.NoNewSteps = WorkflowClosing, final, reason, true
	w.Tree.ForEachStep(func(_ expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.Ready {
			run.State = expansion.Waiting
		}
	})
}

// finishIfEnded ends a workflow of which nothing more is to come. It is called after each change of a workflow.
func (t *Table) finishIfEnded(now time.Duration, w *Workflow) {
	switch {
	case w.ended() || w.OpenClaims > 0:
	case w.State == WorkflowClosing:
		t.finish(now, w, w.FinalState)
	case w.State != WorkflowRunning:
	case w.compensating() && !w.Tree.AnyInState(expansion.Ready):
		t.finish(now, w, WorkflowFailed)
	case w.HeldSteps == 0 && w.Tree.Complete():
		t.finish(now, w, WorkflowDone)
	}
}

// finish ends a workflow, and forgets the oldest ended ones beyond MaxEndedWorkflows.
func (t *Table) finish(now time.Duration, w *Workflow, final WorkflowState) {
	w.State, w.EndedAt, w.EndCounts, w.Makespan = final, now, w.Tree.EndCounts, now-w.SubmittedAt
	w.Tree, w.graph = nil, nil
	t.ActiveWorkflows--
	t.Templates[w.TemplateVersion].Workflows--
	t.EndedKeys = append(t.EndedKeys, w.Key)
	if excess := len(t.EndedKeys) - MaxEndedWorkflows; excess > 0 {
		for _, key := range t.EndedKeys[:excess] {
			delete(t.Workflows, key)
		}
		t.EndedKeys = slices.Delete(t.EndedKeys, 0, excess)
	}
	t.dropUnusedTemplates()
}
