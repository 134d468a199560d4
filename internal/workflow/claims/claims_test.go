package claims

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/template"
)

// fixture is a table with one dispatcher whose leases never expire.
type fixture struct {
	*Table
	t         *testing.T
	now       time.Duration
	ticks     uint64
	grants    uint64
	handedOut []string                    // labels of the steps, in order
	endOf     func(t ClaimedStep) StepEnd // nil: each step is done
}

var allLeasesHeld = LeaseChecks{MayClaim: func(string) bool { return true }, MayHold: func(string) bool { return true }}

func newFixture(t *testing.T, all ...template.Template) *fixture {
	b := &fixture{Table: New(), t: t, now: time.Second}
	b.SetTemplates(1, all)
	return b
}

func (b *fixture) apply(c Command) (Answer, error) {
	b.grants++
	a, _, err := b.Apply(b.now, b.grants, c, allLeasesHeld)
	return a, err
}

func (b *fixture) submit(key, tmpl string, in map[string]expansion.Input) {
	b.t.Helper()
	if _, err := b.apply(Command{Submit: &Submission{Key: key, Template: tmpl, Inputs: in}}); err != nil {
		b.t.Fatal(err)
	}
}

func (b *fixture) advance(d time.Duration) {
	b.now += d
	b.ticks++
	b.AdvanceTime(b.now, 1, b.ticks, b.grants)
}

func stepLabel(t ClaimedStep) string {
	if len(t.ItemValues) == 0 {
		return t.Step
	}
	return t.Step + " " + strings.Join(t.ItemValues, ",")
}

// runRound claims all steps that are ready, records their intents, and ends them as endOf says. It returns how many.
func (b *fixture) runRound() int {
	b.t.Helper()
	a, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 1 << 20, Pools: []string{""}, LastSeenClaim: b.LastNumber}})
	if err != nil {
		b.t.Fatal(err)
	}
	var intents []DispatchIntent
	var ends []StepEnd
	for _, t := range a.Claimed {
		b.handedOut = append(b.handedOut, stepLabel(t))
		intents = append(intents, DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: t.Class == "once", NotRunBefore: t.RepeatWindowLeft == 0, Sequence: 1})
		e := StepEnd{Outcome: OutcomeDone, Repeatable: t.Class != "once"}
		if b.endOf != nil {
			e = b.endOf(t)
		}
		e.ClaimNumber = t.ClaimNumber
		ends = append(ends, e)
	}
	if a, err := b.apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: intents}}); err != nil || len(a.Rejected) > 0 {
		b.t.Fatal(a, err)
	}
	if a, err := b.apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: ends}}); err != nil || len(a.Rejected) > 0 {
		b.t.Fatal(a, err)
	}
	return len(a.Claimed)
}

func (b *fixture) runRounds(most int) {
	for range most {
		if b.runRound() == 0 {
			b.advance(time.Second)
		}
	}
}

func (b *fixture) expectEnd(key string, as WorkflowState, ends [4]int) {
	b.t.Helper()
	f := b.Workflows[key]
	got := f.EndCounts
	if f.Tree != nil {
		got = f.Tree.EndCounts
	}
	if f.State != as || got != ends {
		b.t.Errorf("%s: %v with %v, want %v with %v; why: %s; %v", key, f.State, got, as, ends, f.Reason, b.handedOut)
	}
}

func step(name, class string, more ...func(s *template.Step)) template.Step {
	s := template.Step{Name: name, Class: class}
	for _, f := range more {
		f(&s)
	}
	return s
}

func needs(all ...string) func(s *template.Step) { return func(s *template.Step) { s.Needs = all } }
func fanOutOver(over string) func(s *template.Step) {
	return func(s *template.Step) { s.FanOutOver = over }
}
func trigger(w template.TriggerRule) func(s *template.Step) {
	return func(s *template.Step) { s.Trigger = w }
}
func onFailed(a template.Action, to string) func(s *template.Step) {
	return func(s *template.Step) { s.OnFailed = template.Reaction{Action: a, Step: to} }
}
func onUnknown(a template.Action) func(s *template.Step) {
	return func(s *template.Step) { s.OnUnknown = template.Reaction{Action: a} }
}

func newTemplate(name string, steps ...template.Step) template.Template {
	return template.Template{Name: name, Steps: steps}
}

func failingAt(step string) func(t ClaimedStep) StepEnd {
	return func(t ClaimedStep) StepEnd {
		if stepLabel(t) == step {
			return StepEnd{Outcome: OutcomeFailed, Reason: "no"}
		}
		return StepEnd{Outcome: OutcomeDone}
	}
}

// TestReactionsOfTemplate checks that what becomes of a workflow whose step fails is what its template says.
func TestReactionsOfTemplate(t *testing.T) {
	items := map[string]expansion.Input{"in": {Items: []string{"a", "b", "c"}}}
	for _, c := range []struct {
		name string
		t    template.Template
		as   WorkflowState
		ends [4]int
		want string // handed out
	}{
		{"stop", newTemplate("f", step("one", "any", onFailed(template.FailWorkflow, "")), step("two", "any", needs("one"))), WorkflowFailed, [4]int{0, 1, 0, 1}, "one"},
		{"pass", newTemplate("f", step("one", "any", onFailed(template.Continue, "")), step("two", "any", needs("one")), step("three", "any", needs("one"), trigger(template.AllEnded)), step("four", "any", needs("one"), trigger(template.AnyNotDone))), WorkflowDone, [4]int{2, 1, 0, 1}, "one three four"},
		{"go", newTemplate("f", step("one", "any", onFailed(template.RunAlternative, "other")), step("two", "any", needs("one")), step("other", "any")), WorkflowDone, [4]int{1, 1, 0, 1}, "one other"},
		{"not gone", newTemplate("f", step("one", "any"), step("two", "any", onFailed(template.RunAlternative, "other"), needs("one")), step("other", "any")), WorkflowFailed, [4]int{0, 1, 0, 2}, "one"},
		{"undo", newTemplate("f", step("one", "any", onFailed(template.Compensate, "back")), step("beside", "any"), step("two", "any", needs("one")), step("after", "any", needs("beside")), step("back", "any")), WorkflowFailed, [4]int{2, 1, 0, 1}, "one beside back"},
		{"hold", newTemplate("f", step("one", "any", onFailed(template.HoldForOperator, "")), step("two", "any", needs("one"))), WorkflowHeld, [4]int{}, "one"},
	} {
		b := newFixture(t, c.t)
		b.endOf = failingAt("one")
		b.submit("k", "f", nil)
		b.runRounds(6)
		b.expectEnd("k", c.as, c.ends)
		if got := strings.Join(b.handedOut, " "); got != c.want {
			t.Errorf("%s: %s were handed out, want %s", c.name, got, c.want)
		}
	}
	// One item of a fan-out fails: only steps of that item are affected.
	b := newFixture(t, newTemplate("f", step("one", "any", fanOutOver("in"), onFailed(template.Continue, "")), step("two", "any", fanOutOver("in"), needs("one")), step("all", "any", needs("two"), trigger(template.AllEnded))))
	b.endOf = failingAt("one b")
	b.submit("k", "f", items)
	b.runRounds(6)
	b.expectEnd("k", WorkflowDone, [4]int{5, 1, 0, 1})
}

// TestFanOutOverResults checks that a step which fans out over another's result has the items that the result lists,
// also nested, and that a step whose result is no list, or too large, has failed and says why.
func TestFanOutOverResults(t *testing.T) {
	b := newFixture(t, newTemplate("f", step("list", "any"), step("part", "any", fanOutOver("list")), step("leaf", "any", fanOutOver("part"), needs("part")), step("sum", "any", needs("leaf"))))
	b.endOf = func(t ClaimedStep) StepEnd {
		switch t.Step {
		case "list":
			return StepEnd{Result: []byte(`["x","y"]`)}
		case "part":
			return StepEnd{Result: []byte(`["1","2","3"]`)}
		case "sum":
			if got := t.FanOutCounts["leaf"]; got.Ended != 2 || got.NotDone != 0 {
				b.t.Errorf("the sum is given %+v", got)
			}
		}
		return StepEnd{}
	}
	b.submit("k", "f", nil)
	b.runRounds(6)
	b.expectEnd("k", WorkflowDone, [4]int{1 + 2 + 6 + 1, 0, 0, 0})
	if !strings.Contains(strings.Join(b.handedOut, ";"), "leaf y,3") {
		t.Errorf("%q", b.handedOut)
	}
	for result, want := range map[string]string{"no list": "is no list of 10000 items", `["` + strings.Repeat("x", 1100) + `"]`: "a result of 1104 bytes; expected 1024 at most"} {
		b := newFixture(t, newTemplate("f", step("list", "any", onFailed(template.HoldForOperator, "")), step("part", "any", fanOutOver("list"))))
		b.endOf = func(ClaimedStep) StepEnd { return StepEnd{Result: []byte(result)} }
		b.submit("k", "f", nil)
		b.runRounds(2)
		if b.expectEnd("k", WorkflowHeld, [4]int{}); !strings.Contains(b.Workflows["k"].Reason, want) {
			t.Errorf("why: %s, want %s", b.Workflows["k"].Reason, want)
		}
	}
}

// TestResolveAndCancel checks that a held workflow goes on as an operator resolves its step, and that a cancelled one
// starts no further step.
func TestResolveAndCancel(t *testing.T) {
	tmpl := newTemplate("f", step("one", "once", fanOutOver("in"), onUnknown(template.HoldForOperator)), step("two", "any", needs("one")))
	for _, c := range []struct {
		as   Outcome
		ends [4]int
		is   WorkflowState
	}{{OutcomeDone, [4]int{4, 0, 0, 0}, WorkflowDone}, {OutcomeFailed, [4]int{2, 1, 0, 1}, WorkflowDone}, {OutcomeRequeue, [4]int{4, 0, 0, 0}, WorkflowDone}} {
		b := newFixture(t, tmpl)
		lost := true
		b.endOf = func(t ClaimedStep) StepEnd {
			if stepLabel(t) == "one b" && lost {
				lost = false
				return StepEnd{Outcome: OutcomeUnknown}
			}
			return StepEnd{}
		}
		b.submit("k", "f", map[string]expansion.Input{"in": {Items: []string{"a", "b", "c"}}})
		b.runRounds(4)
		b.expectEnd("k", WorkflowHeld, [4]int{2, 0, 0, 0})
		if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k", Step: expansion.StepRef{Step: 0}, Outcome: c.as, RequestedBy: "o"}}); err == nil {
			t.Error("a step is resolved that does not wait for an operator")
		}
		if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k", Step: expansion.StepRef{Step: 0, Path: [3]int{1}}, Outcome: c.as, RequestedBy: "o"}}); err != nil {
			t.Error(err)
		}
		b.runRounds(4)
		b.expectEnd("k", c.is, c.ends)
	}
	b := newFixture(t, tmpl)
	b.endOf = func(ClaimedStep) StepEnd { return StepEnd{Outcome: OutcomeUnknown} }
	b.submit("k", "f", map[string]expansion.Input{"in": {Items: []string{"a", "b"}}})
	b.runRound()
	for range 2 {
		if _, err := b.apply(Command{Cancel: &Cancellation{Workflow: "k", RequestedBy: "o"}}); err != nil {
			t.Error(err)
		}
	}
	b.expectEnd("k", WorkflowCancelled, [4]int{0, 0, 2, 1})
	if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k"}}); !errors.As(err, new(*StateError)) {
		t.Error(err)
	}
}

// claimOne claims one step, which has to be ready.
func (b *fixture) claimOne() ClaimedStep {
	b.t.Helper()
	a, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 1, Pools: []string{""}, LastSeenClaim: b.LastNumber}})
	if err != nil || len(a.Claimed) != 1 {
		b.t.Fatal(a, err)
	}
	return a.Claimed[0]
}

// recordKeyed records the intent to send a step to cell 2, which drops repeats for 4 s.
func (b *fixture) recordKeyed(k ClaimedStep) Answer {
	b.t.Helper()
	a, err := b.apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: []DispatchIntent{{ClaimNumber: k.ClaimNumber, PinnedCell: 3, DedupWindow: 4 * time.Second, NotRunBefore: k.RepeatWindowLeft == 0, Sequence: 1}}}})
	if err != nil {
		b.t.Fatal(err)
	}
	return a
}

// endOne ends a repeatable step, and lets 300 ms pass.
func (b *fixture) endOne(k ClaimedStep, outcome Outcome) {
	b.t.Helper()
	if _, err := b.apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: []StepEnd{{ClaimNumber: k.ClaimNumber, Outcome: outcome, Repeatable: true}}}}); err != nil {
		b.t.Fatal(err)
	}
	b.advance(300 * time.Millisecond)
}

// TestRepeatsStayInCellAndWindow checks that a repeatable step is repeated only in its cell, as often as its template
// allows and while its window is open by a clock that was read after its claim; never once a tick was lost.
func TestRepeatsStayInCellAndWindow(t *testing.T) {
	tmpl := newTemplate("f", step("one", "keyed", func(s *template.Step) { s.MaxAttempts = 2 }, onFailed(template.HoldForOperator, "")))
	first := func() (*fixture, ClaimedStep) {
		b := newFixture(t, tmpl)
		b.advance(0)
		b.advance(0)
		b.submit("k", "f", nil)
		k := b.claimOne()
		if a := b.recordKeyed(k); len(a.Recorded) != 1 {
			t.Fatal(a)
		}
		b.endOne(k, OutcomeUnknown)
		return b, b.claimOne()
	}
	b, k := first()
	if k.PinnedCell != 3 || k.RepeatWindowLeft <= 3*time.Second || k.RepeatWindowLeft > 4*time.Second {
		t.Errorf("given cell %d, window %v", k.PinnedCell, k.RepeatWindowLeft)
	}
	if a := b.recordKeyed(k); len(a.Recorded)+len(a.Rejected) != 0 {
		t.Errorf("recorded before a tick: %+v", a)
	}
	b.advance(time.Second)
	if a := b.recordKeyed(k); len(a.Recorded) != 1 || a.RepeatWindows[k.ClaimNumber] > 3*time.Second {
		t.Errorf("%+v", a)
	}
	b.endOne(k, OutcomeUnknown)
	b.expectEnd("k", WorkflowHeld, [4]int{})
	if !strings.Contains(b.Workflows["k"].Reason, "tried 2 times") {
		t.Error(b.Workflows["k"].Reason)
	}

	b, k = first() // the window is over
	b.advance(4 * time.Second)
	if a := b.recordKeyed(k); len(a.Rejected) != 1 || b.Workflows["k"].State != WorkflowHeld && b.Workflows["k"].State != WorkflowFailed {
		t.Errorf("%+v, %v", a, b.Workflows["k"].State)
	}
	b, k = first() // another coordinator leads
	b.AdvanceTime(b.now, 2, 1, b.grants)
	if a := b.recordKeyed(k); len(a.Rejected) != 1 {
		t.Errorf("%+v", a)
	}
	b, k = first() // it has not run after all: as if it had never been claimed again
	b.endOne(k, OutcomeRequeue)
	if k = b.claimOne(); k.PinnedCell != 3 {
		t.Errorf("%+v", k)
	}
}

// TestSubmit checks that a submission is idempotent by its key, and that one which does not fit the template is rejected
// with a typed error.
func TestSubmit(t *testing.T) {
	b := newFixture(t, newTemplate("f", step("one", "any", fanOutOver("in"), func(s *template.Step) { s.StartMoment = "term" })))
	sound := Submission{Key: "k", Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 2}}, Moments: map[string]time.Duration{"term": time.Minute}}
	for i := range 2 {
		if a, err := b.apply(Command{Submit: &sound}); err != nil || a.AlreadySubmitted != (i == 1) {
			t.Error(a, err)
		}
	}
	if b.runRound() != 0 {
		t.Error("it starts before its moment")
	}
	b.advance(time.Minute)
	if b.runRound() != 2 {
		t.Error("it does not start at its moment")
	}
	var in *InputError
	for what, s := range map[string]Submission{"key": {Key: "", Template: "f"}, "a header's end": {Key: "a\r\nX-Tenant-Id: other", Template: "f"}, "a slash": {Key: "a/b", Template: "f"}, "in": {Key: "x", Template: "f"}, "term": {Key: "x", Template: "f", Inputs: sound.Inputs},
		"many": {Key: "x", Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 10001}}}, "other": {Key: "x", Template: "f", Inputs: map[string]expansion.Input{"in": {}, "out": {}}}} {
		if _, err := b.apply(Command{Submit: &s}); !errors.As(err, &in) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := b.apply(Command{Submit: &Submission{Key: "x", Template: "g"}}); !errors.As(err, new(*NotFoundError)) {
		t.Error(err)
	}
}

// TestWorkflowKeepsItsTemplate checks that an active workflow goes on by the template it was submitted for.
func TestWorkflowKeepsItsTemplate(t *testing.T) {
	b := newFixture(t, newTemplate("f", step("one", "any"), step("two", "any", needs("one"))))
	b.submit("k", "f", nil)
	b.runRound()
	b.SetTemplates(2, []template.Template{newTemplate("f", step("three", "any"))})
	b.submit("l", "f", nil)
	b.runRounds(4)
	b.expectEnd("k", WorkflowDone, [4]int{2, 0, 0, 0})
	b.expectEnd("l", WorkflowDone, [4]int{1, 0, 0, 0})
	if len(b.Templates) != 1 {
		t.Errorf("%d templates are remembered", len(b.Templates))
	}
}

// TestResetAfterRestore checks that after a restore from an older state claimed steps are unknown, all others uncertain.
func TestResetAfterRestore(t *testing.T) {
	b := newFixture(t, newTemplate("f", step("one", "once", fanOutOver("in"), onUnknown(template.Continue)), step("two", "any", needs("one"), trigger(template.AllEnded))))
	b.submit("k", "f", map[string]expansion.Input{"in": {Count: 4}})
	if _, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 2, Pools: []string{""}}}); err != nil {
		t.Fatal(err)
	}
	b.ResetAfterRestore(b.now, 1000)
	uncertain := 0
	b.endOf = func(t ClaimedStep) StepEnd {
		if t.RunUncertain {
			uncertain++
		}
		if t.Class == "once" {
			return StepEnd{Outcome: OutcomeUnknown}
		}
		return StepEnd{}
	}
	b.runRounds(3)
	b.expectEnd("k", WorkflowDone, [4]int{1, 0, 4, 0})
	if uncertain != 3 {
		t.Errorf("%d steps were handed out as uncertain", uncertain)
	}
}

// TestLiveItemsStayWithinWindow checks that a workflow of a million steps has only a window of items in memory.
func TestLiveItemsStayWithinWindow(t *testing.T) {
	big := newTemplate("f", step("one", "any", fanOutOver("in")), step("two", "any", fanOutOver("in"), needs("one")))
	big.MaxFanOut, big.MaxLiveItems = 500_000, 50
	b := newFixture(t, big)
	b.submit("k", "f", map[string]expansion.Input{"in": {Count: 500_000}})
	for range 200 {
		b.runRound()
	}
	f := b.Workflows["k"]
	if f.Tree.LiveItems > 50 || f.Tree.EndCounts[0] < 5000 {
		t.Errorf("%d items under way, %v ended", f.Tree.LiveItems, f.Tree.EndCounts)
	}
}

// drawTemplate draws a template, which may have no graph.
func drawTemplate(t *rapid.T) template.Template {
	var steps []template.Step
	for i := range rapid.IntRange(1, 6).Draw(t, "steps") {
		s := template.Step{Name: fmt.Sprint("s", i), Class: "any"}
		for j := range i {
			if rapid.IntRange(0, 2).Draw(t, "needs") == 0 {
				s.Needs = append(s.Needs, fmt.Sprint("s", j))
			}
		}
		switch rapid.IntRange(0, 3).Draw(t, "each") {
		case 0:
			s.FanOutOver = "in"
		case 1:
			if i > 0 {
				s.FanOutOver = fmt.Sprint("s", rapid.IntRange(0, i-1).Draw(t, "over"))
			}
		}
		s.Trigger = template.TriggerRule(rapid.IntRange(0, 2).Draw(t, "when"))
		s.OnFailed = template.Reaction{Action: []template.Action{template.FailWorkflow, template.Continue, template.Continue, template.Continue}[rapid.IntRange(0, 3).Draw(t, "failed")]}
		steps = append(steps, s)
	}
	tmpl := newTemplate("f", steps...)
	tmpl.MaxLiveItems = rapid.IntRange(1, 5).Draw(t, "most")
	return tmpl
}

// TestRandomTemplatesEnd checks, for drawn templates and outcomes, that some step is always ready until the workflow
// ends, that no step is handed out twice, and that every workflow ends.
func TestRandomTemplatesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tmpl := drawTemplate(t)
		l := New()
		l.SetTemplates(1, []template.Template{tmpl})
		if len(l.CurrentTemplates) == 0 {
			t.Skip("no such graph")
		}
		in := map[string]expansion.Input{}
		for _, i := range l.graphs["1/f"].InputNames() {
			in[i] = expansion.Input{Count: rapid.IntRange(0, 4).Draw(t, "items")}
		}
		now := time.Second
		apply := func(c Command) Answer {
			a, _, err := l.Apply(now, l.LastNumber, c, allLeasesHeld)
			if err != nil {
				t.Fatal(err)
			}
			return a
		}
		apply(Command{Submit: &Submission{Key: "k", Template: "f", Inputs: in}})
		out := map[expansion.StepRef]bool{}
		for range 4000 {
			if l.Workflows["k"].State >= WorkflowDone {
				return
			}
			a := apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 3, Pools: []string{""}, LastSeenClaim: l.LastNumber}})
			if len(a.Claimed) == 0 {
				t.Fatalf("nothing is ready, and it is %v: %+v", l.Workflows["k"].State, tmpl)
			}
			for _, k := range a.Claimed {
				if out[k.Ref] {
					t.Fatalf("%v is handed out again", k.Ref)
				}
				out[k.Ref] = true
				e := StepEnd{ClaimNumber: k.ClaimNumber}
				if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
					e.Outcome = OutcomeFailed
				} else if k.ResultUsed {
					e.Result = []byte(rapid.SampledFrom([]string{`["a"]`, `["a","b"]`, `[]`}).Draw(t, "result"))
				}
				apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: []DispatchIntent{{ClaimNumber: k.ClaimNumber, Sequence: 1}}}})
				apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: []StepEnd{e}}})
			}
		}
		t.Fatal("it never ends")
	})
}
