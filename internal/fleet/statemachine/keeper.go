// Package statemachine is the state that the keepers agree on: the policies that were in force,
// the change of policy that is under way, and who holds a lease to serve under one. It is a
// pure machine: commands come in one order (package quorum sees to that), the same commands
// give the same state, and whatever happens is told as the answer to one.
//
// Time is a command, too. Whoever leads tells how much of it has passed by its own monotonic
// clock since it began to lead or told last, never more: so the state's time runs no faster
// than any real clock by more than the drift, and stands still while nobody leads. A lease
// counts from the first such word whose teller had seen the lease given when it read its
// clock: the time that it tells of is older than the word, and a lease given meanwhile would
// be over here before it is over at its holder, which counts from before it asked (package
// accord; its explorer found that).
//
// The promises it keeps, and that its tests check at every step:
//   - a policy is in force from one revision on, and one at a time;
//   - under Refuse no lease is given under a version while a lease under another may be held;
//   - a change that a living holder can't run never comes into force.
//
// It must have no clock, draw or I/O, and never iterate a map where the order shows.
package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/template"
)

// OnLeaseLoss is what becomes of a dispatcher that holds no lease.
type LeaseLossMode uint8

// The fences.
const (
	RefuseWork     LeaseLossMode = iota // it answers 503 and is not ready; two versions never serve at one moment
	KeepLastPolicy                      // it goes on under the last policy it held, and marks itself
)

// ParseLeaseLossMode reads a fence by its name in the operators' files.
func ParseLeaseLossMode(s string) (LeaseLossMode, error) {
	switch s {
	case "refuse":
		return RefuseWork, nil
	case "last":
		return KeepLastPolicy, nil
	}
	return 0, fmt.Errorf("%q; expected \"refuse\" or \"last\"", s)
}

func (f LeaseLossMode) String() string {
	if f == KeepLastPolicy {
		return "last"
	}
	return "refuse"
}

// Stage is how far a change has come.
type Stage uint8

// The stages of a change, in order.
const (
	Proposed  Stage = iota // every holder of a lease is asked whether it could run it, and takes it in whole
	Closing                // under Refuse: nobody is given a lease until none is left under the old version
	InForce                // it is
	Withdrawn              // it will never be
)

func (s Stage) String() string {
	return [...]string{"proposed", "closing", "in force", "withdrawn"}[min(s, Withdrawn)]
}

// Config is what all keepers of a fleet start on alike.
type Config struct {
	LeaseDuration time.Duration `cbor:"Lease" json:"Lease"`   // of each lease, in the state's time
	VoteTimeout   time.Duration `cbor:"Answer" json:"Answer"` // how long a holder may take to say whether it could run a change
	OnLeaseLoss   LeaseLossMode `cbor:"Fence" json:"Fence"`
	PolicyHistory int           `cbor:"Keep" json:"Keep"` // policies remembered, the one in force among them
}

// Policy is one version.
type Policy struct {
	Version         uint64 // 1, 2, ...; 0: none was ever made
	Revision        uint64 // from which it is in force
	Digest          string // SHA-256 of Text, in hex
	Text            []byte
	Limits          []quota.Limit       // of the fleet, as the text has them
	OutlierSettings *outlier.Settings   `cbor:"Judges" json:"Judges"`
	ColdStart       *coldstart.Settings `cbor:"Start" json:"Start"` // how a fleet starts cold
	Workflows       []template.Template `cbor:"Flows" json:"Flows"`
	Author          string              `cbor:"Who" json:"Who"`
	Reason          string              `cbor:"Why" json:"Why"`
}

// Digest is how a policy's text is named.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// LeaseHolder is one life of a dispatcher. A restart is another life, and so is the second process
// of an upgrade: both may hold leases beside each other.
type LeaseHolder struct {
	Name          string
	Incarnation   uint64        `cbor:"Life" json:"Life"`
	Seq           uint64        // of the latest message taken from it
	LeaseExpiry   time.Duration `cbor:"Until" json:"Until"`     // its lease ends, in the state's time; 0: it holds none
	PendingGrant  uint64        `cbor:"Grant" json:"Grant"`     // number of its latest lease, which does not count yet; 0: it counts
	PolicyVersion uint64        `cbor:"Version" json:"Version"` // under which
	KnownVersion  uint64        `cbor:"Knows" json:"Knows"`     // the newest version that it has whole
	Program       string        // of its build, for staff
	ClaimLease    ClaimLease    `cbor:"Stay" json:"Stay"` // how long its claims on workflows are its own
}

// PolicyChange is a change of policy under way, or the last one.
type PolicyChange struct {
	ID               string // chosen by who proposed it, so that asking twice is asking once
	Stage            Stage
	Policy           Policy
	StageSince       time.Duration     `cbor:"Since" json:"Since"` // of this stage, in the state's time
	Votes            map[string]string `cbor:"Said" json:"Said"`   // by holder: "" where it could run it, else why not
	SkipUnresponsive bool              `cbor:"WithoutSilent" json:"WithoutSilent"`
	Reason           string            // why it was withdrawn
}

// State is all that the keepers have agreed on.
type State struct {
	Config             Config
	Revision           uint64        // grows with each command that changed anything but time and leases
	Now                time.Duration // the state's time
	GrantCount         uint64        `cbor:"Grants"` // leases given so far
	Policies           []Policy      // the newest last, which is the one in force
	Change             *PolicyChange
	Holders            map[string]*LeaseHolder
	Members            map[uint64]string  // the keepers that were taken in, with their addresses where told
	RemovedMembers     map[uint64]bool    `cbor:"Left"` // and those taken out: a number is used once
	GrantsBlockedUntil time.Duration      `cbor:"Shut"` // no lease is given before then
	Generation         uint64             `cbor:"Era"`  // grows with each restore
	Quota              *quota.Allocator   // the limits in force, and who has what of them; nil: there never were any
	Outliers           *outlier.Detector  `cbor:"Verdicts"` // on workers; nil: none were ever judged
	ColdStart          *coldstart.Granter `cbor:"Start"`    // turns and relayed lists; nil: there never were any
	Workflows          *claims.Table      `cbor:"Flows"`    // workflows; nil: there never were any
}

// New makes the state of keepers that have agreed on nothing yet.
func New(c Config) *State {
	return &State{Config: c, Holders: map[string]*LeaseHolder{}}
}

// Member is one keeper as the one that leads sees it.
type Member struct {
	ID            uint64
	Addr          string
	Learner       bool   // it takes in what is agreed on, and has no say in it
	Leader        bool   `cbor:"Leads" json:"Leads"` // it tells time, and says who is given what
	Active        bool   // it has answered of late
	EntriesBehind uint64 `cbor:"Behind" json:"Behind"` // entries that it is not known to have
}

// ErrNotLeader is returned by a keeper that does not lead where only the one that does knows.
var ErrNotLeader = errors.New("this keeper does not lead")

// ApplyMemberChange notes that a keeper was taken in, or out.
func (s *State) ApplyMemberChange(id uint64, addr string, out bool) {
	if s.Members == nil {
		s.Members, s.RemovedMembers = map[uint64]string{}, map[uint64]bool{}
	}
	if out {
		delete(s.Members, id)
		s.RemovedMembers[id] = true
	} else {
		s.Members[id] = addr
	}
	s.Revision++
}

// ResetAfterRestore makes of this state, which may be an old one, one that is safe to go on from: what was
// agreed on after it is not known. Versions and revisions go on skip further, no lease is given
// until whatever was given is surely over, a change under way is withdrawn, and those that were
// members are none.
func (s *State) ResetAfterRestore(why string, skip uint64, were map[uint64]bool) {
	for id := range were {
		s.ApplyMemberChange(id, "", true)
	}
	if s.Change != nil && s.Change.Stage < InForce {
		s.end(why)
	}
	s.Revision += skip
	s.GrantCount += skip
	s.Generation++
	p := s.CurrentPolicy()
	p.Version, p.Revision, p.Reason = p.Version+skip, s.Revision, why
	s.Policies = append(s.Policies, p) // the empty one, where none was ever made that is known of
	s.Holders = map[string]*LeaseHolder{}
	each(func(one part) { one.restored(s, skip) })
	s.GrantsBlockedUntil = s.Now + s.Config.LeaseDuration
	each(func(one part) { one.rule(s, p) })
	for _, l := range p.Limits { // what was open at their loss must have ended, too
		s.GrantsBlockedUntil = max(s.GrantsBlockedUntil, s.Now+s.Config.LeaseDuration+l.ReclaimDelay)
	}
}

// Idle tells that nobody waits for time to pass.
func (s *State) Idle() bool {
	waits := s.GrantsBlockedUntil > s.Now || len(s.ActiveHolders()) > 0 || s.Change != nil && s.Change.Stage < InForce
	each(func(p part) { waits = waits || !p.idle(s) })
	return !waits
}

// The errors of a proposal.
var (
	ErrChangePending     = errors.New("another change is under way")
	ErrStaleBase         = errors.New("made from a version that is not the one in force")
	ErrUnchanged         = errors.New("the same as the policy in force")
	ErrNoSuchChange      = errors.New("no such change is under way")
	ErrTooLateToWithdraw = errors.New("it is closing or in force already: propose the way back")
	ErrEmptyProposal     = errors.New("empty")
	ErrStaleMessage      = errors.New("overtaken by a later message of the same life")
)

func key(name string, life uint64) string { return fmt.Sprintf("%s/%d", name, life) }

// CurrentPolicy is the policy in force; version 0 where none was made yet.
func (s *State) CurrentPolicy() Policy {
	if len(s.Policies) == 0 {
		return Policy{}
	}
	return s.Policies[len(s.Policies)-1]
}

// IsActive tells whether a holder may hold a lease now.
func (s *State) IsActive(h *LeaseHolder) bool { return h.PendingGrant > 0 || h.LeaseExpiry > s.Now }

// ActiveHolders are those that may hold a lease now, by name.
func (s *State) ActiveHolders() (out []*LeaseHolder) {
	for _, k := range slices.Sorted(maps.Keys(s.Holders)) {
		if h := s.Holders[k]; s.IsActive(h) {
			out = append(out, h)
		}
	}
	return out
}

// Apply carries out one command.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case c.Tick != nil:
		s.tick(c.Tick)
	case c.LeaseRequest != nil:
		r = s.hold(c.LeaseRequest)
	case c.Vote != nil:
		r = s.say(c.Vote)
	case c.LeaseRelease != nil:
		if h := s.Holders[key(c.LeaseRelease.Name, c.LeaseRelease.Incarnation)]; h != nil && c.LeaseRelease.Seq > h.Seq {
			h.Seq = c.LeaseRelease.Seq
			s.stop(h)
			each(func(p part) { p.leave(s, h) })
		}
	case c.Proposal != nil:
		r = s.propose(c.Proposal)
	case c.Withdrawal != nil:
		r = s.withdraw(c.Withdrawal)
	case c.ListUpdate != nil:
		r = s.relay(c.ListUpdate)
	case c.Workflow != nil:
		r = s.flow(c.Workflow)
	default:
		r.Err = "a command of a newer program"
	}
	s.advance()
	r.Revision, r.Generation, r.CurrentVersion = s.Revision, s.Generation, s.CurrentPolicy().Version
	return r
}

// stop ends a holder's lease, by its own word.
func (s *State) stop(h *LeaseHolder) {
	h.LeaseExpiry, h.PendingGrant = 0, 0
	each(func(p part) { p.end(s, h) })
}

func (s *State) tick(c *Tick) {
	s.Now += max(c.Elapsed, 0)
	for _, h := range s.Holders {
		if h.PendingGrant > 0 && h.PendingGrant <= c.GrantsSeen {
			h.PendingGrant, h.LeaseExpiry = 0, s.Now+s.Config.LeaseDuration
		}
	}
	each(func(p part) { p.pass(s, c) })
	for k, h := range s.Holders { // what is forgotten does not hang on the order
		// A life that is over is remembered for a while, for staff, but never for its lease.
		if !s.IsActive(h) && s.Now-h.LeaseExpiry > 100*s.Config.LeaseDuration {
			delete(s.Holders, k)
			each(func(p part) { p.forget(s, k, h) })
		}
	}
}

func (s *State) hold(c *LeaseRequest) (r Result) {
	h := s.Holders[key(c.Name, c.Incarnation)]
	if h == nil {
		h = &LeaseHolder{Name: c.Name, Incarnation: c.Incarnation}
		s.Holders[key(c.Name, c.Incarnation)] = h
	}
	if c.Seq <= h.Seq {
		// Said long ago: that it serves under nothing may have ceased to be true.
		r.Err = ErrStaleMessage.Error()
		return r
	}
	h.Seq, h.KnownVersion, h.Program = c.Seq, c.KnownVersion, c.Program
	each(func(p part) { p.hear(s, c, &r) })
	now := s.CurrentPolicy()
	if c.KnownVersion != now.Version {
		r.Policy = &now
	}
	ch := s.Change
	if ch != nil && ch.Stage == Proposed {
		if _, said := ch.Votes[key(c.Name, c.Incarnation)]; !said {
			r.Change = ch
		}
	}
	switch {
	case s.GrantsBlockedUntil > s.Now:
		r.NoLeaseReason = "the keepers were restored: leases of before are waited out"
		r.StopAdmitting = s.Config.OnLeaseLoss == RefuseWork
		return r
	case ch != nil && ch.Stage == Closing:
		// It stops now, or has stopped, where it serves under nothing: then its lease is over.
		r.StopAdmitting, r.NoLeaseReason = true, "a change is closing"
		if c.ServingVersion == 0 {
			s.stop(h)
		}
		return r
	case c.KnownVersion != now.Version:
		r.NoLeaseReason = fmt.Sprintf("version %d is in force, and it has %d", now.Version, c.KnownVersion)
		if s.Config.OnLeaseLoss == RefuseWork {
			r.StopAdmitting = true
		}
		return r
	case ch != nil && ch.Stage == Proposed && r.Change != nil && ch.SkipUnresponsive && s.Now-ch.StageSince >= s.Config.VoteTimeout:
		r.NoLeaseReason = "it has not said whether it could run the change, which goes on without it"
		return r
	case ch != nil && ch.Stage == Proposed && r.Change != nil && !s.IsActive(h):
		// It comes in while all are asked: it is asked like the others, and gets its lease
		// once it has said that it could.
		r.NoLeaseReason = "a change is proposed, and it has yet to say whether it could run it"
		return r
	}
	s.GrantCount++
	h.PendingGrant, h.PolicyVersion = s.GrantCount, now.Version
	r.LeaseDuration, r.Grant = s.Config.LeaseDuration, s.GrantCount
	each(func(p part) { p.ask(s, c, &r) })
	return r
}
