package claims

import (
	"fmt"
	"testing"
	"time"

	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/template"
)

// BenchmarkSteps claims, marks and ends steps of a wide flow, 64 a word.
func BenchmarkSteps(b *testing.B) {
	form := flow("f", step("one", "once", each("in")), step("two", "any", each("in"), needs("one")))
	form.MaxLiveItems, form.MaxFanOut = 600, 1<<20
	l := New()
	l.SetTemplates(1, []template.Template{form})
	now, no := time.Second, uint64(0)
	apply := func(c Command) Answer {
		no++
		a, _, err := l.Apply(now, no, c, always)
		if err != nil {
			b.Fatal(err)
		}
		return a
	}
	for i := range 1 + b.N/1000000 {
		apply(Command{Submit: &Submission{Key: fmt.Sprint(i), Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 500_000}}}})
	}
	for n := 0; n < b.N; {
		a := apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 64, Pools: []string{""}, LastSeenClaim: l.LastNumber}})
		var marks []DispatchIntent
		var ends []StepEnd
		for _, t := range a.Claimed {
			marks, ends = append(marks, DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: t.Class == "once", Sequence: 1}), append(ends, StepEnd{ClaimNumber: t.ClaimNumber})
		}
		apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: marks}})
		apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: ends}})
		n += len(a.Claimed)
	}
}
