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
		t.Error("the latest session of a node is kept after its retention time")
	}
}

// TestClockTicksCountOnce checks that resent ticks don't shorten the retention time. The head of the chain resends a tick
// while nothing is committed.
func TestClockTicksCountOnce(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.mustApply(Command{CancelJob: &CancelJob{Job: jobA}}, OK)
	c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, OK)
	for range 20 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, Conflict)
	}
	if c.ClockTicks != 1 || c.Jobs[jobA] == nil {
		t.Errorf("%d ticks counted, want 1, or the job was removed early", c.ClockTicks)
	}
}
