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
	steps := t.G.Scopes[c.scopes[c.depth]].Steps
	for again := true; again; {
		again = false
		for _, i := range steps {
			n := &t.G.Nodes[i]
			run := &c.last().Runs[n.Place]
			if run.State != Waiting {
				continue
			}
			switch t.decide(&c, n) {
			case Ready:
				if t.Shut {
					continue
				}
				run.State, run.Since, run.From = Ready, now, now
				t.fresh = append(t.fresh, Ref{i, c.path})
			case Skipped:
				run.State, run.Since = Skipped, now
				t.ended(c, i, nil)
				again = true
			}
		}
	}
}

// decide says what becomes of a step that waits: Ready, Skipped, or it waits on.
func (t *Tree) decide(c *chain, n *graph.Node) State {
	if n.Dormant && !c.last().Runs[n.Place].Active {
		for _, i := range t.G.Scopes[n.Scope].Steps {
			m := &t.G.Nodes[i]
			if (m.Failed >= 0 && &t.G.Nodes[m.Failed] == n || m.Unknown >= 0 && &t.G.Nodes[m.Unknown] == n) && !c.last().Runs[m.Place].State.Ended() {
				return Waiting
			}
		}
		return Skipped
	}
	all, good := true, true
	for _, j := range n.Needs {
		ended, ok := t.status(c, n.Scope, j)
		all, good = all && ended, good && (ok || !ended)
		if !good && n.When == template.Done {
			return Skipped
		}
	}
	switch {
	case !all:
		return Waiting
	case n.When == template.Failed && good:
		return Skipped
	}
	return Ready
}

// status tells whether a step has ended as one of a scope sees it, and whether as done.
func (t *Tree) status(c *chain, scope, step int) (ended, ok bool) {
	m := &t.G.Nodes[step]
	common := t.G.Common(scope, m.Scope)
	d := t.G.Scopes[common].Depth
	if common == m.Scope {
		s := c.items[d].Runs[m.Place].State
		return s.Ended(), s == Done
	}
	f := c.fan(d, t.G.Toward(common, m.Scope))
	e := f.Ends[step]
	return f.Known && (e.Ended >= f.Width), e.Bad == 0 && !f.Void
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
			delete(c.fan(c.depth, scope).Live, index)
			t.Live--
		}
		t.settle(c, now)
		t.open(c, now)
	}
}

// complete tells whether all in the last item of a chain has ended.
func (t *Tree) complete(c chain) bool {
	it := c.last()
	return !slices.ContainsFunc(it.Runs, func(r Run) bool { return !r.State.Ended() }) &&
		!slices.ContainsFunc(it.Fans, func(f Fan) bool { return !f.over() })
}

// down settles a chain's last item and all that is under way within it.
func (t *Tree) down(c chain, now time.Duration) {
	t.settle(c, now)
	for k, s := range t.G.Scopes[c.scopes[c.depth]].Subs {
		f := &c.last().Fans[k]
		if len(f.Live) == 0 {
			continue
		}
		for _, i := range keys(f.Live) {
			in := c.within(s, i, f.Live[i])
			t.down(in, now)
			t.open(in, now)
			t.clamp(c.depth)
			if t.complete(in) {
				delete(f.Live, i)
				t.Live--
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
	for k, s := range t.G.Scopes[c.scopes[c.depth]].Subs {
		f := &c.last().Fans[k]
		for !t.Shut && f.Known && f.Next < f.Width && (len(f.Live) == 0 || t.G.Scopes[s].Whole || t.Live < t.G.Template.Window()) {
			it := t.item(s)
			it.Value = strconv.Itoa(f.Next)
			if f.Values != nil {
				it.Value = f.Values[f.Next]
			} else if items := t.Inputs[t.G.Scopes[s].Input].Items; len(items) > 0 {
				it.Value = items[f.Next]
			}
			in := c.within(s, f.Next, it)
			t.Live++
			f.Next++
			t.settle(in, now)
			t.open(in, now)
			t.clamp(c.depth)
			if t.complete(in) {
				t.Live--
				continue
			}
			if f.Live == nil {
				f.Live = map[int]*Item{}
			}
			f.Live[f.Next-1] = it
		}
		t.settle(c, now)
	}
}
