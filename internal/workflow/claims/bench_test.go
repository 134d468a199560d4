package claims

import (
	"fmt"
	"testing"
	"time"

	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/template"
)

// BenchmarkSteps claims steps of a wide workflow, records their intents and ends them, 64 a command.
func BenchmarkSteps(b *testing.B) {
	tmpl := newTemplate("f", step("one", "once", fanOutOver("in")), step("two", "any", fanOutOver("in"), needs("one")))
	tmpl.MaxLiveItems, tmpl.MaxFanOut = 600, 1<<20
	table := New()
	table.SetTemplates(1, []template.Template{tmpl})
	now, grants := time.Second, uint64(0)
	apply := func(c Command) Answer {
		grants++
		a, _, err := table.Apply(now, grants, c, allLeasesHeld)
		if err != nil {
			b.Fatal(err)
		}
		return a
	}
	for i := range 1 + b.N/1000000 {
		apply(Command{Submit: &Submission{Key: fmt.Sprint(i), Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 500_000}}}})
	}
	for n := 0; n < b.N; {
		a := apply(Command{Claim: &ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: 64, Pools: []string{""}, LastSeenClaim: table.LastNumber}})
		var intents []DispatchIntent
		var ends []StepEnd
		for _, t := range a.Claimed {
			intents, ends = append(intents, DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: t.Class == "once", Sequence: 1}), append(ends, StepEnd{ClaimNumber: t.ClaimNumber})
		}
		apply(Command{RecordIntents: &DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: intents}})
		apply(Command{EndSteps: &StepEnds{Dispatcher: "d", Incarnation: 1, Ends: ends}})
		n += len(a.Claimed)
	}
}
