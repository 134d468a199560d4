package view

import (
	"slices"
	"time"
)

// Bounds of which view the detector asks for.
const (
	// replacementTimeout is how long an elector must be silent before a newcomer takes its place: longer than a
	// restart takes, since a replaced elector that comes back has no vote any more.
	replacementTimeout = 2500 * time.Millisecond
	// maxLag is how many entries a member may lack that joins the chain: they are sent in some milliseconds. Nothing
	// is committed while a member of the chain lacks entries.
	maxLag = 400
	// proposerStagger keeps proposers from outbidding each other: each waits this much longer than the live one
	// before it.
	proposerStagger = 150 * time.Millisecond
)

// DesiredView returns the view that should follow, and whose promises are expected. It is nil while the present one
// is as it should be, or while another member is to propose first.
//
// Restarted and unhealthy are this member's own state, as in its Heartbeat. CommitIndex is the newest committed entry
// known here: others join the chain once they have nearly all up to it.
func (d *Detector) DesiredView(now time.Duration, view *View, restarted, unhealthy bool, commitIndex uint64) (*View, []MemberID) {
	expected := d.aliveElectors(now, view)
	if !view.IsElector(d.self.ID) || unhealthy || !view.isMajority(len(expected)) {
		d.wantedSince = notWanted
		return nil, nil
	}
	desired := newViewPlan(d, now, view, commitIndex).build()
	unchanged := sameMembers(desired.Chain, view.Chain) && sameMembers(desired.Electors, view.Electors)
	// A member that has restarted takes no part in the view it was in, so even the same members need another one.
	if unchanged && !restarted && !d.anyRestarted(now, view) {
		d.wantedSince = notWanted
		return nil, nil
	}
	if d.wantedSince == notWanted {
		d.wantedSince = now
	}
	if now-d.wantedSince < proposerStagger*time.Duration(d.proposerRank(now, view)) {
		return nil, nil
	}
	return desired, expected
}

// proposerRank counts the live members that propose before this one: the chain in order, then other electors.
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

// anyRestarted reports whether a live member of the chain has restarted within the view.
func (d *Detector) anyRestarted(now time.Duration, view *View) bool {
	for _, member := range view.Chain {
		if p := d.peers[member.ID]; p != nil && d.IsAlive(now, member.ID) && p.heartbeat.Restarted &&
			p.heartbeat.Epoch == view.Epoch {
			return true
		}
	}
	return false
}

// viewPlan makes one desired view, from the present one and what the detector knows at one moment.
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

// keepPresentMembers keeps the live members of the present chain, and others that are heard where these are too few to
// commit anything.
func (p *viewPlan) keepPresentMembers() {
	for _, member := range p.present.Chain {
		if p.IsAlive(p.now, member.ID) {
			p.chain = append(p.chain, member)
		}
	}
	for _, member := range p.present.Chain {
		if len(p.chain) < p.minimum && !p.inChain(member.ID) && p.silentFor(p.now, member.ID) <= heartbeatTimeout {
			p.chain = append(p.chain, member) // a slow disk is better than none
		}
	}
	if len(p.chain) == 0 {
		p.chain = slices.Clone(p.present.Chain) // none of them may be heard yet; those who answer stay
	}
}

func (p *viewPlan) inChain(id MemberID) bool {
	return slices.ContainsFunc(p.chain, func(m Member) bool { return m.ID == id })
}

// replaceElectors takes newcomers in as electors. One at the address of an elector is that machine with an empty
// disk, and takes its place at once. One from the first start extends the electors. Any other takes the place of an
// elector that is leaving, or that has been silent for replacementTimeout, one in its own zone first. Electors are
// swapped one for one and never only added, so that a majority stays in reach.
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

// electorToReplace returns which elector a newcomer takes the place of, or -1.
func (p *viewPlan) electorToReplace(newcomer *Heartbeat) int {
	best := -1
	for i, elector := range p.electors {
		if elector.Address == newcomer.From.Address {
			return i
		}
		isGone := p.silentFor(p.now, elector.ID) >= replacementTimeout || p.mayHandOver(elector.ID, newcomer)
		if newcomer.InitialMember || !isGone {
			continue
		}
		if best < 0 || elector.Zone == newcomer.From.Zone && p.electors[best].Zone != newcomer.From.Zone {
			best = i
		}
	}
	return best
}

// mayHandOver reports whether a leaving elector may give its place to a newcomer now: only once the chain is long
// enough without it, since a member of the chain that is no elector falls out of the next view.
func (p *viewPlan) mayHandOver(id MemberID, newcomer *Heartbeat) bool {
	if !p.isLeaving(id) {
		return false
	}
	staying := p.stayingInChain()
	if p.isCaughtUp(newcomer.From.ID) {
		staying++
	}
	return staying >= p.minimum
}

// addElectorsToChain appends electors that have nearly all of the log, or any while the chain is too short.
func (p *viewPlan) addElectorsToChain() {
	for _, elector := range p.electors {
		if p.isSteady(p.now, elector.ID) && !p.inChain(elector.ID) && !p.isLeaving(elector.ID) &&
			(p.isCaughtUp(elector.ID) || len(p.chain) < p.minimum) {
			p.chain = append(p.chain, elector)
		}
	}
}

// isCaughtUp reports whether a member outside the chain lacks few entries.
func (p *viewPlan) isCaughtUp(id MemberID) bool {
	peer := p.peers[id]
	return peer != nil && peer.heartbeat.LastIndex+maxLag >= p.commitIndex
}

// releaseLeaving takes leaving members out of a chain that is long enough without them.
func (p *viewPlan) releaseLeaving() {
	if p.stayingInChain() >= p.minimum {
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
