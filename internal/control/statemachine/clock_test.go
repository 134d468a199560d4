package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
)

func TestLatestSessionsAreForgotten(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
	for range 4 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	}
	if len(c.LatestSessions) != 0 {
		t.Error("a node that has gone is remembered for ever")
	}
}

// TestClockTicksCountOnce checks that a tick that is sent again, as while nothing is committed, makes the state forget
// nothing early.
func TestClockTicksCountOnce(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.mustApply(Command{CancelJob: &CancelJob{jobA}}, OK)
	c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, OK)
	for range 20 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, Conflict)
	}
	if c.ClockTicks != 1 || c.Jobs[jobA] == nil {
		t.Errorf("age %d", c.ClockTicks)
	}
}
