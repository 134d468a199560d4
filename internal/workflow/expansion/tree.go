// Package expansion is the run state of one workflow: a [Tree] whose items are expanded lazily from the compiled
// template, one item of a fan-out after the other. At most the template's window of items is live at once, and an item
// is released as soon as all in it has ended, so that a workflow of a million steps never stands in memory as a whole.
//
// A step becomes ready only when all that it depends on has ended and its trigger rule holds. Who runs a ready step is
// decided elsewhere (package claims), which reports each end with [Tree.EndStep].
//
// A Tree is part of the coordinators' replicated state, so the same calls in the same order give the same tree on each
// of them. There is no clock (times are handed in, all of the replicated state's own time), randomness or I/O.
package expansion

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// StepState is how far one step of a workflow has come.
type StepState uint8

// The states, in the order of their encoding. From Done on a step has ended, which is final.
const (
	Waiting          StepState = iota // for steps it depends on
	Ready                             // to be claimed, from StateSince on
	Claimed                           // by a dispatcher
	AwaitingOperator                  // its template holds the workflow until an operator has resolved it
	Done
	Failed
	Unknown // it may have run, and nobody knows with what outcome
	Skipped // its trigger rule did not hold
)

// String returns the state's word on the operators' console.
func (s StepState) String() string {
	return [...]string{"waiting", "ready", "claimed", "stuck", "done", "failed", "unknown", "skipped"}[min(s, Skipped)]
}

// Ended reports whether the state is final.
func (s StepState) Ended() bool { return s >= Done }

// EndCounts counts the steps that have ended as Done, Failed, Unknown and Skipped, in this order.
type EndCounts [4]int

// Of returns how many steps have ended in a final state.
func (c *EndCounts) Of(state StepState) int { return c[state-Done] }

// Total returns how many steps have ended.
func (c *EndCounts) Total() int { return c[0] + c[1] + c[2] + c[3] }

func (c *EndCounts) add(state StepState) { c[state-Done]++ }

// StepRef names one step of a workflow.
type StepRef struct {
	Step int                          // index of its node in the graph
	Path [template.MaxFanOutDepth]int // index of the item in each fan-out around it, the outermost first; 0 beyond its depth
}

// StepRun is the run state of one step.
type StepRun struct {
	State         StepState     `cbor:"1,keyasint,omitempty"`
	StateSince    time.Duration `cbor:"2,keyasint,omitempty" json:"Since"` // for Ready: not to be claimed before
	EligibleSince time.Duration `cbor:"3,keyasint,omitempty" json:"From"`  // when all it depends on had ended

	// Set by package claims.
	ClaimNumber        uint64        `cbor:"4,keyasint,omitempty" json:"Claim"`  // of its current claim, or of the last
	PossiblyExecutedAt time.Duration `cbor:"5,keyasint,omitempty" json:"Marked"` // when the last intent to dispatch it was recorded; 0: it has not run
	RepeatableUntil    time.Duration `cbor:"6,keyasint,omitempty" json:"Until"`  // until when it may be repeated; 0: never, once it may have run
	PinnedCell         int           `cbor:"7,keyasint,omitempty" json:"Cell"`   // one more than the only cell that drops a repeat of it; 0: all do
	Attempts           int           `cbor:"8,keyasint,omitempty" json:"Tries"`  // attempts that may have run
	OutcomeBeforeHold  StepState     `cbor:"10,keyasint,omitempty" json:"Was"`   // of AwaitingOperator: the outcome that held it
	IntentSequence     int           `cbor:"14,keyasint,omitempty" json:"Turn"`  // of its claim's last recorded intent; 0: none
	ConfirmedNotRun    bool          `cbor:"13,keyasint,omitempty" json:"Sure"`  // an operator has said that it has not run
	Reason             string        `cbor:"12,keyasint,omitempty" json:"Why"`   // of its last end, for operators

	HandlerTriggered bool   `cbor:"9,keyasint,omitempty" json:"Active"` // a step that it handles has ended so that it runs
	Result           []byte `cbor:"11,keyasint,omitempty"`              // kept only where it is passed on to later steps
}

// OutcomeCounts counts in how many items of a fan-out a step has ended, and in how many of these not as done. It is sent
// to workers in the body of steps that depend on a whole fan-out.
type OutcomeCounts struct {
	Ended   int
	NotDone int `cbor:"Bad" json:"Bad"`
}

// FanOut is the run state of one fan-out within one item.
type FanOut struct {
	ItemsKnown   bool                  `cbor:"1,keyasint,omitempty" json:"Known"` // the number of its items is known
	SourceFailed bool                  `cbor:"2,keyasint,omitempty" json:"Void"`  // the step that would list its items has not ended as done: there are none
	ItemCount    int                   `cbor:"3,keyasint,omitempty" json:"Width"`
	NextItem     int                   `cbor:"4,keyasint,omitempty" json:"Next"` // the first that has not been created
	LiveItems    map[int]*Item         `cbor:"5,keyasint,omitempty" json:"Live"` // created and not all ended, by index
	ItemValues   []string              `cbor:"6,keyasint,omitempty" json:"Values"`
	Outcomes     map[int]OutcomeCounts `cbor:"7,keyasint,omitempty" json:"Ends"` // by step index
}

func (f *FanOut) ended() bool {
	return f.ItemsKnown && f.NextItem == f.ItemCount && len(f.LiveItems) == 0
}

// Item is one item of a fan-out, or the workflow itself: a run of each step of its scope.
type Item struct {
	Value   string    `cbor:"1,keyasint,omitempty"`
	Steps   []StepRun `cbor:"2,keyasint" json:"Runs"`           // by graph.Node.Index
	FanOuts []FanOut  `cbor:"3,keyasint,omitempty" json:"Fans"` // by index in graph.Scope.Children
}

func (it *Item) ended() bool {
	return !slices.ContainsFunc(it.Steps, func(r StepRun) bool { return !r.State.Ended() }) &&
		!slices.ContainsFunc(it.FanOuts, func(f FanOut) bool { return !f.ended() })
}

// Input is one list that a workflow is submitted with: its items, or how many there are.
type Input struct {
	Items []string `cbor:"1,keyasint,omitempty"`
	Count int      `cbor:"2,keyasint,omitempty"`
}

// Len returns how many items the list has.
func (in Input) Len() int { return max(len(in.Items), in.Count) }

// Tree is the run state of one workflow.
type Tree struct {
	Graph        *graph.Graph     `cbor:"-"` // set by whoever decodes a Tree
	Root         *Item            `cbor:"1,keyasint"`
	Inputs       map[string]Input `cbor:"2,keyasint,omitempty"`
	LiveItems    int              `cbor:"3,keyasint" json:"Live"`           // items of all fan-outs together
	NoNewSteps   bool             `cbor:"4,keyasint,omitempty" json:"Shut"` // no step becomes ready, and no item is created
	EndCounts    EndCounts        `cbor:"5,keyasint" json:"Ends"`
	StepsCreated int              `cbor:"6,keyasint" json:"Begun"`

	ready      []StepRef // that have become ready since TakeReady was called last
	wakeDepths []int     // depths of the items on the walked path in which steps may wait for a fan-out that ended for a step
}

// New returns the run state of a workflow that has not started. The caller starts it with [Tree.Start].
func New(g *graph.Graph, inputs map[string]Input) *Tree {
	t := &Tree{Graph: g, Inputs: inputs}
	t.Root = t.newItem(graph.Root)
	return t
}

func (t *Tree) newItem(scope int) *Item {
	s := &t.Graph.Scopes[scope]
	t.StepsCreated += len(s.Steps)
	return &Item{Steps: make([]StepRun, len(s.Steps)), FanOuts: make([]FanOut, len(s.Children))}
}

// StepRun returns the run state of a step, nil where its item is not live.
func (t *Tree) StepRun(r StepRef) *StepRun {
	c, ok := t.cursorTo(r)
	if !ok {
		return nil
	}
	return c.stepRun(r.Step)
}

// ItemValues returns the values of the items around a step, the outermost first.
func (t *Tree) ItemValues(r StepRef) (values []string) {
	c, ok := t.cursorTo(r)
	for d := 1; ok && d <= c.depth; d++ {
		values = append(values, c.items[d].Value)
	}
	return values
}

// DependencyResults returns what the steps that a step depends on have given, by their names: the results of those in
// its own item and the items around it, and the counts of outcomes of those that ran in a whole fan-out.
func (t *Tree) DependencyResults(r StepRef) (results map[string]string, counts map[string]OutcomeCounts) {
	c, ok := t.cursorTo(r)
	if !ok {
		return nil, nil
	}
	n := &t.Graph.Nodes[r.Step]
	for _, j := range n.Dependencies {
		dependency := &t.Graph.Nodes[j]
		common := t.Graph.CommonScope(n.Scope, dependency.Scope)
		depth := t.Graph.Scopes[common].Depth
		if common != dependency.Scope {
			if counts == nil {
				counts = map[string]OutcomeCounts{}
			}
			counts[dependency.Name] = c.fanOut(depth, t.Graph.ChildToward(common, dependency.Scope)).Outcomes[j]
		} else if run := c.items[depth].Steps[dependency.Index]; len(run.Result) > 0 {
			if results == nil {
				results = map[string]string{}
			}
			results[dependency.Name] = string(run.Result)
		}
	}
	return results, counts
}

// TakeReady returns the steps that have become ready since it was called last, each once.
func (t *Tree) TakeReady() []StepRef {
	ready := t.ready
	t.ready = nil
	return ready
}

// Complete reports whether all steps have ended.
func (t *Tree) Complete() bool { return t.Root.ended() }

// AnyInState reports whether some live step is in a state.
func (t *Tree) AnyInState(s StepState) (found bool) {
	t.ForEachStep(func(_ StepRef, run *StepRun) { found = found || run.State == s })
	return found
}

// ForEachStep calls f for each live step, in an order that follows from the tree alone. f must not end a step.
func (t *Tree) ForEachStep(f func(r StepRef, run *StepRun)) { t.forEachStepBelow(t.rootCursor(), f) }

func (t *Tree) forEachStepBelow(c cursor, f func(r StepRef, run *StepRun)) {
	scope := c.scope()
	for _, i := range scope.Steps {
		f(StepRef{i, c.path}, c.stepRun(i))
	}
	for k, child := range scope.Children {
		fanOut := &c.item().FanOuts[k]
		for _, i := range sortedIndices(fanOut.LiveItems) {
			t.forEachStepBelow(c.child(child, i, fanOut.LiveItems[i]), f)
		}
	}
}

// sortedIndices returns the indices of items in ascending order, so that no order of a map shows in the state.
func sortedIndices(items map[int]*Item) []int { return slices.Sorted(maps.Keys(items)) }
