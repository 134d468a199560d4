package wallclock

import (
	"testing"
	"time"
)

var midnight = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// jump is a span in which the machine's time of day is off by an amount.
type jump struct{ from, to, by time.Duration }

// worstError reads the clock every 100 ms for a minute, and returns by how much it was ahead and behind at most, from
// judgedFrom on.
func worstError(start, judgedFrom time.Duration, jumps ...jump) (ahead, behind time.Duration) {
	c := Clock{}
	for steady := start; steady < start+time.Minute; steady += 100 * time.Millisecond {
		truth := midnight.Add(steady)
		wall := truth
		for _, j := range jumps {
			if steady >= j.from && steady < j.to {
				wall = wall.Add(j.by)
			}
		}
		off := c.Now(steady, wall).Sub(truth)
		if steady >= judgedFrom {
			ahead, behind = max(ahead, off), max(behind, -off)
		}
	}
	return ahead, behind
}

func TestJumpsAreAcceptedOnlyOnceTheyLast(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		start, judgedFrom time.Duration
		jumps             []jump
		ahead, behind     time.Duration // bounds of the error
	}{
		"none":                             {},
		"ahead and back":                   {jumps: []jump{{10 * s, 18 * s, 8 * s}}},
		"behind and back":                  {jumps: []jump{{10 * s, 18 * s, -8 * s}}},
		"one on top of the other":          {jumps: []jump{{10 * s, 16 * s, 2 * s}, {12 * s, 18 * s, 8 * s}, {13 * s, 15 * s, -s}}},
		"again and again":                  {jumps: []jump{{10 * s, 16 * s, 2 * s}, {17 * s, 23 * s, 2 * s}, {24 * s, 30 * s, 2 * s}, {31 * s, 37 * s, 2 * s}}},
		"for good, accepted after 20 s":    {judgedFrom: 51 * s, jumps: []jump{{30 * s, 100 * s, 8 * s}}, ahead: 8 * s},
		"for good, not accepted before":    {jumps: []jump{{45 * s, 100 * s, 8 * s}}},
		"started in a jump, for as long":   {start: 10 * s, judgedFrom: 14100 * time.Millisecond, jumps: []jump{{9 * s, 12 * s, 8 * s}}},
		"started in a jump, ahead so far":  {start: 10 * s, jumps: []jump{{9 * s, 12 * s, 8 * s}}, ahead: 8 * s},
		"drift by less than the tolerance": {jumps: []jump{{10 * s, 100 * s, 150 * time.Millisecond}}, ahead: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			ahead, behind := worstError(c.start, c.judgedFrom, c.jumps...)
			if ahead > c.ahead || behind > c.behind {
				t.Errorf("ahead by %v, behind by %v; at most %v and %v", ahead, behind, c.ahead, c.behind)
			}
		})
	}
	if ahead, _ := worstError(0, 51*s, jump{30 * s, 100 * s, 8 * s}); ahead != 8*s {
		t.Errorf("a jump that lasts is never accepted: ahead by %v", ahead)
	}
}
