package server

import (
	"time"

	"yardflow/internal/control/stateclock"
	"yardflow/internal/control/statemachine"
)

// clockProposalInterval is the minimum time between two proposals of the same kind that concern the state's clock. The state
// counts each tick once, so a proposal that has no outcome yet may be made again.
const clockProposalInterval = time.Second

// clock is this machine's part in advancing the clock of the replicated state. It belongs to the engine.
type clock struct {
	witness       stateclock.Witness
	advancedAt    time.Duration // when this machine last proposed a tick; 0: never
	ageRecordedAt time.Duration // when this machine last proposed to record the age of a tick; 0: never
}

// observeClock records what the state shows of its clock.
func (s *Server) observeClock() {
	s.clock.witness.Observe(s.now(), s.state.fsm.ClockTicks, s.state.fsm.ClockAge())
}

// advanceClock proposes the next tick of the state's clock once a whole interval has passed since the present one, whoever
// was the head then. Only the head calls it.
func (s *Server) advanceClock(now time.Duration) {
	c := &s.clock
	if !c.witness.MayAdvance(now) {
		s.recordClockAge(now)
		return
	}
	if c.advancedAt > 0 && now-c.advancedAt < clockProposalInterval {
		return
	}
	c.advancedAt = now
	advance := &statemachine.AdvanceClock{Tick: s.state.fsm.ClockTicks + 1}
	s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{AdvanceClock: advance})
}

// recordClockAge proposes to record the age of the present tick while the view is younger than an interval of the clock:
// views and processes may not last until the next tick. In a view that lasts, nothing is recorded.
func (s *Server) recordClockAge(now time.Duration) {
	c, fsm := &s.clock, s.state.fsm
	isYoung := now-s.membership.viewInstalledAt < stateclock.Interval
	if fsm.Rules < statemachine.ClockAgeRules || !isYoung || !c.witness.MayRecord(now, fsm.ClockAge()) ||
		c.ageRecordedAt > 0 && now-c.ageRecordedAt < clockProposalInterval {
		return
	}
	c.ageRecordedAt = now
	age := &statemachine.RecordClockAge{Tick: fsm.ClockTicks, AgeMs: uint64(c.witness.Age(now).Milliseconds())}
	s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{RecordClockAge: age})
}
