package view

import (
	"fmt"
	"time"
)

// heartbeatInterval is the interval of heartbeats and ticks.
const heartbeatInterval = 100 * time.Millisecond

// timedMachine is a machine with its consensus and detector. Messages and syncs take no time.
type timedMachine struct {
	consensus    *Consensus
	detector     *Detector
	up           bool
	leaving      bool
	epochAtStart uint64 // epoch of the view on disk when this incarnation started; it takes no part in that view
}

// timedCluster is a set of machines with a simulated clock. At most one machine at an address is up.
type timedCluster struct {
	now        time.Duration
	minMembers int
	machines   map[MemberID]*timedMachine
	order      []MemberID
	neverSeals bool // planted fault: no proposal asks for a seal
	sealedStay bool // planted fault: a sealed member desires no other view
}

func newTimedCluster(count, tolerate int) *timedCluster {
	c := &timedCluster{minMembers: tolerate + 1, machines: map[MemberID]*timedMachine{}}
	var all []Member
	for i := range count {
		all = append(all, Member{ID: MemberID(i + 1), Address: fmt.Sprint("a", i+1), Zone: fmt.Sprint("z", i%3), WriterSince: 1})
	}
	for _, member := range all {
		c.start(HardState{Self: member, View: View{Epoch: 1, Chain: all, Electors: all}, CompleteEpoch: 1}, 0)
	}
	c.run(time.Second)
	return c
}

func (c *timedCluster) start(hardState HardState, epochAtStart uint64) {
	id := hardState.Self.ID
	if c.machines[id] == nil {
		c.order = append(c.order, id)
	}
	c.machines[id] = &timedMachine{consensus: NewConsensus(hardState),
		detector: NewDetector(hardState.Self, c.now, c.minMembers), up: true, epochAtStart: epochAtStart}
}

// newcomer starts a machine with an empty disk, at the given address or, if that is empty, at a new one.
func (c *timedCluster) newcomer(address string) MemberID {
	id := MemberID(len(c.order) + 1)
	if address == "" {
		address = fmt.Sprint("a", id)
	}
	c.start(HardState{Self: Member{ID: id, Address: address, Zone: fmt.Sprint("z", id%3)}}, 0)
	return id
}

// takesNoPart reports whether a machine is a member of the view in force but takes no part in it: it has restarted, or is
// sealed.
func (c *timedCluster) takesNoPart(m *timedMachine) bool {
	v := m.consensus.View()
	hasLeft := v.Epoch == m.epochAtStart || m.consensus.IsSealed()
	return v.Epoch > 0 && hasLeft && v.ChainPosition(m.consensus.Self().ID) >= 0
}

// desiresView reports whether a machine needs another view since it takes no part in the present one.
func (c *timedCluster) desiresView(m *timedMachine) bool {
	return c.takesNoPart(m) && (!c.sealedStay || !m.consensus.IsSealed())
}

func (c *timedCluster) step() {
	c.now += heartbeatInterval
	for _, from := range c.order {
		m := c.machines[from]
		if !m.up {
			continue
		}
		for _, to := range c.order {
			if other := c.machines[to]; to != from && other.up {
				other.detector.ReceiveHeartbeat(c.now, Heartbeat{From: m.consensus.Self(), Epoch: m.consensus.View().Epoch, LastIndex: 1000,
					Restarted: c.desiresView(m), HeardFrom: m.detector.HeardFrom(c.now), Leaving: m.leaving,
					CompleteEpoch: m.consensus.HardState().CompleteEpoch})
				if other.consensus.View().Epoch < m.consensus.View().Epoch {
					decided := m.consensus.DecidedMessage()
					other.consensus.Receive(from, &decided)
				}
			}
		}
	}
	for _, id := range c.order {
		m := c.machines[id]
		if !m.up {
			continue
		}
		m.consensus.Tick()
		if c.neverSeals {
			m.consensus.obstacle = nil
		}
		m.detector.IncompleteWriters(m.consensus.View(), m.consensus.HardState().CompleteEpoch)
		m.consensus.RecordActive(m.detector.ActiveEpoch())
		if desired, expected := m.detector.DesiredView(c.now, m.consensus.View(), c.desiresView(m), false, 0); desired != nil && !m.consensus.IsProposing() {
			m.consensus.Propose(*desired, expected, c.minMembers)
		}
		c.deliver()
	}
	c.markComplete()
}

// deliver delivers messages until none is left.
func (c *timedCluster) deliver() {
	for delivered := true; delivered; {
		delivered = false
		for _, id := range c.order {
			m := c.machines[id]
			for _, envelope := range m.consensus.Ready().Messages {
				delivered = true
				if other := c.machines[envelope.To]; other != nil && other.up {
					other.consensus.Receive(id, &envelope.Message)
				}
			}
		}
	}
}

// markComplete gives all members of the newest view the log of its head, if they all take part and the head is eligible.
func (c *timedCluster) markComplete() {
	view := c.newestView()
	head := c.machines[view.Chain[0].ID]
	if !c.allTakePart(view) || !head.consensus.EligibleAsHead() {
		return
	}
	for _, member := range view.Chain {
		c.machines[member.ID].consensus.MarkComplete(view.Epoch)
		c.machines[member.ID].consensus.Ready()
	}
}

func (c *timedCluster) newestView() *View {
	var newest *View
	for _, id := range c.order {
		if v := c.machines[id].consensus.View(); c.machines[id].up && (newest == nil || v.Epoch > newest.Epoch) {
			newest = v
		}
	}
	return newest
}

// allTakePart reports whether all members of a view's chain are up, have it in force and take part in it.
func (c *timedCluster) allTakePart(view *View) bool {
	for _, member := range view.Chain {
		m := c.machines[member.ID]
		if m == nil || !m.up || m.consensus.View().Epoch != view.Epoch || c.takesNoPart(m) {
			return false
		}
	}
	return true
}

// canAcknowledge reports whether the newest view can acknowledge entries.
func (c *timedCluster) canAcknowledge() bool {
	up := false
	for _, m := range c.machines {
		up = up || m.up
	}
	if !up {
		return false
	}
	view := c.newestView()
	return len(view.Chain) >= c.minMembers && c.allTakePart(view) && c.machines[view.Chain[0].ID].consensus.EligibleAsHead()
}

func (c *timedCluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.step()
	}
}

// lose stops machines for good, in the order of the newest chain.
func (c *timedCluster) lose(count int) {
	for _, member := range append([]Member{}, c.newestView().Chain...) {
		if count == 0 {
			return
		}
		if c.machines[member.ID].up {
			c.machines[member.ID].up = false
			count--
		}
	}
}

// leave shuts the head down gracefully, and stops it once it is out of the chain or the time limit has passed.
func (c *timedCluster) leave(timeout time.Duration) {
	id := c.newestView().Chain[0].ID
	m := c.machines[id]
	m.leaving = true
	m.detector.Leave()
	for end := c.now + timeout; c.now < end && m.consensus.View().ChainPosition(id) >= 0; {
		c.step()
	}
	m.up = false
}

// powerOutage restarts all machines at their addresses, the first ones with new disks in place of lost ones.
func (c *timedCluster) powerOutage(lostDisks int) {
	c.run(heartbeatInterval)
	for _, id := range append([]MemberID{}, c.order...) {
		m := c.machines[id]
		if lostDisks > 0 {
			lostDisks--
			m.up = false
			c.newcomer(m.consensus.Self().Address)
			continue
		}
		c.start(m.consensus.HardState(), m.consensus.View().Epoch)
	}
}
