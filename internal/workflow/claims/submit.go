package claims

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// submit adds a workflow and makes its first steps ready. A second submission under the same key changes nothing.
func (t *Table) submit(now time.Duration, c *Submission) (a Answer, err error) {
	if t.Workflows[c.Key] != nil {
		a.AlreadySubmitted = true
		return a, nil
	}
	name, ok := t.CurrentTemplates[c.Template]
	if !ok {
		return a, &NotFoundError{"template", c.Template, slices.Sorted(maps.Keys(t.CurrentTemplates))}
	}
	g := t.graphs[name]
	switch {
	case !template.ValidName(c.Key):
		return a, &InputError{c.Template, "key", fmt.Sprintf("%q", c.Key), "1 to 100 letters, digits and . _ : @ -"}
	case t.ActiveWorkflows >= MaxWorkflows:
		return a, &LimitError{MaxWorkflows}
	}
	if err := checkInputs(g, c); err != nil {
		return a, err
	}
	moments, err := absoluteMoments(now, g, c)
	if err != nil {
		return a, err
	}
	t.LastNumber++
	w := &Workflow{Key: c.Key, Number: t.LastNumber, TemplateVersion: name, Submitter: c.Submitter, SubmittedAt: now, Moments: moments, graph: g, Tree: expansion.New(g, c.Inputs)}
	t.Workflows[c.Key] = w
	t.Templates[name].Workflows++
	t.ActiveWorkflows++
	w.Tree.Start(now)
	t.enqueueNewlyReady(w)
	t.finishIfEnded(now, w)
	return a, nil
}

// checkInputs checks that a submission has just the inputs that the template fans out over, within its limits.
func checkInputs(g *graph.Graph, c *Submission) error {
	names := g.InputNames()
	size := 0
	for _, name := range names {
		in, ok := c.Inputs[name]
		if !ok || in.Count < 0 || in.Count > 0 && len(in.Items) > 0 {
			return &InputError{c.Template, name, "missing, or both a list and a count", "a list, or how many items there are"}
		}
		if n := in.Len(); n > g.Template.FanOutLimit() {
			return &InputError{c.Template, name, fmt.Sprintf("%d items", n), fmt.Sprintf("%d at most, the template's fan", g.Template.FanOutLimit())}
		}
		for _, item := range in.Items {
			size += len(item)
		}
	}
	for name := range c.Inputs {
		if !slices.Contains(names, name) {
			return &InputError{c.Template, name, "no fan-out is over it", fmt.Sprint("inputs among ", names)}
		}
	}
	if size > template.MaxInputBytes {
		return &InputError{c.Template, "inputs", fmt.Sprintf("%d bytes", size), fmt.Sprintf("%d at most", template.MaxInputBytes)}
	}
	return nil
}

// absoluteMoments returns the moments that the template's steps wait for, in the state's time. One in the past is now.
func absoluteMoments(now time.Duration, g *graph.Graph, c *Submission) (map[string]time.Duration, error) {
	moments := map[string]time.Duration{}
	for _, name := range g.MomentNames() {
		fromNow, ok := c.Moments[name]
		if !ok {
			return nil, &InputError{c.Template, name, "missing", "a moment, from now on"}
		}
		moments[name] = now + max(fromNow, 0)
	}
	return moments, nil
}
