// Prove-room measures what room held for large jobs is worth, against the same
// dispatcher without it, on the same draws in virtual time. Each figure stands beside
// its aim; exit code 1 where one is missed.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"yardflow/internal/testing/standin/virtualday"
	"yardflow/scheduling/backfill"
	"yardflow/scheduling/dispatch"
)

var (
	seeds  = flag.Int("seeds", 30, "days for each cell")
	length = flag.Duration("length", 40*time.Second, "of one day, in virtual time")
	modes  = flag.Bool("modes", false, "compare the two forms of backfilling instead")
)

// cell is one mix under one load.
type cell struct {
	load, large float64
	slots       int
	faulty      bool
}

func (c cell) String() string {
	kind := "calm"
	if c.faulty {
		kind = "faults"
	}
	return fmt.Sprintf("load %.2f, %2.0f%% large of %d, %s", c.load, c.large*100, c.slots, kind)
}

// config is the cell's day of a seed, with or without room.
func (c cell) config(seed int, r *backfill.Settings) virtualday.Config {
	cfg := virtualday.Config{Seed: uint64(seed), Length: *length, Dispatchers: 1, Workers: 8, Slots: []int{2, 3}, Speeds: []float64{1.7, 0.9},
		Load: c.load, Delay: 3 * time.Millisecond, Report: time.Second,
		Classes: []virtualday.Class{
			{Class: dispatch.Class{Name: "issue-loan", LatencyTarget: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Value: 2,
				Semantics: dispatch.AtMostOnce, WorkerKind: -1}, Share: 1 - c.large, Slots: 1, Mean: 420 * time.Millisecond, Sigma: 0.5},
			{Class: dispatch.Class{Name: "package-file", LatencyTarget: 500 * time.Millisecond, Stretch: 2.5, Deadline: 20 * time.Second, Value: 3,
				Semantics: dispatch.Retryable, WorkerKind: -1}, Share: c.large, Slots: c.slots, Mean: 1700 * time.Millisecond, Sigma: 0.5},
		},
		Settings: func(s *dispatch.Settings) { s.Backfill = r }}
	if c.faulty {
		cfg.Faults = []virtualday.Fault{{At: 10 * time.Second, Worker: seed, Do: "slow", Factor: 6}, {At: 22 * time.Second, Worker: seed, Do: "back"},
			{At: 15 * time.Second, Worker: seed + 3, Do: "errors", Factor: 0.7}, {At: 27 * time.Second, Worker: seed + 3, Do: "back"}}
	}
	return cfg
}

// figures are what is compared, in points of 100.
type figures struct {
	small, large, worth float64
	broken              []string
}

func play(c cell, seed int, r *backfill.Settings) figures {
	res, err := virtualday.Play(c.config(seed, r))
	if err != nil {
		return figures{broken: []string{err.Error()}}
	}
	part := func(s virtualday.Score) float64 { return 100 * float64(s.InTime) / math.Max(float64(s.Jobs), 1) }
	return figures{part(res.Classes[0]), part(res.Classes[1]), 100 * res.Worth(), res.Broken}
}

// stat is a mean with the half width of its 95% interval.
type stat struct{ mean, half float64 }

func (s stat) String() string { return fmt.Sprintf("%+.1f ± %.1f", s.mean, s.half) }

func mean(x []float64) stat {
	sum, sq := 0.0, 0.0
	for _, v := range x {
		sum += v
	}
	m := sum / float64(len(x))
	for _, v := range x {
		sq += (v - m) * (v - m)
	}
	// Student's t for 29 degrees of freedom; more seeds make it a little too wide.
	return stat{m, 2.05 * math.Sqrt(sq/float64(len(x)-1)/float64(len(x)))}
}

// row is one cell's figures.
type row struct {
	cell                       cell
	before, gain, small, worth stat
	broken                     []string
}

// paired plays all cells with two settings on the same draws.
func paired(cells []cell, a, b *backfill.Settings) []row {
	rows := make([]row, len(cells))
	type task struct{ c, seed int }
	tasks := make(chan task)
	type pair struct{ a, b figures }
	got := make([][]pair, len(cells))
	for i := range got {
		got[i] = make([]pair, *seeds)
	}
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for t := range tasks {
				got[t.c][t.seed] = pair{play(cells[t.c], t.seed+1, a), play(cells[t.c], t.seed+1, b)}
			}
		})
	}
	for i := range cells {
		for seed := range *seeds {
			tasks <- task{i, seed}
		}
	}
	close(tasks)
	wg.Wait()
	for i, c := range cells {
		var before, gain, small, worth []float64
		rows[i].cell = c
		for _, p := range got[i] {
			before, gain = append(before, p.a.large), append(gain, p.b.large-p.a.large)
			small, worth = append(small, p.b.small-p.a.small), append(worth, p.b.worth-p.a.worth)
			rows[i].broken = append(append(rows[i].broken, p.a.broken...), p.b.broken...)
		}
		rows[i].before, rows[i].gain, rows[i].small, rows[i].worth = mean(before), mean(gain), mean(small), mean(worth)
	}
	return rows
}

// clairvoyant is how far the plan of one who knows all jobs to come and their true
// sizes is ahead of the dispatcher without room, on the same draws.
func clairvoyant(c cell) string {
	var small, large, worth []float64
	for seed := range *seeds {
		cfg := c.config(seed+1, nil)
		part := func(s virtualday.Score) float64 { return 100 * float64(s.InTime) / math.Max(float64(s.Jobs), 1) }
		res, now := virtualday.Clairvoyant(cfg, virtualday.InTurn), play(c, seed+1, nil)
		small, large = append(small, part(res.Classes[0])-now.small), append(large, part(res.Classes[1])-now.large)
		worth = append(worth, 100*res.Worth()-now.worth)
	}
	return fmt.Sprintf("%v, %v, %v", mean(large), mean(small), mean(worth))
}

func main() {
	flag.Parse()
	on := backfill.DefaultSettings()
	var cells []cell
	for _, load := range []float64{0.6, 0.75, 0.9, 1.1} {
		for _, large := range []float64{0.05, 0.25, 0.5} {
			for _, slots := range []int{1, 2} {
				for _, faulty := range []bool{false, true} {
					cells = append(cells, cell{load, large, slots, faulty})
				}
			}
		}
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	if *modes {
		other := on
		other.Mode = backfill.Conservative
		on.Mode = backfill.Easy
		fmt.Fprintln(out, "conservative against easy\tlarge in time\tsmall in time\tworth")
		for _, r := range paired(cells, &on, &other) {
			fmt.Fprintf(out, "%v\t%v\t%v\t%v\n", r.cell, r.gain, r.small, r.worth)
		}
		_ = out.Flush()
		return
	}
	fmt.Fprintln(out, "cell\tlarge in time without\tlarge, change\tsmall, change\tworth, change\ta clairvoyant plan: large, small, worth\taim\t")
	ok := true
	for _, r := range paired(cells, nil, &on) {
		aim, holds := "", true
		switch {
		case r.cell.load == 0.9 && r.before.mean < 85:
			aim = "large +15 or more, small -2 at most, worth higher"
			holds = r.gain.mean >= 15 && r.small.mean >= -2 && r.worth.mean > 0
		case r.cell.load == 0.6:
			aim = "no measurable difference"
			holds = math.Abs(r.worth.mean) <= math.Max(r.worth.half, 0.5)
		}
		verdict := ""
		if aim != "" {
			verdict = "holds"
		}
		if len(r.broken) > 0 {
			holds, aim = false, r.broken[0]
		}
		if !holds {
			verdict, ok = "MISSED", false
		}
		best := ""
		if r.cell.load == 0.9 && !r.cell.faulty {
			best = clairvoyant(r.cell)
		}
		fmt.Fprintf(out, "%v\t%.1f ± %.1f\t%v\t%v\t%v\t%s\t%s\t%s\n", r.cell, r.before.mean, r.before.half, r.gain, r.small, r.worth, best, aim, verdict)
	}
	_ = out.Flush()
	if !ok {
		os.Exit(1)
	}
}
