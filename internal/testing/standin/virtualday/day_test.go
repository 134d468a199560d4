package virtualday

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"yardflow/scheduling/backfill"
	"yardflow/scheduling/dispatch"
)

// busy is a day on which large jobs need room: 8 workers of 2 and 3 slots, a
// quarter of the jobs of two slots.
func busy(seed uint64, r *backfill.Settings) Config {
	return Config{Seed: seed, Length: 20 * time.Second, Dispatchers: 1, Workers: 8, Slots: []int{2, 3}, Speeds: []float64{1.7, 0.9},
		Load: 0.9, Delay: 3 * time.Millisecond, Report: time.Second,
		Classes: []Class{
			{Class: dispatch.Class{Name: "issue-loan", LatencyTarget: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Value: 2,
				Semantics: dispatch.AtMostOnce, WorkerKind: -1}, Share: 0.75, Slots: 1, Mean: 420 * time.Millisecond, Sigma: 0.5},
			{Class: dispatch.Class{Name: "package-file", LatencyTarget: 500 * time.Millisecond, Stretch: 2.5, Deadline: 20 * time.Second, Value: 3,
				Semantics: dispatch.Retryable, WorkerKind: -1}, Share: 0.25, Slots: 2, Mean: 1700 * time.Millisecond, Sigma: 0.5},
		},
		Settings: func(s *dispatch.Settings) { s.Backfill = r }}
}

func play(t *testing.T, cfg Config) *Result {
	t.Helper()
	res, err := Play(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Broken {
		t.Error(b)
	}
	return res
}

// made adds up what the dispatchers' plans did.
func made(t *testing.T, res *Result) (n int) {
	t.Helper()
	for _, m := range res.Modules {
		held := m.Reservations()
		if held == nil {
			continue
		}
		n += held.Created
		if len(held.Reservations) > 0 {
			t.Errorf("reservations are left at the end: %+v", held.Reservations)
		}
	}
	return n
}

func TestSameSeedSameDay(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	one, two := play(t, busy(3, &on)), play(t, busy(3, &on))
	if diff := cmp.Diff(one, two, cmpopts.IgnoreFields(Result{}, "Modules")); diff != "" {
		t.Error(diff)
	}
	if other := play(t, busy(4, &on)); cmp.Equal(one.Classes, other.Classes) {
		t.Error("another seed is the same day")
	}
}

// With little load, or no large jobs, nothing is held, and every figure is as without
// room, down to the count of decisions.
func TestNothingIsHeldWithoutNeed(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	for name, change := range map[string]func(*Config){
		"little load":   func(c *Config) { c.Load = 0.1 },
		"no large jobs": func(c *Config) { c.Classes[0].Share, c.Classes[1].Share = 1, 0 },
		"of one slot":   func(c *Config) { c.Classes[1].Slots = 1 },
	} {
		for seed := range seeds(5, 1) {
			one, two := busy(seed, &on), busy(seed, nil)
			change(&one)
			change(&two)
			with, without := play(t, one), play(t, two)
			if n := made(t, with); n > 0 {
				t.Errorf("%s: %d reservations", name, n)
			}
			if diff := cmp.Diff(without, with, cmpopts.IgnoreFields(Result{}, "Modules")); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
}

// Whatever befalls the worker that holds room, at the moment at which it holds it:
// the rules stand, and room is not held there any more where it may get nothing new.
func TestHolderInTrouble(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	for name, f := range map[string]Fault{
		"drains, and hands back": {Do: "drain", Factor: 1},
		"drains, and keeps":      {Do: "drain"},
		"slows eightfold":        {Do: "slow", Factor: 8},
		"fails fast":             {Do: "errors", Factor: 0.9},
		"is silent":              {Do: "hang"},
		"restarts cold":          {Do: "restart"},
	} {
		t.Run(name, func(t *testing.T) {
			hit := 0
			for seed := range uint64(6) {
				cfg := busy(seed+1, &on)
				f.At, f.Worker = 6*time.Second, Holder
				cfg.Faults = []Fault{f, {At: 14 * time.Second, Worker: Holder, Do: "back"}}
				res := play(t, cfg)
				made(t, res)
				hit += res.Hit
				if res.LateSend > 0 {
					t.Errorf("sent %v after the drain was told", res.LateSend)
				}
			}
			if hit < 3 {
				t.Errorf("a holder was hit on %d of 6 days", hit)
			}
		})
	}
}

// Dispatchers that cannot talk hold room on the same workers: what it costs stays
// within the budget of each, and the rules stand.
func TestSeveralDispatchersHoldRoom(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	for _, n := range []int{2, 3, 8} {
		gain, days := 0.0, seeds(6, 1)
		for seed := range days {
			with, without := busy(seed+1, &on), busy(seed+1, nil)
			with.Dispatchers, without.Dispatchers = n, n
			a := play(t, with)
			gain += 100 * (a.Worth() - play(t, without).Worth()) / float64(days)
			made(t, a)
		}
		if gain < -2 {
			t.Errorf("%d dispatchers lose %.1f points of worth by holding room", n, -gain)
		}
	}
}

// Sizes with a long tail, so that estimates are off by factors: the rules stand, and
// no job waits for others' room beyond the bound and its own time.
func TestLongTails(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	for seed := range seeds(4, 1) {
		cfg := busy(seed+1, &on)
		for i := range cfg.Classes {
			cfg.Classes[i].Sigma = 1.4
		}
		res := play(t, cfg)
		made(t, res)
		if w := res.Classes[0].Wait; w > 5*time.Second {
			t.Errorf("a small job waited %v", w)
		}
	}
}

// New settings take room away, or give it, while it is held.
func TestRoomIsSwitchedWhileHeld(t *testing.T) {
	t.Parallel()
	on := backfill.DefaultSettings()
	cfg := busy(2, &on)
	cfg.Retunes = map[time.Duration]func(*dispatch.Settings){
		6 * time.Second:  func(s *dispatch.Settings) { s.Backfill = nil },
		10 * time.Second: func(s *dispatch.Settings) { s.Backfill = &on },
		15 * time.Second: func(s *dispatch.Settings) { s.Classes = s.Classes[:1] },
	}
	if n := made(t, play(t, cfg)); n == 0 {
		t.Error("nothing was held again")
	}
}
