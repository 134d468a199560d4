package consensus

// This file owns what raft has agreed on and how it reaches the state: durable first, then sent,
// then applied. It must never apply a command outside the log.

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

// handle does what raft asks: durable first, then sent, then applied.
func (q *Node) handle(rd raft.Ready) error {
	if err := q.store.save(rd.HardState, rd.Entries, rd.Snapshot, rd.MustSync); err != nil {
		return fmt.Errorf("the folder can't be written: %w", err)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		q.term = rd.HardState.GetTerm()
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := statemachine.Restore(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		q.mu.Lock()
		q.state = state
		q.reached(rd.Snapshot.GetMetadata().GetIndex())
		q.wake()
		q.mu.Unlock()
		q.conf, q.told = rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetTerm()
		q.follow()
	}
	for _, m := range rd.Messages {
		if p := q.peers[m.GetTo()]; p != nil {
			p.send(m)
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := q.apply(e); err != nil {
			return err
		}
		q.told = e.GetTerm()
	}
	q.mu.Lock()
	if rd.SoftState != nil {
		if q.leader = rd.SoftState.Lead; q.leader == 0 {
			q.cfg.Log("no keeper leads")
		} else {
			q.cfg.Log(fmt.Sprintf("keeper %d leads", q.leader))
		}
	}
	q.answerReads(rd.ReadStates)
	q.mu.Unlock()
	first, _ := q.store.mem.FirstIndex()
	if q.applied >= first+q.cfg.SnapshotEntries+keepEntries {
		return q.compact()
	}
	return nil
}

// answerReads tells those that read by which entry they may. The library answers a keeper that is
// alone at once, by what its folder says is agreed on, which it may write later than it has
// acknowledged: just started, such a keeper would read what is older than its own answers. So
// nobody is told before an entry of this term is in the state. The caller holds mu.
func (q *Node) answerReads(more []raft.ReadState) {
	q.held = append(q.held, more...)
	if q.told != q.term {
		return
	}
	for _, r := range q.held {
		id := binary.LittleEndian.Uint64(r.RequestCtx)
		if to := q.reads[id]; to != nil {
			delete(q.reads, id)
			to <- max(r.Index, q.applied)
		}
	}
	q.held = q.held[:0]
}

// compact puts a snapshot of the state as it is in the place of the log.
func (q *Node) compact() error {
	text, err := q.state.Snapshot()
	if err != nil {
		return err
	}
	if err := q.store.compact(q.applied, q.conf, text, keepEntries); err != nil {
		return fmt.Errorf("the folder can't be written: %w", err)
	}
	return nil
}

// reached notes that the state is as of an entry. The caller holds mu, and has the state so
// before it lets go.
func (q *Node) reached(index uint64) {
	q.applied = index
	if q.moved != nil {
		close(q.moved)
		q.moved = nil
	}
}

// wake tells whoever watches that something has changed. The caller holds mu.
func (q *Node) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *Node) apply(e *raftpb.Entry) error {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("%w: entry %d: %v", ErrCorrupt, e.GetIndex(), err)
		}
		q.conf = q.node.ApplyConfChange(cc)
		q.mu.Lock()
		q.reached(e.GetIndex())
		out := cc.GetType() == raftpb.ConfChangeType_ConfChangeRemoveNode
		q.state.ApplyMemberChange(cc.GetNodeId(), string(cc.GetContext()), out)
		q.wake()
		q.mu.Unlock()
		if cc.GetType() == raftpb.ConfChangeType_ConfChangeAddLearnerNode {
			// One that joins takes no snapshot that does not have it as a member.
			if err := q.compact(); err != nil {
				return err
			}
		}
		switch id := cc.GetNodeId(); {
		case !out:
			q.meet(id)
		case id == q.cfg.MemberID:
			return errors.New("this keeper was taken out by the others: its folder is of no use any more")
		default:
			q.leave(id)
		}
		return nil
	case raftpb.EntryType_EntryNormal:
		q.mu.Lock()
		defer q.mu.Unlock()
		q.reached(e.GetIndex())
		cmd, life, n, err := reword(e)
		if cmd == nil || err != nil {
			return err
		}
		before := q.state.Revision
		r := q.state.Apply(*cmd)
		if q.state.Revision != before {
			q.wake()
		}
		if life == q.life && q.waiting[n] != nil {
			// What the answer points to may change at the next command; the one who waits
			// reads it later.
			q.waiting[n] <- detach(r)
			delete(q.waiting, n)
		}
	}
	return nil
}

// detach makes an answer that no later command changes.
func detach(r statemachine.Result) (out statemachine.Result) {
	text, err := statemachine.Encode(r)
	if err == nil {
		err = statemachine.Decode(text, &out)
	}
	if err != nil {
		out.Err = err.Error()
	}
	return out
}
