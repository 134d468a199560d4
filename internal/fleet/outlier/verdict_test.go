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
		return Evidence{Zone: rapid.IntRange(0, 2).Draw(t, "zone"), Stamp: uint64(rapid.IntRange(0, 3).Draw(t, "stamp")), Bad: int64(rapid.IntRange(0, 2).Draw(t, "bad")),
			Good: int64(rapid.IntRange(0, 2).Draw(t, "good")), At: time.Duration(rapid.IntRange(0, 2).Draw(t, "at"))}
	})
}

func aCase() *rapid.Generator[*Case] {
	return rapid.Custom(func(t *rapid.T) *Case {
		return &Case{By: rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), evidence(), 0, 3).Draw(t, "by"), Pardoned: time.Duration(rapid.IntRange(0, 2).Draw(t, "pardoned"))}
	})
}

func merged(all ...*Case) string {
	c := &Case{By: map[string]Evidence{}}
	for _, o := range all {
		c.Merge(&Case{By: maps.Clone(o.By), Pardoned: o.Pardoned})
	}
	return fmt.Sprint(c.By, c.Pardoned)
}

// Whatever order it comes in, however often, and however it was put together before: the same.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := aCase().Draw(t, "a"), aCase().Draw(t, "b"), aCase().Draw(t, "c")
		ab := &Case{By: map[string]Evidence{}}
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
		l := NewLedger()
		s := Default()
		l.Set(&s)
		now := time.Duration(0)
		against := map[Life]map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			who := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "who"))
			of := Life{fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "worker")), rapid.Int64Range(0, 1).Draw(t, "life")}
			r := Report{Of: of, Stamp: rapid.Uint64Range(0, 50).Draw(t, "stamp"), Bad: rapid.Int64().Draw(t, "bad"), Good: rapid.Int64Range(-5, 3000).Draw(t, "good"),
				Age: time.Duration(rapid.Int64().Draw(t, "age")), Trial: rapid.Uint64Range(0, 5).Draw(t, "trial")}
			l.Hear(now, who, rapid.IntRange(0, 1).Draw(t, "zone"), 10, []Report{r})
			if r.Bad > 0 {
				if against[of] == nil {
					against[of] = map[string]bool{}
				}
				against[of][who] = true
			}
			l.Judge(now)
			l.Tell(now, who, 0)
			for _, x := range l.Sentences {
				if len(against[x.Of]) < s.Witnesses {
					t.Fatalf("%v is condemned by %v", x.Of, against[x.Of])
				}
			}
			everywhere := 0
			for _, x := range l.Sentences {
				if x.Zone == Everywhere {
					everywhere++
				}
			}
			if everywhere > 3 || len(l.Sentences) > 6 {
				t.Fatalf("%d workers of 10 are condemned, %d of them everywhere", len(l.Sentences), everywhere)
			}
		}
	})
}

// A word fades by half in a half-life, and to nothing in the end, never below.
func TestFade(t *testing.T) {
	for age, want := range map[time.Duration]int64{-time.Second: 1000, 0: 1000, time.Second: 500, 2 * time.Second: 250, 1500 * time.Millisecond: 375, time.Hour: 0} {
		if got := Fade(1000, age, time.Second); got != want {
			t.Errorf("after %v: %d, want %d", age, got, want)
		}
	}
}
