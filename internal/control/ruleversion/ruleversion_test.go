package ruleversion

import (
	"testing"
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
)

// heard is a heartbeat in a test case.
type heard struct {
	at        time.Duration
	peer      view.MemberID
	supported statemachine.RulesVersion
}

// TestRulesAreRaisedOnlyOnceAllMembersSupportThem checks the decision of a head that supports version 2, with the other
// members 1 and 2, that is asked every 100 ms while version 0 is in force.
func TestRulesAreRaisedOnlyOnceAllMembersSupportThem(t *testing.T) {
	const span = 4 * time.Second
	for name, c := range map[string]struct {
		heartbeat func(now time.Duration) []heard
		raised    statemachine.RulesVersion // 0: never
		before    time.Duration             // not raised before
	}{
		"all members support version 2 from the start": {func(now time.Duration) []heard {
			return []heard{{now, 1, 2}, {now, 2, 2}}
		}, 2, raiseDelay},
		"a member supports version 1 only": {func(now time.Duration) []heard {
			return []heard{{now, 1, 2}, {now, 2, 1}}
		}, 1, raiseDelay},
		"a member knows no versions": {func(now time.Duration) []heard {
			return []heard{{now, 1, 2}, {now, 2, 0}}
		}, 0, 0},
		"a member was never heard": {func(now time.Duration) []heard {
			return []heard{{now, 1, 2}}
		}, 0, 0},
		"a member has been silent since before the delay passed": {func(now time.Duration) []heard {
			if now > 500*time.Millisecond {
				return []heard{{now, 1, 2}}
			}
			return []heard{{now, 1, 2}, {now, 2, 2}}
		}, 2, raiseDelay}, // its last statement counts for hearingTimeout
		"a member is upgraded after 2 s": {func(now time.Duration) []heard {
			if now < 2*time.Second {
				return []heard{{now, 1, 2}, {now, 2, 0}}
			}
			return []heard{{now, 1, 2}, {now, 2, 2}}
		}, 2, 2*time.Second + raiseDelay},
		"a machine outside the view knows no versions": {func(now time.Duration) []heard {
			return []heard{{now, 1, 2}, {now, 2, 2}, {now, 9, 0}}
		}, 0, 0},
	} {
		tracker, raised, raisedAt := NewTracker(2), statemachine.RulesVersion(0), time.Duration(0)
		for now := time.Duration(0); now < span && raised == 0; now += 100 * time.Millisecond {
			for _, h := range c.heartbeat(now) {
				tracker.Receive(h.at, h.peer, h.supported)
			}
			if to, due := tracker.Raised(now, 0, []view.MemberID{1, 2}); due {
				raised, raisedAt = to, now
			}
		}
		if raised != c.raised || raisedAt < c.before {
			t.Errorf("%s: raised to %d after %v, want %d after %v at least", name, raised, raisedAt, c.raised, c.before)
		}
	}
}

// TestRulesAreLoweredAtOnceForAnEarlierBuild checks that one heartbeat of an earlier build is enough, and that a machine that
// has been silent since no longer counts.
func TestRulesAreLoweredAtOnceForAnEarlierBuild(t *testing.T) {
	tracker := NewTracker(2)
	tracker.Receive(0, 1, 2)
	if to, due := tracker.Lowered(0, 2); due {
		t.Errorf("lowered to %d though all machines support version 2", to)
	}
	tracker.Receive(time.Second, 7, 0)
	if to, due := tracker.Lowered(time.Second, 2); !due || to != 0 {
		t.Errorf("to %d, due %v with a machine that knows no versions, want 0 and true", to, due)
	}
	if _, due := tracker.Lowered(2*time.Second+1, 2); due {
		t.Error("lowered for a machine that is silent")
	}
	tracker.Raised(2*time.Minute, 2, nil)
	if len(tracker.statements) != 0 {
		t.Errorf("%d silent machines are remembered", len(tracker.statements))
	}
}
