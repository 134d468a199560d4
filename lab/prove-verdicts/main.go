// Prove-verdicts measures what verdicts of the whole fleet promise: jobs lost to a bad worker with
// and without them at 2, 12 and 300 dispatchers, the time to know and to take back, verdicts that
// are false, and real processes. Each figure stands beside its aim; exit code 1 where one is missed.
package main

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"time"

	"yardflow/lab/rig/harness"
	"yardflow/lab/rig/prove"
)

var (
	calm = flag.Int("calm", 1000, "calm runs")
	seed = flag.Uint64("seed", 1, "of what is drawn")
)

func main() {
	flag.Parse()
	t := prove.New()
	t.Scenarios(*seed, "verdict-bad", "verdict-zone", "verdict-five", "verdict-liar")
	for _, c := range []struct {
		dispatchers, workers int
		rate                 float64
	}{{2, 10, 20}, {12, 20, 20}, {300, 200, 2}} {
		lost(t, c.dispatchers, c.workers, c.rate)
	}
	falsely(t)
	t.End()
}

func base(dispatchers, workers int, rate float64) harness.OutlierSimulation {
	return harness.OutlierSimulation{Dispatchers: dispatchers, Workers: workers, Zones: min(3, max(dispatchers/2, 1)), Rate: rate, Errors: 0.01, EjectByFleet: true, Length: 50 * time.Second, ReportInterval: time.Second}
}

func lost(t *prove.Table, dispatchers, workers int, rate float64) {
	const plays = 6
	var with, without, sentences, wrong int
	var know, all, back time.Duration
	var bytes float64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range uint64(plays) {
		wg.Go(func() {
			j := base(dispatchers, workers, rate)
			j.Seed = *seed*100 + i
			j.Unhealthy = func(at time.Duration, _, w int) bool { return w == 0 && at >= 8*time.Second && at < 28*time.Second }
			a := j.Run()
			j.EjectByFleet = false
			b := j.Run()
			mu.Lock()
			defer mu.Unlock()
			with, without, sentences, wrong = with+a.LostJobs, without+b.LostJobs, sentences+a.Ejections, wrong+a.WrongEjections
			know, all, back, bytes = max(know, a.Avoided95), max(all, a.AvoidedByAll), max(back, a.ReinstatedAfter), max(bytes, a.ReportBytes)
		})
	}
	wg.Wait()
	// Three failures and a hearing of 1.5 s, in which all others go on as they are; then trials.
	flow := 1.5 * float64(dispatchers) * rate / float64(workers)
	most := 3 + min(flow, float64(dispatchers)) + 8
	who := fmt.Sprintf("%d dispatchers, %d workers: ", dispatchers, workers)
	t.Row(who+"jobs lost to a worker bad for 20 s, without verdicts", fmt.Sprintf("%.1f", float64(without)/plays), "", true)
	t.Row(who+"with them", fmt.Sprintf("%.1f", float64(with)/plays), fmt.Sprintf("3, those on their way and trials: %.1f", most), float64(with)/plays <= most)
	t.Row(who+"time until 95% know, all know, longest of 6", fmt.Sprintf("%.2f s, %.2f s", know.Seconds(), all.Seconds()), "", true)
	t.Row(who+"time until it is back", fmt.Sprintf("%.1f s", back.Seconds()), "15 s", back > 0 && back <= 15*time.Second)
	t.Row(who+"false verdicts beside it; bytes a second of each", fmt.Sprintf("%d; %.0f", wrong, bytes), "0", wrong == 0)
}

// falsely plays calm runs: 1% of jobs fail anywhere, as they do.
func falsely(t *prove.Table) {
	for _, c := range []struct{ dispatchers, workers int }{{2, 10}, {12, 20}} {
		var mu sync.Mutex
		passed, seconds := 0, 0.0
		var oldest time.Duration
		next := make(chan int)
		var wg sync.WaitGroup
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for i := range next {
					j := base(c.dispatchers, c.workers, 20)
					j.Seed, j.Length = 10000+uint64(i), 20*time.Second
					got := j.Run()
					mu.Lock()
					passed += got.Ejections
					seconds += j.Length.Seconds()
					oldest = max(oldest, got.OldestNotice)
					mu.Unlock()
				}
			})
		}
		for i := range *calm {
			next <- i
		}
		close(next)
		wg.Wait()
		rate := float64(passed) / seconds * 3600 / float64(c.workers)
		t.Row(fmt.Sprintf("%d dispatchers: false verdicts in %d calm runs of 20 s", c.dispatchers, *calm), fmt.Sprintf("%d, %.3f an hour and worker", passed, rate), "0.1 an hour and worker", rate <= 0.1)
	}
}
