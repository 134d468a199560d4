package emulator

import (
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// reuseAddresses crashes workers, in pairs of two racks, whose addresses are used again while they are listed.
func reuseAddresses(y *Cluster, _ *rand.Rand, end time.Time) {
	for place := 0; time.Now().Before(end); place += 2 {
		for _, crashed := range []int{place, place + 1} {
			y.list.Reuse(crashed % y.Shape.Workers)
		}
		time.Sleep(reuseAfter + 3*time.Second)
	}
}

// TestAddressesUsedAgain plays workers that crash, stay on the platform's list, and lose their addresses to others.
// The worker that lives at an address must keep what runs there: no task runs twice, none beyond its attempts.
func TestAddressesUsedAgain(t *testing.T) {
	t.Parallel()
	logs := io.Discard
	if os.Getenv("PROVE_LOGS") != "" {
		logs = os.Stderr
	}
	for seed := uint64(1); seed <= addressesInTest; seed++ {
		shape := Shape{Cores: 3, Tolerate: 1, Dispatchers: 3, Workers: 6, Guards: true}
		result := play(t, shape, seed, reuseAddresses, logs)
		for _, broken := range result.Broken {
			t.Errorf("seed %d: %s", seed, broken)
		}
		if result.Completed < 20 {
			t.Errorf("seed %d: %d jobs completed: the schedule shows little", seed, result.Completed)
		}
	}
}
