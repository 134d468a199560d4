package view

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// state is one state of three members, their disks and the messages in flight. Messages stay in flight over the
// incarnations of their senders, and may never arrive.
type state struct {
	members       map[MemberID]*Consensus
	disks         map[MemberID]HardState // what Ready has asked to make durable
	inFlight      []namedDelivery
	decided       map[uint64]string
	proposalsLeft int // still to be made
	restartsLeft  int // still to come

	askedToAccept map[string]string // the view asked to be accepted, by base and ballot
	ballotReused  bool
	leftTooEarly  bool // a message has left before what it promises was durable
}

// namedDelivery is a message in flight, with the text that identifies it.
type namedDelivery struct {
	delivery
	text string
}

// bounds bounds what is tried, and plants faults.
type bounds struct {
	proposals, restarts int
	maxStates           int
	reuseBallots        bool // the round of an own ballot is not on the disk
	forgetPromises      bool // promises and accepted views are not on the disk
	prepareBeforeSync   bool // a Prepare leaves before the round of its ballot is durable
}

func newState(b *bounds) *state {
	members, _ := threeMembers()
	s := &state{members: map[MemberID]*Consensus{}, disks: map[MemberID]HardState{}, decided: map[uint64]string{}, proposalsLeft: b.proposals, restartsLeft: b.restarts,
		askedToAccept: map[string]string{}}
	for _, member := range members {
		s.disks[member.ID] = HardState{Self: member, View: View{Epoch: 4, Chain: members, Electors: members}, CompleteEpoch: 4}
		s.members[member.ID] = NewConsensus(s.disks[member.ID])
	}
	return s
}

func (s *state) clone() *state {
	copied := &state{members: map[MemberID]*Consensus{}, disks: maps.Clone(s.disks), inFlight: slices.Clone(s.inFlight), decided: maps.Clone(s.decided),
		proposalsLeft: s.proposalsLeft, restartsLeft: s.restartsLeft, askedToAccept: maps.Clone(s.askedToAccept), ballotReused: s.ballotReused,
		leftTooEarly: s.leftTooEarly}
	for id, member := range s.members {
		consensus := *member
		if member.proposal != nil {
			p := *member.proposal
			p.promises, p.accepted = maps.Clone(p.promises), maps.Clone(p.accepted)
			consensus.proposal = &p
		}
		copied.members[id] = &consensus
	}
	return copied
}

// key identifies a state. The order of messages in flight doesn't matter.
func (s *state) key() uint64 {
	sum := fnv.New64a()
	for id := MemberID(1); id <= 3; id++ {
		member := s.members[id]
		for _, d := range []HardState{member.hardState, s.disks[id]} {
			fmt.Fprint(sum, id, d.View.Epoch, viewText(&d.View), d.PromisedBallot, d.AcceptedBallot, viewText(d.AcceptedView), d.LastRound)
		}
		fmt.Fprint(sum, member.rejectedRound)
		if p := member.proposal; p != nil {
			fmt.Fprint(sum, "P", p.ballot, viewText(&p.desired), viewText(p.view), sortedIDs(p.accepted))
			for _, from := range sortedIDs(p.promises) {
				fmt.Fprint(sum, from, p.promises[from].AcceptedBallot, viewText(p.promises[from].AcceptedView))
			}
		}
	}
	texts := make([]string, len(s.inFlight))
	for i := range s.inFlight {
		texts[i] = s.inFlight[i].text
	}
	slices.Sort(texts)
	fmt.Fprint(sum, texts, s.proposalsLeft, s.restartsLeft)
	return sum.Sum64()
}

func viewText(view *View) string {
	if view == nil {
		return "-"
	}
	text := fmt.Sprint(view.Epoch, ":")
	for _, member := range view.Chain {
		text += fmt.Sprint(member.ID, ",")
	}
	return text
}

func deliveryText(d *delivery) string {
	switch m := d.message; {
	case m.Prepare != nil:
		return fmt.Sprint(d.from, d.to, "prepare", m.Prepare.BaseView.Epoch, m.Prepare.Ballot)
	case m.Promise != nil:
		return fmt.Sprint(d.from, d.to, "promise", m.Promise.BaseEpoch, m.Promise.Ballot, m.Promise.Rejected, m.Promise.AcceptedBallot,
			viewText(m.Promise.AcceptedView))
	case m.Accept != nil:
		return fmt.Sprint(d.from, d.to, "accept", m.Accept.BaseEpoch, m.Accept.Ballot, viewText(&m.Accept.View))
	case m.Accepted != nil:
		return fmt.Sprint(d.from, d.to, "accepted", m.Accepted.BaseEpoch, m.Accepted.Ballot)
	}
	return fmt.Sprint(d.from, d.to, "decided", viewText(d.message.Decided))
}

// handleReady carries out what a member wants: its disk is synced at once, then its messages are in flight. That a
// machine ends before is the same as that its messages never arrive.
func (s *state) handleReady(id MemberID) {
	ready := s.members[id].Ready()
	if ready.HardState != nil {
		s.disks[id] = *ready.HardState
	}
	for _, envelope := range ready.Messages {
		s.recordAccept(envelope.Message.Accept)
		disk := s.disks[id]
		s.leftTooEarly = s.leftTooEarly || !keepsPromise(&disk, &envelope.Message)
		d := delivery{id, envelope.To, envelope.Message}
		text := deliveryText(&d)
		if !slices.ContainsFunc(s.inFlight, func(o namedDelivery) bool { return o.text == text }) {
			s.inFlight = append(s.inFlight, namedDelivery{d, text})
		}
	}
	if ready.Decided {
		view := s.members[id].View()
		if _, known := s.decided[view.Epoch]; !known {
			s.decided[view.Epoch] = viewText(view)
		}
	}
}

// keepsPromise reports whether a disk holds what a message of its member promises: an incarnation that starts from it will
// not contradict the message.
func keepsPromise(disk *HardState, m *Message) bool {
	switch {
	case m.Prepare != nil:
		return disk.LastRound >= m.Prepare.Ballot.Round
	case m.Promise != nil && !m.Promise.Rejected:
		return disk.View.Epoch > m.Promise.BaseEpoch || !disk.PromisedBallot.less(m.Promise.Ballot)
	case m.Accepted != nil:
		return disk.View.Epoch > m.Accepted.BaseEpoch || disk.AcceptedView != nil && !disk.AcceptedBallot.less(m.Accepted.Ballot)
	case m.Decided != nil:
		return disk.View.Epoch >= m.Decided.Epoch
	}
	return true
}

// recordAccept keeps which view is asked to be accepted under a ballot.
func (s *state) recordAccept(accept *Accept) {
	if accept == nil {
		return
	}
	ballot := fmt.Sprint(accept.BaseEpoch, accept.Ballot)
	if known, asked := s.askedToAccept[ballot]; asked && known != viewText(&accept.View) {
		s.ballotReused = true
	}
	s.askedToAccept[ballot] = viewText(&accept.View)
}

// oneViewPerEpoch is an invariant: no two members put different views in force under one epoch.
func (s *state) oneViewPerEpoch() bool {
	for _, member := range s.members {
		if known, decided := s.decided[member.View().Epoch]; decided && known != viewText(member.View()) {
			return false
		}
	}
	return true
}

// oneViewPerBallot is an invariant: no two views are ever asked to be accepted under one ballot of an epoch.
func (s *state) oneViewPerBallot() bool { return !s.ballotReused }

// promisesAreDurable is an invariant: no message leaves before what it promises is on its sender's disk.
func (s *state) promisesAreDurable() bool { return !s.leftTooEarly }

func (s *state) holdsInvariants() bool {
	return s.oneViewPerEpoch() && s.oneViewPerBallot() && s.promisesAreDurable()
}

// step is something that may happen in a state.
type step func(s *state)

// steps returns all that may happen next.
func (s *state) steps(b *bounds) []step {
	var list []step
	for i := range s.inFlight {
		list = append(list, func(s *state) { s.deliver(i) })
	}
	if s.proposalsLeft > 0 {
		list = append(list, func(s *state) { s.propose(b) })
	}
	if s.restartsLeft > 0 {
		list = append(list, func(s *state) { s.restart(1, b) }, func(s *state) { s.restart(2, b) })
	}
	return list
}

func (s *state) deliver(i int) {
	d := s.inFlight[i]
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
	s.members[d.to].Receive(d.from, &d.message)
	s.handleReady(d.to)
}

// propose lets a member ask for a chain without one of the others. The first two proposals come from one member,
// one in each of its incarnations where it restarts between them; a third comes from another one.
func (s *state) propose(b *bounds) {
	made := b.proposals - s.proposalsLeft
	s.proposalsLeft--
	proposer := MemberID(1 + made/2)
	member := s.members[proposer]
	without := []MemberID{2, 3, 1}[made%3]
	desired := View{Electors: member.View().Electors}
	for _, other := range member.View().Chain {
		if other.ID != without {
			desired.Chain = append(desired.Chain, other)
		}
	}
	member.Propose(desired, nil, 2)
	if b.prepareBeforeSync {
		member.changed = false
	}
	s.handleReady(proposer)
}

// restart begins another incarnation of a member with what is on its disk, less what is planted to be forgotten.
func (s *state) restart(id MemberID, b *bounds) {
	s.restartsLeft--
	durable := s.disks[id]
	if b.reuseBallots {
		durable.LastRound = durable.PromisedBallot.Round
	}
	if b.forgetPromises {
		durable.PromisedBallot, durable.AcceptedBallot, durable.AcceptedView = Ballot{}, Ballot{}, nil
	}
	s.members[id] = NewConsensus(durable)
}

// explore tries all orders, depth first, and returns how many states there are, whether these are all, and whether
// the invariants hold in each.
func explore(b *bounds) (states int, all, holds bool) {
	seen := map[uint64]bool{}
	stack := []*state{newState(b)}
	for len(stack) > 0 {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := s.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		if !s.holdsInvariants() {
			return len(seen), false, false
		}
		if len(seen) >= b.maxStates {
			return len(seen), false, true
		}
		for _, next := range s.steps(b) {
			follower := s.clone()
			next(follower)
			stack = append(stack, follower)
		}
	}
	return len(seen), true, true
}

// randomWalk takes steps at random until none is left, and reports whether the invariants hold.
func randomWalk(b *bounds, seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 11))
	s := newState(b)
	for {
		list := s.steps(b)
		if len(list) == 0 {
			return true
		}
		list[random.IntN(len(list))](s)
		if !s.holdsInvariants() {
			return false
		}
	}
}

// TestEveryOrderOfOneProposal tries every order of one proposal's messages, each of which may be lost, with a
// restart of the proposer or of another member at any moment.
func TestEveryOrderOfOneProposal(t *testing.T) {
	states, all, holds := explore(&bounds{proposals: 1, restarts: 1, maxStates: 50_000})
	if !holds || !all {
		t.Errorf("%d states, all of them: %v, invariants hold: %v", states, all, holds)
	}
	t.Logf("%d states", states)
}

// threeIncarnations are proposals of two incarnations of one member and of another member, with late messages of all of
// them.
var threeIncarnations = bounds{proposals: 4, restarts: 2, maxStates: 4_000}

// randomWalks is how many orders are tried at random.
const randomWalks = 9_000

func TestRandomOrdersOfThreeIncarnations(t *testing.T) {
	b := threeIncarnations
	if _, _, holds := explore(&b); !holds {
		t.Error("broken, depth first")
	}
	for seed := range uint64(randomWalks) {
		if !randomWalk(&b, seed) {
			t.Fatalf("broken in walk %d", seed)
		}
	}
}

// TestPlantedBallotFaults shows that the walks find a ballot that two incarnations use, promises that are forgotten, and a
// Prepare that leaves before the round of its ballot is durable.
func TestPlantedBallotFaults(t *testing.T) {
	reused, forgotten, early := threeIncarnations, threeIncarnations, threeIncarnations
	reused.reuseBallots, forgotten.forgetPromises, forgotten.restarts, early.prepareBeforeSync = true, true, 6, true
	for name, b := range map[string]*bounds{"reused ballot": &reused, "forgotten votes": &forgotten, "prepare before its sync": &early} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(randomWalks) {
				if !randomWalk(b, seed) {
					t.Logf("found in walk %d", seed)
					return
				}
			}
			t.Errorf("not found in %d walks", randomWalks)
		})
	}
}
