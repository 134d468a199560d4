package view

import (
	"slices"
	"time"
)

// Heartbeat is the message that members send to each other every 100 ms.
type Heartbeat struct {
	From  Member `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"` // of the view in force at the sender
	// InitialMember is true if the sender was formatted at the system's first start and has not been an elector yet.
	InitialMember bool       `cbor:"3,keyasint,omitempty"`
	Unhealthy     bool       `cbor:"4,keyasint,omitempty"` // the chain should exclude the sender, as with a slow disk
	Restarted     bool       `cbor:"5,keyasint,omitempty"` // the sender takes no part in the view of Epoch
	LastIndex     uint64     `cbor:"7,keyasint,omitempty"` // index of the newest entry of the sender's log
	HeardFrom     []MemberID `cbor:"6,keyasint,omitempty"` // within heartbeatTimeout
	Leaving       bool       `cbor:"8,keyasint,omitempty"` // the sender is shutting down and hands its position over
	// CompleteEpoch is the last epoch in which the sender had the chain's complete log, as in HardState.
	CompleteEpoch uint64 `cbor:"9,keyasint,omitempty"`
}

// Timeouts of the failure detector.
const (
	// heartbeatTimeout is the time that a member may be silent before the chain excludes it: four heartbeats. A member
	// that was only slow is added again at the cost of one more view.
	heartbeatTimeout = 450 * time.Millisecond
	// steadyAfter is the time that a member must have been heard without a break before it is added, so that a flapping
	// connection does not cost a view each time.
	steadyAfter = 300 * time.Millisecond
)

// noTime is the value of desiredSince while no change of the view is desired. Times of the clock are never negative.
const noTime = time.Duration(-1)

// peerState is the detector's state of another member.
type peerState struct {
	heartbeat  Heartbeat     // the latest one received
	heardAt    time.Duration // time of the latest heartbeat
	heardSince time.Duration // start of the current period without a break longer than heartbeatTimeout
}

// Detector tracks which members are alive and derives the desired view from it. Callers pass the time, on any monotonic
// clock. It is not safe for concurrent use.
type Detector struct {
	self       Member
	leaving    bool // this member is shutting down gracefully
	peers      map[MemberID]*peerState
	minMembers int // members that a chain needs to commit anything
	startedAt  time.Duration
	// activeEpoch is an epoch of which it is known that a view of this or a later epoch was active.
	activeEpoch uint64
	// desiredSince is the time since which a change of the view has been desired without a break, or noTime.
	desiredSince time.Duration
}

// NewDetector returns a detector without any heartbeats, for chains of at least minMembers members.
func NewDetector(self Member, now time.Duration, minMembers int) *Detector {
	return &Detector{self: self, minMembers: minMembers, peers: map[MemberID]*peerState{}, desiredSince: noTime,
		startedAt: now}
}

// Leave records that this member is shutting down gracefully: the chain excludes it as soon as it is long enough without
// it.
func (d *Detector) Leave() { d.leaving = true }

// ReceiveHeartbeat handles a heartbeat from another member.
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

// ConnectionRefused records that no process listens at a member's address: its process has ended, so the member counts as
// silent at once.
func (d *Detector) ConnectionRefused(now time.Duration, id MemberID) {
	if p := d.peers[id]; p != nil {
		p.heardAt = min(p.heardAt, now-heartbeatTimeout-1)
	}
}

// HeardFrom lists the members heard within heartbeatTimeout, in ascending order of ID.
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

// RecordActive records that a view of an epoch, or a later view, is known to have been active.
func (d *Detector) RecordActive(epoch uint64) { d.activeEpoch = max(d.activeEpoch, epoch) }

// IncompleteWriters returns the writers of a view that are not known to be complete in it. This member was last complete in
// the given epoch. If there are none, the view is recorded as active.
func (d *Detector) IncompleteWriters(view *View, ownCompleteEpoch uint64) []Member {
	var incomplete []Member
	if d.isActive(view) {
		return nil
	}
	for _, writer := range view.Chain[:view.WriterCount()] {
		completeEpoch := ownCompleteEpoch
		if writer.ID != d.self.ID {
			completeEpoch = 0
			if p := d.peers[writer.ID]; p != nil {
				completeEpoch = p.heartbeat.CompleteEpoch
			}
		}
		if completeEpoch < view.Epoch {
			incomplete = append(incomplete, writer)
		}
	}
	if len(incomplete) == 0 {
		d.RecordActive(view.Epoch)
	}
	return incomplete
}

// ActiveEpoch returns the highest epoch that is known to have had an active view, or to be lower than that of one.
func (d *Detector) ActiveEpoch() uint64 { return d.activeEpoch }

// isActive reports whether a view is known to be active.
func (d *Detector) isActive(view *View) bool { return d.activeEpoch >= view.Epoch }

// IsAlive reports whether a member and this one hear each other and the member is healthy.
func (d *Detector) IsAlive(now time.Duration, id MemberID) bool { return d.suspicion(now, id) == "" }

// ExclusionReason returns the reason, for the log, why the chain excludes a member, or "" if there is none.
func (d *Detector) ExclusionReason(now time.Duration, id MemberID) string {
	if suspicion := d.suspicion(now, id); suspicion != "" {
		return suspicion
	}
	if d.isLeaving(id) {
		return "is shutting down"
	}
	return ""
}

// suspicion returns the reason why a member doesn't count as alive, or "" if it does.
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

// isSteady reports whether a member has been alive and heard long enough to be added.
func (d *Detector) isSteady(now time.Duration, id MemberID) bool {
	return id == d.self.ID || d.IsAlive(now, id) && now-d.peers[id].heardSince >= steadyAfter
}

// silentFor returns the time since a member's last heartbeat or, if there was none, since the detector started.
func (d *Detector) silentFor(now time.Duration, id MemberID) time.Duration {
	if id == d.self.ID {
		return 0
	}
	if p := d.peers[id]; p != nil {
		return now - p.heardAt
	}
	return now - d.startedAt
}

// isLeaving reports whether a member has announced that it is shutting down.
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

// InitialElectors returns the electors that decide the first view, in the order of the seeds, or nil until the members
// at all seed addresses are known.
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

// initialMembers lists this member and the members it hears that were formatted at the system's first start and have no
// view yet.
func (d *Detector) initialMembers(now time.Duration) []Member {
	members := []Member{d.self}
	for _, id := range d.HeardFrom(now) {
		if heartbeat := &d.peers[id].heartbeat; heartbeat.InitialMember && heartbeat.Epoch == 0 {
			members = append(members, heartbeat.From)
		}
	}
	return members
}
