package statemachine

import (
	"testing"
)

func TestNextIncarnationOfANodeTakesOver(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	again := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: 1}}, OK)
	if again.Session != 1 {
		t.Errorf("the same incarnation got session %d, want 1", again.Session)
	}
	next := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: 7, ExpectedLatest: 1}}, OK)
	if next.Session == 1 || c.Sessions[1] != nil || c.Workers["w1"].Owner != next.Session {
		t.Errorf("the next incarnation has session %d, but the worker's owner is %d", next.Session, c.Workers["w1"].Owner)
	}
}

// TestDelayedOpenOfAFormerIncarnationIsRejected checks that an OpenSession of a former incarnation that a partitioned member
// delivers late does not close the session of the node's present incarnation.
func TestDelayedOpenOfAFormerIncarnationIsRejected(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	former := Command{OpenSession: &OpenSession{Node: "front-1", Zone: "z", Incarnation: 1, ExpectedLatest: 0}}
	present := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Zone: "z", Incarnation: 2, ExpectedLatest: 1}}, OK).Session
	if result := c.mustApply(former, Conflict); result.Session != present {
		t.Errorf("the rejection returns session %d, the latest is %d", result.Session, present)
	}
	if c.Sessions[present] == nil || c.Workers["w1"].Owner != present {
		t.Error("a former incarnation has closed the present session")
	}
	// After the present session was closed, the former incarnation must not open a session before the next one either.
	c.mustApply(Command{CloseSession: &CloseSession{present}}, OK)
	c.mustApply(former, Conflict)
	if len(c.Sessions) != 0 {
		t.Errorf("sessions %v are open, want none", c.sessionIDs())
	}
}
