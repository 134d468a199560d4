package claims

import (
	"slices"
	"time"

	"yardflow/internal/workflow/expansion"
)

// maxShown is how many workflows, or live steps of one workflow, a query shows.
const maxShown = 200

// StatusQuery asks how far workflows have come: one, with its live steps, or all where Workflow is empty.
type StatusQuery struct {
	Workflow string `cbor:"Flow" json:"Flow"`
}

// WorkflowStatus is how far a workflow has come, for operators.
type WorkflowStatus struct {
	Key          string
	Template     string // "VERSION/NAME"
	Submitter    string `cbor:"Who" json:"Who"`
	State        string
	Reason       string              `cbor:"Why" json:"Why"`
	Age          time.Duration       // since its submission
	Makespan     time.Duration       // from submission to end; 0: it has not ended
	EndCounts    expansion.EndCounts `cbor:"Ends" json:"Ends"`
	OpenClaims   int                 `cbor:"Out" json:"Out"`
	LiveItems    int                 `cbor:"Live" json:"Live"`
	RunUncertain bool                `cbor:"Doubt" json:"Doubt"`
	Steps        []StepStatus        // of one workflow: steps that are ready, claimed or wait for an operator; 200 at most
}

// StepStatus is how far a step has come, for operators.
type StepStatus struct {
	Name             string
	Ref              expansion.StepRef
	ItemValues       []string `cbor:"Values" json:"Values"`
	State            string
	InStateFor       time.Duration `cbor:"For" json:"For"`
	ClaimedBy        string        `cbor:"Who" json:"Who"` // DispatcherKey
	Reason           string        `cbor:"Why" json:"Why"`
	PossiblyExecuted bool          `cbor:"MayRun" json:"MayRun"`
}

// Query answers a StatusQuery. It changes nothing.
func (t *Table) Query(now time.Duration, c *StatusQuery) (a Answer, err error) {
	if c.Workflow == "" {
		return t.queryAll(now), nil
	}
	w, err := t.workflow(c.Workflow)
	if err != nil {
		return a, err
	}
	status := workflowStatus(now, w)
	if !w.ended() {
		status.Steps = t.liveSteps(now, w)
	}
	a.Statuses = []WorkflowStatus{status}
	return a, nil
}

// queryAll counts all workflows by state, and shows those submitted last.
func (t *Table) queryAll(now time.Duration) (a Answer) {
	a.CountsByState = map[string]int{}
	var all []*Workflow
	for _, w := range t.Workflows {
		a.CountsByState[w.State.String()]++
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *Workflow) int { return int(int64(b.Number) - int64(a.Number)) })
	for _, w := range all[:min(len(all), maxShown)] {
		a.Statuses = append(a.Statuses, workflowStatus(now, w))
	}
	return a
}

func workflowStatus(now time.Duration, w *Workflow) WorkflowStatus {
	s := WorkflowStatus{
		Key:          w.Key,
		Template:     w.TemplateVersion,
		Submitter:    w.Submitter,
		State:        w.State.String(),
		Reason:       w.Reason,
		Age:          now - w.SubmittedAt,
		Makespan:     w.Makespan,
		EndCounts:    w.EndCounts,
		OpenClaims:   w.OpenClaims,
		RunUncertain: w.RunUncertain,
	}
	if !w.ended() {
		s.EndCounts, s.LiveItems = w.Tree.EndCounts, w.Tree.LiveItems
	}
	return s
}

// liveSteps returns the steps of a workflow that neither wait for others nor have ended.
func (t *Table) liveSteps(now time.Duration, w *Workflow) (steps []StepStatus) {
	w.Tree.ForEachStep(func(ref expansion.StepRef, run *expansion.StepRun) {
		if len(steps) == maxShown || run.State.Ended() || run.State == expansion.Waiting {
			return
		}
		s := StepStatus{
			Name:             w.graph.Nodes[ref.Step].Name,
			Ref:              ref,
			ItemValues:       w.Tree.ItemValues(ref),
			State:            run.State.String(),
			InStateFor:       max(now-run.StateSince, 0),
			Reason:           run.Reason,
			PossiblyExecuted: run.PossiblyExecutedAt > 0,
		}
		if claim := t.Claims[run.ClaimNumber]; run.State == expansion.Claimed && claim != nil {
			s.ClaimedBy = claim.Holder
		}
		steps = append(steps, s)
	})
	return steps
}
