package virtualday

import (
	"testing"
	"time"

	"yardflow/scheduling/dispatch"
)

// room is a day in one server room: two dispatchers, eight markers of two slots and two
// speeds, short jobs with next to no time to wait.
func oneRoom(seed uint64, talk *Talk) Config {
	return Config{Seed: seed, Length: 20 * time.Second, Dispatchers: 2, Workers: 8, Slots: []int{2, 2}, Speeds: []float64{0.97, 0.75},
		Load: 0.75, Delay: time.Millisecond, Report: time.Second, CellSize: 4, Talk: talk,
		Classes: []Class{
			{Class: dispatch.Class{Name: "mark-round", LatencyTarget: 100 * time.Millisecond, Stretch: 1.75, Deadline: 5 * time.Second, Value: 2,
				WorkerKind: -1}, Share: 0.81, Slots: 1, Mean: 220 * time.Millisecond, Sigma: 1},
			{Class: dispatch.Class{Name: "close-night", LatencyTarget: 300 * time.Millisecond, Stretch: 1.75, Deadline: 5 * time.Second, Value: 3,
				Semantics: dispatch.Deduplicated, DedupScope: dispatch.ScopeCell, DedupWindow: 7500 * time.Millisecond, WorkerKind: -1}, Share: 0.19, Slots: 1,
				Mean: 440 * time.Millisecond, Sigma: 1},
		},
		Settings: func(s *dispatch.Settings) {
			s.Attempts.Max, s.Workers.ProgressInterval, s.SlowStart.Share, s.SlowStart.Time, s.SlowStart.CrashLoadTime = 5, time.Second, 0.31, 7700*time.Millisecond, 1500*time.Millisecond
		}}
}

// 36 dispatchers on 8 workers, each with a job a second: what they tell each other is most of
// what can be known, and costs each request at most so much of its worth.
func TestManyDispatchersThatTalk(t *testing.T) {
	t.Parallel()
	const n, price = 36, 0.01
	worth, cost := [2]float64{}, 0.0
	for seed := range seeds(4, 1) {
		for i, talk := range []*Talk{nil, {Delay: 17 * time.Millisecond, Lost: 0.01}} {
			cfg := oneRoom(seed+1, talk)
			cfg.Dispatchers, cfg.Load = n, 0.65
			res := play(t, cfg)
			worth[i] += res.Worth() / float64(seeds(4, 1))
			if jobs := res.Classes[0].Jobs + res.Classes[1].Jobs; talk != nil {
				cost += price * float64(res.Told) * (n - 1) / 256 / float64(jobs) / float64(seeds(4, 1))
			}
		}
	}
	t.Logf("%.3f without, %.3f with, at a price of %.3f", worth[0], worth[1], cost)
	if worth[1]-cost < worth[0]+0.1 || worth[1] < 0.93 || cost > 0.06 {
		t.Errorf("%.3f without, %.3f with, at a price of %.3f", worth[0], worth[1], cost)
	}
}

// Two dispatchers that tell each other what they have out serve as if there were one: with
// datagrams late, lost, doubled and spoilt, too. Where they may not talk, or can't hear each
// other, they serve what they did.
func TestDispatchersThatTalk(t *testing.T) {
	t.Parallel()
	worth := func(change func(*Config)) float64 {
		sum, n := 0.0, seeds(6, 2)
		for seed := range n {
			cfg := oneRoom(seed+1, nil)
			change(&cfg)
			sum += play(t, cfg).Worth() / float64(n)
		}
		return sum
	}
	one := worth(func(c *Config) { c.Dispatchers = 1 })
	silent := worth(func(*Config) {})
	for _, c := range []struct {
		name  string
		talk  Talk
		least float64 // of the way from silence to one dispatcher alone
	}{
		{"17 ms", Talk{Delay: 17 * time.Millisecond}, 0.8},
		{"a fifth lost, doubled, spoilt", Talk{Delay: 17 * time.Millisecond, Lost: 0.2, Doubled: 0.2, Spoiled: 0.2}, 0.6},
		{"late by up to 150 ms", Talk{Delay: 150 * time.Millisecond}, 0.2},
		{"nothing comes through", Talk{Deaf: 1}, -0.5},
	} {
		got := worth(func(cfg *Config) { cfg.Talk = &c.talk })
		closed := (got - silent) / (one - silent)
		t.Logf("%s: %.3f, between %.3f for two that can't talk and %.3f for one alone: %.2f of the way", c.name, got, silent, one, closed)
		if closed < c.least {
			t.Errorf("%s: %.2f of the way, want %.2f", c.name, closed, c.least)
		}
	}
}

// A fifth of the markers takes work and answers none: what both dispatchers send there in the
// next second is what there was room for, two slots at two markers, and one try each after a
// pause; not what each of two would find out for itself.
func TestLittleGoesToTheSilent(t *testing.T) {
	t.Parallel()
	into := [2]float64{}
	for seed := range seeds(6, 2) {
		for i, talk := range []*Talk{nil, {Delay: 17 * time.Millisecond}} {
			cfg := oneRoom(seed+1, talk)
			for w := range 2 {
				cfg.Faults = append(cfg.Faults, Fault{At: 6 * time.Second, Worker: 4 * w, Do: "hang"}, Fault{At: 14 * time.Second, Worker: 4 * w, Do: "back"})
			}
			into[i] += float64(play(t, cfg).IntoHung) / float64(seeds(6, 2))
		}
	}
	t.Logf("%.1f jobs without talk, %.1f with", into[0], into[1])
	if into[1] > 4 || into[1] >= into[0] {
		t.Errorf("%.1f jobs without talk, %.1f with", into[0], into[1])
	}
}

// One dispatcher is alone at first, with the other taken to be down, and has every worker for
// itself; when the other comes, the two find each other and neither fills what the other has.
func TestTheSecondDispatcherComes(t *testing.T) {
	t.Parallel()
	least := 1.0
	for seed := range seeds(6, 2) {
		cfg := oneRoom(seed+1, &Talk{Delay: 17 * time.Millisecond})
		cfg.Faults = []Fault{{At: time.Millisecond, Worker: 1, Do: "die", Factor: 10}}
		res := play(t, cfg)
		for _, w := range res.Windows[:2] { // alone, and both
			least = min(least, w.Worth/w.Of)
		}
	}
	t.Logf("worst 10 s: %.3f", least)
	if least < 0.9 {
		t.Errorf("worst 10 s: %.3f", least)
	}
}
