package dispatch

import "testing"

// Under overload sends beyond known capacity thin out, and come back once they succeed.
func TestOvercommittedSendsArePaced(t *testing.T) {
	d := newDispatcher(testSettings(), 5)
	waste := func() { d.settleOvercommit(&attempt{overcommitted: true}, true) }
	for range 200 {
		waste()
	}
	top := d.overcommit.gapSeconds
	if waste(); d.overcommit.gapSeconds != top || top < 0.2 {
		t.Fatalf("gap %v s after 200 wasted attempts, %v after one more", top, d.overcommit.gapSeconds)
	}
	for range 20 {
		d.settleOvercommit(&attempt{overcommitted: true}, false)
	}
	if d.overcommit.gapSeconds > 0.001 {
		t.Errorf("gap still %v s after 20 that found capacity", d.overcommit.gapSeconds)
	}
	d.settleOvercommit(&attempt{}, true)
	if d.overcommit.gapSeconds > 0.001 {
		t.Error("an attempt with known capacity changed the gap")
	}
}
