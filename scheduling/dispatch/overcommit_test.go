package dispatch

import "testing"

// Wasted overcommitted sends increase the gap up to its bound; sends that find capacity reduce it again.
// Attempts with known capacity leave it unchanged.
func TestOvercommitGapFollowsOutcomes(t *testing.T) {
	d := newDispatcher(testSettings(), 5)
	waste := func() { d.recordOvercommitOutcome(&attempt{overcommitted: true}, true) }
	for range 200 {
		waste()
	}
	maxGap := d.overcommit.gapSeconds
	if waste(); d.overcommit.gapSeconds != maxGap || maxGap < 0.2 {
		t.Fatalf("gap is %v s after 200 wasted attempts and %v s after one more; want the same, at least 0.2 s", maxGap, d.overcommit.gapSeconds)
	}
	for range 20 {
		d.recordOvercommitOutcome(&attempt{overcommitted: true}, false)
	}
	if d.overcommit.gapSeconds > 0.001 {
		t.Errorf("gap is still %v s after 20 attempts that found capacity, want at most 0.001 s", d.overcommit.gapSeconds)
	}
	d.recordOvercommitOutcome(&attempt{}, true)
	if d.overcommit.gapSeconds > 0.001 {
		t.Error("an attempt with known capacity changed the gap")
	}
}
