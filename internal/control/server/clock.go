package server

import (
	"time"

	"yardflow/internal/control/stateclock"
	"yardflow/internal/control/statemachine"
)

// clockProposalInterval is the minimum time between two proposals of the head that concern the state's clock. A proposal
// that gets lost is proposed again by the command table; the state counts each tick once.
const clockProposalInterval = time.Second

// clock is this machine's part in advancing the clock of the replicated state. It belongs to the engine.
type clock struct {
	witness    stateclock.Witness
	proposedAt time.Duration // when this machine last made a proposal as the head; 0: never
}

// advanceClock proposes the next tick of the state's clock once a whole interval has passed since the present one, whoever
// was the head then. Only the head calls it.
func (s *Server) advanceClock(now time.Duration) {
	c := &s.clock
	if !c.witness.MayAdvance(now) || c.proposedAt > 0 && now-c.proposedAt < clockProposalInterval {
		return
	}
	c.proposedAt = now
	advance := &statemachine.AdvanceClock{Tick: s.state.fsm.ClockTicks + 1}
	s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{AdvanceClock: advance})
}
