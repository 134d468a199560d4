package graph

import (
	"errors"
	"slices"
	"testing"
	"time"

	"yardflow/internal/workflow/template"
)

func step(name string, needs ...string) template.Step {
	return template.Step{Name: name, Class: "any", Needs: needs}
}

func over(list string, s template.Step) template.Step {
	s.FanOutOver = list
	return s
}

func newTemplate(steps ...template.Step) template.Template {
	return template.Template{Name: "t", Steps: steps}
}

func mustCompile(t *testing.T, tmpl template.Template) *Graph {
	t.Helper()
	g, err := Compile(tmpl)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestTemplatesThatAreRejected checks that each template that cannot be executed is rejected with the key that is wrong.
func TestTemplatesThatAreRejected(t *testing.T) {
	unwindowed := newTemplate(over("in", step("a")), step("sum", "a"), over("in", step("b", "sum")))
	unwindowed.MaxFanOut = template.MaxUnwindowedItems + 1
	hurried := newTemplate(step("a"), step("b", "a"))
	hurried.TargetMakespan = time.Second
	alternative := step("a")
	alternative.OnFailed = template.Reaction{Action: template.RunAlternative, Step: "b"}
	settled := step("a")
	settled.OnUnknown = template.Reaction{Action: template.RunAlternative, Step: "b"}
	for _, c := range []struct {
		name string
		tmpl template.Template
		want template.Error
	}{
		{"no steps", newTemplate(), template.Error{StepIndex: -1, Key: "step", Problem: "0 of them", Expected: "1 to 64"}},
		{"two steps of one name", newTemplate(step("a"), step("a")), template.Error{StepIndex: 1, StepName: "a", Key: "name", Problem: `"a"`, Expected: "a name that no other step has, of letters, digits and . _ : @ -"}},
		{"a step that is none", newTemplate(step("a", "x")), template.Error{StepName: "a", Key: "needs", Problem: `"x" is none`, Expected: "steps of this template"}},
		{"a cycle, by its path", newTemplate(step("a", "c"), step("b", "a"), step("c", "b")), template.Error{StepName: "a", Key: "needs", Problem: "a needs c needs b needs a", Expected: "no cycle"}},
		{"four nested fan-outs", newTemplate(over("in", step("a")), over("a", step("b")), over("b", step("c")), over("c", step("d"))),
			template.Error{StepIndex: 3, StepName: "d", Key: "each", Problem: `"c"`, Expected: "3 fan-outs within each other at the most"}},
		{"a handler with needs", newTemplate(alternative, step("b", "c"), step("c")), template.Error{StepName: "a", Key: "on_failed", Problem: `"b" is not`, Expected: "a step without needs of the same fan-out"}},
		{"a handler of an unknown outcome with needs", newTemplate(settled, step("b", "c"), step("c")), template.Error{StepName: "a", Key: "on_unknown", Problem: `"b" is not`, Expected: "a step without needs of the same fan-out"}},
		{"too many items that wait for each other", unwindowed, template.Error{StepIndex: 2, StepName: "b", Key: "needs", Problem: `"sum", with fan 10001`, Expected: "fan 10000 at most where items wait for a step that waits for all of them"}},
		{"a target below the critical path", hurried, template.Error{StepIndex: -1, Key: "wanted", Problem: "1s", Expected: "2s at least, its critical path"}},
	} {
		_, err := Compile(c.tmpl)
		var got *template.Error
		c.want.Template = "t"
		if !errors.As(err, &got) || *got != c.want {
			t.Errorf("%s: %v, want %v", c.name, err, &c.want)
		}
	}
}

// TestStepsShareAFanOut checks that steps over one list lie in one scope, and that a fan-out over a result is nested in
// the scope of its source.
func TestStepsShareAFanOut(t *testing.T) {
	g := mustCompile(t, newTemplate(over("titles", step("list")), over("titles", step("check", "list")), over("list", step("part")), step("sum", "part")))
	titles := g.Nodes[0].Scope
	if titles == Root || g.Nodes[1].Scope != titles || g.Scopes[titles].Input != "titles" {
		t.Errorf("list and check lie in %d and %d: %+v", titles, g.Nodes[1].Scope, g.Scopes)
	}
	parts := g.Nodes[2].Scope
	if s := g.Scopes[parts]; s.Parent != titles || s.SourceStep != 0 || s.Depth != 2 || !slices.Equal(g.Nodes[0].FanOuts, []int{parts}) {
		t.Errorf("part lies in %+v", s)
	}
	if common := g.CommonScope(parts, Root); common != Root || g.ChildToward(common, parts) != titles {
		t.Errorf("common scope %d", common)
	}
	if !g.Nodes[0].ResultUsed || g.Nodes[3].ResultUsed {
		t.Error("results are used that are not, or the other way round")
	}
	if names := g.InputNames(); !slices.Equal(names, []string{"titles"}) {
		t.Errorf("inputs %q", names)
	}
}

// TestCriticalPath checks that the path counts durations and start delays of the longest chain of dependencies.
func TestCriticalPath(t *testing.T) {
	long, late := step("long"), step("end", "short", "long")
	long.TypicalDuration, late.StartDelay = 5*time.Second, 10*time.Second
	g := mustCompile(t, newTemplate(step("short"), long, late))
	for i, want := range []time.Duration{12 * time.Second, 16 * time.Second, time.Second} {
		if got := g.Nodes[i].RemainingCriticalPath; got != want {
			t.Errorf("%s: %v, want %v", g.Nodes[i].Name, got, want)
		}
	}
	if g.CriticalPath != 16*time.Second {
		t.Errorf("critical path %v", g.CriticalPath)
	}
}

// TestItemsThatWaitForEachOtherAreUnwindowed checks that a fan-out has no window where a window of its items would wait
// for the others for ever.
func TestItemsThatWaitForEachOtherAreUnwindowed(t *testing.T) {
	if g := mustCompile(t, newTemplate(over("in", step("a")), step("sum", "a"), over("in", step("b", "sum")))); !g.Scopes[g.Nodes[0].Scope].Unwindowed {
		t.Error("b waits for sum, which waits for a of all items")
	}
	if g := mustCompile(t, newTemplate(over("in", step("a")), over("in", step("b", "a")), step("sum", "b"))); g.Scopes[g.Nodes[0].Scope].Unwindowed {
		t.Error("no item waits for another")
	}
}
