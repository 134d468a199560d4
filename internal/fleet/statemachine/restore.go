package statemachine

import "time"

// ResetAfterRestore makes a state safe to go on from that may be older than what the fleet had agreed on:
//   - versions, revisions and numbers of grants go on skip further, so that none is used twice;
//   - no lease is granted until all that may have been granted have expired;
//   - the change under way, which may have come into force, is withdrawn;
//   - the former members are removed.
//
// The policy in force stays so, as a new version; reason is kept with it and with the withdrawn change.
func (s *State) ResetAfterRestore(reason string, skip uint64, formerMembers map[uint64]bool) {
	for id := range formerMembers { // each on its own, so the order does not show
		s.ApplyMemberChange(id, "", true)
	}
	if s.Change != nil && s.Change.Stage < InForce {
		s.withdrawChange(reason)
	}
	s.Revision += skip
	s.GrantCount += skip
	s.Generation++
	p := s.CurrentPolicy() // the empty one, where none was ever made
	p.Version, p.Revision, p.Reason = p.Version+skip, s.Revision, reason
	s.Policies = append(s.Policies, p)
	s.Holders = map[string]*LeaseHolder{}
	forEachComponent(func(c component) { c.resetAfterRestore(s, skip) })
	s.GrantsBlockedUntil = s.Now + s.Config.LeaseDuration + longestSettle(p)
	forEachComponent(func(c component) { c.policyChanged(s, p) })
}

// longestSettle is how long after the loss of a holder what it had in use of a limit still counts, at the longest.
func longestSettle(p Policy) (longest time.Duration) {
	for _, limit := range p.Limits {
		longest = max(longest, limit.ReclaimDelay)
	}
	return longest
}
