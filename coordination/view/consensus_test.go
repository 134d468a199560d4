package view

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// machine is one member with a disk; messages wait for its sync.
type machine struct {
	consensus *Consensus
	disk      HardState
	unsynced  []Ready
	up        bool
}

// cluster is a set of machines under one test's control.
type cluster struct {
	machines        map[MemberID]*machine
	order           []MemberID
	inFlight        []delivery
	decided         map[uint64]string // what was ever in force, by epoch
	violations      []string
	sendsBeforeSync bool // planted fault: nothing is synced before it is sent
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

// sync makes the oldest hard state durable, and sends what waited for it.
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
			c.violations = append(c.violations, fmt.Sprintf("epoch %d: %s and %s", view.Epoch, known, text))
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

// restart loses what was not synced.
func (c *cluster) restart(id MemberID) {
	m := c.machines[id]
	m.unsynced = nil
	m.consensus = NewConsensus(m.disk)
}

// propose asks for a random part of the electors as the chain.
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

// simulate plays a seeded schedule of proposals, deliveries, losses, duplicates, syncs and restarts.
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
		t.Errorf("only %d views in %d simulations: they show little", decided, seeds)
	}
}

// TestPlantedSendBeforeSync shows that the simulations find promises that were sent before they were synced.
func TestPlantedSendBeforeSync(t *testing.T) {
	for seed := range 2000 {
		if c := simulate(uint64(seed), true); len(c.violations) > 0 {
			return
		}
	}
	t.Error("promises sent before their sync were not found")
}

// threeMembers returns three members and the view that all of them form.
func threeMembers() ([]Member, *View) {
	members := []Member{}
	for id := MemberID(1); id <= 3; id++ {
		members = append(members, Member{ID: id, Address: fmt.Sprint("a", id), Zone: fmt.Sprint("z", id), WriterSince: 1})
	}
	return members, &View{Epoch: 4, Chain: members, Electors: members}
}

// TestHeadIsEligible keeps that a newcomer that lacks entries never becomes the head.
func TestHeadIsEligible(t *testing.T) {
	members, view := threeMembers()
	members[0].WriterSince = 4 // joined in the present view, and is not complete
	view.Chain = members
	durable := HardState{Self: members[0], View: *view, CompleteEpoch: 3}
	r := NewConsensus(durable)
	if r.EligibleAsHead() {
		t.Error("a newcomer counts as complete")
	}
	r.Propose(View{Chain: members, Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: false}})
	r.Receive(2, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || next.Chain[0].ID == 1 {
		t.Errorf("next view %v", next)
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
		t.Errorf("view %v without anybody who has everything", r.proposal.view)
	}
}

// TestChainIsNotCutBelowItsMinimum keeps a fault of the first sitting: the desired view left a slow member out, another
// one did not answer in time, and a chain of one was made, which acknowledges nothing.
func TestChainIsNotCutBelowItsMinimum(t *testing.T) {
	members, view := threeMembers()
	r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
	r.Propose(View{Chain: members[:2], Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || len(next.Chain) != 2 {
		t.Errorf("next view %v", next)
	}
}

// A proposal that leaves nobody out waits for a busy member; one that drops a silent member is urgent.
func TestPatienceForBusyMembers(t *testing.T) {
	members, view := threeMembers()
	for name, c := range map[string]struct {
		desired []Member
		ticks   int
	}{"all stay": {members, calmPatience}, "one is dropped": {members[:2], urgentPatience}} {
		r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
		r.Propose(View{Chain: c.desired, Electors: members}, []MemberID{1, 2, 3}, 2)
		ballot := r.proposal.ballot
		for id := MemberID(1); id <= 2; id++ {
			r.Receive(id, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
		}
		for tick := 1; tick <= c.ticks; tick++ {
			if r.proposal.view != nil {
				t.Errorf("%s: goes on after %d ticks of %d without the third answer", name, tick-1, c.ticks)
			}
			r.Tick()
		}
		if r.proposal == nil || r.proposal.view == nil {
			t.Errorf("%s: still waits after %d ticks", name, c.ticks)
		}
	}
}

// That this member is complete is handed out to be made durable, once, before anything may rest on it.
func TestCompletenessIsMadeDurable(t *testing.T) {
	members, view := threeMembers()
	c := NewConsensus(HardState{Self: members[0], View: *view})
	c.MarkComplete(view.Epoch + 1) // of a view that is not in force
	if ready := c.Ready(); ready.HardState != nil {
		t.Errorf("complete in another view: %+v", ready.HardState)
	}
	c.MarkComplete(view.Epoch)
	if ready := c.Ready(); ready.HardState == nil || ready.HardState.CompleteEpoch != view.Epoch {
		t.Errorf("nothing to be made durable: %+v", ready.HardState)
	}
	c.MarkComplete(view.Epoch)
	if ready := c.Ready(); ready.HardState != nil {
		t.Error("to be made durable again")
	}
}
