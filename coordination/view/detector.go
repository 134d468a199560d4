package view

import (
	"slices"
	"time"
)

// Heartbeat is what members send to each other at a steady pace, 100 ms.
type Heartbeat struct {
	From  Member `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"` // of the view in force at the sender
	// InitialMember: formatted at the system's first start, and no elector yet.
	InitialMember bool       `cbor:"3,keyasint,omitempty"`
	Unhealthy     bool       `cbor:"4,keyasint,omitempty"` // the chain had better do without the sender, as with a slow disk
	Restarted     bool       `cbor:"5,keyasint,omitempty"` // this incarnation has not taken part in the view of Epoch
	LastIndex     uint64     `cbor:"7,keyasint,omitempty"` // newest entry of the sender's log
	HeardFrom     []MemberID `cbor:"6,keyasint,omitempty"` // lately
	Leaving       bool       `cbor:"8,keyasint,omitempty"` // a graceful shutdown: the sender hands its position over
}

// Times of the failure detector.
const (
	// heartbeatTimeout is how long a member may be silent before the chain goes on without it: four heartbeats. A
	// member that was only slow is taken in again at the cost of one more view.
	heartbeatTimeout = 450 * time.Millisecond
	// steadyAfter is how long a member must have been heard without a break before it is taken in, so that a
	// flapping connection does not cost a view each time.
	steadyAfter = 300 * time.Millisecond
)

// notWanted stands for a time: the present view is as it should be. Times of the clock are never negative.
const notWanted = time.Duration(-1)

// peerState is what is known of another member.
type peerState struct {
	heartbeat  Heartbeat     // the latest
	heardAt    time.Duration // when it came
	heardSince time.Duration // heard without a break since
}

// Detector knows which members are alive, and which view they would make. Times are handed in, on any steady clock.
// It is not safe for concurrent use.
type Detector struct {
	self      Member
	leaving   bool // this member is shutting down gracefully
	peers     map[MemberID]*peerState
	minimum   int // members that a chain needs to commit anything
	startedAt time.Duration
	// wantedSince is since when another view has been wanted without a break, or notWanted.
	wantedSince time.Duration
}

// NewDetector returns a detector that has heard from nobody, for chains of at least minimum members.
func NewDetector(self Member, now time.Duration, minimum int) *Detector {
	return &Detector{self: self, minimum: minimum, peers: map[MemberID]*peerState{}, wantedSince: notWanted, startedAt: now}
}

// Leave notes that this member is shutting down gracefully: the others go on without it as soon as they can.
func (d *Detector) Leave() { d.leaving = true }

// ReceiveHeartbeat takes in a heartbeat.
func (d *Detector) ReceiveHeartbeat(now time.Duration, heartbeat Heartbeat) {
	p := d.peers[heartbeat.From.ID]
	if p == nil {
		p = &peerState{heardSince: now}
		d.peers[heartbeat.From.ID] = p
	} else if now-p.heardAt > heartbeatTimeout {
		p.heardSince = now
	}
	p.heartbeat, p.heardAt = heartbeat, max(p.heardAt, now)
}

// ConnectionRefused notes that nothing listens at a member's address: its process is gone, and counts as silent at
// once.
func (d *Detector) ConnectionRefused(now time.Duration, id MemberID) {
	if p := d.peers[id]; p != nil {
		p.heardAt = min(p.heardAt, now-heartbeatTimeout-1)
	}
}

// HeardFrom lists the members that were heard within heartbeatTimeout, by rising ID.
func (d *Detector) HeardFrom(now time.Duration) []MemberID {
	ids := []MemberID{}
	for _, id := range sortedIDs(d.peers) {
		if d.hears(now, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *Detector) hears(now time.Duration, id MemberID) bool {
	return now-d.peers[id].heardAt <= heartbeatTimeout
}

// IsAlive reports whether both sides hear each other and the member is healthy.
func (d *Detector) IsAlive(now time.Duration, id MemberID) bool { return d.suspicion(now, id) == "" }

// ExclusionReason returns why the chain goes on without a member, for the log, or "".
func (d *Detector) ExclusionReason(now time.Duration, id MemberID) string {
	if suspicion := d.suspicion(now, id); suspicion != "" {
		return suspicion
	}
	if d.isLeaving(id) {
		return "is shutting down"
	}
	return ""
}

// suspicion returns why a member doesn't count as alive, or "".
func (d *Detector) suspicion(now time.Duration, id MemberID) string {
	p := d.peers[id]
	switch {
	case id == d.self.ID:
		return ""
	case p == nil:
		return "never heard"
	case !d.hears(now, id):
		return "silent"
	case p.heartbeat.Unhealthy:
		return "reports itself as unhealthy"
	case !slices.Contains(p.heartbeat.HeardFrom, d.self.ID):
		return "does not hear this member"
	}
	return ""
}

// isSteady reports whether a member has been heard long enough to be taken in.
func (d *Detector) isSteady(now time.Duration, id MemberID) bool {
	return id == d.self.ID || d.IsAlive(now, id) && now-d.peers[id].heardSince >= steadyAfter
}

// silentFor returns how long a member has been silent; one that was never heard, since this detector began.
func (d *Detector) silentFor(now time.Duration, id MemberID) time.Duration {
	if id == d.self.ID {
		return 0
	}
	if p := d.peers[id]; p != nil {
		return now - p.heardAt
	}
	return now - d.startedAt
}

// isLeaving reports whether a member has said that it is shutting down.
func (d *Detector) isLeaving(id MemberID) bool {
	if id == d.self.ID {
		return d.leaving
	}
	p := d.peers[id]
	return p != nil && p.heartbeat.Leaving
}

// HasQuorum reports whether this member and more than half of the electors hear each other.
func (d *Detector) HasQuorum(now time.Duration, view *View) bool {
	return view.isMajority(len(d.aliveElectors(now, view)))
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

// InitialElectors returns the electors of the very first view once the machines at all seed addresses are heard, or
// nil. They are in the order of the seeds.
func (d *Detector) InitialElectors(now time.Duration, seeds []string) []Member {
	electors := []Member{}
	for _, seed := range seeds {
		for _, member := range d.initialMembers(now) {
			if member.Address == seed {
				electors = append(electors, member)
			}
		}
	}
	if len(electors) != len(seeds) || len(seeds) == 0 {
		return nil
	}
	return electors
}

// initialMembers lists this member and those heard that were formatted at the system's first start.
func (d *Detector) initialMembers(now time.Duration) []Member {
	members := []Member{d.self}
	for _, id := range d.HeardFrom(now) {
		if heartbeat := &d.peers[id].heartbeat; heartbeat.InitialMember && heartbeat.Epoch == 0 {
			members = append(members, heartbeat.From)
		}
	}
	return members
}
