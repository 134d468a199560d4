// Package view keeps the agreed membership view of a cluster: which machines form the chain, in which order, and
// which machines may agree on the next view. Views are numbered by epoch. Each is decided by a majority of the
// electors that the view before names, by one instance of Paxos (Lamport, "The Part-Time Parliament", 1998) for each
// epoch: the electors are its acceptors, and any elector may propose.
//
// Consensus is a member's part in Paxos; Detector is its failure detector, which says which view to propose.
//
// Invariants, which the tests check over every order of a small case and in random walks:
//
//   - No two members put different views in force under one epoch.
//   - No two views are ever asked to be accepted under one ballot of an epoch, also by two incarnations of a member.
//   - Each view after the first is headed by a writer of the view before that had its complete log. So the head has all
//     that was ever acknowledged.
//
// Safety rests on Paxos and on what HardState makes durable, never on the detector: a wrong suspicion costs a view.
// The package has no I/O, clock or randomness, and it never moves log entries; package chain does.
// docs/CONTROL-SAFETY.md has the argument.
package view

import "slices"

// MemberID names a machine's disk. A machine that has lost its disk is another member. 0 is nobody.
type MemberID = uint64

// Member is one machine with its disk.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Node    string   `cbor:"2,keyasint"` // the machine's name
	Address string   `cbor:"3,keyasint"`
	Zone    string   `cbor:"4,keyasint"` // its failure domain
	// WriterSince is the epoch since which the member has been among the chain's writers without a break.
	WriterSince uint64 `cbor:"5,keyasint,omitempty"`
}

// View is one membership view. A decided view never changes.
type View struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Chain    []Member `cbor:"2,keyasint,omitempty"` // head first
	Electors []Member `cbor:"3,keyasint,omitempty"` // the acceptors that decide the next view
	// ReplicationFactor is how many members at the front of the chain, its writers, must have an entry durable before
	// it is committed. Those behind them follow: they take part in everything else. 0 stands for all.
	ReplicationFactor int `cbor:"4,keyasint,omitempty"`
}

// WriterCount returns how many members at the front of the chain must have an entry before it is committed.
func (v *View) WriterCount() int {
	if v.ReplicationFactor == 0 {
		return len(v.Chain)
	}
	return min(v.ReplicationFactor, len(v.Chain))
}

// IsWriter reports whether each entry that is committed in this view must be durable at the member.
func (v *View) IsWriter(id MemberID) bool {
	position := v.ChainPosition(id)
	return position >= 0 && position < v.WriterCount()
}

// ChainPosition returns the member's position in the chain, 0 for the head, or -1.
func (v *View) ChainPosition(id MemberID) int {
	return slices.IndexFunc(v.Chain, func(m Member) bool { return m.ID == id })
}

// IsElector reports whether the member takes part in deciding the next view.
func (v *View) IsElector(id MemberID) bool {
	return slices.ContainsFunc(v.Electors, func(m Member) bool { return m.ID == id })
}

// isMajority reports whether so many electors are more than half of them.
func (v *View) isMajority(electors int) bool { return 2*electors > len(v.Electors) }

// replicationFactor returns how many writers a chain has: as many as a chain needs at least, and so many that every
// majority of the electors has one of them, since only a writer may head the next view.
func replicationFactor(minimum, electors int) int { return max(minimum, electors-electors/2) }

// setWriterSince enters for each member since when it has been a writer without a break, which the view before shows.
func (v *View) setWriterSince(previous *View) {
	for position := range v.Chain {
		member := &v.Chain[position]
		member.WriterSince = v.Epoch
		if position < v.WriterCount() && previous.IsWriter(member.ID) {
			member.WriterSince = previous.Chain[previous.ChainPosition(member.ID)].WriterSince
		}
	}
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.ID == y.ID })
}

// sortedIDs returns a map's keys in rising order, so that no decision depends on the order of a map.
func sortedIDs[V any](m map[MemberID]V) []MemberID {
	ids := make([]MemberID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
