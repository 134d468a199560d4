package statemachine

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// raiseRules puts the newest rules in force.
func (c *testCluster) raiseRules() {
	c.t.Helper()
	c.mustApply(Command{SetRules: &SetRules{From: c.Rules, To: NewestRules}}, OK)
}

// TestRulesTakeForceAtOneEntry checks that a command that later rules add has no effect before the entry that puts them in
// force, and that a delayed SetRules changes nothing.
func TestRulesTakeForceAtOneEntry(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	age := Command{RecordClockAge: &RecordClockAge{Tick: 0, AgeMs: 3000}}
	c.mustApply(age, Invalid)
	c.raiseRules()
	c.mustApply(age, OK)
	if c.ClockAge() != 3*time.Second {
		t.Errorf("the clock's age is %v, want 3s", c.ClockAge())
	}
	c.mustApply(Command{SetRules: &SetRules{From: 0, To: NewestRules}}, Conflict)
	c.mustApply(Command{SetRules: &SetRules{From: NewestRules, To: 0}}, OK)
	if c.Rules != InitialRules || c.ClockAge() != 0 {
		t.Error("the state under the initial rules has fields of later ones")
	}
}

// TestClockAgeEndsWithItsTick checks that an age that is delivered after the next tick does not count for that tick.
func TestClockAgeEndsWithItsTick(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.raiseRules()
	c.mustApply(Command{RecordClockAge: &RecordClockAge{Tick: 0, AgeMs: 4000}}, OK)
	c.mustApply(Command{RecordClockAge: &RecordClockAge{Tick: 0, AgeMs: 2000}}, OK) // delayed
	if c.ClockAge() != 4*time.Second {
		t.Errorf("the clock's age is %v, want 4s", c.ClockAge())
	}
	c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, OK)
	c.mustApply(Command{RecordClockAge: &RecordClockAge{Tick: 0, AgeMs: 4500}}, Conflict)
	if c.ClockAge() != 0 {
		t.Errorf("the age of the new tick is %v", c.ClockAge())
	}
}

// TestBuildWithoutVersionsAppliesTheSameLogToTheSameState checks, with logs of random commands under the initial rules, that
// both builds have the same state, also behind the entries that raise and lower the rules.
func TestBuildWithoutVersionsAppliesTheSameLogToTheSameState(t *testing.T) {
	for seed := range uint64(50) {
		recorded := simulateDuplicates(seed, false).sent
		present, former := New(2), New(2)
		former.LimitRules(InitialRules)
		for i := range recorded {
			present.Apply(&recorded[i])
			former.Apply(&recorded[i])
		}
		for _, command := range []Command{{SetRules: &SetRules{From: 0, To: NewestRules}},
			{RecordClockAge: &RecordClockAge{Tick: present.ClockTicks, AgeMs: 900}},
			{SetRules: &SetRules{From: NewestRules, To: 0}}} {
			present.Apply(&command)
			former.Apply(&command)
		}
		if difference := cmp.Diff(former.State, present.State); difference != "" {
			t.Fatalf("seed %d: the states differ (- former build, + this build):\n%s", seed, difference)
		}
	}
}

// TestUnknownRulesAreNotApplied checks that a state under rules of a later build is rejected with an error that says what an
// operator can do.
func TestUnknownRulesAreNotApplied(t *testing.T) {
	f := New(2)
	var unsupported *UnsupportedRulesError
	if err := f.CheckRules(&State{Rules: NewestRules + 1}); !errors.As(err, &unsupported) || unsupported.Advice() == "" {
		t.Errorf("the rules of a later build give %v", err)
	}
	if err := f.CheckRules(&State{Rules: NewestRules}); err != nil {
		t.Errorf("the newest rules give %v", err)
	}
}
