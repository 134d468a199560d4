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

// StepState is how far one step of a flow is.
type StepState uint8

// The states; from Done on it has ended.
const (
	Waiting          StepState = iota // for what it needs
	Ready                             // to be claimed, from Since on
	Claimed                           // by a dispatcher
	AwaitingOperator                  // an operator is to settle it
	Done
	Failed
	Unknown // it may have run, and nobody knows how it ended
	Skipped // its condition did not come about
)

func (s StepState) String() string {
	return [...]string{"waiting", "ready", "claimed", "stuck", "done", "failed", "unknown", "skipped"}[min(s, Skipped)]
}

// Ended tells whether nothing more becomes of it.
func (s StepState) Ended() bool { return s >= Done }

// StepRef names one step of a flow: which of the graph, and in which item of each fan-out around it.
type StepRef struct {
	Step int
	Path [template.MaxFanOutDepth]int
}

// StepRun is one step of a flow.
type StepRun struct {
	State              StepState     `cbor:"1,keyasint,omitempty"`
	StateSince         time.Duration `cbor:"2,keyasint,omitempty" json:"Since"`  // of this state
	EligibleSince      time.Duration `cbor:"3,keyasint,omitempty" json:"From"`   // when all it needs had ended
	ClaimNumber        uint64        `cbor:"4,keyasint,omitempty" json:"Claim"`  // the number under which it is claimed, or was last
	PossiblyExecutedAt time.Duration `cbor:"5,keyasint,omitempty" json:"Marked"` // it may have run from then on; 0: it has not
	RepeatableUntil    time.Duration `cbor:"6,keyasint,omitempty" json:"Until"`  // it may be repeated; 0: never, once it may have run
	PinnedCell         int           `cbor:"7,keyasint,omitempty" json:"Cell"`   // one more than the cell it may have run in; 0: any
	Attempts           int           `cbor:"8,keyasint,omitempty" json:"Tries"`  // that may have run
	HandlerTriggered   bool          `cbor:"9,keyasint,omitempty" json:"Active"` // another step's end has said that it runs
	OutcomeBeforeHold  StepState     `cbor:"10,keyasint,omitempty" json:"Was"`
	IntentSequence     int           `cbor:"14,keyasint,omitempty" json:"Turn"` // of its claim's latest mark
	ConfirmedNotRun    bool          `cbor:"13,keyasint,omitempty" json:"Sure"` // an operator knows that it has not run
	Result             []byte        `cbor:"11,keyasint,omitempty"`             // where later steps take it
	Reason             string        `cbor:"12,keyasint,omitempty" json:"Why"`
}

// OutcomeCounts counts in how many items of a fan-out a step has ended, and in how many not as done.
type OutcomeCounts struct {
	Ended   int
	NotDone int `cbor:"Bad" json:"Bad"`
}

// FanOut is one fan-out.
type FanOut struct {
	ItemsKnown   bool                  `cbor:"1,keyasint,omitempty" json:"Known"` // its items are
	SourceFailed bool                  `cbor:"2,keyasint,omitempty" json:"Void"`  // whatever would have told them has not ended as done
	ItemCount    int                   `cbor:"3,keyasint,omitempty" json:"Width"`
	NextItem     int                   `cbor:"4,keyasint,omitempty" json:"Next"` // the first that is not begun
	LiveItems    map[int]*Item         `cbor:"5,keyasint,omitempty" json:"Live"`
	ItemValues   []string              `cbor:"6,keyasint,omitempty" json:"Values"` // where a result tells them
	EndCounts    map[int]OutcomeCounts `cbor:"7,keyasint,omitempty" json:"Ends"`   // by step
}

func (f *FanOut) over() bool {
	return f.ItemsKnown && f.NextItem == f.ItemCount && len(f.LiveItems) == 0
}

// Item is one item of a fan-out, or the flow itself.
type Item struct {
	Value   string    `cbor:"1,keyasint,omitempty"`
	Steps   []StepRun `cbor:"2,keyasint" json:"Runs"`
	FanOuts []FanOut  `cbor:"3,keyasint,omitempty" json:"Fans"`
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
	Graph        *graph.Graph     `cbor:"-"`
	Root         *Item            `cbor:"1,keyasint"`
	Inputs       map[string]Input `cbor:"2,keyasint,omitempty"`
	LiveItems    int              `cbor:"3,keyasint" json:"Live"`           // items of fan-outs that are under way
	NoNewSteps   bool             `cbor:"4,keyasint,omitempty" json:"Shut"` // nothing more is begun
	EndCounts    [4]int           `cbor:"5,keyasint" json:"Ends"`           // steps that have ended, by how
	StepsCreated int              `cbor:"6,keyasint" json:"Begun"`          // steps made so far

	fresh []StepRef // that have become ready since they were last taken
	woken []int     // depths, of the chain that is gone along, at which a whole fan-out has ended for a step
}

// New makes a flow of a graph; Start begins it.
func New(g *graph.Graph, inputs map[string]Input) *Tree {
	t := &Tree{Graph: g, Inputs: inputs}
	t.Root = t.item(0)
	return t
}

func (t *Tree) item(scope int) *Item {
	s := &t.Graph.Scopes[scope]
	t.StepsCreated += len(s.Steps)
	return &Item{Steps: make([]StepRun, len(s.Steps)), FanOuts: make([]FanOut, len(s.Children))}
}

// chain is the items around a place, the flow itself first.
type chain struct {
	t      *Tree
	scopes [template.MaxFanOutDepth + 1]int
	items  [template.MaxFanOutDepth + 1]*Item
	path   [template.MaxFanOutDepth]int
	depth  int
}

func (c *chain) last() *Item { return c.items[c.depth] }

// fan is the fan-out of a scope at a depth of the chain.
func (c *chain) fan(depth, scope int) *FanOut {
	return &c.items[depth].FanOuts[slices.Index(c.t.Graph.Scopes[c.scopes[depth]].Children, scope)]
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
func (t *Tree) at(r StepRef) (c chain, ok bool) {
	if r.Step < 0 || r.Step >= len(t.Graph.Nodes) {
		return c, false
	}
	scope := t.Graph.Nodes[r.Step].Scope
	var way [template.MaxFanOutDepth + 1]int
	for s := scope; s > 0; s = t.Graph.Scopes[s].Parent {
		way[t.Graph.Scopes[s].Depth] = s
	}
	c.t, c.items[0] = t, t.Root
	for d := 1; d <= t.Graph.Scopes[scope].Depth; d++ {
		it := c.fan(d-1, way[d]).LiveItems[r.Path[d-1]]
		if it == nil {
			return c, false
		}
		c = c.within(way[d], r.Path[d-1], it)
	}
	return c, true
}

// StepRun is one step's; nil where its item is not under way.
func (t *Tree) StepRun(r StepRef) *StepRun {
	c, ok := t.at(r)
	if !ok {
		return nil
	}
	return &c.last().Steps[t.Graph.Nodes[r.Step].Index]
}

// ItemValues are the items around a step, the outermost first.
func (t *Tree) ItemValues(r StepRef) (out []string) {
	c, ok := t.at(r)
	for d := 1; ok && d <= c.depth; d++ {
		out = append(out, c.items[d].Value)
	}
	return out
}

// DependencyResults is what a step's needs have given: results of those in its own items and around them, and
// of whole fan-outs how many have ended how.
func (t *Tree) DependencyResults(r StepRef) (results map[string]string, tallies map[string]OutcomeCounts) {
	c, ok := t.at(r)
	if !ok {
		return nil, nil
	}
	n := &t.Graph.Nodes[r.Step]
	for _, j := range n.Dependencies {
		m := &t.Graph.Nodes[j]
		common := t.Graph.CommonScope(n.Scope, m.Scope)
		if d := t.Graph.Scopes[common].Depth; common == m.Scope {
			if run := c.items[d].Steps[m.Index]; len(run.Result) > 0 {
				if results == nil {
					results = map[string]string{}
				}
				results[m.Name] = string(run.Result)
			}
		} else {
			if tallies == nil {
				tallies = map[string]OutcomeCounts{}
			}
			tallies[m.Name] = c.fan(d, t.Graph.ChildToward(common, m.Scope)).EndCounts[j]
		}
	}
	return results, tallies
}

// Start begins the flow.
func (t *Tree) Start(now time.Duration) {
	c := chain{t: t}
	c.items[0] = t.Root
	for _, s := range t.Graph.Scopes[0].Children {
		if in := t.Graph.Scopes[s].Input; in != "" {
			f := c.fan(0, s)
			f.ItemsKnown, f.ItemCount = true, t.Inputs[in].Len()
			t.none(c, s, f)
		}
	}
	t.settle(c, now)
	t.open(c, now)
	t.wake(c, now)
}

// TakeReady are the steps that have become ready since it was last asked.
func (t *Tree) TakeReady() []StepRef {
	out := t.fresh
	t.fresh = nil
	return out
}

// Complete tells whether all of it has ended.
func (t *Tree) Complete() bool {
	return !slices.ContainsFunc(t.Root.Steps, func(r StepRun) bool { return !r.State.Ended() }) &&
		!slices.ContainsFunc(t.Root.FanOuts, func(f FanOut) bool { return !f.over() })
}

// EndStep notes how a step has ended, and begins what has waited for it. items are those of fan-outs
// over its result.
func (t *Tree) EndStep(now time.Duration, r StepRef, how StepState, result []byte, items []string) {
	c, ok := t.at(r)
	if !ok {
		return
	}
	n := &t.Graph.Nodes[r.Step]
	run := &c.last().Steps[n.Index]
	if run.State.Ended() {
		return
	}
	run.State, run.StateSince = how, now
	if run.Result = nil; how == Done && len(result) > 0 {
		run.Result = result
	}
	next := -1
	if how == Failed {
		next = n.FailedHandler
	} else if how == Unknown {
		next = n.UnknownHandler
	}
	if next >= 0 {
		c.last().Steps[t.Graph.Nodes[next].Index].HandlerTriggered = true
	}
	t.ended(c, r.Step, items)
	t.settle(c, now)
	t.after(c, now)
}

// Resume goes through all that is under way: for one that was shut and goes on.
func (t *Tree) Resume(now time.Duration) {
	c := chain{t: t}
	c.items[0] = t.Root
	t.down(c, now)
	t.open(c, now)
	t.wake(c, now)
}

// ended counts an end where fan-outs are counted, and makes the items known of those over its result.
func (t *Tree) ended(c chain, step int, items []string) {
	run := &c.last().Steps[t.Graph.Nodes[step].Index]
	t.EndCounts[run.State-Done]++
	t.count(c, step, run.State == Done)
	for _, s := range t.Graph.Nodes[step].FanOuts {
		f := c.fan(c.depth, s)
		f.ItemsKnown, f.SourceFailed = true, run.State != Done
		if !f.SourceFailed {
			f.ItemValues, f.ItemCount = items, len(items)
		}
		t.none(c, s, f)
	}
}

// count counts the end of a step in an item at each fan-out that it completes.
func (t *Tree) count(c chain, step int, ok bool) {
	for d := c.depth; d > 0; d-- {
		f := c.fan(d-1, c.scopes[d])
		if f.EndCounts == nil {
			f.EndCounts = map[int]OutcomeCounts{}
		}
		e := f.EndCounts[step]
		e.Ended++
		if !ok {
			e.NotDone++
		}
		if f.EndCounts[step] = e; !f.ItemsKnown || e.Ended < f.ItemCount {
			return
		}
		ok = e.NotDone == 0
		t.woken = append(t.woken, d-1)
	}
}

// none counts the steps of a fan-out without items as ended.
func (t *Tree) none(c chain, scope int, f *FanOut) {
	if f.ItemCount > 0 {
		return
	}
	t.woken = append(t.woken, c.depth)
	var all func(s int)
	all = func(s int) {
		for _, i := range t.Graph.Scopes[s].Steps {
			t.count(c, i, !f.SourceFailed)
		}
		for _, sub := range t.Graph.Scopes[s].Children {
			all(sub)
		}
	}
	all(scope)
}

// AnyInState tells whether a step is in a state.
func (t *Tree) AnyInState(s StepState) (any bool) {
	t.ForEachStep(func(_ StepRef, run *StepRun) { any = any || run.State == s })
	return any
}

// ForEachStep calls f for every step that is under way, in order.
func (t *Tree) ForEachStep(f func(r StepRef, run *StepRun)) {
	c := chain{t: t}
	c.items[0] = t.Root
	t.each(c, f)
}

func (t *Tree) each(c chain, f func(r StepRef, run *StepRun)) {
	for _, i := range t.Graph.Scopes[c.scopes[c.depth]].Steps {
		f(StepRef{i, c.path}, &c.last().Steps[t.Graph.Nodes[i].Index])
	}
	for k, s := range t.Graph.Scopes[c.scopes[c.depth]].Children {
		fan := &c.last().FanOuts[k]
		for _, i := range keys(fan.LiveItems) {
			t.each(c.within(s, i, fan.LiveItems[i]), f)
		}
	}
}
