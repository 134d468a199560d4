package expansion

// This file owns how a flow grows from an end: what becomes ready, which items are opened, which are let
// go of. It must never hold more than the window lets it.

import (
	"slices"
	"strconv"
	"time"

	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/template"
)

// settle looks at all that waits in the last item of a chain.
func (t *Tree) settle(c chain, now time.Duration) {
	steps := t.Graph.Scopes[c.scopes[c.depth]].Steps
	for again := true; again; {
		again = false
		for _, i := range steps {
			n := &t.Graph.Nodes[i]
			run := &c.last().Steps[n.Index]
			if run.State != Waiting {
				continue
			}
			switch t.decide(&c, n) {
			case Ready:
				if t.NoNewSteps {
					continue
				}
				run.State, run.StateSince, run.EligibleSince = Ready, now, now
				t.fresh = append(t.fresh, StepRef{i, c.path})
			case Skipped:
				run.State, run.StateSince = Skipped, now
				t.ended(c, i, nil)
				again = true
			}
		}
	}
}

// decide says what becomes of a step that waits: Ready, Skipped, or it waits on.
func (t *Tree) decide(c *chain, n *graph.Node) StepState {
	if n.IsHandler && !c.last().Steps[n.Index].HandlerTriggered {
		for _, i := range t.Graph.Scopes[n.Scope].Steps {
			m := &t.Graph.Nodes[i]
			if (m.FailedHandler >= 0 && &t.Graph.Nodes[m.FailedHandler] == n || m.UnknownHandler >= 0 && &t.Graph.Nodes[m.UnknownHandler] == n) && !c.last().Steps[m.Index].State.Ended() {
				return Waiting
			}
		}
		return Skipped
	}
	all, good := true, true
	for _, j := range n.Dependencies {
		ended, ok := t.status(c, n.Scope, j)
		all, good = all && ended, good && (ok || !ended)
		if !good && n.Trigger == template.AllDone {
			return Skipped
		}
	}
	switch {
	case !all:
		return Waiting
	case n.Trigger == template.AnyNotDone && good:
		return Skipped
	}
	return Ready
}

// status tells whether a step has ended as one of a scope sees it, and whether as done.
func (t *Tree) status(c *chain, scope, step int) (ended, ok bool) {
	m := &t.Graph.Nodes[step]
	common := t.Graph.CommonScope(scope, m.Scope)
	d := t.Graph.Scopes[common].Depth
	if common == m.Scope {
		s := c.items[d].Steps[m.Index].State
		return s.Ended(), s == Done
	}
	f := c.fan(d, t.Graph.ChildToward(common, m.Scope))
	e := f.EndCounts[step]
	return f.ItemsKnown && (e.Ended >= f.ItemCount), e.NotDone == 0 && !f.SourceFailed
}

// after goes on from an end: down to items that have waited for it, up to what waits for a whole
// fan-out, and lets go of items in which all has ended.
func (t *Tree) after(c chain, now time.Duration) {
	t.down(c, now)
	t.open(c, now)
	t.climb(c, now)
	t.wake(c, now)
}

// wake looks at all that waits for a whole fan-out which has ended for a step meanwhile.
func (t *Tree) wake(c chain, now time.Duration) {
	for len(t.woken) > 0 {
		d := slices.Min(t.woken)
		t.woken = t.woken[:0]
		at := c
		for at.depth > d {
			at = at.up()
		}
		t.down(at, now)
		t.open(at, now)
		t.climb(at, now)
	}
}

// clamp notes that what has ended lies off the chain that is gone along, from a depth on.
func (t *Tree) clamp(depth int) {
	for i := range t.woken {
		t.woken[i] = min(t.woken[i], depth)
	}
}

// climb lets go of the items of a chain in which all has ended, and looks at what waits around them.
func (t *Tree) climb(c chain, now time.Duration) {
	for c.depth > 0 {
		done := t.complete(c)
		index, scope := c.path[c.depth-1], c.scopes[c.depth]
		c = c.up()
		if done {
			delete(c.fan(c.depth, scope).LiveItems, index)
			t.LiveItems--
		}
		t.settle(c, now)
		t.open(c, now)
	}
}

// complete tells whether all in the last item of a chain has ended.
func (t *Tree) complete(c chain) bool {
	it := c.last()
	return !slices.ContainsFunc(it.Steps, func(r StepRun) bool { return !r.State.Ended() }) &&
		!slices.ContainsFunc(it.FanOuts, func(f FanOut) bool { return !f.over() })
}

// down settles a chain's last item and all that is under way within it.
func (t *Tree) down(c chain, now time.Duration) {
	t.settle(c, now)
	for k, s := range t.Graph.Scopes[c.scopes[c.depth]].Children {
		f := &c.last().FanOuts[k]
		if len(f.LiveItems) == 0 {
			continue
		}
		for _, i := range keys(f.LiveItems) {
			in := c.within(s, i, f.LiveItems[i])
			t.down(in, now)
			t.open(in, now)
			t.clamp(c.depth)
			if t.complete(in) {
				delete(f.LiveItems, i)
				t.LiveItems--
			}
		}
	}
	t.settle(c, now)
}

func keys(m map[int]*Item) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// open begins more items of the fan-outs of a chain's last item, as far as the window lets it; one
// of each fan-out always, and all of one whose items wait for each other.
func (t *Tree) open(c chain, now time.Duration) {
	for k, s := range t.Graph.Scopes[c.scopes[c.depth]].Children {
		f := &c.last().FanOuts[k]
		for !t.NoNewSteps && f.ItemsKnown && f.NextItem < f.ItemCount && (len(f.LiveItems) == 0 || t.Graph.Scopes[s].Unwindowed || t.LiveItems < t.Graph.Template.Window()) {
			it := t.item(s)
			it.Value = strconv.Itoa(f.NextItem)
			if f.ItemValues != nil {
				it.Value = f.ItemValues[f.NextItem]
			} else if items := t.Inputs[t.Graph.Scopes[s].Input].Items; len(items) > 0 {
				it.Value = items[f.NextItem]
			}
			in := c.within(s, f.NextItem, it)
			t.LiveItems++
			f.NextItem++
			t.settle(in, now)
			t.open(in, now)
			t.clamp(c.depth)
			if t.complete(in) {
				t.LiveItems--
				continue
			}
			if f.LiveItems == nil {
				f.LiveItems = map[int]*Item{}
			}
			f.LiveItems[f.NextItem-1] = it
		}
		t.settle(c, now)
	}
}
