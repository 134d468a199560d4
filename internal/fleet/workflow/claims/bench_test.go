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
	form.Most, form.Fan = 600, 1<<20
	l := New()
	l.Set(1, []template.Template{form})
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
		apply(Command{Submit: &Submit{Key: fmt.Sprint(i), Template: "f", Inputs: map[string]expansion.Input{"in": {Count: 500_000}}}})
	}
	for n := 0; n < b.N; {
		a := apply(Command{Claim: &Claim{Name: "d", Life: 1, Want: 64, Pools: []string{""}, Heard: l.No}})
		var marks []Marked
		var ends []Ended
		for _, t := range a.Tasks {
			marks, ends = append(marks, Marked{No: t.No, Once: t.Class == "once", Turn: 1}), append(ends, Ended{No: t.No})
		}
		apply(Command{Mark: &Mark{Name: "d", Life: 1, All: marks}})
		apply(Command{End: &End{Name: "d", Life: 1, All: ends}})
		n += len(a.Tasks)
	}
}
