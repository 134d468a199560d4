package statemachine

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// forgetAfterLeases is for how many lease durations a holder is remembered after its lease has expired, for operators.
const forgetAfterLeases = 100

// LeaseHolder is one incarnation of a dispatcher. A restart is another incarnation, and so is the new process of a hot
// restart: both may hold a lease at once.
//
// It is made by its first lease request and deleted forgetAfterLeases lease durations after its last lease.
type LeaseHolder struct {
	Name          string
	Incarnation   uint64        `cbor:"Life" json:"Life"`
	Seq           uint64        // of the latest message taken from it
	LeaseExpiry   time.Duration `cbor:"Until" json:"Until"`     // in the state's time; 0: it holds no lease that counts
	PendingGrant  uint64        `cbor:"Grant" json:"Grant"`     // number of a lease whose duration has not begun to count; 0: it counts
	PolicyVersion uint64        `cbor:"Version" json:"Version"` // under which it was granted its latest lease
	KnownVersion  uint64        `cbor:"Knows" json:"Knows"`     // the newest that it has applied
	Program       string        // version of its program, for operators
	ClaimLease    ClaimLease    `cbor:"Stay" json:"Stay"`
}

// holderKey is the key of an incarnation in State.Holders.
func holderKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", name, incarnation)
}

// IsActive reports whether a holder may hold a lease now.
func (s *State) IsActive(h *LeaseHolder) bool { return h.PendingGrant > 0 || h.LeaseExpiry > s.Now }

// ActiveHolders returns those that may hold a lease now, by name.
func (s *State) ActiveHolders() (active []*LeaseHolder) {
	for _, key := range slices.Sorted(maps.Keys(s.Holders)) {
		if h := s.Holders[key]; s.IsActive(h) {
			active = append(active, h)
		}
	}
	return active
}

// mayHoldLease reports whether an incarnation, by its key, may hold a lease now.
func (s *State) mayHoldLease(key string) bool {
	h := s.Holders[key]
	return h != nil && s.IsActive(h)
}

// requestLease grants a lease under the policy in force, or says why not.
func (s *State) requestLease(c *LeaseRequest) (r Result) {
	key := holderKey(c.Name, c.Incarnation)
	h := s.Holders[key]
	if h == nil {
		h = &LeaseHolder{Name: c.Name, Incarnation: c.Incarnation}
		s.Holders[key] = h
	}
	if c.Seq <= h.Seq {
		// A late or doubled message. That it serves under no version, which ends its lease while a change is closing,
		// may be true no more.
		r.Err = ErrStaleMessage.Error()
		return r
	}
	h.Seq, h.KnownVersion, h.Program = c.Seq, c.KnownVersion, c.Program
	forEachComponent(func(p component) { p.leaseRequested(s, c, &r) })
	current := s.CurrentPolicy()
	if c.KnownVersion != current.Version {
		r.Policy = &current
	}
	if s.awaitsVote(key) {
		r.Change = s.Change
	}
	if r.NoLeaseReason, r.StopAdmitting = s.denyLease(c, h, r.Change != nil); r.NoLeaseReason != "" {
		return r
	}
	s.GrantCount++
	h.PendingGrant, h.PolicyVersion = s.GrantCount, current.Version
	r.LeaseDuration, r.Grant = s.Config.LeaseDuration, s.GrantCount
	forEachComponent(func(p component) { p.leaseGranted(s, c, &r) })
	return r
}

// denyLease returns why a holder is granted no lease now, and whether it has to stop admitting work; reason is empty
// where it is granted one. owesVote: a change is proposed on which it has not voted.
func (s *State) denyLease(c *LeaseRequest, h *LeaseHolder, owesVote bool) (reason string, stop bool) {
	current, change, refuse := s.CurrentPolicy().Version, s.Change, s.Config.OnLeaseLoss == RefuseWork
	switch {
	case s.GrantsBlockedUntil > s.Now:
		return "the keepers were restored: leases of before are waited out", refuse
	case change != nil && change.Stage == Closing:
		if c.ServingVersion == 0 { // it has stopped, so its lease need not be waited out
			s.endLease(h)
		}
		return "a change is closing", true
	case c.KnownVersion != current:
		return fmt.Sprintf("version %d is in force, and it has %d", current, c.KnownVersion), refuse
	case owesVote && change.SkipUnresponsive && s.voteOverdue():
		return "it has not said whether it could run the change, which goes on without it", false
	case owesVote && !s.IsActive(h):
		// It came after the proposal: it votes like the others, and gets its lease once it has.
		return "a change is proposed, and it has yet to say whether it could run it", false
	}
	return "", false
}

// releaseLease ends a holder's leases for good: its process ends.
func (s *State) releaseLease(c *LeaseRelease) {
	h := s.Holders[holderKey(c.Name, c.Incarnation)]
	if h == nil || c.Seq <= h.Seq {
		return
	}
	h.Seq = c.Seq
	s.endLease(h)
	forEachComponent(func(p component) { p.holderLeft(s, h) })
}

// endLease ends a holder's lease: it has said that it admits nothing.
func (s *State) endLease(h *LeaseHolder) {
	h.LeaseExpiry, h.PendingGrant = 0, 0
	forEachComponent(func(p component) { p.leaseEnded(s, h) })
}

// advanceTime moves the state's clock on.
func (s *State) advanceTime(c *Tick) {
	s.Now += max(c.Elapsed, 0)
	for _, h := range s.Holders { // each on its own, so the order does not show
		if h.PendingGrant > 0 && h.PendingGrant <= c.GrantsSeen {
			h.PendingGrant, h.LeaseExpiry = 0, s.Now+s.Config.LeaseDuration
		}
	}
	forEachComponent(func(p component) { p.timePassed(s, c) })
	for key, h := range s.Holders { // each on its own, so the order does not show
		if !s.IsActive(h) && s.Now-h.LeaseExpiry > forgetAfterLeases*s.Config.LeaseDuration {
			delete(s.Holders, key)
			forEachComponent(func(p component) { p.holderForgotten(s, key, h) })
		}
	}
}
