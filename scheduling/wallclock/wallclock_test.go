package wallclock

import (
	"testing"
	"time"
)

var midnight = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// jump is a period in which the machine's wall clock is offset by an amount.
type jump struct{ from, to, by time.Duration }

// worstError reads the clock every 100 ms for a minute, and returns the largest errors from checkedFrom on: how far the
// clock was ahead and behind.
func worstError(start, checkedFrom time.Duration, jumps ...jump) (ahead, behind time.Duration) {
	c := Clock{}
	for monotonic := start; monotonic < start+time.Minute; monotonic += 100 * time.Millisecond {
		truth := midnight.Add(monotonic)
		wall := truth
		for _, j := range jumps {
			if monotonic >= j.from && monotonic < j.to {
				wall = wall.Add(j.by)
			}
		}
		offset := c.Now(monotonic, wall).Sub(truth)
		if monotonic >= checkedFrom {
			ahead, behind = max(ahead, offset), max(behind, -offset)
		}
	}
	return ahead, behind
}

func TestJumpsAreAcceptedOnlyAfterTheyHaveLasted(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		start, checkedFrom time.Duration
		jumps              []jump
		ahead, behind      time.Duration // bounds of the error
	}{
		"no jump":           {},
		"ahead and back":    {jumps: []jump{{10 * s, 18 * s, 8 * s}}},
		"behind and back":   {jumps: []jump{{10 * s, 18 * s, -8 * s}}},
		"overlapping jumps": {jumps: []jump{{10 * s, 16 * s, 2 * s}, {12 * s, 18 * s, 8 * s}, {13 * s, 15 * s, -s}}},
		"repeated jumps": {jumps: []jump{{10 * s, 16 * s, 2 * s}, {17 * s, 23 * s, 2 * s},
			{24 * s, 30 * s, 2 * s}, {31 * s, 37 * s, 2 * s}}},
		"permanent, accepted after 20 s":  {checkedFrom: 51 * s, jumps: []jump{{30 * s, 100 * s, 8 * s}}, ahead: 8 * s},
		"permanent, not accepted earlier": {jumps: []jump{{45 * s, 100 * s, 8 * s}}},
		"started in a jump, recovered": {start: 10 * s, checkedFrom: 14100 * time.Millisecond,
			jumps: []jump{{9 * s, 12 * s, 8 * s}}},
		"started in a jump, error bounded": {start: 10 * s, jumps: []jump{{9 * s, 12 * s, 8 * s}}, ahead: 8 * s},
		"drift by less than the tolerance": {jumps: []jump{{10 * s, 100 * s, 150 * time.Millisecond}},
			ahead: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			ahead, behind := worstError(c.start, c.checkedFrom, c.jumps...)
			if ahead > c.ahead || behind > c.behind {
				t.Errorf("clock ahead by %v and behind by %v, want at most %v and %v", ahead, behind, c.ahead, c.behind)
			}
		})
	}
	if ahead, _ := worstError(0, 51*s, jump{30 * s, 100 * s, 8 * s}); ahead != 8*s {
		t.Errorf("permanent jump of 8 s: clock ahead by %v after 20 s, want 8 s", ahead)
	}
}
