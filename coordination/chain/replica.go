// Package chain replicates an ordered log along a chain of replicas, after chain replication by van Renesse and
// Schneider (OSDI 2004). The head gives entries their order and passes them on at once; every member makes them
// durable in parallel.
//
// Beyond the paper, only the first members of the chain are its writers, as many as the view asks for. The last
// writer is the tail in the sense of the paper: it commits an entry once it knows that all writers have it durable.
// Reads pass all writers too, so that a replica that was replaced can't answer one from an old state. The members
// behind the writers are followers: they receive each entry and each commit, and nothing waits for them.
//
// Invariants, which the tests check in simulations of losses, late messages and planted faults:
//
//   - An entry is committed only when every writer of the view has it durable, and never in a chain that has fewer
//     members than the minimum. So each later view, headed by a former writer with its complete log, has it too.
//   - Two replicas never commit different entries at one index. A replica whose log is contradicted where it is known
//     to be committed stops taking part (Divergence) instead of dropping either history.
//   - A read is answered from a state that holds all that was committed when the read was asked.
//   - Members take messages of their own epoch and of their direct neighbours only.
//
// A Replica has no I/O, clock or randomness: the host hands it views, messages and finished writes, and carries out
// what Ready returns. It never decides who is a member; package view does. docs/CONTROL-SAFETY.md has the argument.
//
// A Replica is not safe for concurrent use.
package chain

import "slices"

// MemberID names a replica's disk; a replica that has lost its disk has another one. 0 is nobody.
type MemberID = uint64

// View is the membership in force, as far as the chain needs it. Package view agrees on it.
type View struct {
	Epoch   uint64
	Members []MemberID // head first
	// WriterCount is how many members at the front must have an entry durable before it is committed; 0: all.
	WriterCount int
}

// Replica is one member of the chain, or a replica that catches up outside of it.
type Replica struct {
	id MemberID
	// minimum is how many members a chain needs to commit anything: one more than the disk losses to be survived.
	minimum int

	view       View
	position   int // in view.Members; -1: not a member
	viewLog    viewLog
	divergence *Divergence // set: this replica takes no part any more

	log        replicaLog
	successor  successorProgress
	reads      readQueues
	compaction *compaction // waits for the successor

	ready   Ready
	sendDue bool // the successor is to get an Append
	ackDue  bool // the predecessor is to get an Ack
}

// New returns a replica with the log that its disk held, and up to which index that is known to be committed. It
// takes part in nothing before SetView. Minimum is how many members a chain needs to commit anything.
func New(id MemberID, minimum int, base Snapshot, log []Entry, commitIndex uint64) *Replica {
	r := &Replica{id: id, minimum: minimum, position: -1, log: replicaLog{snapshotIndex: base.Index,
		snapshotEpoch: base.IndexEpoch, snapshotData: base.Data, entries: log}}
	r.log.durableIndex = r.log.lastIndex()
	r.log.commitIndex = max(base.Index, min(commitIndex, r.log.lastIndex()))
	return r
}

// LastIndex returns the index of the last entry, which need not be committed or durable.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// CommitIndex returns the index up to which entries are committed as far as this replica knows.
func (r *Replica) CommitIndex() uint64 { return r.log.commitIndex }

// EpochAt returns the epoch of an entry that is here, or 0. The host stores it with a snapshot of that entry.
func (r *Replica) EpochAt(index uint64) uint64 { return r.log.epochAt(index) }

// Epoch returns the epoch of the view in force here.
func (r *Replica) Epoch() uint64 { return r.view.Epoch }

// IsHead reports whether this replica orders entries.
func (r *Replica) IsHead() bool { return r.position == 0 }

// IsMember reports whether this replica is part of the chain.
func (r *Replica) IsMember() bool { return r.position >= 0 }

// IsComplete reports whether the complete log with which the view began is durable here.
func (r *Replica) IsComplete() bool { return r.viewLog.complete }

// IsServing reports whether the replica's state follows what is committed: it is a complete member of a chain that is
// long enough to commit, and knows that all entries of the view's beginning are committed.
func (r *Replica) IsServing() bool {
	return r.divergence == nil && r.IsMember() && r.viewLog.complete && len(r.view.Members) >= r.minimum &&
		r.log.commitIndex >= r.viewLog.start
}

// Head returns the head of the view, or 0.
func (r *Replica) Head() MemberID {
	if len(r.view.Members) == 0 {
		return 0
	}
	return r.view.Members[0]
}

// SetView puts a newer view in force; an older one has no effect. All that was learned of other members' logs is
// void, since the new predecessor's log may differ, and reads that have not passed all writers are dropped: their
// origins ask again.
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
	r.advance()
}

// Propose orders new entries and reads at the head, in the order given. It reports whether this replica is the head.
func (r *Replica) Propose(proposals []Proposal) bool {
	if !r.IsHead() || r.divergence != nil {
		return false
	}
	var entries []Entry
	for _, proposal := range proposals {
		if proposal.Read {
			r.reads.passing = append(r.reads.passing, Read{proposal.Origin, proposal.Tag, r.log.lastIndex()})
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

// writerCount returns how many members at the front must have an entry durable before it is committed.
func (r *Replica) writerCount() int {
	if r.view.WriterCount == 0 {
		return len(r.view.Members)
	}
	return min(r.view.WriterCount, len(r.view.Members))
}

// isTail reports whether this replica is the last of the writers, which commits.
func (r *Replica) isTail() bool { return r.IsMember() && r.position == r.writerCount()-1 }

// isFollower reports whether this member stands behind the writers, so that nothing waits for it.
func (r *Replica) isFollower() bool { return r.position >= r.writerCount() }

// successorID returns the next member of the chain, or 0.
func (r *Replica) successorID() MemberID {
	if !r.IsMember() || r.position == len(r.view.Members)-1 {
		return 0
	}
	return r.view.Members[r.position+1]
}

// predecessorID returns the member before this one in the chain, or 0.
func (r *Replica) predecessorID() MemberID {
	if r.position <= 0 {
		return 0
	}
	return r.view.Members[r.position-1]
}
