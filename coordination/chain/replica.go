// Package chain replicates an ordered log along a chain of replicas, after chain replication by van Renesse and
// Schneider (OSDI 2004). The head orders the entries and forwards them immediately; all members write them to disk in
// parallel.
//
// In contrast to the paper, only the first View.WriterCount members of the chain are writers. The last writer is the
// tail in the sense of the paper: it commits an entry once it knows that the entry is durable at all writers. Reads also
// pass through all writers, so that a replica that was replaced can't answer a read from an old state. The members after
// the writers are followers: they receive all entries and commit indexes, and neither commits nor reads wait for them.
//
// The tests check these invariants in simulations with crashes, late messages and planted faults:
//
//   - An entry is committed only when it is durable at every writer of the view, and only in a chain that has at least
//     the minimum number of members. So the entry is also in each later view, because the head of a later view is a
//     former writer with its complete log.
//   - Two replicas never commit different entries at the same index. A replica that receives an entry which contradicts
//     the committed part of its log stops taking part in the chain (see Divergence); it discards neither history.
//   - A read is answered from a state that contains all entries that were committed when the read was submitted.
//   - A member accepts messages only of its own epoch and only from its direct neighbours in the chain.
//
// A Replica does no I/O and uses neither a clock nor random numbers: the host passes views, messages and the completion
// of writes to it, and carries out what Ready returns. The membership is decided by package view, not by this package.
// docs/CONTROL-SAFETY.md has the safety argument.
//
// A Replica is not safe for concurrent use.
package chain

import "slices"

// MemberID identifies the disk of a replica: a replica that has lost its disk gets a new ID. 0 stands for no member.
type MemberID = uint64

// View is the part of the current membership that the chain needs. The members agree on it through package view.
type View struct {
	Epoch   uint64
	Members []MemberID // head first
	// WriterCount is the number of members, counted from the head, at which an entry must be durable before it is
	// committed; 0: all members.
	WriterCount int
}

// Replica is a member of the chain, or a replica outside the chain that catches up with it.
type Replica struct {
	id MemberID
	// minMembers is the number of members that a chain needs to commit entries: one more than the number of lost disks
	// that the log has to survive.
	minMembers int

	view       View
	position   int // in view.Members; -1: not a member
	viewLog    viewLog
	divergence *Divergence // not nil: this replica no longer takes part in the chain

	log        replicaLog
	successor  successorProgress
	reads      readQueues
	compaction *compaction // pending until the successor has the entries; nil: none

	ready   Ready
	sendDue bool // the next Ready sends an Append to the successor
	ackDue  bool // the next Ready sends an Ack to the predecessor
}

// New returns a replica with the log that was read from its disk; commitIndex is the highest index known to be committed.
// The replica is outside the chain until SetView is called. minMembers is the number of members that a chain needs to commit
// entries.
func New(id MemberID, minMembers int, base Snapshot, log []Entry, commitIndex uint64) *Replica {
	r := &Replica{id: id, minMembers: minMembers, position: -1, log: replicaLog{snapshotIndex: base.Index,
		snapshotEpoch: base.IndexEpoch, snapshotData: base.Data, entries: log}}
	r.log.durableIndex = r.log.lastIndex()
	r.log.commitIndex = max(base.Index, min(commitIndex, r.log.lastIndex()))
	return r
}

// LastIndex returns the index of the last entry, which may be neither committed nor durable yet.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// CommitIndex returns the highest index that this replica knows to be committed.
func (r *Replica) CommitIndex() uint64 { return r.log.commitIndex }

// EpochAt returns the epoch of the entry at an index, or 0 if this replica does not have that entry. The host stores the
// epoch with a snapshot of the state after the entry.
func (r *Replica) EpochAt(index uint64) uint64 { return r.log.epochAt(index) }

// Epoch returns the epoch of this replica's current view.
func (r *Replica) Epoch() uint64 { return r.view.Epoch }

// IsHead reports whether this replica is the head of the chain, which orders the entries.
func (r *Replica) IsHead() bool { return r.position == 0 }

// IsMember reports whether this replica is a member of the chain.
func (r *Replica) IsMember() bool { return r.position >= 0 }

// IsComplete reports whether the complete log with which the view began is durable at this replica.
func (r *Replica) IsComplete() bool { return r.viewLog.complete }

// IsServing reports whether this replica's state keeps up with the committed entries: it is a complete member of a chain
// with enough members to commit, and it knows that all entries with which the view began are committed.
func (r *Replica) IsServing() bool {
	return r.divergence == nil && r.IsMember() && r.viewLog.complete && len(r.view.Members) >= r.minMembers &&
		r.log.commitIndex >= r.viewLog.start
}

// Head returns the head of the current view, or 0 if the view has no members.
func (r *Replica) Head() MemberID {
	if len(r.view.Members) == 0 {
		return 0
	}
	return r.view.Members[0]
}

// SetView makes a newer view the current one; it ignores views that are not newer. It resets what this replica has learned
// of the logs of other members, since the log of the new predecessor may differ. It also drops all reads that have
// not returned to their origins yet; the origins submit them again.
func (r *Replica) SetView(view View) {
	if view.Epoch <= r.view.Epoch {
		return
	}
	r.view = View{view.Epoch, slices.Clone(view.Members), view.WriterCount}
	r.position = slices.Index(view.Members, r.id)
	r.viewLog = viewLog{}
	r.successor = successorProgress{next: r.log.lastIndex() + 1}
	r.reads = readQueues{}
	if r.IsHead() {
		r.viewLog = viewLog{received: r.log.lastIndex(), start: r.log.lastIndex(), startKnown: true}
		r.sendDue = true
	}
	r.announceView()
	r.advance()
}

// Withdraw ends this replica's part in the current view, which must have the given epoch, as a restart would: from now on it
// confirms nothing, passes no reads and sends no message in that view. The next view ends the withdrawal.
func (r *Replica) Withdraw(epoch uint64) {
	if epoch != r.view.Epoch {
		return
	}
	r.position = -1
	r.viewLog = viewLog{}
	r.reads = readQueues{}
	r.ready.Messages, r.ready.PersistCompleteness = nil, false
}

// Propose appends new entries to the log at the head, and starts reads, in the order given. It returns false and does
// nothing if this replica is not the head or has diverged.
func (r *Replica) Propose(proposals []Proposal) bool {
	if !r.IsHead() || r.divergence != nil {
		return false
	}
	var entries []Entry
	for _, proposal := range proposals {
		if proposal.Read {
			r.reads.pending = append(r.reads.pending, Read{proposal.Origin, proposal.Tag, r.log.lastIndex()})
			continue
		}
		entry := Entry{r.log.lastIndex() + 1, r.view.Epoch, proposal.Origin, proposal.Tag, proposal.Data}
		r.log.append(entry)
		entries = append(entries, entry)
	}
	if len(entries) > 0 {
		r.viewLog.received = r.log.lastIndex()
		r.write(entries)
	}
	r.sendDue = true
	r.advance()
	return true
}

// writerCount returns the number of members, counted from the head, at which an entry must be durable before it is
// committed.
func (r *Replica) writerCount() int {
	if r.view.WriterCount == 0 {
		return len(r.view.Members)
	}
	return min(r.view.WriterCount, len(r.view.Members))
}

// isTail reports whether this replica is the last writer, which commits entries.
func (r *Replica) isTail() bool { return r.IsMember() && r.position == r.writerCount()-1 }

// isFollower reports whether this replica comes after the writers in the chain, so that no commit or read waits for it.
func (r *Replica) isFollower() bool { return r.position >= r.writerCount() }

// successorID returns the next member of the chain, or 0 if there is none.
func (r *Replica) successorID() MemberID {
	if !r.IsMember() || r.position == len(r.view.Members)-1 {
		return 0
	}
	return r.view.Members[r.position+1]
}

// predecessorID returns the previous member of the chain, or 0 if there is none.
func (r *Replica) predecessorID() MemberID {
	if r.position <= 0 {
		return 0
	}
	return r.view.Members[r.position-1]
}
