//go:build !race

package policylease

import "testing"

// Every order of events with two holders keeps the invariant, and so do random walks far beyond; each planted fault is
// found, since an exploration that finds none of them would prove nothing by finding nothing. It runs on one goroutine,
// so the race detector would find nothing, and takes ten times as long under it.
func TestExplorationFindsEachPlantedFaultAndNothingElse(t *testing.T) {
	t.Parallel()
	if got := Explore(2, 9, 10000, NoFault); got.Violation != nil {
		t.Errorf("violated by %q", got.Violation)
	}
	for n := 2; n <= 3; n++ {
		got := RandomWalks(n, 1500, 90, NoFault)
		if got.Violation != nil {
			t.Errorf("%d holders: violated by %q", n, got.Violation)
		}
		t.Logf("%d holders: %d steps", n, got.States)
	}
	for _, fault := range Faults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			got := RandomWalks(2, 50000, 90, fault)
			if got.Violation == nil {
				t.Errorf("not found in %d steps", got.States)
			}
			t.Logf("%d steps: %q", got.States, got.Violation)
		})
	}
}
