package view

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// machine is a member with a disk. Its messages are sent once the hard state returned with them is synced.
type machine struct {
	consensus *Consensus
	disk      HardState
	unsynced  []Ready
	up        bool
}

// cluster is a set of machines. The test decides the order of messages, syncs and restarts.
type cluster struct {
	machines        map[MemberID]*machine
	order           []MemberID
	inFlight        []delivery
	decided         map[uint64]string // every view that was ever in force, by epoch
	violations      []string
	sendsBeforeSync bool // planted fault: messages are sent although no hard state is ever synced
}

type delivery struct {
	from, to MemberID
	message  Message
}

func newCluster(count int) *cluster {
	c := &cluster{machines: map[MemberID]*machine{}, decided: map[uint64]string{}}
	var electors []Member
	for id := MemberID(1); id <= MemberID(count); id++ {
		electors = append(electors, Member{ID: id, Node: fmt.Sprint("n", id), Address: fmt.Sprint("a", id)})
	}
	for _, member := range electors {
		durable := HardState{Self: member, InitialMember: true, View: View{Electors: electors}}
		c.machines[member.ID] = &machine{consensus: NewConsensus(durable), disk: durable, up: true}
		c.order = append(c.order, member.ID)
	}
	return c
}

func (c *cluster) handleReady(id MemberID) {
	m := c.machines[id]
	ready := m.consensus.Ready()
	if ready.HardState == nil && len(ready.Messages) == 0 {
		return
	}
	if ready.HardState == nil || c.sendsBeforeSync {
		c.send(id, ready)
		return
	}
	m.unsynced = append(m.unsynced, ready)
}

// sync makes the oldest unsynced hard state durable, and sends the messages that wait for it.
func (c *cluster) sync(id MemberID) {
	m := c.machines[id]
	if len(m.unsynced) == 0 {
		return
	}
	ready := m.unsynced[0]
	m.unsynced = m.unsynced[1:]
	m.disk = *ready.HardState
	c.send(id, ready)
}

func (c *cluster) send(id MemberID, ready Ready) {
	if ready.Decided {
		view := ready.HardState.View
		text := fmt.Sprint(view)
		if known, exists := c.decided[view.Epoch]; exists && known != text {
			c.violations = append(c.violations, fmt.Sprintf("two views in epoch %d: %s and %s", view.Epoch, known, text))
		}
		c.decided[view.Epoch] = text
	}
	for _, envelope := range ready.Messages {
		c.inFlight = append(c.inFlight, delivery{id, envelope.To, envelope.Message})
	}
}

func (c *cluster) deliver(i int) {
	d := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	if m := c.machines[d.to]; m != nil && m.up {
		m.consensus.Receive(d.from, &d.message)
		c.handleReady(d.to)
	}
}

// restart starts a new incarnation of a member from its disk. Unsynced hard states and their messages are lost.
func (c *cluster) restart(id MemberID) {
	m := c.machines[id]
	m.unsynced = nil
	m.consensus = NewConsensus(m.disk)
}

// propose lets a member propose a chain of random electors.
func (c *cluster) propose(random *rand.Rand, id MemberID) {
	m := c.machines[id]
	desired := View{Electors: m.consensus.View().Electors}
	for _, elector := range desired.Electors {
		if random.IntN(4) > 0 {
			desired.Chain = append(desired.Chain, elector)
		}
	}
	if len(desired.Chain) == 0 {
		desired.Chain = desired.Electors
	}
	m.consensus.Propose(desired, nil, 2)
	c.handleReady(id)
}

// simulate runs a random schedule of proposals, deliveries, losses, duplicates, syncs and restarts.
func simulate(seed uint64, sendsBeforeSync bool) *cluster {
	random := rand.New(rand.NewPCG(seed, 9))
	c := newCluster(3 + 2*int(seed%2))
	c.sendsBeforeSync = sendsBeforeSync
	for range 2000 {
		id := c.order[random.IntN(len(c.order))]
		switch dice := random.IntN(1000); {
		case dice < 15:
			c.propose(random, id)
		case dice < 550:
			if len(c.inFlight) > 0 {
				c.deliver(random.IntN(len(c.inFlight)))
			}
		case dice < 570: // lost
			if len(c.inFlight) > 0 {
				i := random.IntN(len(c.inFlight))
				c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			}
		case dice < 590: // duplicated
			if len(c.inFlight) > 0 {
				c.inFlight = append(c.inFlight, c.inFlight[random.IntN(len(c.inFlight))])
			}
		case dice < 970:
			c.sync(id)
		case dice < 980:
			c.restart(id)
		case dice < 985:
			c.machines[id].consensus.Tick()
			c.handleReady(id)
		default:
			c.machines[id].consensus.MarkComplete(c.machines[id].consensus.View().Epoch)
			c.handleReady(id)
		}
	}
	return c
}

func TestOneViewPerEpoch(t *testing.T) {
	seeds, decided := 600, 0
	for seed := range seeds {
		c := simulate(uint64(seed), false)
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.violations[0])
		}
		decided += len(c.decided)
	}
	if decided < 3*seeds {
		t.Errorf("only %d views decided in %d simulations, too few for a meaningful test", decided, seeds)
	}
}

// TestSimulationDetectsSendBeforeSync checks that the simulations detect promises that are sent before they are synced.
func TestSimulationDetectsSendBeforeSync(t *testing.T) {
	for seed := range 2000 {
		if c := simulate(uint64(seed), true); len(c.violations) > 0 {
			return
		}
	}
	t.Error("no simulation detects promises that are sent before they are synced")
}

// threeMembers returns three members and a view of which all three are chain members and electors.
func threeMembers() ([]Member, *View) {
	members := []Member{}
	for id := MemberID(1); id <= 3; id++ {
		members = append(members, Member{ID: id, Address: fmt.Sprint("a", id), Zone: fmt.Sprint("z", id), WriterSince: 1})
	}
	return members, &View{Epoch: 4, Chain: members, Electors: members}
}

// TestHeadIsEligible checks that a newcomer that lacks entries never becomes the head.
func TestHeadIsEligible(t *testing.T) {
	members, view := threeMembers()
	members[0].WriterSince = 4 // joined in the present view and is not complete in it
	view.Chain = members
	durable := HardState{Self: members[0], View: *view, CompleteEpoch: 3}
	r := NewConsensus(durable)
	if r.EligibleAsHead() {
		t.Error("an incomplete newcomer is eligible as head")
	}
	r.Propose(View{Chain: members, Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: false}})
	r.Receive(2, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || next.Chain[0].ID == 1 {
		t.Errorf("next view %v, want one headed by an eligible member", next)
	}
}

func TestNoViewWithoutAnEligibleHead(t *testing.T) {
	members, view := threeMembers()
	r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 0})
	r.Propose(View{Chain: members, Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	for id := MemberID(1); id <= 2; id++ {
		r.Receive(id, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot}})
	}
	if r.proposal.view != nil {
		t.Errorf("view %v proposed without an eligible head", r.proposal.view)
	}
}

// TestChainIsNotCutBelowItsMinimum guards against a chain too short to acknowledge anything. It came about when the desired
// view left out a slow member and another member did not answer in time, so that a chain of one was proposed.
func TestChainIsNotCutBelowItsMinimum(t *testing.T) {
	members, view := threeMembers()
	r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
	r.Propose(View{Chain: members[:2], Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || len(next.Chain) != 2 {
		t.Errorf("next view %v, want a chain of 2", next)
	}
}

// TestWaitForExpectedPromises checks that a proposal that removes no member waits longer for a busy member than an urgent
// one, which removes a silent member.
func TestWaitForExpectedPromises(t *testing.T) {
	members, view := threeMembers()
	for name, c := range map[string]struct {
		desired []Member
		ticks   int
	}{"all stay": {members, regularPromiseWaitTicks}, "one is removed": {members[:2], urgentPromiseWaitTicks}} {
		r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
		r.Propose(View{Chain: c.desired, Electors: members}, []MemberID{1, 2, 3}, 2)
		ballot := r.proposal.ballot
		for id := MemberID(1); id <= 2; id++ {
			r.Receive(id, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
		}
		for tick := 1; tick <= c.ticks; tick++ {
			if r.proposal.view != nil {
				t.Errorf("%s: phase 2 starts after %d ticks without the third promise, want %d", name, tick-1, c.ticks)
			}
			r.Tick()
		}
		if r.proposal == nil || r.proposal.view == nil {
			t.Errorf("%s: still waits for promises after %d ticks", name, c.ticks)
		}
	}
}

// TestCompletenessIsMadeDurable checks that Ready returns a new CompleteEpoch to be made durable, exactly once.
func TestCompletenessIsMadeDurable(t *testing.T) {
	members, view := threeMembers()
	c := NewConsensus(HardState{Self: members[0], View: *view})
	c.MarkComplete(view.Epoch + 1) // not the view in force
	if ready := c.Ready(); ready.HardState != nil {
		t.Errorf("marked complete in a view that is not in force: %+v", ready.HardState)
	}
	c.MarkComplete(view.Epoch)
	if ready := c.Ready(); ready.HardState == nil || ready.HardState.CompleteEpoch != view.Epoch {
		t.Errorf("the complete epoch is not to be made durable: %+v", ready.HardState)
	}
	c.MarkComplete(view.Epoch)
	if ready := c.Ready(); ready.HardState != nil {
		t.Error("the same complete epoch is to be made durable again")
	}
}
