package view

import "slices"

// Time limits of a proposal, in ticks of the host (100 ms).
const (
	// proposalTicks is the number of ticks after which a proposal is abandoned. If the detector still desires a change, the
	// host proposes again.
	proposalTicks = 8
	// urgentPromiseWaitTicks is the number of ticks that a proposal waits for expected promises beyond a majority if it
	// removes a member of the chain. It is short since nothing is committed until a silent writer is removed.
	urgentPromiseWaitTicks = 1
	// regularPromiseWaitTicks is that number for a proposal that removes no member. It is longer since the proposal is
	// not urgent and must not exclude a member that is only busy.
	regularPromiseWaitTicks = 4
)

// proposal is this member's proposal in progress. It ends with a decided view, with a rejection that names a higher ballot,
// or after proposalTicks.
type proposal struct {
	ballot     Ballot
	desired    View
	minMembers int        // number of members that a chain needs to commit anything
	expected   []MemberID // electors that are expected to promise
	seal       bool       // members that are not complete in the base view are asked never to become so
	promises   map[MemberID]*Promise
	accepted   map[MemberID]bool
	view       *View // the view of phase 2, or nil in phase 1
	ticks      int
}

// IsProposing reports whether this member's proposal is in progress.
func (c *Consensus) IsProposing() bool { return c.proposal != nil }

// Propose starts a proposal for the next view, and abandons an earlier one. Desired holds the chain and the electors to
// propose; members of the present chain that don't promise are left out of it. The proposal waits for the promises of the
// expected electors up to a time limit. If the chain would have fewer than minMembers members, members of the present chain
// that promise are kept even if they are not in desired. If the last proposal has found no member that may head the next
// view, this one seals the present view at the members that are not complete in it.
func (c *Consensus) Propose(desired View, expected []MemberID, minMembers int) {
	c.hardState.LastRound = max(c.hardState.LastRound, c.rejectedRound, c.hardState.PromisedBallot.Round) + 1
	c.changed = true
	c.proposal = &proposal{
		ballot:     Ballot{c.hardState.LastRound, c.hardState.Self.ID},
		desired:    desired,
		minMembers: minMembers,
		expected:   expected,
		seal:       c.obstacle != nil && c.obstacle.Reason == NoEligibleHead,
		promises:   map[MemberID]*Promise{},
		accepted:   map[MemberID]bool{},
	}
	c.sendToElectors(Message{Prepare: &Prepare{c.hardState.View, c.proposal.ballot, c.proposal.seal}})
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

// maybeAccept starts phase 2 once a majority has promised and either all expected electors have or the time limit for
// their promises has passed.
func (c *Consensus) maybeAccept() {
	p := c.proposal
	if p == nil || p.view != nil || !c.View().isMajority(len(p.promises)) {
		return
	}
	waitTicks := p.promiseWaitTicks(c.View())
	for _, id := range p.expected {
		if p.promises[id] == nil && c.View().IsElector(id) && p.ticks < waitTicks {
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

// promiseWaitTicks returns the number of ticks that the proposal waits for expected promises.
func (p *proposal) promiseWaitTicks(base *View) int {
	for _, member := range base.Chain {
		if p.desired.ChainPosition(member.ID) < 0 {
			return urgentPromiseWaitTicks
		}
	}
	return regularPromiseWaitTicks
}

// choose returns the view for phase 2, or nil if none can be built. If any promise contains an accepted view, that view may
// have been decided already, so Paxos requires the one accepted under the highest ballot.
func (p *proposal) choose(base *View) *View {
	if accepted := p.highestAccepted(); accepted != nil {
		return accepted
	}
	return p.nextView(base)
}

// highestAccepted returns the view accepted under the highest ballot among the promises, or nil if there is none.
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

// nextView returns the desired view without members of the present chain that haven't promised, headed by a member that has
// every acknowledged entry. It is nil if no such member is known: a chain without one could lose acknowledged entries.
func (p *proposal) nextView(base *View) *View {
	next := &View{Epoch: base.Epoch + 1, Electors: p.desired.Electors,
		ReplicationFactor: replicationFactor(p.minMembers, len(p.desired.Electors))}
	for _, member := range p.desired.Chain {
		if base.ChainPosition(member.ID) >= 0 && p.promises[member.ID] == nil {
			continue
		}
		next.Chain = append(next.Chain, member)
	}
	if base.Epoch == 0 {
		next.setWriterSince(base)
		return next
	}
	p.keepMinimum(next, base)
	next.History = historyAfter(base, p.promises)
	if p.moveEligibleToHead(next) {
		next.setWriterSince(base)
		return next
	}
	if p.moveCoveredToHead(next, base) {
		next.setWriterSince(base)
		head := &next.Chain[0]
		head.WriterSince = p.promises[head.ID].Completeness.CompleteEpoch
		return next
	}
	return nil
}

// keepMinimum adds members of the present chain that have promised while the next chain is too short to commit anything.
func (p *proposal) keepMinimum(next, base *View) {
	for _, member := range base.Chain {
		if len(next.Chain) < p.minMembers && next.ChainPosition(member.ID) < 0 && p.promises[member.ID] != nil {
			next.Chain = append(next.Chain, member)
		}
	}
}

// moveEligibleToHead moves the first eligible member to the head, and reports whether there is one.
func (p *proposal) moveEligibleToHead(next *View) bool {
	position := slices.IndexFunc(next.Chain, func(m Member) bool {
		return p.promises[m.ID] != nil && p.promises[m.ID].EligibleAsHead
	})
	if position < 0 {
		return false
	}
	next.moveToHead(next.Chain[position])
	return true
}

// moveCoveredToHead moves a member that has every committed entry by the history to the head, and reports whether there is
// one: preferably a member of the next chain, else any elector that has promised.
func (p *proposal) moveCoveredToHead(next, base *View) bool {
	for _, candidates := range [][]Member{next.Chain, base.Electors} {
		for _, member := range candidates {
			promise := p.promises[member.ID]
			if promise != nil && promise.Completeness != nil &&
				next.History.covers(member.ID, promise.Completeness.CompleteEpoch) {
				next.moveToHead(member)
				return true
			}
		}
	}
	return false
}

// receiveAccepted decides the proposed view once a majority has accepted it, and sends it to the electors of the
// present and the new view and to the new chain.
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
