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
		return Evidence{Zone: rapid.IntRange(0, 2).Draw(t, "zone"), Sequence: uint64(rapid.IntRange(0, 3).Draw(t, "stamp")), Failures: int64(rapid.IntRange(0, 2).Draw(t, "bad")),
			Successes: int64(rapid.IntRange(0, 2).Draw(t, "good")), ObservedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "at"))}
	})
}

func aCase() *rapid.Generator[*Observations] {
	return rapid.Custom(func(t *rapid.T) *Observations {
		return &Observations{ByReporter: rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), evidence(), 0, 3).Draw(t, "by"), ClearedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "pardoned"))}
	})
}

func merged(all ...*Observations) string {
	c := &Observations{ByReporter: map[string]Evidence{}}
	for _, o := range all {
		c.Merge(&Observations{ByReporter: maps.Clone(o.ByReporter), ClearedAt: o.ClearedAt})
	}
	return fmt.Sprint(c.ByReporter, c.ClearedAt)
}

// Whatever order it comes in, however often, and however it was put together before: the same.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := aCase().Draw(t, "a"), aCase().Draw(t, "b"), aCase().Draw(t, "c")
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

// Whatever is said by whom and when: no more workers are condemned than may be, none by fewer
// witnesses than it takes, and what is kept is bounded.
func TestAnyWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewDetector()
		s := DefaultSettings()
		l.Configure(&s)
		now := time.Duration(0)
		against := map[Incarnation]map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			who := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "who"))
			of := Incarnation{fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "worker")), rapid.Int64Range(0, 1).Draw(t, "life")}
			r := Report{Subject: of, Sequence: rapid.Uint64Range(0, 50).Draw(t, "stamp"), Failures: rapid.Int64().Draw(t, "bad"), Successes: rapid.Int64Range(-5, 3000).Draw(t, "good"),
				Age: time.Duration(rapid.Int64().Draw(t, "age")), Trial: rapid.Uint64Range(0, 5).Draw(t, "trial")}
			l.AddReports(now, who, rapid.IntRange(0, 1).Draw(t, "zone"), 10, []Report{r})
			if r.Failures > 0 {
				if against[of] == nil {
					against[of] = map[string]bool{}
				}
				against[of][who] = true
			}
			l.Evaluate(now)
			l.NoticesFor(now, who, 0)
			for _, x := range l.Ejections {
				if len(against[x.Subject]) < s.MinReporters {
					t.Fatalf("%v is condemned by %v", x.Subject, against[x.Subject])
				}
			}
			everywhere := 0
			for _, x := range l.Ejections {
				if x.Zone == AllZones {
					everywhere++
				}
			}
			if everywhere > 3 || len(l.Ejections) > 6 {
				t.Fatalf("%d workers of 10 are condemned, %d of them everywhere", len(l.Ejections), everywhere)
			}
		}
	})
}

// A word fades by half in a half-life, and to nothing in the end, never below.
func TestFade(t *testing.T) {
	for age, want := range map[time.Duration]int64{-time.Second: 1000, 0: 1000, time.Second: 500, 2 * time.Second: 250, 1500 * time.Millisecond: 375, time.Hour: 0} {
		if got := Decay(1000, age, time.Second); got != want {
			t.Errorf("after %v: %d, want %d", age, got, want)
		}
	}
}
