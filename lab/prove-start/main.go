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
		c := harness.ColdStart{Dispatchers: n, Zones: max(n/50, 3), Workers: 200, CallsPerSecond: calls, Coordinators: true, RelayList: true}
		if n == 3000 {
			c.Zones = 12
		}
		var worst harness.ColdStartResult
		for seed := range uint64(seeds) {
			c.Seed = seed
			got := c.Run()
			worst.PeakCalls, worst.ListCalls, worst.WithoutList = max(worst.PeakCalls, got.PeakCalls), max(worst.ListCalls, got.ListCalls), max(worst.WithoutList, got.WithoutList)
			worst.Median, worst.Percentile95, worst.Last = max(worst.Median, got.Median), max(worst.Percentile95, got.Percentile95), max(worst.Last, got.Last)
			worst.Bytes = max(worst.Bytes, got.Bytes)
		}
		bytes[i] = worst.Bytes
		who := fmt.Sprintf("%d dispatchers in %d zones, by a relayed list", n, c.Zones)
		t.Row(who+": calls in the fullest second", fmt.Sprint(worst.PeakCalls), fmt.Sprintf("at most %d, as stated", calls), worst.PeakCalls <= calls)
		t.Row(who+": calls", fmt.Sprint(worst.ListCalls), fmt.Sprintf("at most %d, two a zone", 2*c.Zones), worst.ListCalls <= 2*c.Zones)
		t.Row(who+": half, 95%, the last have it after", ms(worst.Median)+", "+ms(worst.Percentile95)+", "+ms(worst.Last), "5s, up to 300", worst.WithoutList == 0 && (n > 300 || worst.Last <= 5*time.Second))
		serve := max(full(), worst.Percentile95.Seconds())
		t.Row(who+": 95% of what is asked for is served after, s", fmt.Sprintf("%.2f", serve), fmt.Sprintf("at most 1.3 of a clairvoyant fleet's %.2f", full()), serve <= 1.3*full())
	}
	t.Row("bytes of lists a dispatcher, 30, 300, 3,000", fmt.Sprintf("%.0f, %.0f, %.0f", bytes[0], bytes[1], bytes[2]), "not growing with how many there are", bytes[2] <= 1.1*bytes[0])
	turns := harness.ColdStart{Seed: 1, Dispatchers: 300, Zones: 6, Workers: 200, CallsPerSecond: calls, Coordinators: true}.Run()
	t.Row("300 by turns alone, without a relay: calls in the fullest second, and the last after", fmt.Sprintf("%d, %s", turns.PeakCalls, ms(turns.Last)), fmt.Sprintf("at most %d", calls), turns.PeakCalls <= calls)
	alone := harness.ColdStart{Seed: 1, Dispatchers: 300, Zones: 6, Workers: 200, CallsPerSecond: calls, Horizon: 10 * time.Minute}.Run()
	t.Row("300 without keepers, by drawn pauses: calls in the fullest second, failed", fmt.Sprintf("%d, %d", alone.PeakCalls, alone.FailedCalls), "", true)
	t.Row("the same: half, 95%, the last have a list after", ms(alone.Median)+", "+ms(alone.Percentile95)+", "+ms(alone.Last), "all in 10m: no lasting overload", alone.WithoutList == 0)
	t.Scenarios(1, "start-power", "start-reader", "start-list", "start-alone", "start-again", "start-storm", "start-300")
	t.End()
}
