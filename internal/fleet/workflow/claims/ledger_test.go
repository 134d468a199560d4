package claims

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/template"
)

// bench is a ledger with one dispatcher that is always heard of.
type bench struct {
	*Table
	t    *testing.T
	now  time.Duration
	told uint64
	no   uint64   // grants
	log  []string // of steps that were handed out
	on   func(t ClaimedStep) StepEnd
}

var always = LeaseChecks{MayClaim: func(string) bool { return true }, MayHold: func(string) bool { return true }}

func newBench(t *testing.T, all ...template.Template) *bench {
	b := &bench{Table: New(), t: t, now: time.Second}
	b.SetTemplates(1, all)
	return b
}

func (b *bench) apply(c Command) (Answer, error) {
	b.no++
	a, _, err := b.Apply(b.now, b.no, c, always)
	return a, err
}

func (b *bench) submit(key, form string, in map[string]expansion.Input) {
	b.t.Helper()
	if _, err := b.apply(Command{Submit: &Submission{Key: key, Template: form, Inputs: in}}); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) pass(d time.Duration) {
	b.now += d
	b.told++
	b.AdvanceTime(b.now, 1, b.told, b.no)
}

func name(t ClaimedStep) string {
	if len(t.ItemValues) == 0 {
		return t.Step
	}
	return t.Step + " " + strings.Join(t.ItemValues, ",")
}

// turn claims all that is ready, marks it, and ends it as on says; Done where on is nil.
func (b *bench) turn() int {
	b.t.Helper()
	a, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 1 << 20, Pools: []string{""}, LastSeenClaim: b.LastNumber}})
	if err != nil {
		b.t.Fatal(err)
	}
	var marks []DispatchIntent
	var ends []StepEnd
	for _, t := range a.Claimed {
		b.log = append(b.log, name(t))
		marks = append(marks, DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: t.Class == "once", NotRunBefore: t.RepeatWindowLeft == 0, Sequence: 1})
		e := StepEnd{Outcome: OutcomeDone, Repeatable: t.Class != "once"}
		if b.on != nil {
			e = b.on(t)
		}
		e.ClaimNumber = t.ClaimNumber
		ends = append(ends, e)
	}
	if a, err := b.apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: marks}}); err != nil || len(a.Rejected) > 0 {
		b.t.Fatal(a, err)
	}
	if a, err := b.apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: ends}}); err != nil || len(a.Rejected) > 0 {
		b.t.Fatal(a, err)
	}
	return len(a.Claimed)
}

func (b *bench) play(most int) {
	for range most {
		if b.turn() == 0 {
			b.pass(time.Second)
		}
	}
}

func (b *bench) ends(key string, as WorkflowState, ends [4]int) {
	b.t.Helper()
	f := b.Workflows[key]
	got := f.EndCounts
	if f.Tree != nil {
		got = f.Tree.EndCounts
	}
	if f.State != as || got != ends {
		b.t.Errorf("%s: %v with %v, want %v with %v; why: %s; %v", key, f.State, got, as, ends, f.Reason, b.log)
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
func each(over string) func(s *template.Step)    { return func(s *template.Step) { s.FanOutOver = over } }
func when(w template.TriggerRule) func(s *template.Step) {
	return func(s *template.Step) { s.Trigger = w }
}
func failed(a template.Action, to string) func(s *template.Step) {
	return func(s *template.Step) { s.OnFailed = template.Reaction{Action: a, Step: to} }
}
func unknown(a template.Action) func(s *template.Step) {
	return func(s *template.Step) { s.OnUnknown = template.Reaction{Action: a} }
}

func flow(name string, steps ...template.Step) template.Template {
	return template.Template{Name: name, Steps: steps}
}

func fails(step string) func(t ClaimedStep) StepEnd {
	return func(t ClaimedStep) StepEnd {
		if name(t) == step {
			return StepEnd{Outcome: OutcomeFailed, Reason: "no"}
		}
		return StepEnd{Outcome: OutcomeDone}
	}
}

// What becomes of a flow where a step fails is what its template says.
func TestReactions(t *testing.T) {
	items := map[string]expansion.Input{"in": {Items: []string{"a", "b", "c"}}}
	for _, c := range []struct {
		name string
		t    template.Template
		as   WorkflowState
		ends [4]int
		want string // handed out
	}{
		{"stop", flow("f", step("one", "any", failed(template.FailWorkflow, "")), step("two", "any", needs("one"))), WorkflowFailed, [4]int{0, 1, 0, 1}, "one"},
		{"pass", flow("f", step("one", "any", failed(template.Continue, "")), step("two", "any", needs("one")), step("three", "any", needs("one"), when(template.AllEnded)), step("four", "any", needs("one"), when(template.AnyNotDone))), WorkflowDone, [4]int{2, 1, 0, 1}, "one three four"},
		{"go", flow("f", step("one", "any", failed(template.RunAlternative, "other")), step("two", "any", needs("one")), step("other", "any")), WorkflowDone, [4]int{1, 1, 0, 1}, "one other"},
		{"not gone", flow("f", step("one", "any"), step("two", "any", failed(template.RunAlternative, "other"), needs("one")), step("other", "any")), WorkflowFailed, [4]int{0, 1, 0, 2}, "one"},
		{"undo", flow("f", step("one", "any", failed(template.Compensate, "back")), step("beside", "any"), step("two", "any", needs("one")), step("after", "any", needs("beside")), step("back", "any")), WorkflowFailed, [4]int{2, 1, 0, 1}, "one beside back"},
		{"hold", flow("f", step("one", "any", failed(template.HoldForOperator, "")), step("two", "any", needs("one"))), WorkflowHeld, [4]int{}, "one"},
	} {
		b := newBench(t, c.t)
		b.on = fails("one")
		b.submit("k", "f", nil)
		b.play(6)
		b.ends("k", c.as, c.ends)
		if got := strings.Join(b.log, " "); got != c.want {
			t.Errorf("%s: %s were handed out, want %s", c.name, got, c.want)
		}
	}
	// One item of a fan-out: its own go on or not, the others' do.
	b := newBench(t, flow("f", step("one", "any", each("in"), failed(template.Continue, "")), step("two", "any", each("in"), needs("one")), step("all", "any", needs("two"), when(template.AllEnded))))
	b.on = fails("one b")
	b.submit("k", "f", items)
	b.play(6)
	b.ends("k", WorkflowDone, [4]int{5, 1, 0, 1})
}

// A step over an earlier one's result has as many items as it names, nested; one that is no list, or
// too large, has failed, and says so.
func TestFanOverResults(t *testing.T) {
	b := newBench(t, flow("f", step("list", "any"), step("part", "any", each("list")), step("leaf", "any", each("part"), needs("part")), step("sum", "any", needs("leaf"))))
	b.on = func(t ClaimedStep) StepEnd {
		switch t.Step {
		case "list":
			return StepEnd{Result: []byte(`["x","y"]`)}
		case "part":
			return StepEnd{Result: []byte(`["1","2","3"]`)}
		case "sum":
			if got := t.FanOutCounts["leaf"]; got.Ended != 2 || got.NotDone != 0 {
				b.t.Errorf("the sum is told %+v", got)
			}
		}
		return StepEnd{}
	}
	b.submit("k", "f", nil)
	b.play(6)
	b.ends("k", WorkflowDone, [4]int{1 + 2 + 6 + 1, 0, 0, 0})
	if !strings.Contains(strings.Join(b.log, ";"), "leaf y,3") {
		t.Errorf("%q", b.log)
	}
	for result, want := range map[string]string{"no list": "is no list of 10000 items", `["` + strings.Repeat("x", 1100) + `"]`: "a result of 1104 bytes; expected 1024 at most"} {
		b := newBench(t, flow("f", step("list", "any", failed(template.HoldForOperator, "")), step("part", "any", each("list"))))
		b.on = func(ClaimedStep) StepEnd { return StepEnd{Result: []byte(result)} }
		b.submit("k", "f", nil)
		b.play(2)
		if b.ends("k", WorkflowHeld, [4]int{}); !strings.Contains(b.Workflows["k"].Reason, want) {
			t.Errorf("why: %s, want %s", b.Workflows["k"].Reason, want)
		}
	}
}

// What is held goes on as an operator settles it, and cancelled begins nothing more.
func TestSettleAndCancel(t *testing.T) {
	form := flow("f", step("one", "once", each("in"), unknown(template.HoldForOperator)), step("two", "any", needs("one")))
	for _, c := range []struct {
		as   Outcome
		ends [4]int
		is   WorkflowState
	}{{OutcomeDone, [4]int{4, 0, 0, 0}, WorkflowDone}, {OutcomeFailed, [4]int{2, 1, 0, 1}, WorkflowDone}, {OutcomeRequeue, [4]int{4, 0, 0, 0}, WorkflowDone}} {
		b := newBench(t, form)
		lost := true
		b.on = func(t ClaimedStep) StepEnd {
			if name(t) == "one b" && lost {
				lost = false
				return StepEnd{Outcome: OutcomeUnknown}
			}
			return StepEnd{}
		}
		b.submit("k", "f", map[string]expansion.Input{"in": {Items: []string{"a", "b", "c"}}})
		b.play(4)
		b.ends("k", WorkflowHeld, [4]int{2, 0, 0, 0})
		if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k", Step: expansion.StepRef{Step: 0}, Outcome: c.as, RequestedBy: "o"}}); err == nil {
			t.Error("a step is settled that is not stuck")
		}
		if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k", Step: expansion.StepRef{Step: 0, Path: [3]int{1}}, Outcome: c.as, RequestedBy: "o"}}); err != nil {
			t.Error(err)
		}
		b.play(4)
		b.ends("k", c.is, c.ends)
	}
	b := newBench(t, form)
	b.on = func(ClaimedStep) StepEnd { return StepEnd{Outcome: OutcomeUnknown} }
	b.submit("k", "f", map[string]expansion.Input{"in": {Items: []string{"a", "b"}}})
	b.turn()
	for range 2 {
		if _, err := b.apply(Command{Cancel: &Cancellation{Workflow: "k", RequestedBy: "o"}}); err != nil {
			t.Error(err)
		}
	}
	b.ends("k", WorkflowCancelled, [4]int{0, 0, 2, 1})
	if _, err := b.apply(Command{Resolve: &Resolution{Workflow: "k"}}); !errors.As(err, new(*StateError)) {
		t.Error(err)
	}
}

// One that may be repeated is, in its cell, as often as its template lets it, and while the time lasts
// by a clock that was read after it was claimed; never after whoever told time was lost.
func TestRepeats(t *testing.T) {
	form := flow("f", step("one", "keyed", func(s *template.Step) { s.MaxAttempts = 2 }, failed(template.HoldForOperator, "")))
	claim := func(b *bench) ClaimedStep {
		t.Helper()
		a, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 1, Pools: []string{""}, LastSeenClaim: b.LastNumber}})
		if err != nil || len(a.Claimed) != 1 {
			t.Fatal(a, err)
		}
		return a.Claimed[0]
	}
	mark := func(b *bench, k ClaimedStep) Answer {
		t.Helper()
		a, err := b.apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: []DispatchIntent{{ClaimNumber: k.ClaimNumber, PinnedCell: 3, DedupWindow: 4 * time.Second, NotRunBefore: k.RepeatWindowLeft == 0, Sequence: 1}}}})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	end := func(b *bench, k ClaimedStep, how Outcome) {
		t.Helper()
		if _, err := b.apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: []StepEnd{{ClaimNumber: k.ClaimNumber, Outcome: how, Repeatable: true}}}}); err != nil {
			t.Fatal(err)
		}
		b.pass(300 * time.Millisecond)
	}
	first := func() (*bench, ClaimedStep) {
		b := newBench(t, form)
		b.pass(0)
		b.pass(0)
		b.submit("k", "f", nil)
		k := claim(b)
		if a := mark(b, k); len(a.Recorded) != 1 {
			t.Fatal(a)
		}
		end(b, k, OutcomeUnknown)
		return b, claim(b)
	}
	b, k := first()
	if k.PinnedCell != 3 || k.RepeatWindowLeft <= 3*time.Second || k.RepeatWindowLeft > 4*time.Second {
		t.Errorf("told of cell %d, %v", k.PinnedCell, k.RepeatWindowLeft)
	}
	if a := mark(b, k); len(a.Recorded)+len(a.Rejected) != 0 {
		t.Errorf("marked before time was told: %+v", a)
	}
	b.pass(time.Second)
	if a := mark(b, k); len(a.Recorded) != 1 || a.RepeatWindows[k.ClaimNumber] > 3*time.Second {
		t.Errorf("%+v", a)
	}
	end(b, k, OutcomeUnknown)
	b.ends("k", WorkflowHeld, [4]int{})
	if !strings.Contains(b.Workflows["k"].Reason, "tried 2 times") {
		t.Error(b.Workflows["k"].Reason)
	}

	b, k = first() // too late
	b.pass(4 * time.Second)
	if a := mark(b, k); len(a.Rejected) != 1 || b.Workflows["k"].State != WorkflowHeld && b.Workflows["k"].State != WorkflowFailed {
		t.Errorf("%+v, %v", a, b.Workflows["k"].State)
	}
	b, k = first() // another leads
	b.AdvanceTime(b.now, 2, 1, b.no)
	if a := mark(b, k); len(a.Rejected) != 1 {
		t.Errorf("%+v", a)
	}
	b, k = first() // it has not run after all: as if it had never been claimed again
	end(b, k, OutcomeRequeue)
	if k = claim(b); k.PinnedCell != 3 {
		t.Errorf("%+v", k)
	}
}

// Submitted twice by one key it is submitted once; what a template can't take is refused by type.
func TestSubmit(t *testing.T) {
	b := newBench(t, flow("f", step("one", "any", each("in"), func(s *template.Step) { s.StartMoment = "term" })))
	sound := Submission{Key: "k", Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 2}}, Moments: map[string]time.Duration{"term": time.Minute}}
	for i := range 2 {
		if a, err := b.apply(Command{Submit: &sound}); err != nil || a.AlreadySubmitted != (i == 1) {
			t.Error(a, err)
		}
	}
	if b.turn() != 0 {
		t.Error("it begins before its moment")
	}
	b.pass(time.Minute)
	if b.turn() != 2 {
		t.Error("it does not begin at its moment")
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

// A flow under way ends by the template that it began with.
func TestTemplateChanged(t *testing.T) {
	b := newBench(t, flow("f", step("one", "any"), step("two", "any", needs("one"))))
	b.submit("k", "f", nil)
	b.turn()
	b.SetTemplates(2, []template.Template{flow("f", step("three", "any"))})
	b.submit("l", "f", nil)
	b.play(4)
	b.ends("k", WorkflowDone, [4]int{2, 0, 0, 0})
	b.ends("l", WorkflowDone, [4]int{1, 0, 0, 0})
	if len(b.Templates) != 1 {
		t.Errorf("%d forms are remembered", len(b.Templates))
	}
}

// Keepers restored from an older folder: what was claimed by it is unknown, all else in doubt.
func TestRestored(t *testing.T) {
	b := newBench(t, flow("f", step("one", "once", each("in"), unknown(template.Continue)), step("two", "any", needs("one"), when(template.AllEnded))))
	b.submit("k", "f", map[string]expansion.Input{"in": {Count: 4}})
	if _, err := b.apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 2, Pools: []string{""}}}); err != nil {
		t.Fatal(err)
	}
	b.ResetAfterRestore(b.now, 1000)
	doubt := 0
	b.on = func(t ClaimedStep) StepEnd {
		if t.RunUncertain {
			doubt++
		}
		if t.Class == "once" {
			return StepEnd{Outcome: OutcomeUnknown}
		}
		return StepEnd{}
	}
	b.play(3)
	b.ends("k", WorkflowDone, [4]int{1, 0, 4, 0})
	if doubt != 3 {
		t.Errorf("%d steps were told as in doubt", doubt)
	}
}

// A flow of a million steps is never whole in memory, and its snapshot stays small.
func TestLazy(t *testing.T) {
	big := flow("f", step("one", "any", each("in")), step("two", "any", each("in"), needs("one")))
	big.MaxFanOut, big.MaxLiveItems = 500_000, 50
	b := newBench(t, big)
	b.submit("k", "f", map[string]expansion.Input{"in": {Count: 500_000}})
	for range 200 {
		b.turn()
	}
	f := b.Workflows["k"]
	if f.Tree.LiveItems > 50 || f.Tree.EndCounts[0] < 5000 {
		t.Errorf("%d items under way, %v ended", f.Tree.LiveItems, f.Tree.EndCounts)
	}
}

// Whatever a template looks like and however its steps end: nothing is handed out before what it
// needs has ended, no step twice at once, and every flow ends.
func TestAnyTemplate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
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
		form := flow("f", steps...)
		form.MaxLiveItems = rapid.IntRange(1, 5).Draw(t, "most")
		l := New()
		l.SetTemplates(1, []template.Template{form})
		if len(l.CurrentTemplates) == 0 {
			t.Skip("no such graph")
		}
		in := map[string]expansion.Input{}
		for _, i := range l.graphs["1/f"].InputNames() {
			in[i] = expansion.Input{Count: rapid.IntRange(0, 4).Draw(t, "items")}
		}
		now := time.Second
		apply := func(c Command) Answer {
			a, _, err := l.Apply(now, l.LastNumber, c, always)
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
				t.Fatalf("nothing is ready, and it is %v: %+v", l.Workflows["k"].State, form)
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
