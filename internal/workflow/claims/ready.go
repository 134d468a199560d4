package claims

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/aging"
	"yardflow/internal/workflow/expansion"
)

// readyStep is an entry of the queues of ready steps. An entry is not removed when its step stops being ready; it is
// skipped when it comes first and no longer matches the step (see lookup).
type readyStep struct {
	workflow    string // its key
	number      uint64 // of the workflow's submission: a forgotten key may be submitted again
	ref         expansion.StepRef
	since       time.Duration // StepRun.StateSince when it was queued
	resumeCount uint64        // Workflow.ResumeCount when it was queued
}

// Compare orders the entries of one workflow. Only entries that are alike in all are equal, see aging.Entry.
func (s readyStep) Compare(o readyStep) int {
	return cmp.Or(cmp.Compare(s.ref.Step, o.ref.Step), slices.Compare(s.ref.Path[:], o.ref.Path[:]), cmp.Compare(s.since, o.since), cmp.Compare(s.resumeCount, o.resumeCount))
}

// lookup returns the workflow and the step of an entry, nil where the step is no longer ready, or was queued anew.
func (t *Table) lookup(s readyStep) (*Workflow, *expansion.StepRun) {
	w := t.Workflows[s.workflow]
	if w == nil || w.ended() || w.Number != s.number || w.ResumeCount != s.resumeCount {
		return nil, nil
	}
	run := w.Tree.StepRun(s.ref)
	if run == nil || run.State != expansion.Ready || run.StateSince != s.since {
		return nil, nil
	}
	return w, run
}

// enqueue queues a ready step: among the delayed ones first, from which it is released when its moment has come.
func (t *Table) enqueue(w *Workflow, ref expansion.StepRef, run *expansion.StepRun) {
	n := &w.graph.Nodes[ref.Step]
	notBefore := max(run.EligibleSince+n.StartDelay, run.StateSince)
	if n.StartMoment != "" {
		notBefore = max(notBefore, w.Moments[n.StartMoment])
	}
	t.delayed.Push(aging.Entry[readyStep]{ServeBy: notBefore, Number: w.Number, Value: readyStep{w.Key, w.Number, ref, run.StateSince, w.ResumeCount}})
	t.releaseDelayed()
}

// enqueueNewlyReady queues the steps that have become ready since it was called last.
func (t *Table) enqueueNewlyReady(w *Workflow) {
	for _, ref := range w.Tree.TakeReady() {
		if run := w.Tree.StepRun(ref); run != nil && run.State == expansion.Ready {
			t.enqueue(w, ref, run)
		}
	}
}

// enqueueAllReady queues all ready steps of a workflow whose queue entries are gone or no longer match.
func (t *Table) enqueueAllReady(w *Workflow) {
	w.Tree.ForEachStep(func(ref expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.Ready {
			t.enqueue(w, ref, run)
		}
	})
}

// releaseDelayed makes claimable the delayed steps whose moment has come. It runs before and after each change, so that
// the queues of a coordinator that was restored from a snapshot and of one that was not hold the same claimable steps in
// the same order.
func (t *Table) releaseDelayed() {
	for {
		e, ok := t.delayed.Peek()
		if !ok || e.ServeBy > t.Now {
			return
		}
		t.delayed.Pop()
		if w, run := t.lookup(e.Value); run != nil {
			t.makeClaimable(w, e.Value, run)
		}
	}
}

func (t *Table) makeClaimable(w *Workflow, s readyStep, run *expansion.StepRun) {
	n := &w.graph.Nodes[s.ref.Step]
	q := t.readyByPool[n.Pool]
	if q == nil {
		q = &aging.Queue[readyStep]{}
		t.readyByPool[n.Pool] = q
	}
	latestStart := time.Duration(0) // none
	if target := w.graph.Template.TargetMakespan; target > 0 {
		latestStart = max(w.SubmittedAt+target-n.RemainingCriticalPath, 1)
	}
	if _, ok := t.peekClaimable(q); !ok {
		t.readyNews = true
	}
	q.Push(aging.Entry[readyStep]{ServeBy: aging.ServeBy(run.EligibleSince, latestStart), Number: w.Number, Value: s})
}

// peekClaimable returns the first step of a queue that can be claimed. It drops the entries before it: those that no
// longer match, and those of workflows that are held (their steps are queued anew when they resume) or closing.
func (t *Table) peekClaimable(q *aging.Queue[readyStep]) (e aging.Entry[readyStep], ok bool) {
	for {
		if e, ok = q.Peek(); !ok {
			return e, false
		}
		if w, run := t.lookup(e.Value); run != nil && w.State == WorkflowRunning {
			return e, true
		}
		q.Pop()
	}
}

// popClaimable takes the first claimable step of some pools off its queue.
func (t *Table) popClaimable(pools []string) (w *Workflow, s readyStep, run *expansion.StepRun, ok bool) {
	var firstQueue *aging.Queue[readyStep]
	var first aging.Entry[readyStep]
	for _, pool := range pools {
		q := t.readyByPool[pool]
		if q == nil {
			continue
		}
		e, ok := t.peekClaimable(q)
		if ok && (firstQueue == nil || e.ServeBy < first.ServeBy || e.ServeBy == first.ServeBy && e.Number < first.Number) {
			firstQueue, first = q, e
		}
	}
	if firstQueue == nil {
		return nil, readyStep{}, nil, false
	}
	firstQueue.Pop()
	w, run = t.lookup(first.Value)
	return w, first.Value, run, true
}

// anyClaimable reports whether a step can be claimed in some pools.
func (t *Table) anyClaimable(pools []string) bool {
	return slices.ContainsFunc(pools, func(pool string) bool {
		q := t.readyByPool[pool]
		if q == nil {
			return false
		}
		_, ok := t.peekClaimable(q)
		return ok
	})
}

// HasReadySteps reports whether a step can be claimed in any pool.
func (t *Table) HasReadySteps() bool {
	return t.anyClaimable(slices.Collect(maps.Keys(t.readyByPool)))
}

// ReadySteps returns an upper bound of how many steps can be claimed: entries that no longer match are counted.
func (t *Table) ReadySteps() (n int) {
	for _, q := range t.readyByPool {
		n += q.Len()
	}
	return n
}

// takeReadyNews reports whether a pool that had no claimable step has got one since it was called last.
func (t *Table) takeReadyNews() bool {
	news := t.readyNews
	t.readyNews = false
	return news
}
