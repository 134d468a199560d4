// Package view agrees on the membership view of a cluster: the machines that form the chain, in order, and the electors,
// which decide the next view. Views are numbered by epoch. Each is decided by a majority of the electors of the previous
// view, with one instance of Paxos (Lamport, "The Part-Time Parliament", 1998) for each epoch: the electors are its
// acceptors, and any elector may propose.
//
// Consensus implements Paxos for one member. Detector is its failure detector, which derives the view to propose.
//
// The tests check the following invariants over every order of messages of a small case and in random walks:
//
//   - No two members put different views in force under one epoch.
//   - No two different views are proposed in Accept messages under one ballot of an epoch, not even by two incarnations of
//     a member.
//   - The head of each view after the first has had the complete log in some epoch, and has been a writer of each view
//     since then that has committed entries. So it has every acknowledged entry.
//   - A member that has promised, by a sealed promise, not to become complete in a view never becomes complete in it.
//
// A view becomes active once all its writers are complete in it; before that it commits nothing. If the machines that could
// head the next view are lost before the present one is active, a writer of an earlier configuration heads it, as in Vertical
// Paxos (Lamport, Malkhi and Zhou, "Vertical Paxos and Primary-Backup Replication", 2009). History has the configurations
// back to the last active one, and a proposal with Prepare.Seal obtains the proof that those between are not active.
//
// Safety rests on Paxos and on the durability of HardState, never on the detector: a wrong suspicion costs only a change of
// view. The package has no I/O, clock or randomness. It never moves log entries; package chain does. The safety argument is
// in docs/CONTROL-SAFETY.md.
package view

import "slices"

// MemberID identifies a machine's disk. A machine that has lost its disk is another member. No member has the ID 0.
type MemberID = uint64

// Member is one machine with its disk.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Node    string   `cbor:"2,keyasint"` // the machine's name
	Address string   `cbor:"3,keyasint"`
	Zone    string   `cbor:"4,keyasint"` // its failure domain
	// WriterSince is the epoch since which the member has been a writer of each view that has committed entries.
	WriterSince uint64 `cbor:"5,keyasint,omitempty"`
}

// View is a membership view. A decided view never changes.
type View struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Chain    []Member `cbor:"2,keyasint,omitempty"` // head first
	Electors []Member `cbor:"3,keyasint,omitempty"` // the acceptors that decide the next view
	// ReplicationFactor is the number of writers: members at the front of the chain that must have an entry durable before
	// it is committed. The members behind them are followers, which take part in everything else. 0 means all.
	ReplicationFactor int `cbor:"4,keyasint,omitempty"`
	// History lists the earlier configurations that may have committed entries. It is nil for the first view and for a view
	// that an earlier build proposed.
	History *History `cbor:"5,keyasint,omitempty"`
}

// WriterCount returns the number of members at the front of the chain that must have an entry durable before it is
// committed.
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

// writerIDs returns the IDs of the writers.
func (v *View) writerIDs() []MemberID {
	ids := make([]MemberID, v.WriterCount())
	for position := range ids {
		ids[position] = v.Chain[position].ID
	}
	return ids
}

// IsElector reports whether the member takes part in deciding the next view.
func (v *View) IsElector(id MemberID) bool {
	return slices.ContainsFunc(v.Electors, func(m Member) bool { return m.ID == id })
}

// isMajority reports whether the given number of electors is more than half of them.
func (v *View) isMajority(electors int) bool { return 2*electors > len(v.Electors) }

// replicationFactor returns the number of writers of a chain: at least minMembers, and enough that every majority of the
// electors contains a writer, since only a writer may become the head of the next view.
func replicationFactor(minMembers, electors int) int { return max(minMembers, electors-electors/2) }

// setWriterSince sets WriterSince of each member: a writer that was also one in the previous view keeps its value, any other
// member gets the epoch of this view.
func (v *View) setWriterSince(previous *View) {
	for position := range v.Chain {
		member := &v.Chain[position]
		member.WriterSince = v.Epoch
		if position < v.WriterCount() && previous.IsWriter(member.ID) {
			member.WriterSince = previous.Chain[previous.ChainPosition(member.ID)].WriterSince
		}
	}
}

// moveToHead makes a member the head of the chain, whether or not it is in the chain already.
func (v *View) moveToHead(member Member) {
	others := slices.DeleteFunc(slices.Clone(v.Chain), func(m Member) bool { return m.ID == member.ID })
	v.Chain = slices.Insert(others, 0, member)
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.ID == y.ID })
}

// sortedIDs returns the keys of a map in ascending order, so that no decision depends on the iteration order.
func sortedIDs[V any](m map[MemberID]V) []MemberID {
	ids := make([]MemberID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
