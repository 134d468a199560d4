package workflowsim

import (
	"time"

	"yardflow/internal/fleet/statemachine"
)

// send carries a command from a dispatcher to the coordinators and its answer back, if they arrive. The command may be
// executed twice.
func (s *simulation) send(d *dispatcher, c statemachine.Command, answered func(r statemachine.Result)) {
	incarnation := d.incarnation
	arrive := func(duplicate bool) {
		if s.now < s.noLeaderUntil {
			return
		}
		r := s.apply(c)
		if duplicate || s.lost(d) {
			return
		}
		delay := s.messageDelay()
		if s.now < d.slowAnswersUntil {
			delay += leaseDuration * 4 / 5
		}
		s.after(delay, func() { s.run(d, incarnation, func() { answered(r) }) })
	}
	if s.lost(d) {
		return
	}
	s.after(s.messageDelay(), func() { arrive(false) })
	if s.faultsActive() && s.oneIn(15) {
		s.after(s.messageDelay()+s.randomDuration(leaseDuration), func() { arrive(true) })
	}
}

// lost draws whether a message between a dispatcher and the coordinators is lost.
func (s *simulation) lost(d *dispatcher) bool {
	return s.now < d.partitionedUntil || s.faultsActive() && s.oneIn(20)
}

// messageDelay draws how long a message takes.
func (s *simulation) messageDelay() time.Duration {
	if s.faultsActive() && s.oneIn(20) {
		return s.randomDuration(2 * leaseDuration)
	}
	return 2*time.Millisecond + s.randomDuration(15*time.Millisecond)
}

// run has a dispatcher do something as soon as it is not frozen, if it is still of that incarnation then.
func (s *simulation) run(d *dispatcher, incarnation uint64, do func()) {
	switch {
	case !d.up || d.incarnation != incarnation:
	case s.now < d.frozenUntil:
		s.after(d.frozenUntil-s.now, func() { s.run(d, incarnation, do) })
	default:
		do()
	}
}
