package virtualday

import (
	"sync"
	"testing"
	"time"

	"yardflow/scheduling/dispatch"
)

// fleet is a day of many dispatchers that each meet every worker seldom.
func fleet(seed uint64, dispatchers, workers int) Config {
	cfg := busy(seed, nil)
	cfg.Dispatchers, cfg.Workers, cfg.Load = dispatchers, workers, 0.72
	cfg.Slots, cfg.Speeds = []int{2, 3}, []float64{1.5, 0.9}
	for i := range cfg.Classes {
		cfg.Classes[i].Slots, cfg.Classes[i].Sigma = 1, 0.9
	}
	return cfg
}

// share is the mean part of the worth that is served in time on some seeds.
func share(t *testing.T, all uint64, change func(*Config)) float64 {
	t.Helper()
	sum, n := 0.0, seeds(all, 1)
	for seed := range n {
		cfg := fleet(seed+1, 80, 60)
		change(&cfg)
		res := play(t, cfg)
		sum += res.Worth()
		if res.LateSend > 500*time.Millisecond { // by any of the dispatchers
			t.Errorf("a job went out %v after its worker's drain was told", res.LateSend)
		}
	}
	t.Logf("%.3f", sum/float64(n))
	return sum / float64(n)
}

// struck has some workers struck, and well again later.
func struck(do string, factor float64, from, to time.Duration) func(*Config) {
	return func(cfg *Config) {
		for i := range 7 {
			cfg.Faults = append(cfg.Faults, Fault{At: from, Worker: 8 * i, Do: do, Factor: factor}, Fault{At: to, Worker: 8 * i, Do: "back"})
		}
	}
}

// told has every dispatcher told of so many.
func told(n int) func(*Config) {
	return func(cfg *Config) { cfg.Settings = func(s *dispatch.Settings) { s.Fleet.Count = n } }
}

// replaced has six in ten workers leave within 7 s and come back cold.
func replaced(cfg *Config) {
	for i := range 36 {
		at := 5*time.Second + time.Duration(i/18)*3*time.Second
		cfg.Faults = append(cfg.Faults, Fault{At: at, Worker: i, Do: "drain"}, Fault{At: at + 2*time.Second, Worker: i, Do: "restart"})
	}
}

// Each of 80 dispatchers meets a worker seldom. Those that draw by size and speed alone
// go on adding to queues that stand (calm 0.86, slow 0.83), and with a slow-start budget
// split evenly they fill newcomers together, blindly (0.70). What own jobs have waited
// tells where not to send, and few dispatchers to a worker know it soon.
func TestManyDispatchers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		least float64
		do    func(*Config)
	}{
		{"calm", 0.925, func(*Config) {}},
		{"7 workers 6 times slower for 10 s", 0.885, struck("slow", 6, 4*time.Second, 14*time.Second)},
		{"7 workers fail fast for 6 s", 0.9, struck("errors", 0.8, 3*time.Second, 9*time.Second)},
		{"told of half", 0.85, told(40)},
		{"told of twice as many", 0.85, told(160)},
		{"36 workers replaced", 0.785, replaced},
	} {
		if got := share(t, 3, c.do); got < c.least {
			t.Errorf("%s: %.3f of the worth is served in time, want %.3f", c.name, got, c.least)
		}
	}
}

// With 300 dispatchers short jobs with one life stood behind long ones. With pools they
// start sooner, in a burst too, at a price to the long ones (0.841 and 0.978 to 0.871 and 0.945).
func TestPoolsKeepShortJobsFromLongOnes(t *testing.T) {
	t.Parallel()
	const n = 4
	var parts [n][2]float64 // of each seed's day, beside each other: one takes long
	var days sync.WaitGroup
	for seed := range n {
		cfg := fleet(uint64(seed+1), 300, 188)
		cfg.Load, cfg.Uneven, cfg.CellSize = 0.72, 0.4, 6
		cfg.Bursts = []Burst{{From: 6 * time.Second, To: 12 * time.Second, Factor: 1.4}}
		cfg.Classes[1].Semantics, cfg.Classes[1].DedupScope, cfg.Classes[1].DedupWindow = dispatch.Deduplicated, dispatch.ScopeCell, 30*time.Second
		days.Go(func() {
			res, err := Play(cfg)
			if err != nil || len(res.Broken) > 0 {
				t.Error(err, res.Broken)
				return
			}
			for i, c := range res.Classes {
				parts[seed][i] = float64(c.InTime) / float64(c.Jobs)
			}
		})
	}
	days.Wait()
	short, long := 0.0, 0.0
	for _, p := range parts {
		short, long = short+p[0]/n, long+p[1]/n
	}
	t.Logf("in time: %.3f of the short jobs, %.3f of the long ones", short, long)
	if short < 0.86 || long < 0.93 {
		t.Errorf("in time: %.3f of the short jobs, %.3f of the long ones", short, long)
	}
}
