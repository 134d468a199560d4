package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
)

// membership is this machine's part in the agreement on views: which control machines are electors, and which of them
// form the chain.
type membership struct {
	consensus       *view.Consensus
	detector        *view.Detector
	epochAtStart    uint64        // epoch of the view on disk when this incarnation started
	leaving         bool          // this machine has announced a graceful shutdown
	viewInstalledAt time.Duration // when the view in force was installed; 0: no view was installed in this incarnation
	// incompleteWriters are the writers of the view in force that were not known to be complete in it at the last tick.
	incompleteWriters []view.Member
	obstacle          obstacleMonitor
}

// self returns this machine as a member.
func (m *membership) self() view.Member { return m.consensus.Self() }

// view returns the view in force.
func (m *membership) view() *view.View { return m.consensus.View() }

// isOutsideChain reports whether this machine is not in the chain of the newest known view, so that it can serve no
// dispatcher until another view. A member that has a position, but takes no part in the view since its restart, is not
// outside, since a view with it may follow at once. Neither is a machine that waits for the very first view.
func (m *membership) isOutsideChain() bool {
	return !m.consensus.IsInitialMember() && m.view().ChainPosition(m.self().ID) < 0
}

// takesNoPartInView reports whether this machine is a member of the view in force, but takes no part in it: it is sealed,
// or its previous incarnation was the member. A replica starts outside every view, and joins with the next one.
func (m *membership) takesNoPartInView() bool {
	epoch := m.view().Epoch
	hasLeft := epoch == m.epochAtStart || m.consensus.IsSealed()
	return epoch > 0 && hasLeft && m.view().ChainPosition(m.self().ID) >= 0
}

// trackCompleteness records which views are known to be active: those in which all writers are complete, and those whose
// entries are committed.
func (s *Server) trackCompleteness() {
	m := &s.membership
	m.detector.RecordActive(s.replica.EpochAt(s.replica.CommitIndex()))
	m.incompleteWriters = m.detector.IncompleteWriters(m.view(), m.consensus.HardState().CompleteEpoch)
	m.consensus.RecordActive(m.detector.ActiveEpoch())
}

// hasQuorum reports whether this member and more than half of the electors hear each other.
func (m *membership) hasQuorum(now time.Duration) bool {
	return m.detector.HasQuorum(now, m.view())
}

// serviceAddresses returns the addresses at which dispatchers are served: those of the chain, or those of the electors
// before the first view.
func (m *membership) serviceAddresses() []string {
	members := m.view().Chain
	if len(members) == 0 {
		members = m.view().Electors
	}
	return addressesOf(members)
}

func addressesOf(members []view.Member) []string {
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.Address
	}
	return addresses
}

// exclusionReason returns why a desired view excludes a member from the chain: a fault or a graceful shutdown, which the
// detector reports, or a newcomer with an empty disk at the member's address. The reason is never empty.
func (m *membership) exclusionReason(now time.Duration, desired *view.View, member view.Member) string {
	if reason := m.detector.ExclusionReason(now, member.ID); reason != "" {
		return reason
	}
	for _, elector := range desired.Electors {
		if elector.Address == member.Address && elector.ID != member.ID {
			return "replaced by a newcomer at its address"
		}
	}
	return "not in the desired view"
}

// canServe reports whether this replica follows the committed log and is in contact with a quorum, so that its answers
// are up to date.
func (s *Server) canServe() bool {
	return s.replica.IsServing() && s.membership.hasQuorum(s.now())
}

// isMemberWithQuorum reports whether this replica is a member of the chain, has not diverged, and is on the quorum's side
// of a network partition. Its commands may have to wait for a new member of the chain, but they will be committed.
func (s *Server) isMemberWithQuorum() bool {
	return s.replica.IsMember() && s.replica.Divergence() == nil && s.membership.hasQuorum(s.now())
}

// isUnhealthy reports whether the chain should exclude this member.
func (s *Server) isUnhealthy() bool {
	return s.disk.isUnhealthy() || s.snapshots.receivedUnreadable || s.replica.Divergence() != nil ||
		!s.state.supportsRules()
}

// installView installs a view at this replica, and proposes all pending commands to the head of the view. A view that has
// been superseded since it was agreed on is ignored.
func (s *Server) installView(v view.View) {
	if v.Epoch != s.membership.view().Epoch || v.Epoch <= s.replica.Epoch() {
		return
	}
	members := make([]chain.MemberID, len(v.Chain))
	names := make([]string, len(v.Chain))
	for i, member := range v.Chain {
		members[i], names[i] = member.ID, member.Node
	}
	s.logger.Info().Uint64("epoch", v.Epoch).Strs("chain", names).Int("electors", len(v.Electors)).
		Int("copies", v.ReplicationFactor).Msg("view installed")
	s.membership.viewInstalledAt = s.now()
	s.replica.SetView(chain.View{Epoch: v.Epoch, Members: members, WriterCount: v.ReplicationFactor})
	s.withdrawIfSealed()
	s.peers.add(addressesOf(v.Chain))
	s.peers.add(addressesOf(v.Electors))
	s.commands.dropHeadCommands(v.Epoch)
	s.lowerRules(s.now())
	s.commands.repropose(0)
	if s.rules.lowering {
		s.forwardProposals() // ahead of whatever the peers forward, since a member of the view may not support the rules
	}
}

// withdrawIfSealed keeps the replica out of the view in force if this member has promised to take no further part in it. It
// is called before the promise is sent.
func (s *Server) withdrawIfSealed() {
	if s.membership.consensus.IsSealed() {
		s.replica.Withdraw(s.membership.view().Epoch)
	}
}

// proposeView proposes another view if the detector desires one. Before the very first view, it first passes the electors
// to the consensus, once all seeds have been heard.
func (s *Server) proposeView() {
	now := s.now()
	m := &s.membership
	if m.view().Epoch == 0 && m.consensus.IsInitialMember() {
		if electors := m.detector.InitialElectors(now, s.settings.Seeds); electors != nil {
			m.consensus.Bootstrap(electors)
		}
	}
	if m.consensus.IsProposing() {
		return
	}
	desired, expected := m.detector.DesiredView(now, m.view(), m.takesNoPartInView(), s.isUnhealthy(),
		s.replica.CommitIndex())
	if desired == nil {
		return
	}
	s.logExcluded(now, desired)
	m.consensus.Propose(*desired, expected, s.settings.Tolerate.Machines+1)
}

// logExcluded logs which members a proposed view excludes from the chain, and why.
func (s *Server) logExcluded(now time.Duration, desired *view.View) {
	for _, member := range s.membership.view().Chain {
		if desired.ChainPosition(member.ID) < 0 {
			reason := s.membership.exclusionReason(now, desired, member)
			s.logger.Warn().Str("member", member.Node).Str("reason", reason).Msg("member left out of the chain")
		}
	}
}
