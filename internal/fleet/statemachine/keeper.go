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

// Fence is what becomes of a dispatcher that holds no lease.
type Fence uint8

// The fences.
const (
	Refuse Fence = iota // it answers 503 and is not ready; two versions never serve at one moment
	Last                // it goes on under the last policy it held, and marks itself
)

// ParseFence reads a fence by its name in the operators' files.
func ParseFence(s string) (Fence, error) {
	switch s {
	case "refuse":
		return Refuse, nil
	case "last":
		return Last, nil
	}
	return 0, fmt.Errorf("%q; expected \"refuse\" or \"last\"", s)
}

func (f Fence) String() string {
	if f == Last {
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
	Lease  time.Duration // of each lease, in the state's time
	Answer time.Duration // how long a holder may take to say whether it could run a change
	Fence  Fence
	Keep   int // policies remembered, the one in force among them
}

// Policy is one version.
type Policy struct {
	Version  uint64 // 1, 2, ...; 0: none was ever made
	Revision uint64 // from which it is in force
	Digest   string // SHA-256 of Text, in hex
	Text     []byte
	Limits   []quota.Limit // of the fleet, as the text has them
	Judges   *outlier.Settings
	Start    *coldstart.Settings // how a fleet starts cold
	Flows    []template.Template
	Who, Why string
}

// Digest is how a policy's text is named.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Holder is one life of a dispatcher. A restart is another life, and so is the second process
// of an upgrade: both may hold leases beside each other.
type Holder struct {
	Name    string
	Life    uint64
	Seq     uint64        // of the latest message taken from it
	Until   time.Duration // its lease ends, in the state's time; 0: it holds none
	Grant   uint64        // number of its latest lease, which does not count yet; 0: it counts
	Version uint64        // under which
	Knows   uint64        // the newest version that it has whole
	Program string        // of its build, for staff
	Stay    Stay          // how long its claims on workflows are its own
}

// Change is a change of policy under way, or the last one.
type Change struct {
	ID            string // chosen by who proposed it, so that asking twice is asking once
	Stage         Stage
	Policy        Policy
	Since         time.Duration     // of this stage, in the state's time
	Said          map[string]string // by holder: "" where it could run it, else why not
	WithoutSilent bool
	Reason        string // why it was withdrawn
}

// State is all that the keepers have agreed on.
type State struct {
	Config   Config
	Revision uint64        // grows with each command that changed anything but time and leases
	Now      time.Duration // the state's time
	Grants   uint64        // leases given so far
	Policies []Policy      // the newest last, which is the one in force
	Change   *Change
	Holders  map[string]*Holder
	Members  map[uint64]string // the keepers that were taken in, with their addresses where told
	Left     map[uint64]bool   // and those taken out: a number is used once
	Shut     time.Duration     // no lease is given before then
	Era      uint64            // grows with each restore
	Quota    *quota.Book       // the limits in force, and who has what of them; nil: there never were any
	Verdicts *outlier.Ledger   // on workers; nil: none were ever judged
	Start    *coldstart.Book   // turns and relayed lists; nil: there never were any
	Flows    *claims.Ledger    // workflows; nil: there never were any
}

// New makes the state of keepers that have agreed on nothing yet.
func New(c Config) *State {
	return &State{Config: c, Holders: map[string]*Holder{}}
}

// Member is one keeper as the one that leads sees it.
type Member struct {
	ID      uint64
	Addr    string
	Learner bool   // it takes in what is agreed on, and has no say in it
	Leads   bool   // it tells time, and says who is given what
	Active  bool   // it has answered of late
	Behind  uint64 // entries that it is not known to have
}

// ErrNotLeader is returned by a keeper that does not lead where only the one that does knows.
var ErrNotLeader = errors.New("this keeper does not lead")

// Member notes that a keeper was taken in, or out.
func (s *State) Member(id uint64, addr string, out bool) {
	if s.Members == nil {
		s.Members, s.Left = map[uint64]string{}, map[uint64]bool{}
	}
	if out {
		delete(s.Members, id)
		s.Left[id] = true
	} else {
		s.Members[id] = addr
	}
	s.Revision++
}

// Restored makes of this state, which may be an old one, one that is safe to go on from: what was
// agreed on after it is not known. Versions and revisions go on skip further, no lease is given
// until whatever was given is surely over, a change under way is withdrawn, and those that were
// members are none.
func (s *State) Restored(why string, skip uint64, were map[uint64]bool) {
	for id := range were {
		s.Member(id, "", true)
	}
	if s.Change != nil && s.Change.Stage < InForce {
		s.end(why)
	}
	s.Revision += skip
	s.Grants += skip
	s.Era++
	p := s.InForce()
	p.Version, p.Revision, p.Why = p.Version+skip, s.Revision, why
	s.Policies = append(s.Policies, p) // the empty one, where none was ever made that is known of
	s.Holders = map[string]*Holder{}
	each(func(one part) { one.restored(s, skip) })
	s.Shut = s.Now + s.Config.Lease
	each(func(one part) { one.rule(s, p) })
	for _, l := range p.Limits { // what was open at their loss must have ended, too
		s.Shut = max(s.Shut, s.Now+s.Config.Lease+l.Settle)
	}
}

// Idle tells that nobody waits for time to pass.
func (s *State) Idle() bool {
	waits := s.Shut > s.Now || len(s.Living()) > 0 || s.Change != nil && s.Change.Stage < InForce
	each(func(p part) { waits = waits || !p.idle(s) })
	return !waits
}

// The errors of a proposal.
var (
	ErrOpen  = errors.New("another change is under way")
	ErrBase  = errors.New("made from a version that is not the one in force")
	ErrSame  = errors.New("the same as the policy in force")
	ErrGone  = errors.New("no such change is under way")
	ErrLate  = errors.New("it is closing or in force already: propose the way back")
	ErrEmpty = errors.New("empty")
	ErrStale = errors.New("overtaken by a later message of the same life")
)

func key(name string, life uint64) string { return fmt.Sprintf("%s/%d", name, life) }

// InForce is the policy in force; version 0 where none was made yet.
func (s *State) InForce() Policy {
	if len(s.Policies) == 0 {
		return Policy{}
	}
	return s.Policies[len(s.Policies)-1]
}

// Live tells whether a holder may hold a lease now.
func (s *State) Live(h *Holder) bool { return h.Grant > 0 || h.Until > s.Now }

// Living are those that may hold a lease now, by name.
func (s *State) Living() (out []*Holder) {
	for _, k := range slices.Sorted(maps.Keys(s.Holders)) {
		if h := s.Holders[k]; s.Live(h) {
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
	case c.Hold != nil:
		r = s.hold(c.Hold)
	case c.Say != nil:
		r = s.say(c.Say)
	case c.Leave != nil:
		if h := s.Holders[key(c.Leave.Name, c.Leave.Life)]; h != nil && c.Leave.Seq > h.Seq {
			h.Seq = c.Leave.Seq
			s.stop(h)
			each(func(p part) { p.leave(s, h) })
		}
	case c.Propose != nil:
		r = s.propose(c.Propose)
	case c.Withdraw != nil:
		r = s.withdraw(c.Withdraw)
	case c.Relay != nil:
		r = s.relay(c.Relay)
	case c.Flow != nil:
		r = s.flow(c.Flow)
	default:
		r.Err = "a command of a newer program"
	}
	s.advance()
	r.Revision, r.Era, r.InForce = s.Revision, s.Era, s.InForce().Version
	return r
}

// stop ends a holder's lease, by its own word.
func (s *State) stop(h *Holder) {
	h.Until, h.Grant = 0, 0
	each(func(p part) { p.end(s, h) })
}

func (s *State) tick(c *Tick) {
	s.Now += max(c.Passed, 0)
	for _, h := range s.Holders {
		if h.Grant > 0 && h.Grant <= c.Seen {
			h.Grant, h.Until = 0, s.Now+s.Config.Lease
		}
	}
	each(func(p part) { p.pass(s, c) })
	for k, h := range s.Holders { // what is forgotten does not hang on the order
		// A life that is over is remembered for a while, for staff, but never for its lease.
		if !s.Live(h) && s.Now-h.Until > 100*s.Config.Lease {
			delete(s.Holders, k)
			each(func(p part) { p.forget(s, k, h) })
		}
	}
}

func (s *State) hold(c *Hold) (r Result) {
	h := s.Holders[key(c.Name, c.Life)]
	if h == nil {
		h = &Holder{Name: c.Name, Life: c.Life}
		s.Holders[key(c.Name, c.Life)] = h
	}
	if c.Seq <= h.Seq {
		// Said long ago: that it serves under nothing may have ceased to be true.
		r.Err = ErrStale.Error()
		return r
	}
	h.Seq, h.Knows, h.Program = c.Seq, c.Knows, c.Program
	each(func(p part) { p.hear(s, c, &r) })
	now := s.InForce()
	if c.Knows != now.Version {
		r.Policy = &now
	}
	ch := s.Change
	if ch != nil && ch.Stage == Proposed {
		if _, said := ch.Said[key(c.Name, c.Life)]; !said {
			r.Change = ch
		}
	}
	switch {
	case s.Shut > s.Now:
		r.Why = "the keepers were restored: leases of before are waited out"
		r.Stop = s.Config.Fence == Refuse
		return r
	case ch != nil && ch.Stage == Closing:
		// It stops now, or has stopped, where it serves under nothing: then its lease is over.
		r.Stop, r.Why = true, "a change is closing"
		if c.Serves == 0 {
			s.stop(h)
		}
		return r
	case c.Knows != now.Version:
		r.Why = fmt.Sprintf("version %d is in force, and it has %d", now.Version, c.Knows)
		if s.Config.Fence == Refuse {
			r.Stop = true
		}
		return r
	case ch != nil && ch.Stage == Proposed && r.Change != nil && ch.WithoutSilent && s.Now-ch.Since >= s.Config.Answer:
		r.Why = "it has not said whether it could run the change, which goes on without it"
		return r
	case ch != nil && ch.Stage == Proposed && r.Change != nil && !s.Live(h):
		// It comes in while all are asked: it is asked like the others, and gets its lease
		// once it has said that it could.
		r.Why = "a change is proposed, and it has yet to say whether it could run it"
		return r
	}
	s.Grants++
	h.Grant, h.Version = s.Grants, now.Version
	r.Lease, r.Grant = s.Config.Lease, s.Grants
	each(func(p part) { p.ask(s, c, &r) })
	return r
}
