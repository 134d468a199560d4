// Prove-start measures cold starts: 30, 300 and 3,000 dispatchers in virtual time, and real
// processes on loopback, with the aim beside each figure. Exit code 1 where one is missed.
package main

import (
	"fmt"
	"time"

	"yardflow/lab/rig/harness"
	"yardflow/lab/rig/prove"
)

const (
	calls = 5 // a second that the list service takes
	seeds = 5
)

// demand and the ramp of workers by the first site's settings: cold workers have 0.3 of their
// capacity, all of it after 8.3 s, and clients ask for 0.7 of it.
const (
	coldShare, coldTime, demand = 0.3, 8.3, 0.7
)

// full is when a fleet of which all can serve from the power on serves 0.95 of what it is asked for.
func full() float64 { return (0.95*demand - coldShare) / (1 - coldShare) * coldTime }

func main() {
	t := prove.New()
	ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	var bytes [3]float64
	for i, n := range []int{30, 300, 3000} {
		c := harness.ColdStart{Dispatchers: n, Zones: max(n/50, 3), Workers: 200, Calls: calls, Keepers: true, Relay: true}
		if n == 3000 {
			c.Zones = 12
		}
		var worst harness.Started
		for seed := range uint64(seeds) {
			c.Seed = seed
			got := c.Run()
			worst.Peak, worst.Calls, worst.Never = max(worst.Peak, got.Peak), max(worst.Calls, got.Calls), max(worst.Never, got.Never)
			worst.Median, worst.Most, worst.Last = max(worst.Median, got.Median), max(worst.Most, got.Most), max(worst.Last, got.Last)
			worst.Bytes = max(worst.Bytes, got.Bytes)
		}
		bytes[i] = worst.Bytes
		who := fmt.Sprintf("%d dispatchers in %d zones, by a relayed list", n, c.Zones)
		t.Row(who+": calls in the fullest second", fmt.Sprint(worst.Peak), fmt.Sprintf("at most %d, as stated", calls), worst.Peak <= calls)
		t.Row(who+": calls", fmt.Sprint(worst.Calls), fmt.Sprintf("at most %d, two a zone", 2*c.Zones), worst.Calls <= 2*c.Zones)
		t.Row(who+": half, 95%, the last have it after", ms(worst.Median)+", "+ms(worst.Most)+", "+ms(worst.Last), "5s, up to 300", worst.Never == 0 && (n > 300 || worst.Last <= 5*time.Second))
		serve := max(full(), worst.Most.Seconds())
		t.Row(who+": 95% of what is asked for is served after, s", fmt.Sprintf("%.2f", serve), fmt.Sprintf("at most 1.3 of a clairvoyant fleet's %.2f", full()), serve <= 1.3*full())
	}
	t.Row("bytes of lists a dispatcher, 30, 300, 3,000", fmt.Sprintf("%.0f, %.0f, %.0f", bytes[0], bytes[1], bytes[2]), "not growing with how many there are", bytes[2] <= 1.1*bytes[0])
	turns := harness.ColdStart{Seed: 1, Dispatchers: 300, Zones: 6, Workers: 200, Calls: calls, Keepers: true}.Run()
	t.Row("300 by turns alone, without a relay: calls in the fullest second, and the last after", fmt.Sprintf("%d, %s", turns.Peak, ms(turns.Last)), fmt.Sprintf("at most %d", calls), turns.Peak <= calls)
	alone := harness.ColdStart{Seed: 1, Dispatchers: 300, Zones: 6, Workers: 200, Calls: calls, Horizon: 10 * time.Minute}.Run()
	t.Row("300 without keepers, by drawn pauses: calls in the fullest second, failed", fmt.Sprintf("%d, %d", alone.Peak, alone.Failed), "", true)
	t.Row("the same: half, 95%, the last have a list after", ms(alone.Median)+", "+ms(alone.Most)+", "+ms(alone.Last), "all in 10m: no lasting overload", alone.Never == 0)
	t.Scenarios(1, "start-power", "start-reader", "start-list", "start-alone", "start-again", "start-storm", "start-300")
	t.End()
}
