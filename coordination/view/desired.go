package view

import (
	"slices"
	"time"
)

// Limits for the choice of the desired view.
const (
	// replacementTimeout is the time that an elector must be silent before a newcomer replaces it. It is longer than a
	// restart takes, since a replaced elector has no vote when it comes back.
	replacementTimeout = 2500 * time.Millisecond
	// maxLag is the number of entries that a member may lack when it joins the chain. Sending them takes a few
	// milliseconds. Nothing is committed while a writer of the chain lacks entries.
	maxLag = 400
	// proposerStagger is the additional delay of each proposer after the live one ranked before it. It keeps proposers
	// from preempting each other with higher ballots.
	proposerStagger = 150 * time.Millisecond
)

// DesiredView returns the next view to propose, and the electors whose promises are expected. The view is nil if the
// present one needs no change, if this member may not propose, or while members of lower rank have time to propose first.
//
// Restarted and unhealthy are this member's own state, as in its Heartbeat: a member is restarted if it takes no part in the
// view in force. CommitIndex is the index of the newest entry
// known to be committed: other members join the chain once they lack at most maxLag entries up to it.
func (d *Detector) DesiredView(now time.Duration, view *View, restarted, unhealthy bool, commitIndex uint64) (*View, []MemberID) {
	expected := d.aliveElectors(now, view)
	if !view.IsElector(d.self.ID) || unhealthy || !view.isMajority(len(expected)) {
		d.desiredSince = noTime
		return nil, nil
	}
	desired := newViewPlan(d, now, view, commitIndex).build()
	unchanged := sameMembers(desired.Chain, view.Chain) && sameMembers(desired.Electors, view.Electors)
	// A restarted member takes no part in the view in which it restarted, so a new view is needed even if the members stay
	// the same.
	if unchanged && !restarted && !d.anyRestarted(now, view) {
		d.desiredSince = noTime
		return nil, nil
	}
	if d.desiredSince == noTime {
		d.desiredSince = now
	}
	if now-d.desiredSince < proposerStagger*time.Duration(d.proposerRank(now, view)) {
		return nil, nil
	}
	return desired, expected
}

// proposerRank counts the live members that propose before this one: the chain in order, then the other electors.
func (d *Detector) proposerRank(now time.Duration, view *View) int {
	rank := 0
	for _, members := range [][]Member{view.Chain, view.Electors} {
		for _, member := range members {
			if member.ID == d.self.ID {
				return rank
			}
			if d.IsAlive(now, member.ID) {
				rank++
			}
		}
	}
	return rank
}

// anyRestarted reports whether a live member of the chain has restarted in the present view.
func (d *Detector) anyRestarted(now time.Duration, view *View) bool {
	for _, member := range view.Chain {
		if p := d.peers[member.ID]; p != nil && d.IsAlive(now, member.ID) && p.heartbeat.Restarted &&
			p.heartbeat.Epoch == view.Epoch {
			return true
		}
	}
	return false
}

// viewPlan builds a desired view from the present view and the state of the detector at one moment.
type viewPlan struct {
	*Detector
	now         time.Duration
	present     *View
	commitIndex uint64
	chain       []Member
	electors    []Member
}

func newViewPlan(d *Detector, now time.Duration, present *View, commitIndex uint64) *viewPlan {
	return &viewPlan{Detector: d, now: now, present: present, commitIndex: commitIndex,
		electors: slices.Clone(present.Electors)}
}

func (p *viewPlan) build() *View {
	if p.present.Epoch == 0 {
		p.chain = slices.Clone(p.present.Electors)
	} else {
		p.keepPresentMembers()
		p.replaceElectors()
		p.addElectorsToChain()
		p.releaseLeaving()
	}
	return &View{Chain: p.chain, Electors: p.electors}
}

// keepPresentMembers keeps the live members of the present chain. If these are too few to commit anything, it also keeps
// members that are heard but unhealthy or unable to hear this one.
func (p *viewPlan) keepPresentMembers() {
	for _, member := range p.present.Chain {
		if p.IsAlive(p.now, member.ID) {
			p.chain = append(p.chain, member)
		}
	}
	for _, member := range p.present.Chain {
		if len(p.chain) < p.minMembers && !p.inChain(member.ID) && p.silentFor(p.now, member.ID) <= heartbeatTimeout {
			p.chain = append(p.chain, member) // a member with a slow disk is better than too short a chain
		}
	}
	if len(p.chain) == 0 {
		p.chain = slices.Clone(p.present.Chain) // perhaps none is heard yet; the proposal drops members that don't answer
	}
}

func (p *viewPlan) inChain(id MemberID) bool {
	return slices.ContainsFunc(p.chain, func(m Member) bool { return m.ID == id })
}

// replaceElectors makes newcomers electors. A newcomer at the address of an elector is the same machine with an empty disk
// and replaces that elector at once. An initial member is added to the electors. Any other newcomer replaces an elector
// that is leaving or has been silent for replacementTimeout, preferably in its own zone. A silent elector keeps its vote
// until the present view is active: it may be the only one that can head the next view. Except for initial members,
// electors are replaced one for one and never added, so that a majority stays reachable.
func (p *viewPlan) replaceElectors() {
	for _, id := range sortedIDs(p.peers) {
		newcomer := &p.peers[id].heartbeat
		if p.present.IsElector(id) || !p.isSteady(p.now, id) || p.isLeaving(id) {
			continue
		}
		if at := p.electorToReplace(newcomer); at >= 0 {
			former := p.electors[at].ID
			p.electors[at] = newcomer.From
			p.chain = slices.DeleteFunc(p.chain, func(m Member) bool { return m.ID == former })
		} else if newcomer.InitialMember {
			p.electors = append(p.electors, newcomer.From)
		}
	}
}

// electorToReplace returns the index of the elector that a newcomer replaces, or -1.
func (p *viewPlan) electorToReplace(newcomer *Heartbeat) int {
	best := -1
	for i, elector := range p.electors {
		if elector.Address == newcomer.From.Address {
			return i
		}
		isGone := p.isActive(p.present) && p.silentFor(p.now, elector.ID) >= replacementTimeout ||
			p.mayHandOver(elector.ID, newcomer)
		if newcomer.InitialMember || !isGone {
			continue
		}
		if best < 0 || elector.Zone == newcomer.From.Zone && p.electors[best].Zone != newcomer.From.Zone {
			best = i
		}
	}
	return best
}

// mayHandOver reports whether a newcomer may replace a leaving elector now: only once the chain is long enough without the
// elector, since a replaced elector is also removed from the chain.
func (p *viewPlan) mayHandOver(id MemberID, newcomer *Heartbeat) bool {
	if !p.isLeaving(id) {
		return false
	}
	staying := p.stayingInChain()
	if p.isCaughtUp(newcomer.From.ID) {
		staying++
	}
	return staying >= p.minMembers
}

// addElectorsToChain appends electors that are caught up, or any elector while the chain is too short.
func (p *viewPlan) addElectorsToChain() {
	for _, elector := range p.electors {
		if p.isSteady(p.now, elector.ID) && !p.inChain(elector.ID) && !p.isLeaving(elector.ID) &&
			(p.isCaughtUp(elector.ID) || len(p.chain) < p.minMembers) {
			p.chain = append(p.chain, elector)
		}
	}
}

// isCaughtUp reports whether a member outside the chain lacks at most maxLag entries.
func (p *viewPlan) isCaughtUp(id MemberID) bool {
	peer := p.peers[id]
	return peer != nil && peer.heartbeat.LastIndex+maxLag >= p.commitIndex
}

// releaseLeaving removes leaving members from a chain that is long enough without them.
func (p *viewPlan) releaseLeaving() {
	if p.stayingInChain() >= p.minMembers {
		p.chain = slices.DeleteFunc(p.chain, func(m Member) bool { return p.isLeaving(m.ID) })
	}
}

// stayingInChain counts the members of the chain that are not leaving.
func (p *viewPlan) stayingInChain() int {
	count := 0
	for _, member := range p.chain {
		if !p.isLeaving(member.ID) {
			count++
		}
	}
	return count
}
