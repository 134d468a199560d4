// Package graph is a template made ready to run: which step waits for which, in which fan-out each
// stands, and how long the way from each to the flow's end is. A template that has no such graph is
// refused with what is wrong, a cycle by its path. It must never hold the state of a flow.
package graph

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/fleet/workflow/template"
)

// Scope is one fan-out, or the flow itself (the first).
type Scope struct {
	Parent     int    // under 0: the flow itself
	Depth      int    // of the flow itself 0
	Input      string // whose items it has; empty: a step's result
	SourceStep int    // that step; under 0: an input
	Steps      []int
	Children   []int // fan-outs within it
	Unwindowed bool  // its items wait for a step that waits for all of them: all are under way at once
}

// Node is one step.
type Node struct {
	template.Step
	Scope                 int
	Index                 int           // among its scope's steps
	Dependencies          []int         // steps
	IsHandler             bool          // runs only where another step's end says so
	FailedHandler         int           // step that is run where it fails; under 0: none
	UnknownHandler        int           // and where it is unknown
	RemainingCriticalPath time.Duration // from its start to the flow's end, on the critical path
	Below                 bool          // a step of a fan-out within its scope waits for it
	FanOuts               []int         // fan-outs over its result
	ResultUsed            bool          // its result goes to later steps
	Compensates           bool          // it takes back what a failed step has left
}

// Graph is one template's.
type Graph struct {
	Template     template.Template
	Scopes       []Scope
	Nodes        []Node
	CriticalPath time.Duration // typical time from submission to the end
}

// Compile makes a template's graph.
func Compile(t template.Template) (*Graph, error) {
	g := &Graph{Template: t, Scopes: []Scope{{Parent: -1, SourceStep: -1}}}
	at := map[string]int{}
	wrong := func(step int, key, expected, what string, args ...any) error {
		e := &template.Error{Template: t.Name, StepIndex: step, Key: key, Problem: fmt.Sprintf(what, args...), Expected: expected}
		if step >= 0 {
			e.StepName = t.Steps[step].Name
		}
		return e
	}
	switch {
	case !template.ValidName(t.Name):
		return nil, wrong(-1, "name", "1 to 100 letters, digits and . _ : @ -", "%q", t.Name)
	case len(t.Steps) == 0 || len(t.Steps) > template.MaxSteps:
		return nil, wrong(-1, "step", fmt.Sprintf("1 to %d", template.MaxSteps), "%d of them", len(t.Steps))
	case t.MaxLiveItems < 0 || t.MaxLiveItems > 100_000:
		return nil, wrong(-1, "most", "0 to 100000", "%d", t.MaxLiveItems)
	case t.MaxFanOut < 0 || t.MaxFanOut > template.MaxFanOut:
		return nil, wrong(-1, "fan", fmt.Sprintf("0 to %d", template.MaxFanOut), "%d", t.MaxFanOut)
	case !(t.DispatcherShare >= 0 && t.DispatcherShare <= 1):
		return nil, wrong(-1, "share", "0 to 1", "%v", t.DispatcherShare)
	}
	for i, s := range t.Steps {
		_, twice := at[s.Name]
		switch {
		case !template.ValidName(s.Name) || twice:
			return nil, wrong(i, "name", "a name that no other step has, of letters, digits and . _ : @ -", "%q", s.Name)
		case s.Class == "":
			return nil, wrong(i, "class", "a class of the settings", "missing")
		case s.StartDelay < 0 || s.TypicalDuration < 0:
			return nil, wrong(i, "not_before", "no time under 0", "%v, %v", s.StartDelay, s.TypicalDuration)
		case s.MaxAttempts < 0 || s.MaxAttempts > template.MaxAttempts:
			return nil, wrong(i, "tries", fmt.Sprintf("0 to %d", template.MaxAttempts), "%d", s.MaxAttempts)
		}
		at[s.Name] = i
		g.Nodes = append(g.Nodes, Node{Step: s, FailedHandler: -1, UnknownHandler: -1})
	}
	for i := range g.Nodes {
		n := &g.Nodes[i]
		for _, name := range n.Step.Needs {
			j, ok := at[name]
			if !ok {
				return nil, wrong(i, "needs", "steps of this template", "%q is none", name)
			}
			n.Dependencies = append(n.Dependencies, j)
			g.Nodes[j].ResultUsed = true
		}
		for _, r := range []struct {
			key string
			to  *int
			r   template.Reaction
		}{{"on_failed", &n.FailedHandler, n.OnFailed}, {"on_unknown", &n.UnknownHandler, n.OnUnknown}} {
			if r.r.Action != template.RunAlternative && r.r.Action != template.Compensate {
				continue
			}
			j, ok := at[r.r.Step]
			if !ok || j == i {
				return nil, wrong(i, r.key, "another step of this template", "%q is none", r.r.Step)
			}
			*r.to = j
			g.Nodes[j].IsHandler = true
			g.Nodes[j].Compensates = g.Nodes[j].Compensates || r.r.Action == template.Compensate
		}
	}
	order, err := g.sort(wrong)
	if err != nil {
		return nil, err
	}
	if err := g.fan(order, at, wrong); err != nil {
		return nil, err
	}
	for i := range g.Nodes {
		n := &g.Nodes[i]
		for _, j := range []int{n.FailedHandler, n.UnknownHandler} {
			if j < 0 {
				continue
			}
			if len(g.Nodes[j].Dependencies) > 0 || !g.within(n.Scope, g.Nodes[j].Scope) || n.Scope != g.Nodes[j].Scope {
				return nil, wrong(i, "on_failed", "a step without needs of the same fan-out", "%q is not", g.Nodes[j].Name)
			}
		}
		for _, j := range n.Dependencies {
			if g.Nodes[j].Scope != n.Scope && g.within(n.Scope, g.Nodes[j].Scope) {
				g.Nodes[j].Below = true
			}
		}
	}
	if err := g.whole(order, wrong); err != nil {
		return nil, err
	}
	for _, i := range slices.Backward(order) {
		n := &g.Nodes[i]
		n.RemainingCriticalPath += n.ExpectedDuration()
		for _, j := range g.before(i) {
			g.Nodes[j].RemainingCriticalPath = max(g.Nodes[j].RemainingCriticalPath, n.RemainingCriticalPath+n.StartDelay)
		}
		g.CriticalPath = max(g.CriticalPath, n.RemainingCriticalPath+n.StartDelay)
	}
	if t.TargetMakespan > 0 && t.TargetMakespan < g.CriticalPath {
		return nil, wrong(-1, "wanted", fmt.Sprintf("%v at least, its critical path", g.CriticalPath), "%v", t.TargetMakespan)
	}
	return g, nil
}

// before are the steps that a step waits for: its needs, the one whose result it fans out over, and
// those whose end it is run by.
func (g *Graph) before(i int) (out []int) {
	n := &g.Nodes[i]
	out = append(out, n.Dependencies...)
	for j := range g.Nodes {
		if m := &g.Nodes[j]; m.FailedHandler == i || m.UnknownHandler == i || n.FanOutOver != "" && n.FanOutOver == m.Name {
			out = append(out, j)
		}
	}
	return out
}

// sort is the steps in an order in which each comes after what it waits for; where there is none,
// the cycle by its path.
func (g *Graph) sort(wrong func(int, string, string, string, ...any) error) (order []int, err error) {
	const under, done = 1, 2
	state := make([]int, len(g.Nodes))
	var path []string
	var visit func(i int) error
	visit = func(i int) error {
		switch state[i] {
		case done:
			return nil
		case under:
			from := slices.Index(path, g.Nodes[i].Name)
			return wrong(i, "needs", "no cycle", "%s", strings.Join(append(path[from:len(path):len(path)], g.Nodes[i].Name), " needs "))
		}
		state[i] = under
		path = append(path, g.Nodes[i].Name)
		for _, j := range g.before(i) {
			if err := visit(j); err != nil {
				return err
			}
		}
		path = path[:len(path)-1]
		state[i] = done
		order = append(order, i)
		return nil
	}
	for i := range g.Nodes {
		if err := visit(i); err != nil {
			return nil, err
		}
	}
	return order, nil
}

// fan puts each step into its fan-out. A step that fans out over another's result stands within
// that one's; steps over the same input or result share one.
func (g *Graph) fan(order []int, at map[string]int, wrong func(int, string, string, string, ...any) error) error {
	for _, i := range order {
		n := &g.Nodes[i]
		if n.FanOutOver != "" {
			parent, input, source := 0, n.FanOutOver, -1
			if j, ok := at[n.FanOutOver]; ok {
				parent, input, source = g.Nodes[j].Scope, "", j
			}
			n.Scope = slices.IndexFunc(g.Scopes, func(s Scope) bool { return s.Parent == parent && s.Input == input && s.SourceStep == source })
			if n.Scope < 0 {
				n.Scope = len(g.Scopes)
				g.Scopes = append(g.Scopes, Scope{Parent: parent, Depth: g.Scopes[parent].Depth + 1, Input: input, SourceStep: source})
				g.Scopes[parent].Children = append(g.Scopes[parent].Children, n.Scope)
				if source >= 0 {
					g.Nodes[source].FanOuts = append(g.Nodes[source].FanOuts, n.Scope)
					g.Nodes[source].ResultUsed = true
				}
			}
			if g.Scopes[n.Scope].Depth > template.MaxFanOutDepth {
				return wrong(i, "each", fmt.Sprintf("%d fan-outs within each other at the most", template.MaxFanOutDepth), "%q", n.FanOutOver)
			}
		}
		s := &g.Scopes[n.Scope]
		n.Index = len(s.Steps)
		s.Steps = append(s.Steps, i)
	}
	return nil
}

// whole finds the fan-outs whose items wait for a step outside them that itself waits for all their
// items: begun by few at a time such a one would never go on.
func (g *Graph) whole(order []int, wrong func(int, string, string, string, ...any) error) error {
	after := make([]uint64, len(g.Nodes)) // the steps that one waits for, at any remove
	for _, i := range order {
		for _, j := range g.before(i) {
			after[i] |= after[j] | 1<<j
		}
	}
	for s := 1; s < len(g.Scopes); s++ {
		inside := uint64(0)
		for i := range g.Nodes {
			if g.within(g.Nodes[i].Scope, s) {
				inside |= 1 << i
			}
		}
		for i := range g.Nodes {
			for k := range g.Nodes {
				if inside&(1<<i) == 0 || inside&(1<<k) != 0 || after[i]&(1<<k) == 0 || after[k]&inside == 0 {
					continue
				}
				if g.Scopes[s].Unwindowed = true; g.Template.FanOutLimit() > template.MaxUnwindowedItems {
					return wrong(i, "needs", fmt.Sprintf("fan %d at most where items wait for a step that waits for all of them", template.MaxUnwindowedItems), "%q, with fan %d", g.Nodes[k].Name, g.Template.FanOutLimit())
				}
			}
		}
	}
	return nil
}

// within tells whether a scope is another one, or lies within it.
func (g *Graph) within(s, outer int) bool {
	for ; s >= 0; s = g.Scopes[s].Parent {
		if s == outer {
			return true
		}
	}
	return false
}

// CommonScope is the innermost scope that has both.
func (g *Graph) CommonScope(a, b int) int {
	for !g.within(b, a) {
		a = g.Scopes[a].Parent
	}
	return a
}

// ChildToward is the fan-out within an outer scope that has an inner one.
func (g *Graph) ChildToward(outer, inner int) int {
	for g.Scopes[inner].Parent != outer {
		inner = g.Scopes[inner].Parent
	}
	return inner
}

// InputNames are the names of the lists that a flow is submitted with.
func (g *Graph) InputNames() (out []string) {
	for _, s := range g.Scopes {
		if s.Input != "" {
			out = append(out, s.Input)
		}
	}
	return out
}

// MomentNames are the names of the moments that a flow is submitted with.
func (g *Graph) MomentNames() (out []string) {
	for _, n := range g.Nodes {
		if n.StartMoment != "" && !slices.Contains(out, n.StartMoment) {
			out = append(out, n.StartMoment)
		}
	}
	return out
}
