package view

import (
	"fmt"
	"time"
)

// heartbeatInterval is the pace of heartbeats and ticks.
const heartbeatInterval = 100 * time.Millisecond

// timedMachine is a machine with its consensus and detector. Messages and syncs take no time.
type timedMachine struct {
	consensus    *Consensus
	detector     *Detector
	up           bool
	leaving      bool
	epochAtStart uint64 // epoch of the view with which this incarnation began, in which it takes no part
}

// timedCluster is a set of machines in time; only the newest machine has an address.
type timedCluster struct {
	now      time.Duration
	minimum  int
	machines map[MemberID]*timedMachine
	order    []MemberID
}

func newTimedCluster(count, tolerate int) *timedCluster {
	c := &timedCluster{minimum: tolerate + 1, machines: map[MemberID]*timedMachine{}}
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
	c.machines[id] = &timedMachine{consensus: NewConsensus(hardState), detector: NewDetector(hardState.Self, c.now, c.minimum), up: true, epochAtStart: epochAtStart}
}

// newcomer starts a machine with an empty disk, at the address of another one or at its own.
func (c *timedCluster) newcomer(address string) MemberID {
	id := MemberID(len(c.order) + 1)
	if address == "" {
		address = fmt.Sprint("a", id)
	}
	c.start(HardState{Self: Member{ID: id, Address: address, Zone: fmt.Sprint("z", id%3)}}, 0)
	return id
}

func (c *timedCluster) hasRestarted(m *timedMachine) bool {
	v := m.consensus.View()
	return v.Epoch > 0 && v.Epoch == m.epochAtStart && v.ChainPosition(m.consensus.Self().ID) >= 0
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
					Restarted: c.hasRestarted(m), HeardFrom: m.detector.HeardFrom(c.now), Leaving: m.leaving})
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
		if desired, expected := m.detector.DesiredView(c.now, m.consensus.View(), c.hasRestarted(m), false, 0); desired != nil && !m.consensus.IsProposing() {
			m.consensus.Propose(*desired, expected, c.minimum)
		}
		c.deliver()
	}
	c.markComplete()
}

// deliver carries all messages until there are none.
func (c *timedCluster) deliver() {
	for moved := true; moved; {
		moved = false
		for _, id := range c.order {
			m := c.machines[id]
			for _, envelope := range m.consensus.Ready().Messages {
				moved = true
				if other := c.machines[envelope.To]; other != nil && other.up {
					other.consensus.Receive(id, &envelope.Message)
				}
			}
		}
	}
}

// markComplete gives the members of the newest view the log of its head, where all of them are up.
func (c *timedCluster) markComplete() {
	view := c.newestView()
	head := c.machines[view.Chain[0].ID]
	if !c.isWhole(view) || !head.consensus.EligibleAsHead() {
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

// isWhole reports whether all members of a view are up, know it and take part in it.
func (c *timedCluster) isWhole(view *View) bool {
	for _, member := range view.Chain {
		m := c.machines[member.ID]
		if !m.up || m.consensus.View().Epoch != view.Epoch || c.hasRestarted(m) {
			return false
		}
	}
	return true
}

// canAcknowledge reports whether something can be acknowledged.
func (c *timedCluster) canAcknowledge() bool {
	up := false
	for _, m := range c.machines {
		up = up || m.up
	}
	if !up {
		return false
	}
	view := c.newestView()
	return len(view.Chain) >= c.minimum && c.isWhole(view) && c.machines[view.Chain[0].ID].consensus.EligibleAsHead()
}

func (c *timedCluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.step()
	}
}

// lose takes machines away for good, the oldest &.
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

// leave stops the oldest member in order, and takes it away once it is out of the chain or its time is over.
func (c *timedCluster) leave(within time.Duration) {
	id := c.newestView().Chain[0].ID
	m := c.machines[id]
	m.leaving = true
	m.detector.Leave()
	for end := c.now + within; c.now < end && m.consensus.View().ChainPosition(id) >= 0; {
		c.step()
	}
	m.up = false
}

// powerOutage takes all power away, loses some disks and brings all machines back at their addresses.
func (c *timedCluster) powerOutage(disks int) {
	c.run(heartbeatInterval)
	for _, id := range append([]MemberID{}, c.order...) {
		m := c.machines[id]
		if disks > 0 {
			disks--
			m.up = false
			c.newcomer(m.consensus.Self().Address)
			continue
		}
		c.start(m.consensus.HardState(), m.consensus.View().Epoch)
	}
}
