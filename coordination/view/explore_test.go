package view

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// state is a state of three members, their disks and the messages in flight. Messages stay in flight when their sender
// restarts, and may never arrive.
type state struct {
	members       map[MemberID]*Consensus
	disks         map[MemberID]HardState // hard states that Ready returned, all durable
	inFlight      []namedDelivery
	decided       map[uint64]string
	proposalsLeft int // number of further proposals
	restartsLeft  int // number of further restarts

	proposedViews map[string]string // the view of the Accept messages, by base epoch and ballot
	ballotReused  bool
	sentTooEarly  bool // a message was sent before the state that it promises was durable
}

// namedDelivery is a message in flight with a text that identifies it.
type namedDelivery struct {
	delivery
	text string
}

// exploration limits an exploration and plants faults in it.
type exploration struct {
	proposals, restarts int
	maxStates           int
	reuseBallots        bool // planted fault: a restart loses the round of the member's own ballots
	forgetPromises      bool // planted fault: a restart loses promises and accepted views
	prepareBeforeSync   bool // planted fault: a Prepare is sent before the round of its ballot is durable
}

func newState(b *exploration) *state {
	members, _ := threeMembers()
	s := &state{members: map[MemberID]*Consensus{}, disks: map[MemberID]HardState{}, decided: map[uint64]string{}, proposalsLeft: b.proposals, restartsLeft: b.restarts,
		proposedViews: map[string]string{}}
	for _, member := range members {
		s.disks[member.ID] = HardState{Self: member, View: View{Epoch: 4, Chain: members, Electors: members}, CompleteEpoch: 4}
		s.members[member.ID] = NewConsensus(s.disks[member.ID])
	}
	return s
}

func (s *state) clone() *state {
	copied := &state{members: map[MemberID]*Consensus{}, disks: maps.Clone(s.disks), inFlight: slices.Clone(s.inFlight), decided: maps.Clone(s.decided),
		proposalsLeft: s.proposalsLeft, restartsLeft: s.restartsLeft, proposedViews: maps.Clone(s.proposedViews), ballotReused: s.ballotReused,
		sentTooEarly: s.sentTooEarly}
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

// key returns a hash that identifies a state regardless of the order of the messages in flight.
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

// handleReady makes a member's hard state durable at once and then puts its messages in flight. A crash between the two
// needs no step of its own: it has the same effect as messages that never arrive.
func (s *state) handleReady(id MemberID) {
	ready := s.members[id].Ready()
	if ready.HardState != nil {
		s.disks[id] = *ready.HardState
	}
	for _, envelope := range ready.Messages {
		s.recordAccept(envelope.Message.Accept)
		disk := s.disks[id]
		s.sentTooEarly = s.sentTooEarly || !holdsPromise(&disk, &envelope.Message)
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

// holdsPromise reports whether a disk holds the state that a message of its member promises, so that an incarnation that
// starts from the disk does not contradict the message.
func holdsPromise(disk *HardState, m *Message) bool {
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

// recordAccept records the view of an Accept message, and whether its ballot was used for another view before.
func (s *state) recordAccept(accept *Accept) {
	if accept == nil {
		return
	}
	ballot := fmt.Sprint(accept.BaseEpoch, accept.Ballot)
	if known, exists := s.proposedViews[ballot]; exists && known != viewText(&accept.View) {
		s.ballotReused = true
	}
	s.proposedViews[ballot] = viewText(&accept.View)
}

// oneViewPerEpoch is an invariant: no two members have different views in force for one epoch.
func (s *state) oneViewPerEpoch() bool {
	for _, member := range s.members {
		if known, decided := s.decided[member.View().Epoch]; decided && known != viewText(member.View()) {
			return false
		}
	}
	return true
}

// oneViewPerBallot is an invariant: no two different views are proposed in Accept messages under one ballot of an epoch.
func (s *state) oneViewPerBallot() bool { return !s.ballotReused }

// promisesAreDurable is an invariant: no message is sent before the state that it promises is on its sender's disk.
func (s *state) promisesAreDurable() bool { return !s.sentTooEarly }

func (s *state) holdsInvariants() bool {
	return s.oneViewPerEpoch() && s.oneViewPerBallot() && s.promisesAreDurable()
}

// step is a transition from a state to the next.
type step func(s *state)

// steps returns all transitions that are possible in a state.
func (s *state) steps(b *exploration) []step {
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

// propose lets a member propose a chain without one of the members. The first two proposals come from member 1, so from two
// incarnations if it restarts in between; the next two come from member 2.
func (s *state) propose(b *exploration) {
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

// restart starts a new incarnation of a member from its disk, without the state that a planted fault removes.
func (s *state) restart(id MemberID, b *exploration) {
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

// explore visits the reachable states, depth first. It returns the number of states visited, whether these are all, and
// whether the invariants hold in each.
func explore(b *exploration) (states int, complete, holds bool) {
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
			successor := s.clone()
			next(successor)
			stack = append(stack, successor)
		}
	}
	return len(seen), true, true
}

// randomWalk takes random steps until none is left, and reports whether the invariants hold after each.
func randomWalk(b *exploration, seed uint64) bool {
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

// TestEveryOrderOfOneProposal checks the invariants for every order of one proposal's messages, each of which may be lost,
// with a restart of the proposer or of another member at any moment.
func TestEveryOrderOfOneProposal(t *testing.T) {
	states, complete, holds := explore(&exploration{proposals: 1, restarts: 1, maxStates: 50_000})
	if !holds || !complete {
		t.Errorf("%d states, exploration complete: %v, invariants hold: %v", states, complete, holds)
	}
	t.Logf("%d states", states)
}

// threeIncarnations allows proposals by two incarnations of one member and by another member, with late messages of all
// three.
var threeIncarnations = exploration{proposals: 4, restarts: 2, maxStates: 4_000}

// randomWalks is the number of random walks of a test.
const randomWalks = 9_000

func TestRandomOrdersOfThreeIncarnations(t *testing.T) {
	b := threeIncarnations
	if _, _, holds := explore(&b); !holds {
		t.Error("the depth-first exploration violates an invariant")
	}
	for seed := range uint64(randomWalks) {
		if !randomWalk(&b, seed) {
			t.Fatalf("the random walk with seed %d violates an invariant", seed)
		}
	}
}

// TestRandomWalksDetectPlantedFaults checks that the walks detect a ballot that two incarnations use, promises that are
// lost at a restart, and a Prepare that is sent before the round of its ballot is durable.
func TestRandomWalksDetectPlantedFaults(t *testing.T) {
	reused, forgotten, early := threeIncarnations, threeIncarnations, threeIncarnations
	reused.reuseBallots, forgotten.forgetPromises, forgotten.restarts, early.prepareBeforeSync = true, true, 6, true
	for name, b := range map[string]*exploration{"reused ballot": &reused, "forgotten promises": &forgotten, "Prepare before sync": &early} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(randomWalks) {
				if !randomWalk(b, seed) {
					t.Logf("detected by the walk with seed %d", seed)
					return
				}
			}
			t.Errorf("not detected in %d walks", randomWalks)
		})
	}
}
