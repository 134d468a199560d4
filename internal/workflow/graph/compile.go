package graph

import (
	"fmt"
	"slices"
	"strings"

	"yardflow/internal/workflow/template"
)

// maxLiveItems is the largest window a template may ask for. Each live item is held in the coordinators' memory.
const maxLiveItems = 100_000

// compiler builds the graph of one template, step by step; each step relies on those before it.
type compiler struct {
	*Graph
	stepIndex map[string]int // by name
}

// Compile returns the graph of a template, or a template.Error that says why there is none.
func Compile(t template.Template) (*Graph, error) {
	c := &compiler{
		Graph:     &Graph{Template: t, Scopes: []Scope{{Parent: none, SourceStep: none}}},
		stepIndex: map[string]int{},
	}
	if err := c.checkTemplate(); err != nil {
		return nil, err
	}
	if err := c.addNodes(); err != nil {
		return nil, err
	}
	if err := c.link(); err != nil {
		return nil, err
	}
	order, err := c.sort()
	if err != nil {
		return nil, err
	}
	if err := c.assignScopes(order); err != nil {
		return nil, err
	}
	if err := c.checkHandlers(); err != nil {
		return nil, err
	}
	if err := c.findUnwindowed(order); err != nil {
		return nil, err
	}
	if err := c.computeCriticalPath(order); err != nil {
		return nil, err
	}
	return c.Graph, nil
}

// templateError is an error of the template as a whole.
func (c *compiler) templateError(key, expected, problem string, args ...any) error {
	return &template.Error{Template: c.Template.Name, StepIndex: none, Key: key, Problem: fmt.Sprintf(problem, args...), Expected: expected}
}

// stepError is an error of one step.
func (c *compiler) stepError(step int, key, expected, problem string, args ...any) error {
	return &template.Error{Template: c.Template.Name, StepIndex: step, StepName: c.Template.Steps[step].Name, Key: key, Problem: fmt.Sprintf(problem, args...), Expected: expected}
}

// checkTemplate checks what concerns no single step.
func (c *compiler) checkTemplate() error {
	t := &c.Template
	switch {
	case !template.ValidName(t.Name):
		return c.templateError("name", "1 to 100 letters, digits and . _ : @ -", "%q", t.Name)
	case len(t.Steps) == 0 || len(t.Steps) > template.MaxSteps:
		return c.templateError("step", fmt.Sprintf("1 to %d", template.MaxSteps), "%d of them", len(t.Steps))
	case t.MaxLiveItems < 0 || t.MaxLiveItems > maxLiveItems:
		return c.templateError("most", fmt.Sprintf("0 to %d", maxLiveItems), "%d", t.MaxLiveItems)
	case t.MaxFanOut < 0 || t.MaxFanOut > template.MaxFanOut:
		return c.templateError("fan", fmt.Sprintf("0 to %d", template.MaxFanOut), "%d", t.MaxFanOut)
	case !(t.DispatcherShare >= 0 && t.DispatcherShare <= 1): // also rejects NaN
		return c.templateError("share", "0 to 1", "%v", t.DispatcherShare)
	}
	return nil
}

// addNodes makes a node of each step, and checks what concerns that step alone.
func (c *compiler) addNodes() error {
	for i, s := range c.Template.Steps {
		_, taken := c.stepIndex[s.Name]
		switch {
		case !template.ValidName(s.Name) || taken:
			return c.stepError(i, "name", "a name that no other step has, of letters, digits and . _ : @ -", "%q", s.Name)
		case s.Class == "":
			return c.stepError(i, "class", "a class of the settings", "missing")
		case s.StartDelay < 0 || s.TypicalDuration < 0:
			return c.stepError(i, "not_before", "no time under 0", "%v, %v", s.StartDelay, s.TypicalDuration)
		case s.MaxAttempts < 0 || s.MaxAttempts > template.MaxAttempts:
			return c.stepError(i, "tries", fmt.Sprintf("0 to %d", template.MaxAttempts), "%d", s.MaxAttempts)
		}
		c.stepIndex[s.Name] = i
		c.Nodes = append(c.Nodes, Node{Step: s, FailedHandler: none, UnknownHandler: none})
	}
	return nil
}

// link resolves the names by which steps refer to each other.
func (c *compiler) link() error {
	for i := range c.Nodes {
		n := &c.Nodes[i]
		for _, name := range n.Needs {
			j, ok := c.stepIndex[name]
			if !ok {
				return c.stepError(i, "needs", "steps of this template", "%q is none", name)
			}
			n.Dependencies = append(n.Dependencies, j)
			c.Nodes[j].ResultUsed = true
		}
		var err error
		if n.FailedHandler, err = c.linkHandler(i, "on_failed", n.OnFailed); err != nil {
			return err
		}
		if n.UnknownHandler, err = c.linkHandler(i, "on_unknown", n.OnUnknown); err != nil {
			return err
		}
	}
	return nil
}

// linkHandler returns the step that a reaction of step runs, none where it runs none.
func (c *compiler) linkHandler(step int, key string, r template.Reaction) (int, error) {
	if r.Action != template.RunAlternative && r.Action != template.Compensate {
		return none, nil
	}
	handler, ok := c.stepIndex[r.Step]
	if !ok || handler == step {
		return none, c.stepError(step, key, "another step of this template", "%q is none", r.Step)
	}
	c.Nodes[handler].IsHandler = true
	if r.Action == template.Compensate {
		c.Nodes[handler].Compensates = true
	}
	return handler, nil
}

// sort returns the steps in topological order, each after its predecessors, or an error with the path of a cycle.
func (c *compiler) sort() (order []int, err error) {
	const visiting, visited = 1, 2 // 0: not reached yet
	state := make([]int, len(c.Nodes))
	var path []string
	var visit func(step int) error
	visit = func(step int) error {
		name := c.Nodes[step].Name
		switch state[step] {
		case visited:
			return nil
		case visiting:
			cycle := append(slices.Clone(path[slices.Index(path, name):]), name)
			return c.stepError(step, "needs", "no cycle", "%s", strings.Join(cycle, " needs "))
		}
		state[step] = visiting
		path = append(path, name)
		for _, p := range c.predecessors(step) {
			if err := visit(p); err != nil {
				return err
			}
		}
		path = path[:len(path)-1]
		state[step] = visited
		order = append(order, step)
		return nil
	}
	for step := range c.Nodes {
		if err := visit(step); err != nil {
			return nil, err
		}
	}
	return order, nil
}

// assignScopes puts each step into its fan-out. A step that fans out over another's result lies in a scope nested in
// that step's; steps that fan out over the same input or result share a scope.
func (c *compiler) assignScopes(order []int) error {
	for _, i := range order { // a source comes before the steps that fan out over it, so that its scope is known
		n := &c.Nodes[i]
		if n.FanOutOver != "" {
			n.Scope = c.fanOutScope(n.FanOutOver)
			if c.Scopes[n.Scope].Depth > template.MaxFanOutDepth {
				return c.stepError(i, "each", fmt.Sprintf("%d fan-outs within each other at the most", template.MaxFanOutDepth), "%q", n.FanOutOver)
			}
		}
		s := &c.Scopes[n.Scope]
		n.Index = len(s.Steps)
		s.Steps = append(s.Steps, i)
	}
	return nil
}

// fanOutScope returns the scope of the fan-out over a list, the name of a step or else of an input; it is made where no
// other step has needed it.
func (c *compiler) fanOutScope(list string) int {
	parent, input, source := Root, list, none
	if step, ok := c.stepIndex[list]; ok {
		parent, input, source = c.Nodes[step].Scope, "", step
	}
	scope := slices.IndexFunc(c.Scopes, func(s Scope) bool { return s.Parent == parent && s.Input == input && s.SourceStep == source })
	if scope >= 0 {
		return scope
	}
	scope = len(c.Scopes)
	c.Scopes = append(c.Scopes, Scope{Parent: parent, Depth: c.Scopes[parent].Depth + 1, Input: input, SourceStep: source})
	c.Scopes[parent].Children = append(c.Scopes[parent].Children, scope)
	if source >= 0 {
		c.Nodes[source].FanOuts = append(c.Nodes[source].FanOuts, scope)
		c.Nodes[source].ResultUsed = true
	}
	return scope
}

// checkHandlers checks that each handler can run as soon as the step that it handles has ended, once for each run of it:
// it needs no other step, and lies in the same scope.
func (c *compiler) checkHandlers() error {
	for i := range c.Nodes {
		n := &c.Nodes[i]
		for _, reaction := range []struct {
			key     string
			handler int
		}{{"on_failed", n.FailedHandler}, {"on_unknown", n.UnknownHandler}} {
			if reaction.handler < 0 {
				continue
			}
			if h := &c.Nodes[reaction.handler]; len(h.Dependencies) > 0 || h.Scope != n.Scope {
				return c.stepError(i, reaction.key, "a step without needs of the same fan-out", "%q is not", h.Name)
			}
		}
	}
	return nil
}

// stepSet is a set of steps, one bit each: template.MaxSteps is 64.
type stepSet uint64

func (s stepSet) has(step int) bool { return s&(1<<step) != 0 }

// findUnwindowed marks the fan-outs whose items wait for a step outside them that waits for all of their items. Such a
// fan-out would deadlock if only a window of its items were live, so its size is limited instead.
func (c *compiler) findUnwindowed(order []int) error {
	ancestors := c.ancestors(order)
	for scope := 1; scope < len(c.Scopes); scope++ {
		inside := c.stepsWithin(scope)
		for i := range c.Nodes {
			for k := range c.Nodes {
				if !inside.has(i) || inside.has(k) || !ancestors[i].has(k) || ancestors[k]&inside == 0 {
					continue
				}
				c.Scopes[scope].Unwindowed = true
				if c.Template.FanOutLimit() > template.MaxUnwindowedItems {
					return c.stepError(i, "needs", fmt.Sprintf("fan %d at most where items wait for a step that waits for all of them", template.MaxUnwindowedItems),
						"%q, with fan %d", c.Nodes[k].Name, c.Template.FanOutLimit())
				}
			}
		}
	}
	return nil
}

// ancestors returns, for each step, all the steps that it waits for, directly or through others.
func (c *compiler) ancestors(order []int) []stepSet {
	sets := make([]stepSet, len(c.Nodes))
	for _, i := range order {
		for _, p := range c.predecessors(i) {
			sets[i] |= sets[p] | 1<<p
		}
	}
	return sets
}

// stepsWithin returns the steps in a scope and in all that are nested in it.
func (c *compiler) stepsWithin(scope int) (steps stepSet) {
	for i := range c.Nodes {
		if c.contains(scope, c.Nodes[i].Scope) {
			steps |= 1 << i
		}
	}
	return steps
}

// computeCriticalPath computes the longest path from each step to the end, counting each step's expected duration and
// start delay, and rejects a target that is shorter than the whole path.
func (c *compiler) computeCriticalPath(order []int) error {
	for _, i := range slices.Backward(order) {
		n := &c.Nodes[i]
		n.RemainingCriticalPath += n.ExpectedDuration()
		for _, p := range c.predecessors(i) {
			c.Nodes[p].RemainingCriticalPath = max(c.Nodes[p].RemainingCriticalPath, n.RemainingCriticalPath+n.StartDelay)
		}
		c.CriticalPath = max(c.CriticalPath, n.RemainingCriticalPath+n.StartDelay)
	}
	if target := c.Template.TargetMakespan; target > 0 && target < c.CriticalPath {
		return c.templateError("wanted", fmt.Sprintf("%v at least, its critical path", c.CriticalPath), "%v", target)
	}
	return nil
}
