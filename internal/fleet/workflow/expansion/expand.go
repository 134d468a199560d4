// Package expansion is a flow as it grows: the generator that makes steps of a graph one item of a
// fan-out after the other, so that a flow of a million steps is never whole in memory, and forgets
// an item once all in it has ended. What it holds is bounded by the template's window.
//
// It must never decide who runs a step (package ledger), and has no clock, draw or I/O.
package expansion

import (
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/template"
)

// State is how far one step of a flow is.
type State uint8

// The states; from Done on it has ended.
const (
	Waiting State = iota // for what it needs
	Ready                // to be claimed, from Since on
	Claimed              // by a dispatcher
	Stuck                // an operator is to settle it
	Done
	Failed
	Unknown // it may have run, and nobody knows how it ended
	Skipped // its condition did not come about
)

func (s State) String() string {
	return [...]string{"waiting", "ready", "claimed", "stuck", "done", "failed", "unknown", "skipped"}[min(s, Skipped)]
}

// Ended tells whether nothing more becomes of it.
func (s State) Ended() bool { return s >= Done }

// Ref names one step of a flow: which of the graph, and in which item of each fan-out around it.
type Ref struct {
	Step int
	Path [template.MaxDepth]int
}

// Run is one step of a flow.
type Run struct {
	State  State         `cbor:"1,keyasint,omitempty"`
	Since  time.Duration `cbor:"2,keyasint,omitempty"` // of this state
	From   time.Duration `cbor:"3,keyasint,omitempty"` // when all it needs had ended
	Claim  uint64        `cbor:"4,keyasint,omitempty"` // the number under which it is claimed, or was last
	Marked time.Duration `cbor:"5,keyasint,omitempty"` // it may have run from then on; 0: it has not
	Until  time.Duration `cbor:"6,keyasint,omitempty"` // it may be repeated; 0: never, once it may have run
	Cell   int           `cbor:"7,keyasint,omitempty"` // one more than the cell it may have run in; 0: any
	Tries  int           `cbor:"8,keyasint,omitempty"` // that may have run
	Active bool          `cbor:"9,keyasint,omitempty"` // another step's end has said that it runs
	Was    State         `cbor:"10,keyasint,omitempty"`
	Turn   int           `cbor:"14,keyasint,omitempty"` // of its claim's latest mark
	Sure   bool          `cbor:"13,keyasint,omitempty"` // an operator knows that it has not run
	Result []byte        `cbor:"11,keyasint,omitempty"` // where later steps take it
	Why    string        `cbor:"12,keyasint,omitempty"`
}

// Tally counts in how many items of a fan-out a step has ended, and in how many not as done.
type Tally struct{ Ended, Bad int }

// Fan is one fan-out.
type Fan struct {
	Known  bool          `cbor:"1,keyasint,omitempty"` // its items are
	Void   bool          `cbor:"2,keyasint,omitempty"` // whatever would have told them has not ended as done
	Width  int           `cbor:"3,keyasint,omitempty"`
	Next   int           `cbor:"4,keyasint,omitempty"` // the first that is not begun
	Live   map[int]*Item `cbor:"5,keyasint,omitempty"`
	Values []string      `cbor:"6,keyasint,omitempty"` // where a result tells them
	Ends   map[int]Tally `cbor:"7,keyasint,omitempty"` // by step
}

func (f *Fan) over() bool { return f.Known && f.Next == f.Width && len(f.Live) == 0 }

// Item is one item of a fan-out, or the flow itself.
type Item struct {
	Value string `cbor:"1,keyasint,omitempty"`
	Runs  []Run  `cbor:"2,keyasint"`
	Fans  []Fan  `cbor:"3,keyasint,omitempty"`
}

// Input is one list that a flow is submitted with: by its items, or by how many there are.
type Input struct {
	Items []string `cbor:"1,keyasint,omitempty"`
	Count int      `cbor:"2,keyasint,omitempty"`
}

// Len is how many items it has.
func (in Input) Len() int { return max(len(in.Items), in.Count) }

// Tree is one flow.
type Tree struct {
	G      *graph.Graph     `cbor:"-"`
	Root   *Item            `cbor:"1,keyasint"`
	Inputs map[string]Input `cbor:"2,keyasint,omitempty"`
	Live   int              `cbor:"3,keyasint"`           // items of fan-outs that are under way
	Shut   bool             `cbor:"4,keyasint,omitempty"` // nothing more is begun
	Ends   [4]int           `cbor:"5,keyasint"`           // steps that have ended, by how
	Begun  int              `cbor:"6,keyasint"`           // steps made so far

	fresh []Ref // that have become ready since they were last taken
	woken []int // depths, of the chain that is gone along, at which a whole fan-out has ended for a step
}

// New makes a flow of a graph; Start begins it.
func New(g *graph.Graph, inputs map[string]Input) *Tree {
	t := &Tree{G: g, Inputs: inputs}
	t.Root = t.item(0)
	return t
}

func (t *Tree) item(scope int) *Item {
	s := &t.G.Scopes[scope]
	t.Begun += len(s.Steps)
	return &Item{Runs: make([]Run, len(s.Steps)), Fans: make([]Fan, len(s.Subs))}
}

// chain is the items around a place, the flow itself first.
type chain struct {
	t      *Tree
	scopes [template.MaxDepth + 1]int
	items  [template.MaxDepth + 1]*Item
	path   [template.MaxDepth]int
	depth  int
}

func (c *chain) last() *Item { return c.items[c.depth] }

// fan is the fan-out of a scope at a depth of the chain.
func (c *chain) fan(depth, scope int) *Fan {
	return &c.items[depth].Fans[slices.Index(c.t.G.Scopes[c.scopes[depth]].Subs, scope)]
}

func (c chain) within(scope, index int, it *Item) chain {
	c.path[c.depth] = index
	c.depth++
	c.scopes[c.depth], c.items[c.depth] = scope, it
	return c
}

func (c chain) up() chain {
	c.depth--
	c.path[c.depth] = 0
	return c
}

// at is the chain to a step; false where its item is not under way.
func (t *Tree) at(r Ref) (c chain, ok bool) {
	if r.Step < 0 || r.Step >= len(t.G.Nodes) {
		return c, false
	}
	scope := t.G.Nodes[r.Step].Scope
	var way [template.MaxDepth + 1]int
	for s := scope; s > 0; s = t.G.Scopes[s].Parent {
		way[t.G.Scopes[s].Depth] = s
	}
	c.t, c.items[0] = t, t.Root
	for d := 1; d <= t.G.Scopes[scope].Depth; d++ {
		it := c.fan(d-1, way[d]).Live[r.Path[d-1]]
		if it == nil {
			return c, false
		}
		c = c.within(way[d], r.Path[d-1], it)
	}
	return c, true
}

// Run is one step's; nil where its item is not under way.
func (t *Tree) Run(r Ref) *Run {
	c, ok := t.at(r)
	if !ok {
		return nil
	}
	return &c.last().Runs[t.G.Nodes[r.Step].Place]
}

// Values are the items around a step, the outermost first.
func (t *Tree) Values(r Ref) (out []string) {
	c, ok := t.at(r)
	for d := 1; ok && d <= c.depth; d++ {
		out = append(out, c.items[d].Value)
	}
	return out
}

// Needed is what a step's needs have given: results of those in its own items and around them, and
// of whole fan-outs how many have ended how.
func (t *Tree) Needed(r Ref) (results map[string]string, tallies map[string]Tally) {
	c, ok := t.at(r)
	if !ok {
		return nil, nil
	}
	n := &t.G.Nodes[r.Step]
	for _, j := range n.Needs {
		m := &t.G.Nodes[j]
		common := t.G.Common(n.Scope, m.Scope)
		if d := t.G.Scopes[common].Depth; common == m.Scope {
			if run := c.items[d].Runs[m.Place]; len(run.Result) > 0 {
				if results == nil {
					results = map[string]string{}
				}
				results[m.Name] = string(run.Result)
			}
		} else {
			if tallies == nil {
				tallies = map[string]Tally{}
			}
			tallies[m.Name] = c.fan(d, t.G.Toward(common, m.Scope)).Ends[j]
		}
	}
	return results, tallies
}

// Start begins the flow.
func (t *Tree) Start(now time.Duration) {
	c := chain{t: t}
	c.items[0] = t.Root
	for _, s := range t.G.Scopes[0].Subs {
		if in := t.G.Scopes[s].Input; in != "" {
			f := c.fan(0, s)
			f.Known, f.Width = true, t.Inputs[in].Len()
			t.none(c, s, f)
		}
	}
	t.settle(c, now)
	t.open(c, now)
	t.wake(c, now)
}

// Fresh are the steps that have become ready since it was last asked.
func (t *Tree) Fresh() []Ref {
	out := t.fresh
	t.fresh = nil
	return out
}

// Over tells whether all of it has ended.
func (t *Tree) Over() bool {
	return !slices.ContainsFunc(t.Root.Runs, func(r Run) bool { return !r.State.Ended() }) &&
		!slices.ContainsFunc(t.Root.Fans, func(f Fan) bool { return !f.over() })
}

// End notes how a step has ended, and begins what has waited for it. items are those of fan-outs
// over its result.
func (t *Tree) End(now time.Duration, r Ref, how State, result []byte, items []string) {
	c, ok := t.at(r)
	if !ok {
		return
	}
	n := &t.G.Nodes[r.Step]
	run := &c.last().Runs[n.Place]
	if run.State.Ended() {
		return
	}
	run.State, run.Since = how, now
	if run.Result = nil; how == Done && len(result) > 0 {
		run.Result = result
	}
	next := -1
	if how == Failed {
		next = n.Failed
	} else if how == Unknown {
		next = n.Unknown
	}
	if next >= 0 {
		c.last().Runs[t.G.Nodes[next].Place].Active = true
	}
	t.ended(c, r.Step, items)
	t.settle(c, now)
	t.after(c, now)
}

// Wake goes through all that is under way: for one that was shut and goes on.
func (t *Tree) Wake(now time.Duration) {
	c := chain{t: t}
	c.items[0] = t.Root
	t.down(c, now)
	t.open(c, now)
	t.wake(c, now)
}

// ended counts an end where fan-outs are counted, and makes the items known of those over its result.
func (t *Tree) ended(c chain, step int, items []string) {
	run := &c.last().Runs[t.G.Nodes[step].Place]
	t.Ends[run.State-Done]++
	t.count(c, step, run.State == Done)
	for _, s := range t.G.Nodes[step].Fans {
		f := c.fan(c.depth, s)
		f.Known, f.Void = true, run.State != Done
		if !f.Void {
			f.Values, f.Width = items, len(items)
		}
		t.none(c, s, f)
	}
}

// count counts the end of a step in an item at each fan-out that it completes.
func (t *Tree) count(c chain, step int, ok bool) {
	for d := c.depth; d > 0; d-- {
		f := c.fan(d-1, c.scopes[d])
		if f.Ends == nil {
			f.Ends = map[int]Tally{}
		}
		e := f.Ends[step]
		e.Ended++
		if !ok {
			e.Bad++
		}
		if f.Ends[step] = e; !f.Known || e.Ended < f.Width {
			return
		}
		ok = e.Bad == 0
		t.woken = append(t.woken, d-1)
	}
}

// none counts the steps of a fan-out without items as ended.
func (t *Tree) none(c chain, scope int, f *Fan) {
	if f.Width > 0 {
		return
	}
	t.woken = append(t.woken, c.depth)
	var all func(s int)
	all = func(s int) {
		for _, i := range t.G.Scopes[s].Steps {
			t.count(c, i, !f.Void)
		}
		for _, sub := range t.G.Scopes[s].Subs {
			all(sub)
		}
	}
	all(scope)
}

// Any tells whether a step is in a state.
func (t *Tree) Any(s State) (any bool) {
	t.Each(func(_ Ref, run *Run) { any = any || run.State == s })
	return any
}

// Each calls f for every step that is under way, in order.
func (t *Tree) Each(f func(r Ref, run *Run)) {
	c := chain{t: t}
	c.items[0] = t.Root
	t.each(c, f)
}

func (t *Tree) each(c chain, f func(r Ref, run *Run)) {
	for _, i := range t.G.Scopes[c.scopes[c.depth]].Steps {
		f(Ref{i, c.path}, &c.last().Runs[t.G.Nodes[i].Place])
	}
	for k, s := range t.G.Scopes[c.scopes[c.depth]].Subs {
		fan := &c.last().Fans[k]
		for _, i := range keys(fan.Live) {
			t.each(c.within(s, i, fan.Live[i]), f)
		}
	}
}
