package view

import "slices"

// Bounds of a proposal, in ticks of the host (100 ms).
const (
	// proposalTicks is after how many ticks a proposal is given up; the detector then asks for another one.
	proposalTicks = 8
	// urgentPatience is how many ticks a proposal that drops a member of the chain waits for expected promises beyond
	// a majority: nothing is committed until the silent member is out.
	urgentPatience = 1
	// calmPatience is so for a proposal that drops nobody. It is not urgent, and a member that is only busy must not
	// fall out by it.
	calmPatience = 4
)

// proposal is an own proposal in progress. It ends with a decided view, with a higher ballot, or after proposalTicks.
type proposal struct {
	ballot   Ballot
	desired  View
	minimum  int        // members that a chain needs to commit anything
	expected []MemberID // whose promises are worth waiting for
	promises map[MemberID]*Promise
	accepted map[MemberID]bool
	view     *View // chosen, and asked to be accepted; nil: phase 1 is not over
	ticks    int
}

// IsProposing reports whether an own proposal is in progress.
func (c *Consensus) IsProposing() bool { return c.proposal != nil }

// Propose begins to agree on a next view. Desired names the chain and the electors; members of the present chain that
// do not answer are left out, and expected are those whose answers are worth waiting for. Where fewer than minimum
// are left, members of the present chain that answer are kept though desired lacks them.
func (c *Consensus) Propose(desired View, expected []MemberID, minimum int) {
	c.hardState.LastRound = max(c.hardState.LastRound, c.rejectedRound, c.hardState.PromisedBallot.Round) + 1
	c.changed = true
	c.proposal = &proposal{
		ballot:   Ballot{c.hardState.LastRound, c.hardState.Self.ID},
		desired:  desired,
		minimum:  minimum,
		expected: expected,
		promises: map[MemberID]*Promise{},
		accepted: map[MemberID]bool{},
	}
	c.sendToElectors(Message{Prepare: &Prepare{c.hardState.View, c.proposal.ballot}})
}

func (c *Consensus) receivePromise(from MemberID, m *Promise) {
	if c.proposal == nil || m.BaseEpoch != c.hardState.View.Epoch {
		return
	}
	if m.Rejected {
		c.rejectedRound = max(c.rejectedRound, m.Ballot.Round)
		if c.proposal.ballot.less(m.Ballot) {
			c.proposal = nil
		}
		return
	}
	if m.Ballot != c.proposal.ballot || !c.View().IsElector(from) {
		return
	}
	c.proposal.promises[from] = m
	c.maybeAccept()
}

// maybeAccept goes on to phase 2 once a majority has promised, and all expected ones have or patience is over.
func (c *Consensus) maybeAccept() {
	p := c.proposal
	if p == nil || p.view != nil || !c.View().isMajority(len(p.promises)) {
		return
	}
	patience := p.patience(c.View())
	for _, id := range p.expected {
		if p.promises[id] == nil && c.View().IsElector(id) && p.ticks < patience {
			return
		}
	}
	view := p.choose(c.View())
	if view == nil {
		return
	}
	p.view = view
	c.sendToElectors(Message{Accept: &Accept{c.hardState.View.Epoch, p.ballot, *view}})
}

// patience returns how many ticks the proposal waits for expected promises.
func (p *proposal) patience(base *View) int {
	for _, member := range base.Chain {
		if p.desired.ChainPosition(member.ID) < 0 {
			return urgentPatience
		}
	}
	return calmPatience
}

// choose returns the view to be accepted. One that may have been decided already has to be taken, as Paxos asks for:
// that with the highest ballot that any promise names. It is nil where no view can be made.
func (p *proposal) choose(base *View) *View {
	if accepted := p.highestAccepted(); accepted != nil {
		return accepted
	}
	return p.nextView(base)
}

// highestAccepted returns the view that a promise names under the highest ballot, or nil.
func (p *proposal) highestAccepted() *View {
	var highest *Promise
	for _, id := range sortedIDs(p.promises) {
		promise := p.promises[id]
		if promise.AcceptedView != nil && (highest == nil || highest.AcceptedBallot.less(promise.AcceptedBallot)) {
			highest = promise
		}
	}
	if highest == nil {
		return nil
	}
	return highest.AcceptedView
}

// nextView returns the desired view with whoever answered, headed by a member that has everything that was ever
// acknowledged. It is nil where no such member answered: a chain without one could lose what was acknowledged.
func (p *proposal) nextView(base *View) *View {
	next := &View{Epoch: base.Epoch + 1, Electors: p.desired.Electors,
		ReplicationFactor: replicationFactor(p.minimum, len(p.desired.Electors))}
	for _, member := range p.desired.Chain {
		if base.ChainPosition(member.ID) >= 0 && p.promises[member.ID] == nil {
			continue
		}
		next.Chain = append(next.Chain, member)
	}
	if base.Epoch > 0 {
		p.keepMinimum(next, base)
		if !p.moveEligibleToHead(next) {
			return nil
		}
	}
	next.setWriterSince(base)
	return next
}

// keepMinimum keeps members of the present chain that answered, while the next chain is too short to commit anything.
func (p *proposal) keepMinimum(next, base *View) {
	for _, member := range base.Chain {
		if len(next.Chain) < p.minimum && next.ChainPosition(member.ID) < 0 && p.promises[member.ID] != nil {
			next.Chain = append(next.Chain, member)
		}
	}
}

// moveEligibleToHead moves the first member that has everything to the head, and reports whether there is one.
func (p *proposal) moveEligibleToHead(next *View) bool {
	position := slices.IndexFunc(next.Chain, func(m Member) bool {
		return p.promises[m.ID] != nil && p.promises[m.ID].EligibleAsHead
	})
	if position < 0 {
		return false
	}
	head := next.Chain[position]
	next.Chain = slices.Insert(slices.Delete(next.Chain, position, position+1), 0, head)
	return true
}

// receiveAccepted decides the proposed view once a majority has accepted it, and notifies all members of the old and
// the new view.
func (c *Consensus) receiveAccepted(from MemberID, m *Accepted) {
	p := c.proposal
	if p == nil || p.view == nil || m.BaseEpoch != c.hardState.View.Epoch || m.Ballot != p.ballot ||
		!c.View().IsElector(from) {
		return
	}
	p.accepted[from] = true
	if !c.View().isMajority(len(p.accepted)) {
		return
	}
	decided := *p.view
	notified := map[MemberID]bool{c.hardState.Self.ID: true}
	for _, members := range [][]Member{c.hardState.View.Electors, decided.Electors, decided.Chain} {
		for _, member := range members {
			if !notified[member.ID] {
				notified[member.ID] = true
				c.send(member.ID, Message{Decided: &decided})
			}
		}
	}
	c.decide(&decided)
}
