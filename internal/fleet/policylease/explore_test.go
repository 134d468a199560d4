//go:build !race

package policylease

import (
	"testing"
)

// It runs on one goroutine, and ten times as long under the race detector, which would find
// nothing there. Every order of events with two holders keeps the promise, and walks far beyond do; each
// planted fault is found: an explorer that finds none of them would say nothing by finding
// nothing.
func TestExplore(t *testing.T) {
	t.Parallel()
	if got := Explore(2, 9, 10000, NoFault); got.Violation != nil {
		t.Errorf("broken by %q", got.Violation)
	}
	for n := 2; n <= 3; n++ {
		got := RandomWalks(n, 1500, 90, NoFault)
		if got.Violation != nil {
			t.Errorf("%d holders: broken by %q", n, got.Violation)
		}
		t.Logf("%d holders: %d steps", n, got.States)
	}
	for _, f := range Faults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			got := RandomWalks(2, 50000, 90, f)
			if got.Violation == nil {
				t.Errorf("not found in %d steps", got.States)
			}
			t.Logf("%d steps: %q", got.States, got.Violation)
		})
	}
}
