//go:build !race

package simulation

import "testing"

// plays are how many storms are played; under the race detector few, since one goroutine plays each.
const plays = uint64(60)

// Each fault that is planted is found.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, f := range AllFaults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				if len(Run(seed, f).Violations) > 0 {
					t.Log("by seed", seed)
					return
				}
			}
			t.Error("not found")
		})
	}
}
