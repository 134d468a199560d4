//go:build !race

package harness

import (
	"testing"
	"time"
)

func from(a, b time.Duration) func(time.Duration, int, int) bool {
	return func(at time.Duration, _, w int) bool { return w == 0 && at >= a && at < b }
}

// A worker that fails is condemned after few jobs of the whole fleet, and comes back; one that
// fails for one zone is condemned there alone; five of six at once are not; a liar condemns
// nobody; and nobody is condemned on calm days.
func TestOutlierSimulation(t *testing.T) {
	t.Parallel()
	base := OutlierSimulation{Dispatchers: 12, Workers: 20, Zones: 2, Rate: 20, Errors: 0.01, EjectByFleet: true, Length: 60 * time.Second, ReportInterval: time.Second}
	for seed := range uint64(5) {
		j := base
		j.Seed, j.Unhealthy = seed, from(10*time.Second, 30*time.Second)
		with := j.Run()
		j.EjectByFleet = false
		without := j.Run()
		if with.Ejections == 0 || with.WrongEjections > 0 || with.ReinstatedAfter == 0 || with.ReinstatedAfter > 15*time.Second || with.LostJobs > without.LostJobs/2 {
			t.Errorf("seed %d, one bad: %+v; without verdicts %+v", seed, with, without)
		}
		j = base
		j.Seed, j.Unhealthy = seed, func(at time.Duration, zone, w int) bool { return w == 0 && zone == 1 && at > 10*time.Second }
		if got := j.Run(); got.Ejections == 0 || got.WrongEjections > 0 {
			t.Errorf("seed %d, bad for one zone: %+v", seed, got)
		}
		j = base
		j.Seed, j.Workers, j.Unhealthy = seed, 6, func(at time.Duration, _, w int) bool { return w < 5 && at > 10*time.Second }
		if got := j.Run(); got.MaxEjected > 2 || got.Ejections == 0 {
			t.Errorf("seed %d, five of six bad: %+v", seed, got)
		}
		j = base
		j.Seed, j.Liars, j.Errors = seed, 1, 0
		if got := j.Run(); got.Ejections > 0 {
			t.Errorf("seed %d, one liar: %+v", seed, got)
		}
		j = base
		j.Seed, j.Unhealthy, j.Disconnected = seed, from(10*time.Second, time.Hour), func(at time.Duration, _ int) bool { return at > 20*time.Second }
		if got := j.Run(); got.OldestNotice > 3*j.ReportInterval {
			t.Errorf("seed %d, all deaf: a verdict of %v ago is used", seed, got.OldestNotice)
		}
	}
	ejections := 0
	for seed := range uint64(40) {
		j := base
		j.Seed, j.Length = 100+seed, 20*time.Second
		ejections += j.Run().Ejections
	}
	if ejections > 0 {
		t.Errorf("%d sentences on 40 calm days", ejections)
	}
}
