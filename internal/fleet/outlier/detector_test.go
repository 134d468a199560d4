package outlier

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func evidence() *rapid.Generator[Evidence] {
	return rapid.Custom(func(t *rapid.T) Evidence {
		return Evidence{Zone: rapid.IntRange(0, 2).Draw(t, "zone"), Sequence: uint64(rapid.IntRange(0, 3).Draw(t, "sequence")), Failures: int64(rapid.IntRange(0, 2).Draw(t, "failures")),
			Successes: int64(rapid.IntRange(0, 2).Draw(t, "successes")), ObservedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "observedAt"))}
	})
}

func observations() *rapid.Generator[*Observations] {
	return rapid.Custom(func(t *rapid.T) *Observations {
		return &Observations{ByReporter: rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), evidence(), 0, 3).Draw(t, "byReporter"), ClearedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "cleared"))}
	})
}

func merged(all ...*Observations) string {
	c := &Observations{ByReporter: map[string]Evidence{}}
	for _, o := range all {
		c.Merge(&Observations{ByReporter: maps.Clone(o.ByReporter), ClearedAt: o.ClearedAt})
	}
	return fmt.Sprint(c.ByReporter, c.ClearedAt)
}

// Whatever the order in which reports arrive, how often, and how they were merged before: the outcome is the same.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := observations().Draw(t, "a"), observations().Draw(t, "b"), observations().Draw(t, "c")
		ab := &Observations{ByReporter: map[string]Evidence{}}
		ab.Merge(a)
		ab.Merge(b)
		if x, y := merged(a, b), merged(b, a); x != y {
			t.Fatalf("%s, %s", x, y)
		}
		if x, y := merged(ab, c), merged(a, b, c); x != y {
			t.Fatalf("%s, %s", x, y)
		}
		if x, y := merged(a, a, b, a), merged(a, b); x != y {
			t.Fatalf("%s, %s", x, y)
		}
	})
}

// Whatever is reported by whom and when: no more workers are ejected than may be, and none by fewer reporters than it
// takes.
func TestEjectionsStayBoundedWhateverIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := NewDetector()
		settings := DefaultSettings()
		detector.Configure(&settings)
		now := time.Duration(0)
		against := map[Incarnation]map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			reporter := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "reporter"))
			subject := Incarnation{fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "worker")), rapid.Int64Range(0, 1).Draw(t, "incarnation")}
			r := Report{Subject: subject, Sequence: rapid.Uint64Range(0, 50).Draw(t, "sequence"), Failures: rapid.Int64().Draw(t, "failures"), Successes: rapid.Int64Range(-5, 3000).Draw(t, "successes"),
				Age: time.Duration(rapid.Int64().Draw(t, "age")), Trial: rapid.Uint64Range(0, 5).Draw(t, "trial")}
			detector.AddReports(now, reporter, rapid.IntRange(0, 1).Draw(t, "zone"), 10, []Report{r})
			if r.Failures > 0 {
				if against[subject] == nil {
					against[subject] = map[string]bool{}
				}
				against[subject][reporter] = true
			}
			detector.Evaluate(now)
			detector.NoticesFor(now, reporter, 0)
			for _, e := range detector.Ejections {
				if len(against[e.Subject]) < settings.MinReporters {
					t.Fatalf("%v is ejected by %v", e.Subject, against[e.Subject])
				}
			}
			fromAllZones := 0
			for _, e := range detector.Ejections {
				if e.Zone == AllZones {
					fromAllZones++
				}
			}
			if fromAllZones > 3 || len(detector.Ejections) > 6 {
				t.Fatalf("%d workers of 10 are ejected, %d of them from all zones", len(detector.Ejections), fromAllZones)
			}
		}
	})
}

// A weight halves in a half-life, ends at nothing and is never below it.
func TestDecayHalvesWithEachHalfLife(t *testing.T) {
	for age, want := range map[time.Duration]int64{-time.Second: 1000, 0: 1000, time.Second: 500, 2 * time.Second: 250, 1500 * time.Millisecond: 375, time.Hour: 0} {
		if got := Decay(1000, age, time.Second); got != want {
			t.Errorf("after %v: %d, want %d", age, got, want)
		}
	}
}

// A failed trial doubles the backoff, and a passed one begins it anew.
func TestPassedTrialResetsTheBackoff(t *testing.T) {
	detector := NewDetector()
	settings := DefaultSettings()
	settings.TrialsToReinstate = 3
	detector.Configure(&settings)
	subject := Incarnation{"s1", 1}
	interval := settings.TrialInterval
	detector.Ejections = []*Ejection{{Subject: subject, Zone: AllZones, NextTrial: 0, TrialBackoff: interval}}
	now, sequence := time.Duration(0), uint64(0)
	for _, step := range []struct {
		failures int64
		next     time.Duration // until the next trial, in trial intervals
	}{{1, 2}, {1, 4}, {0, 1}, {1, 2}, {0, 1}, {0, 1}} {
		now, sequence = detector.Ejections[0].NextTrial, sequence+1
		notices, _ := detector.NoticesFor(now, "d1", 0)
		detector.AddReports(now, "d1", 0, 10, []Report{{Subject: subject, Sequence: sequence, Failures: step.failures, Successes: 1 - step.failures, Trial: notices[0].Trial}})
		if got := detector.Ejections[0].NextTrial - now; got != step.next*interval {
			t.Errorf("trial %d, with %d failures: the next one comes after %v, want %v", sequence, step.failures, got, step.next*interval)
		}
	}
}
