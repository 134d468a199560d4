package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yardflow/internal/fleet/statemachine"
)

// loopState is what only the goroutine of run reads and writes, and Open before it starts that goroutine.
type loopState struct {
	peers       map[uint64]*peer
	confState   *raftpb.ConfState // the membership as of the latest applied entry
	term        uint64            // of the hard state on disk
	appliedTerm uint64            // of the latest applied entry

	// deferredReads were answered by raft before an entry of the present term was applied; see confirmReads.
	deferredReads []raft.ReadState

	stalls stallMonitor
}

// run drives raft and the state until Close is called or a step fails.
func (n *Node) run() {
	defer close(n.stopped)
	tick := time.NewTicker(n.cfg.TickInterval)
	defer tick.Stop()
	var clock leaderClock
	for {
		select {
		case <-tick.C:
			n.tickRaft(time.Now())
			clock = n.proposeTick(clock)
		case ready := <-n.raft.Ready():
			if err := n.handleReady(ready); err != nil {
				n.fail(err)
				return
			}
			n.raft.Advance()
		case <-n.stop:
			return
		}
	}
}

// tickRaft gives raft the ticks of one interval, fewer where delays have been seen of late.
func (n *Node) tickRaft(now time.Time) {
	interval := n.cfg.TickInterval
	late, line := n.loop.stalls.tick(now, interval, electionIntervals*interval/2)
	if line != "" {
		n.cfg.Log(line)
	}
	n.mu.Lock()
	n.pace.observe(now, late)
	ticks := n.pace.ticks(now)
	n.mu.Unlock()
	for range ticks {
		n.raft.Tick()
	}
}

// handleReady does what raft asks for, in the order that raft requires: entries and votes are on disk before any
// message that acknowledges them is sent, and before a committed entry is applied.
func (n *Node) handleReady(ready raft.Ready) error {
	began := time.Now()
	if err := n.store.save(ready.HardState, ready.Entries, ready.Snapshot, ready.MustSync); err != nil {
		return writeFailed(err)
	}
	n.loop.stalls.synced(time.Since(began))
	if hardState := ready.HardState; !raft.IsEmptyHardState(hardState) {
		n.loop.term = hardState.GetTerm()
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, m := range ready.Messages {
		if p := n.loop.peers[m.GetTo()]; p != nil {
			p.send(m)
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.applyEntry(entry); err != nil {
			return err
		}
		n.loop.appliedTerm = entry.GetTerm()
	}
	n.mu.Lock()
	if softState := ready.SoftState; softState != nil {
		n.setLeader(softState.Lead)
	}
	n.confirmReads(ready.ReadStates)
	n.mu.Unlock()
	return n.compactIfLong()
}

// writeFailed words an error of the folder. The text is in the operators' table of docs/FLEET-CONTROL.md.
func writeFailed(err error) error { return fmt.Errorf("the folder can't be written: %w", err) }

// installSnapshot replaces the state by that of a leader's snapshot.
func (n *Node) installSnapshot(snapshot *raftpb.Snapshot) error {
	state, err := statemachine.Restore(snapshot.GetData())
	if err != nil {
		return err
	}
	metadata := snapshot.GetMetadata()
	n.mu.Lock()
	n.state = state
	n.setApplied(metadata.GetIndex())
	n.notifyWatchers()
	n.mu.Unlock()
	n.loop.confState, n.loop.appliedTerm = metadata.GetConfState(), metadata.GetTerm()
	n.connectMembers()
	return nil
}

// setLeader records and logs who leads. The caller holds mu.
func (n *Node) setLeader(id uint64) {
	n.leader = id
	if id != 0 {
		n.lastLeader = id
	}
	if id == 0 {
		n.cfg.Log("no leader is known")
	} else {
		n.cfg.Log(fmt.Sprintf("member %d is the leader", id))
	}
}

// confirmReads lets those reads go on that raft has confirmed, each with the index that the state must have reached.
//
// A node that is the only member is confirmed by the raft library at once with the commit index of its folder, which
// may be older than what it acknowledged before a restart: the commit index is written late (see store.save). No read
// is confirmed, therefore, before an entry of the present term is applied, which comes behind all that were
// acknowledged (Raft thesis, section 6.4: a leader serves no read before it has committed an entry of its term).
//
// The caller holds mu.
func (n *Node) confirmReads(confirmed []raft.ReadState) {
	n.loop.deferredReads = append(n.loop.deferredReads, confirmed...)
	if n.loop.appliedTerm != n.loop.term {
		return
	}
	for _, read := range n.loop.deferredReads {
		n.requests.confirmRead(read.RequestCtx, max(read.Index, n.applied))
	}
	n.loop.deferredReads = n.loop.deferredReads[:0]
}

// compactIfLong replaces the log by a snapshot once it holds SnapshotEntries more than are retained behind one.
func (n *Node) compactIfLong() error {
	first, _ := n.store.memory.FirstIndex() // a memory store returns no error
	if n.applied >= first+n.cfg.SnapshotEntries+retainedEntries {
		return n.compact()
	}
	return nil
}

// compact replaces the log by a snapshot of the state as it is now.
func (n *Node) compact() error {
	snapshot, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	if err := n.store.compact(n.applied, n.loop.confState, snapshot, retainedEntries); err != nil {
		return writeFailed(err)
	}
	return nil
}

// setApplied records that the state is as of an entry, and wakes the reads that wait for it. The caller holds mu, and
// changes the state to match before it releases it.
func (n *Node) setApplied(index uint64) {
	n.applied = index
	if n.appliedChanged != nil {
		close(n.appliedChanged)
		n.appliedChanged = nil
	}
}

// notifyWatchers wakes whoever waits for a revision. The caller holds mu.
func (n *Node) notifyWatchers() {
	close(n.revisionChanged)
	n.revisionChanged = make(chan struct{})
}
