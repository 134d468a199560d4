package server

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/ruleversion"
	"yardflow/internal/control/statemachine"
)

// rulesProposalInterval is the minimum time between two proposals to raise the rules' version.
const rulesProposalInterval = time.Second

// rules is this machine's part in agreeing on the version of the state machine's rules. It belongs to the engine.
type rules struct {
	tracker    *ruleversion.Tracker
	lowering   bool                      // a proposal of this machine to lower the version has no outcome yet
	raisedAt   time.Duration             // when this machine last proposed to raise the version; 0: never
	logged     statemachine.RulesVersion // version that was last logged
	isReported bool                      // it was logged that the version in force is not supported here
}

// adjustRules proposes another version of the rules if the control machines' builds require or allow one.
func (s *Server) adjustRules(now time.Duration) {
	s.lowerRules(now)
	r := &s.rules
	if !s.replica.IsHead() || !s.replica.IsServing() {
		return
	}
	inForce := s.state.fsm.Rules
	to, due := r.tracker.Raised(now, inForce, s.otherMembers())
	if !due || r.raisedAt > 0 && now-r.raisedAt < rulesProposalInterval {
		return
	}
	r.raisedAt = now
	// The proposal ends with the view: a machine of another build can join only with the next one.
	s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{SetRules: &statemachine.SetRules{From: inForce, To: to}})
}

// lowerRules proposes to lower the version of the rules if a machine that does not support it was heard. Any member does
// so, since the head may be a build that knows no versions.
func (s *Server) lowerRules(now time.Duration) {
	r := &s.rules
	inForce := s.state.fsm.Rules
	to, due := r.tracker.Lowered(now, inForce)
	if !due || r.lowering || !s.replica.IsMember() {
		return
	}
	r.lowering = true
	s.logger.Warn().Uint64("from", inForce).Uint64("to", to).
		Msg("a control machine of an earlier build was heard: lowering the rules of the state machine")
	_ = s.commands.submit(&statemachine.Command{SetRules: &statemachine.SetRules{From: inForce, To: to}},
		func(statemachine.Result) { r.lowering = false })
}

// otherMembers returns the members of the chain and the electors of the view in force, without this machine.
func (s *Server) otherMembers() []view.MemberID {
	var ids []view.MemberID
	v := s.membership.view()
	for _, members := range [][]view.Member{v.Chain, v.Electors} {
		for _, member := range members {
			if member.ID != s.membership.self().ID {
				ids = append(ids, member.ID)
			}
		}
	}
	return ids
}

// logRules logs a change of the rules in force, and once that they are not supported here.
func (s *Server) logRules() {
	r, fsm := &s.rules, s.state.fsm
	if fsm.Rules != r.logged {
		r.logged = fsm.Rules
		s.logger.Info().Uint64("version", fsm.Rules).Msg("rules of the state machine in force")
	}
	if err := fsm.CheckRules(&fsm.State); err != nil && !r.isReported {
		r.isReported = true
		s.logger.Error().Err(err).Msg("staying out of the chain")
	}
}
