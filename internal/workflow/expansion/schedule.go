package expansion

import (
	"slices"
	"strconv"
	"time"

	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// evaluate decides on all waiting steps of the cursor's item, again until nothing changes: a step that is skipped may
// decide others.
func (t *Tree) evaluate(c cursor, now time.Duration) {
	for changed := true; changed; {
		changed = false
		for _, i := range c.scope().Steps {
			run := c.stepRun(i)
			if run.State != Waiting {
				continue
			}
			switch t.decide(&c, &t.Graph.Nodes[i]) {
			case Ready:
				if t.NoNewSteps {
					continue
				}
				run.State, run.StateSince, run.EligibleSince = Ready, now, now
				t.ready = append(t.ready, StepRef{i, c.path})
			case Skipped:
				run.State, run.StateSince = Skipped, now
				t.recordEnd(c, i, nil)
				changed = true
			}
		}
	}
}

// decide returns what becomes of a waiting step of the cursor's item: Ready, Skipped, or Waiting as before.
func (t *Tree) decide(c *cursor, n *graph.Node) StepState {
	if n.IsHandler && !c.item().Steps[n.Index].HandlerTriggered {
		return t.decideUntriggered(c, n)
	}
	allEnded, allDone := true, true // allDone: of those that have ended
	for _, j := range n.Dependencies {
		ended, done := t.dependencyOutcome(c, n.Scope, j)
		allEnded = allEnded && ended
		allDone = allDone && (done || !ended)
		if !allDone && n.Trigger == template.AllDone {
			return Skipped
		}
	}
	switch {
	case !allEnded:
		return Waiting
	case n.Trigger == template.AnyNotDone && allDone:
		return Skipped
	}
	return Ready
}

// decideUntriggered decides on a handler that no step's end has triggered: once all the steps that could have ended, it
// never runs.
func (t *Tree) decideUntriggered(c *cursor, handler *graph.Node) StepState {
	for _, i := range t.Graph.Scopes[handler.Scope].Steps {
		n := &t.Graph.Nodes[i]
		handles := n.FailedHandler >= 0 && &t.Graph.Nodes[n.FailedHandler] == handler ||
			n.UnknownHandler >= 0 && &t.Graph.Nodes[n.UnknownHandler] == handler
		if handles && !c.item().Steps[n.Index].State.Ended() {
			return Waiting
		}
	}
	return Skipped
}

// dependencyOutcome returns whether a step has ended as one of a scope sees it, and whether as done. A step that lies in
// a fan-out which does not contain the scope has ended once it has in all items.
func (t *Tree) dependencyOutcome(c *cursor, scope, step int) (ended, done bool) {
	n := &t.Graph.Nodes[step]
	common := t.Graph.CommonScope(scope, n.Scope)
	depth := t.Graph.Scopes[common].Depth
	if common == n.Scope {
		state := c.items[depth].Steps[n.Index].State
		return state.Ended(), state == Done
	}
	f := c.fanOut(depth, t.Graph.ChildToward(common, n.Scope))
	counts := f.Outcomes[step]
	return f.ItemsKnown && counts.Ended >= f.ItemCount, counts.NotDone == 0 && !f.SourceFailed
}

// propagate evaluates what an end in the cursor's item can have changed: the items nested in it, those around it, and
// steps that wait for a fan-out which ended with it.
func (t *Tree) propagate(c cursor, now time.Duration) {
	t.evaluateBelow(c, now)
	t.createItems(c, now)
	t.ascend(c, now)
	t.wakeWaiting(c, now)
}

// wakeWaiting evaluates the items on the cursor's path in which steps may wait for a fan-out that has ended for a step
// meanwhile, until there are none.
func (t *Tree) wakeWaiting(c cursor, now time.Duration) {
	for len(t.wakeDepths) > 0 {
		depth := slices.Min(t.wakeDepths)
		t.wakeDepths = t.wakeDepths[:0]
		at := c
		for at.depth > depth {
			at = at.parent()
		}
		t.evaluateBelow(at, now)
		t.createItems(at, now)
		t.ascend(at, now)
	}
}

// limitWakeDepths lowers what was recorded in items nested below a depth of the path to that depth: wakeDepths are
// depths of the walked path, and those items lie off it.
func (t *Tree) limitWakeDepths(depth int) {
	for i := range t.wakeDepths {
		t.wakeDepths[i] = min(t.wakeDepths[i], depth)
	}
}

// ascend releases the items on the cursor's path in which all has ended, and evaluates the items around them.
func (t *Tree) ascend(c cursor, now time.Duration) {
	for c.depth > 0 {
		ended := c.item().ended()
		index, scope := c.path[c.depth-1], c.scopes[c.depth]
		c = c.parent()
		if ended {
			delete(c.fanOut(c.depth, scope).LiveItems, index)
			t.LiveItems--
		}
		t.evaluate(c, now)
		t.createItems(c, now)
	}
}

// evaluateBelow evaluates the cursor's item and all live items nested in it, and releases those in which all has ended.
func (t *Tree) evaluateBelow(c cursor, now time.Duration) {
	t.evaluate(c, now)
	for k, s := range c.scope().Children {
		f := &c.item().FanOuts[k]
		if len(f.LiveItems) == 0 {
			continue
		}
		for _, i := range sortedIndices(f.LiveItems) {
			nested := c.child(s, i, f.LiveItems[i])
			t.evaluateBelow(nested, now)
			t.createItems(nested, now)
			t.limitWakeDepths(c.depth)
			if nested.item().ended() {
				delete(f.LiveItems, i)
				t.LiveItems--
			}
		}
	}
	t.evaluate(c, now)
}

// createItems creates further items of the fan-outs of the cursor's item, as many as mayCreate lets it.
func (t *Tree) createItems(c cursor, now time.Duration) {
	for k, s := range c.scope().Children {
		f := &c.item().FanOuts[k]
		for t.mayCreate(f, s) {
			t.createItem(c, now, s, f)
		}
		t.evaluate(c, now)
	}
}

// mayCreate reports whether a fan-out may have another item now: the window has room, or none of its items is live (so
// that each fan-out makes progress however full the window is), or its items wait for each other.
func (t *Tree) mayCreate(f *FanOut, scope int) bool {
	if t.NoNewSteps || !f.ItemsKnown || f.NextItem >= f.ItemCount {
		return false
	}
	return len(f.LiveItems) == 0 || t.Graph.Scopes[scope].Unwindowed || t.LiveItems < t.Graph.Template.Window()
}

// createItem creates the next item of a fan-out of the cursor's item. It is kept only where not all in it ends at once.
func (t *Tree) createItem(c cursor, now time.Duration, scope int, f *FanOut) {
	index := f.NextItem
	it := t.newItem(scope)
	it.Value = t.itemValue(scope, f, index)
	nested := c.child(scope, index, it)
	t.LiveItems++
	f.NextItem++
	t.evaluate(nested, now)
	t.createItems(nested, now)
	t.limitWakeDepths(c.depth)
	if it.ended() {
		t.LiveItems--
		return
	}
	if f.LiveItems == nil {
		f.LiveItems = map[int]*Item{}
	}
	f.LiveItems[index] = it
}

// itemValue returns the value of an item: as the source step's result or the input lists it, or its index where the input
// is a mere count.
func (t *Tree) itemValue(scope int, f *FanOut, index int) string {
	if f.ItemValues != nil {
		return f.ItemValues[index]
	}
	if items := t.Inputs[t.Graph.Scopes[scope].Input].Items; len(items) > 0 {
		return items[index]
	}
	return strconv.Itoa(index)
}
