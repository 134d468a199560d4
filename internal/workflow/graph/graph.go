// Package graph compiles a workflow template into the form that is executed: which step depends on which, in which
// fan-out each step lies, and how long the critical path from each step to the end of the workflow is.
//
// [Compile] rejects a template that cannot be executed with a template.Error that names the wrong key; a dependency
// cycle is reported by its path. A Graph is immutable once compiled, and the same template always gives the same graph:
// the coordinators compile it each for themselves. The package has no run state (package expansion), clock or I/O.
package graph

import (
	"slices"
	"time"

	"yardflow/internal/workflow/template"
)

// Root is the index of the scope that is the workflow itself: its steps run once.
const Root = 0

// none stands for a step or scope that there is not.
const none = -1

// Scope is one fan-out, or the workflow itself ([Root]). Its steps run once for each of its items.
type Scope struct {
	Parent     int    // index of the enclosing scope; negative for the workflow itself
	Depth      int    // fan-outs around its steps; 0 for the workflow itself
	Input      string // the input that lists its items; empty: a step's result does
	SourceStep int    // the step whose result lists its items; negative: an input does
	Steps      []int  // indices of the steps that lie directly in it
	Children   []int  // indices of the fan-outs nested directly in it

	// Unwindowed means that all its items are live at once, whatever the template's window: they wait for a step outside
	// that itself waits for all of them, so that a window's worth of items alone would deadlock.
	Unwindowed bool
}

// Node is one step of a compiled template.
type Node struct {
	template.Step
	Scope                 int
	Index                 int           // its index among Scope's steps
	Dependencies          []int         // the steps of Step.Needs
	IsHandler             bool          // it runs only as the reaction to another step's end
	FailedHandler         int           // the step that runs when this one fails; negative: none
	UnknownHandler        int           // the step that runs when this one's outcome is unknown; negative: none
	RemainingCriticalPath time.Duration // expected time from its start to the end of the workflow, along the longest path
	FanOuts               []int         // the scopes whose items its result lists
	ResultUsed            bool          // its result is passed on: other steps need it, or fan out over it
	Compensates           bool          // it takes back what a failed step has done
}

// Graph is a compiled template.
type Graph struct {
	Template     template.Template
	Scopes       []Scope
	Nodes        []Node        // by the index of the step in the template
	CriticalPath time.Duration // expected time from submission to the end when nothing has to queue
}

// CommonScope returns the innermost scope that contains both a and b.
func (g *Graph) CommonScope(a, b int) int {
	for !g.contains(a, b) {
		a = g.Scopes[a].Parent
	}
	return a
}

// ChildToward returns the scope directly in outer that contains inner. The caller knows that outer contains inner and is
// not the same.
func (g *Graph) ChildToward(outer, inner int) int {
	for g.Scopes[inner].Parent != outer {
		inner = g.Scopes[inner].Parent
	}
	return inner
}

// contains reports whether a scope is outer, or is nested in it at any depth.
func (g *Graph) contains(outer, scope int) bool {
	for ; scope >= 0; scope = g.Scopes[scope].Parent {
		if scope == outer {
			return true
		}
	}
	return false
}

// InputNames returns the names of the lists that a workflow has to be submitted with.
func (g *Graph) InputNames() (names []string) {
	for _, s := range g.Scopes {
		if s.Input != "" {
			names = append(names, s.Input)
		}
	}
	return names
}

// MomentNames returns the names of the moments that a workflow has to be submitted with.
func (g *Graph) MomentNames() (names []string) {
	for _, n := range g.Nodes {
		if n.StartMoment != "" && !slices.Contains(names, n.StartMoment) {
			names = append(names, n.StartMoment)
		}
	}
	return names
}

// predecessors returns the steps that have to end before step can start: those it needs, the one whose result it fans
// out over, and those that it is the handler of.
func (g *Graph) predecessors(step int) (steps []int) {
	n := &g.Nodes[step]
	steps = append(steps, n.Dependencies...)
	for i := range g.Nodes {
		other := &g.Nodes[i]
		if other.FailedHandler == step || other.UnknownHandler == step || n.FanOutOver != "" && n.FanOutOver == other.Name {
			steps = append(steps, i)
		}
	}
	return steps
}
