package view

import (
	"slices"
	"time"
)

// Heartbeat is what members tell each other at a steady pace.
type Heartbeat struct {
	From          Member     `cbor:"1,keyasint"`
	Epoch         uint64     `cbor:"2,keyasint"`
	InitialMember bool       `cbor:"3,keyasint,omitempty"` // formatted at the system's first start, and no elector yet
	Unhealthy     bool       `cbor:"4,keyasint,omitempty"` // its disk makes no progress
	Restarted     bool       `cbor:"5,keyasint,omitempty"` // it has not taken part in the view of Epoch in this life
	LastIndex     uint64     `cbor:"7,keyasint,omitempty"` // newest entry of its log
	HeardFrom     []MemberID `cbor:"6,keyasint,omitempty"`
	Leaving       bool       `cbor:"8,keyasint,omitempty"` // it is to stop in order, and hands its place over
}

// Spans of the failure detector.
const (
	// heartbeatTimeout is how long a member may be silent before the chain goes on without it: four heartbeats. A
	// member that was only slow is taken in again at the cost of one more view.
	heartbeatTimeout = 450 * time.Millisecond
	// steadyFor is how long a member must have been heard before it is taken in again.
	steadyFor = 300 * time.Millisecond
	// replacementTimeout is how long an elector must be silent before a newcomer takes its place: longer
	// than a restart takes.
	replacementTimeout = 2500 * time.Millisecond
	// nearlyAll is how many entries a member may lack that joins the chain: they are sent in some milliseconds.
	nearlyAll = 400
	// rankDelay keeps proposers apart: each waits this much longer than the one before it.
	rankDelay = 150 * time.Millisecond
)

type peer struct {
	ping   Heartbeat
	at     time.Duration // last heard
	since  time.Duration // heard without a break since
	silent time.Duration // for electors never heard: since when it has been waited for
}

// Detector knows which members are alive, and which view they would make.
type Detector struct {
	me        Member
	leaving   bool // this member is to stop in order
	peers     map[MemberID]*peer
	least     int // members that a chain needs
	committed uint64
	wanted    time.Duration // since when another view has been wanted; -1: none is
	began     time.Duration
}

// NewDetector returns a detector that has heard of nobody, for chains of at least so many members.
func NewDetector(me Member, now time.Duration, least int) *Detector {
	return &Detector{me: me, least: least, peers: map[MemberID]*peer{}, wanted: -1, began: now}
}

// Leave enters that this member is to stop in order: the others go on without it as soon as they can.
func (d *Detector) Leave() { d.leaving = true }

// isLeaving reports whether a member has said that it is to stop.
func (d *Detector) isLeaving(id MemberID) bool {
	if id == d.me.ID {
		return d.leaving
	}
	p := d.peers[id]
	return p != nil && p.ping.Leaving
}

// ReceiveHeartbeat takes in a ping.
func (d *Detector) ReceiveHeartbeat(now time.Duration, ping Heartbeat) {
	p := d.peers[ping.From.ID]
	if p == nil {
		p = &peer{since: now}
		d.peers[ping.From.ID] = p
	} else if now-p.at > heartbeatTimeout {
		p.since = now
	}
	p.ping, p.at = ping, max(p.at, now)
}

// ConnectionRefused enters that nothing listens at a member's address: its process is gone.
func (d *Detector) ConnectionRefused(now time.Duration, id MemberID) {
	if p := d.peers[id]; p != nil {
		p.at = min(p.at, now-heartbeatTimeout-1)
	}
}

// HeardFrom lists who was heard lately.
func (d *Detector) HeardFrom(now time.Duration) []MemberID {
	list := []MemberID{}
	for _, id := range sortedIDs(d.peers) {
		if now-d.peers[id].at <= heartbeatTimeout {
			list = append(list, id)
		}
	}
	return list
}

// IsAlive reports whether both sides hear each other and the member's disk works.
func (d *Detector) IsAlive(now time.Duration, id MemberID) bool {
	return d.ExclusionReason(now, id) == ""
}

func (d *Detector) steady(now time.Duration, id MemberID) bool {
	return id == d.me.ID || d.IsAlive(now, id) && now-d.peers[id].since >= steadyFor
}

// caughtUp reports whether a member outside the chain lacks few entries.
func (d *Detector) caughtUp(id MemberID) bool {
	p := d.peers[id]
	return p != nil && p.ping.LastIndex+nearlyAll >= d.committed
}

func (d *Detector) silentFor(now time.Duration, id MemberID) time.Duration {
	if id == d.me.ID {
		return 0
	}
	if p := d.peers[id]; p != nil {
		return now - p.at
	}
	return now - d.began
}

// InitialElectors returns the electors of the very first view once all seeds are heard, or nil.
func (d *Detector) InitialElectors(now time.Duration, seeds []string) []Member {
	founders := []Member{}
	for _, seed := range seeds {
		for _, member := range d.heardMembers(now) {
			if member.Address == seed {
				founders = append(founders, member)
			}
		}
	}
	if len(founders) != len(seeds) || len(seeds) == 0 {
		return nil
	}
	return founders
}

func (d *Detector) heardMembers(now time.Duration) []Member {
	list := []Member{d.me}
	for _, id := range sortedIDs(d.peers) {
		if p := d.peers[id]; now-p.at <= heartbeatTimeout && p.ping.InitialMember && p.ping.Epoch == 0 {
			list = append(list, p.ping.From)
		}
	}
	return list
}

// DesiredView returns the view that should follow, and whose answers are expected. It is nil while the
// present one is as it should be, or while another member is to propose first.
//
// Committed is the newest committed entry known here: others join the chain once they have nearly all up to it,
// since nothing is acknowledged while a member lacks entries.
func (d *Detector) DesiredView(now time.Duration, view *View, restarted, stalled bool, committed uint64) (*View, []MemberID) {
	d.committed = committed
	if !view.IsElector(d.me.ID) || stalled {
		d.wanted = -1
		return nil, nil
	}
	expected := d.aliveElectors(now, view)
	if 2*len(expected) <= len(view.Electors) {
		d.wanted = -1
		return nil, nil
	}
	wish := d.wish(now, view)
	if !restarted && !d.anyRestarted(now, view) && sameMembers(wish.Chain, view.Chain) &&
		sameMembers(wish.Electors, view.Electors) {
		d.wanted = -1
		return nil, nil
	}
	if d.wanted < 0 {
		d.wanted = now
	}
	if now-d.wanted < rankDelay*time.Duration(d.rank(now, view)) {
		return nil, nil
	}
	return wish, expected
}

func (d *Detector) aliveElectors(now time.Duration, view *View) []MemberID {
	alive := []MemberID{}
	for _, elector := range view.Electors {
		if d.IsAlive(now, elector.ID) {
			alive = append(alive, elector.ID)
		}
	}
	return alive
}

// HasQuorum reports whether this member and more than half of the electors hear each other.
func (d *Detector) HasQuorum(now time.Duration, view *View) bool {
	return 2*len(d.aliveElectors(now, view)) > len(view.Electors)
}

// rank counts the live members that propose before this one: the chain in order, then other electors.
func (d *Detector) rank(now time.Duration, view *View) int {
	rank := 0
	for _, list := range [][]Member{view.Chain, view.Electors} {
		for _, member := range list {
			if member.ID == d.me.ID {
				return rank
			}
			if d.IsAlive(now, member.ID) {
				rank++
			}
		}
	}
	return rank
}

func (d *Detector) anyRestarted(now time.Duration, view *View) bool {
	for _, member := range view.Chain {
		if p := d.peers[member.ID]; p != nil && d.IsAlive(now, member.ID) && p.ping.Restarted &&
			p.ping.Epoch == view.Epoch {
			return true
		}
	}
	return false
}

func (d *Detector) wish(now time.Duration, view *View) *View {
	wish := &View{Electors: slices.Clone(view.Electors)}
	if view.Epoch == 0 {
		wish.Chain = slices.Clone(view.Electors)
		return wish
	}
	for _, member := range view.Chain {
		if d.IsAlive(now, member.ID) {
			wish.Chain = append(wish.Chain, member)
		}
	}
	for _, member := range view.Chain {
		if len(wish.Chain) < d.least && wish.ChainPosition(member.ID) < 0 && d.silentFor(now, member.ID) <= heartbeatTimeout {
			wish.Chain = append(wish.Chain, member) // a slow disk is better than none
		}
	}
	if len(wish.Chain) == 0 {
		wish.Chain = slices.Clone(view.Chain) // none of them may be heard yet; those who answer stay
	}
	d.replace(now, view, wish)
	for _, elector := range wish.Electors {
		if d.steady(now, elector.ID) && wish.ChainPosition(elector.ID) < 0 && !d.isLeaving(elector.ID) &&
			(d.caughtUp(elector.ID) || len(wish.Chain) < d.least) {
			wish.Chain = append(wish.Chain, elector)
		}
	}
	d.release(wish)
	return wish
}

// release takes leaving members out of a chain that is long enough without them.
func (d *Detector) release(wish *View) {
	if d.staying(wish.Chain) >= d.least {
		wish.Chain = slices.DeleteFunc(wish.Chain, func(m Member) bool { return d.isLeaving(m.ID) })
	}
}

// staying counts the members that are not to stop.
func (d *Detector) staying(members []Member) int {
	count := 0
	for _, member := range members {
		if !d.isLeaving(member.ID) {
			count++
		}
	}
	return count
}

// replace takes newcomers in as electors. One at the address of an elector is that machine with an
// empty disk, and takes its place at once. One from the first start extends the electors. Any other
// takes the place of an elector that is to stop, or that has been silent for long, one in its own zone first.
func (d *Detector) replace(now time.Duration, view *View, wish *View) {
	for _, id := range sortedIDs(d.peers) {
		newcomer := d.peers[id]
		if view.IsElector(id) || !d.steady(now, id) || d.isLeaving(id) {
			continue
		}
		if place := d.placeFor(now, wish, &newcomer.ping); place >= 0 {
			former := wish.Electors[place].ID
			wish.Electors[place] = newcomer.ping.From
			wish.Chain = slices.DeleteFunc(wish.Chain, func(m Member) bool { return m.ID == former })
		} else if newcomer.ping.InitialMember {
			wish.Electors = append(wish.Electors, newcomer.ping.From)
		}
	}
}

func (d *Detector) placeFor(now time.Duration, wish *View, newcomer *Heartbeat) int {
	best := -1
	for i, elector := range wish.Electors {
		if elector.Address == newcomer.From.Address {
			return i
		}
		if newcomer.InitialMember || d.silentFor(now, elector.ID) < replacementTimeout && !d.mayHandOver(wish, elector.ID, newcomer) {
			continue
		}
		if best < 0 || elector.Zone == newcomer.From.Zone && wish.Electors[best].Zone != newcomer.From.Zone {
			best = i
		}
	}
	return best
}

// mayHandOver reports whether a leaving elector may give its place to a newcomer now: only once the chain is long
// enough without it, since a member of the chain that is no elector falls out of the next view.
func (d *Detector) mayHandOver(wish *View, id MemberID, newcomer *Heartbeat) bool {
	if !d.isLeaving(id) {
		return false
	}
	staying := d.staying(wish.Chain)
	if d.caughtUp(newcomer.From.ID) {
		staying++
	}
	return staying >= d.least
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.ID == y.ID })
}

// ExclusionReason tells why a member doesn't count as alive, or "".
func (d *Detector) ExclusionReason(now time.Duration, id MemberID) string {
	p := d.peers[id]
	switch {
	case id == d.me.ID:
		return ""
	case p == nil:
		return "never heard"
	case now-p.at > heartbeatTimeout:
		return "silent"
	case p.ping.Unhealthy:
		return "disk makes no progress"
	case !slices.Contains(p.ping.HeardFrom, d.me.ID):
		return "does not hear this member"
	}
	return ""
}
