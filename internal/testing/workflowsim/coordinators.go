package workflowsim

import (
	"bytes"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
)

// coordinators are the simulated coordinators: what they have agreed on, and their leader.
type coordinators struct {
	state   *statemachine.State
	replica *statemachine.State // of another coordinator, restored from a snapshot on the way; nil: not yet

	noLeaderUntil     time.Duration
	ticksStalledUntil time.Duration // the leader reads its clock, and its ticks are committed only then
	leaderTerm        uint64
	tickNumber        uint64        // of the latest tick, among those of this leader
	lastAppliedTick   uint64        // an earlier one that is late is dropped
	lastTickAt        time.Duration // when the leader read its clock last
}

// tick has the leader read its clock, and commits what has passed a little later.
func (s *simulation) tick() {
	if s.now < s.noLeaderUntil {
		s.lastTickAt = s.now // the next leader counts from its own beginning
		s.leaderTerm, s.tickNumber = s.leaderTerm+1, 0
		return
	}
	s.tickNumber++
	t := statemachine.Tick{Elapsed: s.now - s.lastTickAt, GrantsSeen: s.state.GrantCount, LeaderTerm: s.leaderTerm, Number: s.tickNumber}
	s.lastTickAt = s.now
	if s.faultsActive() && s.oneIn(100) {
		return // it is lost
	}
	commit := func() {
		if s.now >= s.noLeaderUntil && s.leaderTerm == t.LeaderTerm && t.Number > s.lastAppliedTick {
			s.lastAppliedTick = t.Number
			s.apply(statemachine.Command{Tick: &t})
		}
	}
	if t.Number == 1 {
		s.lastAppliedTick = 0
	}
	if s.now < s.ticksStalledUntil {
		s.after(s.ticksStalledUntil-s.now, commit)
		return
	}
	s.after(s.randomDuration(10*time.Millisecond), commit)
}

// apply has all coordinators execute a command. They must answer alike, however each has come to its state.
func (s *simulation) apply(c statemachine.Command) statemachine.Result {
	r := s.state.Apply(c)
	if s.replica == nil {
		return r
	}
	own, err := statemachine.Encode(r)
	other, err2 := statemachine.Encode(s.replica.Apply(c))
	if err != nil || err2 != nil || !bytes.Equal(own, other) || s.state.Revision != s.replica.Revision {
		s.violation("two coordinators answer %+v differently: %v, %v; revisions %d, %d", c, err, err2, s.state.Revision, s.replica.Revision)
		s.replica = nil
	}
	return r
}

// restoreFromSnapshot has the coordinators go on from a snapshot of their state; the state that they had becomes that of
// another coordinator, which must answer alike.
func (s *simulation) restoreFromSnapshot() {
	snapshot, err := s.state.Snapshot()
	var restored *statemachine.State
	if err == nil {
		restored, err = statemachine.Restore(snapshot)
	}
	switch {
	case err != nil:
		s.violation("%v", err)
	case s.planted != NoFault: // planted faults are in one state alone, so that no other can answer alike
		s.state = restored
	default:
		s.state, s.replica = restored, s.state
	}
	if s.planted == ForgetIntentsInSnapshot {
		s.forEachStep(func(run *expansion.StepRun) { run.PossiblyExecutedAt, run.IntentSequence = 0, 0 })
	}
}

// forEachStep calls f for each live step of each workflow.
func (s *simulation) forEachStep(f func(run *expansion.StepRun)) {
	for _, w := range s.state.Workflows.Workflows { // each by itself: the order does not matter
		if w.Tree != nil {
			w.Tree.ForEachStep(func(_ expansion.StepRef, run *expansion.StepRun) { f(run) })
		}
	}
}

// submit submits a workflow, again until it is acknowledged.
func (s *simulation) submit(key string, titles int) {
	submission := &claims.Submission{Key: key, Template: templateFor(titles), Inputs: map[string]expansion.Input{}}
	if submission.Template == courseTemplate {
		submission.Inputs["titles"] = expansion.Input{Count: titles}
	}
	r := s.apply(statemachine.Command{Workflow: &claims.Command{Submit: submission}})
	if r.Workflow == nil {
		s.after(100*time.Millisecond, func() { s.submit(key, titles) })
	}
}
