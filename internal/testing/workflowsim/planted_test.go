//go:build !race

package workflowsim

import "testing"

// seedCount is how many seeds are run without a planted fault; few under the race detector, which slows a run and sees
// only one goroutine in each.
const seedCount = uint64(60)

// TestPlantedFaultsAreFound checks that each planted fault violates an invariant under some seed.
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
