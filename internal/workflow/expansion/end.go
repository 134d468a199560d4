package expansion

import (
	"time"

	"yardflow/internal/workflow/graph"
)

// Start makes the first steps ready. It is called once.
func (t *Tree) Start(now time.Duration) {
	c := t.rootCursor()
	for _, s := range c.scope().Children {
		if input := t.Graph.Scopes[s].Input; input != "" {
			f := c.fanOut(0, s)
			f.ItemsKnown, f.ItemCount = true, t.Inputs[input].Len()
			t.countEmptyFanOut(c, s, f)
		}
	}
	t.evaluate(c, now)
	t.createItems(c, now)
	t.wakeWaiting(c, now)
}

// EndStep records the outcome of a step and evaluates what has waited for it. items are those of the fan-outs over its
// result; they count only where outcome is Done. A step that has ended, or whose item is not live, is left as it is.
func (t *Tree) EndStep(now time.Duration, r StepRef, outcome StepState, result []byte, items []string) {
	c, ok := t.cursorTo(r)
	if !ok {
		return
	}
	run := c.stepRun(r.Step)
	if run.State.Ended() {
		return
	}
	run.State, run.StateSince, run.Result = outcome, now, nil
	if outcome == Done && len(result) > 0 {
		run.Result = result
	}
	if handler := handlerOf(&t.Graph.Nodes[r.Step], outcome); handler >= 0 {
		c.stepRun(handler).HandlerTriggered = true
	}
	t.recordEnd(c, r.Step, items)
	t.evaluate(c, now)
	t.propagate(c, now)
}

// handlerOf returns the step that runs because n has ended with an outcome; negative: none.
func handlerOf(n *graph.Node, outcome StepState) int {
	switch outcome {
	case Failed:
		return n.FailedHandler
	case Unknown:
		return n.UnknownHandler
	default:
		return -1
	}
}

// Resume evaluates all live steps: for a workflow that had NoNewSteps set and goes on.
func (t *Tree) Resume(now time.Duration) {
	c := t.rootCursor()
	t.evaluateBelow(c, now)
	t.createItems(c, now)
	t.wakeWaiting(c, now)
}

// recordEnd counts the end of a step in the cursor's item, and makes the items known of the fan-outs over its result.
func (t *Tree) recordEnd(c cursor, step int, items []string) {
	state := c.stepRun(step).State
	t.EndCounts.add(state)
	t.countOutcome(c, step, state == Done)
	for _, s := range t.Graph.Nodes[step].FanOuts {
		f := c.fanOut(c.depth, s)
		f.ItemsKnown, f.SourceFailed = true, state != Done
		if !f.SourceFailed {
			f.ItemValues, f.ItemCount = items, len(items)
		}
		t.countEmptyFanOut(c, s, f)
	}
}

// countOutcome counts the end of a step in an item. Where it is the last item of its fan-out, the fan-out as a whole has
// ended for the step, which counts as one end in the item around it, and so on outwards.
func (t *Tree) countOutcome(c cursor, step int, done bool) {
	for d := c.depth; d > 0; d-- {
		f := c.fanOut(d-1, c.scopes[d])
		if f.Outcomes == nil {
			f.Outcomes = map[int]OutcomeCounts{}
		}
		counts := f.Outcomes[step]
		counts.Ended++
		if !done {
			counts.NotDone++
		}
		f.Outcomes[step] = counts
		if !f.ItemsKnown || counts.Ended < f.ItemCount {
			return
		}
		done = counts.NotDone == 0
		t.wakeDepths = append(t.wakeDepths, d-1)
	}
}

// countEmptyFanOut counts all steps of a fan-out without items as ended, those of the fan-outs nested in it too.
func (t *Tree) countEmptyFanOut(c cursor, scope int, f *FanOut) {
	if f.ItemCount > 0 {
		return
	}
	t.wakeDepths = append(t.wakeDepths, c.depth)
	var count func(scope int)
	count = func(scope int) {
		for _, step := range t.Graph.Scopes[scope].Steps {
			t.countOutcome(c, step, !f.SourceFailed)
		}
		for _, child := range t.Graph.Scopes[scope].Children {
			count(child)
		}
	}
	count(scope)
}
