package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"yardflow/scheduling/job"
)

// submission returns a SubmitJob of session 1.
func submission(id string) Command {
	return Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 2, Owner: 1,
		Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}}
}

// TestDelayedSubmitOfACancelledJobStartsNothing guards against UNASKED: a job whose cancelling was answered 410 was accepted
// when its delayed SubmitJob was applied, and ran.
func TestDelayedSubmitOfACancelledJobStartsNothing(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	c.raiseRules()
	cancel := Command{CancelJob: &CancelJob{Job: jobA, Route: "r"}}
	c.mustApply(cancel, NotFound)
	c.mustApply(cancel, NotFound) // resent
	if result := c.mustApply(submission(jobA), OK); result.JobState != job.Cancelled {
		t.Fatalf("the job is accepted as %v", result.JobState)
	}
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(submission(jobA), OK) // another copy
	c.mustApply(Command{ReadJob: &ReadJob{jobA}}, OK)
	if state := c.Jobs[jobA].State; state != job.Cancelled {
		t.Errorf("the job is %v after another copy", state)
	}
	if len(c.CancelledIDs) != 0 || len(c.PendingByRoute) != 0 {
		t.Errorf("%v remembered and %v pending, want none", c.CancelledIDs, c.PendingByRoute)
	}
}

// TestAcknowledgedCancellingIsFinalInAnyOrder applies submits, cancels and reads of few IDs in random order, with copies of
// each at any later time and snapshots in between. Once a cancelling was acknowledged, the job is never open again.
func TestAcknowledgedCancellingIsFinalInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		c := newTestCluster(t, 2, 1)
		c.raiseRules()
		random := rand.New(rand.NewPCG(seed, 9))
		cancelledAt := map[string]uint64{}
		for range 200 {
			id := fmt.Sprintf("%016x", random.IntN(4))
			switch random.IntN(8) {
			case 0, 1, 2:
				command := submission(id)
				c.Apply(&command)
			case 3, 4:
				route := []string{"r", "q", ""}[random.IntN(3)]
				switch c.Apply(&Command{CancelJob: &CancelJob{Job: id, Route: route}}).Code {
				case OK:
					cancelledAt[id] = c.Jobs[id].EndedAtTick // its record is kept from then on
				case NotFound:
					cancelledAt[id] = c.ClockTicks
				}
			case 5:
				c.Apply(&Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}})
			case 6:
				c.restoreFromSnapshot()
			case 7:
				c.Apply(&Command{ReadJob: &ReadJob{id}})
			}
			for id, tick := range cancelledAt {
				if c.retentionOver(tick) {
					delete(cancelledAt, id)
				} else if j := c.Jobs[id]; j != nil && !j.State.Terminal() {
					t.Fatalf("seed %d: %s is %v though its cancelling was acknowledged", seed, id, j.State)
				}
			}
		}
	}
}

// restoreFromSnapshot continues with the state that a snapshot contains.
func (c *testCluster) restoreFromSnapshot() {
	c.t.Helper()
	data, err := encode(c.State)
	if err != nil {
		c.t.Fatal(err)
	}
	var state State
	if err := decode(data, &state); err != nil {
		c.t.Fatal(err)
	}
	c.Restore(state)
}

// TestCancelledIDsAreBoundedInTimeAndNumber checks that a flood of unknown IDs in one queue fills that queue's share only,
// and that all are forgotten after the retention time.
func TestCancelledIDsAreBoundedInTimeAndNumber(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	c.raiseRules()
	flood := func(route string, count int) (exhausted int) {
		for i := range count {
			id := fmt.Sprintf("%016x", i)
			if c.Apply(&Command{CancelJob: &CancelJob{Job: id, Route: route}}).Code == Exhausted {
				exhausted++
			}
		}
		return exhausted
	}
	if rejected := flood("q0", maxCancelledIDsPerRoute+5); rejected != 5 {
		t.Errorf("%d cancels beyond the share of a queue are rejected, want 5", rejected)
	}
	for i := range 2 * maxCancelledIDs / maxCancelledIDsPerRoute {
		flood(fmt.Sprint("q", i), maxCancelledIDsPerRoute)
	}
	if rejected := flood("calm", guaranteedCancelledIDsPerRoute); rejected != 0 {
		t.Errorf("%d cancels of a calm queue are rejected beside floods", rejected)
	}
	floods := 2 * maxCancelledIDs / maxCancelledIDsPerRoute
	if most := maxCancelledIDs + (floods+1)*guaranteedCancelledIDsPerRoute; c.cancelledIDCount() > most {
		t.Errorf("%d IDs are remembered, want %d at most", c.cancelledIDCount(), most)
	}
	c.mustApply(Command{CancelJob: &CancelJob{Job: jobA + "0123456789", Route: "calm"}}, NotFound)
	data, err := encode(c.CancelledIDs)
	if err != nil {
		t.Fatal(err)
	}
	if perID := len(data) / c.cancelledIDCount(); perID > 25 {
		t.Errorf("an ID takes %d bytes of a snapshot, want 25 at most", perID)
	}
	for range 2 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	}
	if len(c.CancelledIDs) != 0 {
		t.Errorf("%d queues have IDs after the retention time", len(c.CancelledIDs))
	}
}

// TestEarlierBuildEndsWithTheSameJobs checks that a build from before there were versions, which reads the log of the newest
// rules from its disk, has the same jobs in the end: the head confirms each job that was accepted as cancelled by a CancelJob.
func TestEarlierBuildEndsWithTheSameJobs(t *testing.T) {
	present, former := newTestCluster(t, 1, 0), newTestCluster(t, 1, 0)
	former.LimitRules(InitialRules)
	cancel := Command{CancelJob: &CancelJob{Job: jobA, Route: "r"}}
	log := []Command{{SetRules: &SetRules{From: 0, To: NewestRules}}, cancel, submission(jobA), cancel,
		submission("00000000000000bb"), {SetRules: &SetRules{From: NewestRules, To: 0}}}
	for i := range log {
		present.Apply(&log[i])
		former.Apply(&log[i])
	}
	if difference := cmp.Diff(former.State, present.State); difference != "" {
		t.Errorf("the states differ (- former build, + this build):\n%s", difference)
	}
}
