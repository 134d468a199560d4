package consensus

// This file owns who the keepers are, one change at a time. It must never leave a fleet without a
// majority that answers.

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yardflow/internal/fleet/statemachine"
)

// closeBehind is how few entries a learner may be behind to be given a say.
const closeBehind = 100

// Members tells who the keepers are, and how far.
func (q *Node) Members() (out []statemachine.Member, err error) {
	st := q.node.Status()
	if st.RaftState != raft.StateLeader {
		return nil, fmt.Errorf("%w: %d does", statemachine.ErrNotLeader, st.Lead)
	}
	at := q.addresses()
	at[q.cfg.MemberID] = q.cfg.InitialMembers[q.cfg.MemberID]
	last := st.Progress[q.cfg.MemberID].Match
	for id, p := range st.Progress {
		out = append(out, statemachine.Member{ID: id, Addr: at[id], Learner: p.IsLearner, Leader: id == q.cfg.MemberID,
			Active: q.active(id), EntriesBehind: last - min(p.Match, last)})
	}
	slices.SortFunc(out, func(a, b statemachine.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// active tells whether a member has said anything of late. Raft's own mark is cleared each time
// it looks, and set at the next message.
func (q *Node) active(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return id == q.cfg.MemberID || time.Since(q.spoke[id]) < 20*q.cfg.TickInterval+500*time.Millisecond
}

// AddLearner takes a member in that has no say yet.
func (q *Node) AddLearner(ctx context.Context, id uint64, addr string) error {
	all, err := q.Members()
	if err != nil {
		return err
	}
	q.mu.Lock()
	left := q.state.RemovedMembers[id]
	q.mu.Unlock()
	_, _, bad := net.SplitHostPort(addr)
	switch at := slices.IndexFunc(all, func(m statemachine.Member) bool { return m.ID == id }); {
	case id == 0 || bad != nil:
		return fmt.Errorf("member %d at %q; expected a number, 1 and up, and host:port", id, addr)
	case left:
		return fmt.Errorf("member %d was taken out: a number is used once", id)
	case at >= 0 && all[at].Addr == addr:
		return nil // asked twice
	case at >= 0:
		return fmt.Errorf("member %d is there already, at %s", id, all[at].Addr)
	}
	return q.change(ctx, raftpb.ConfChangeType_ConfChangeAddLearnerNode, id, addr)
}

// PromoteLearner gives a learner its say, once it has nearly all that is agreed on.
func (q *Node) PromoteLearner(ctx context.Context, id uint64) error {
	all, err := q.Members()
	if err != nil {
		return err
	}
	for _, m := range all {
		switch {
		case m.ID != id:
		case !m.Learner:
			return nil
		case !m.Active || m.EntriesBehind > closeBehind:
			return fmt.Errorf("member %d is %d entries behind; it is given its say once it has them", id, m.EntriesBehind)
		default:
			return q.change(ctx, raftpb.ConfChangeType_ConfChangeAddNode, id, m.Addr)
		}
	}
	return fmt.Errorf("member %d is not there", id)
}

// RemoveMember takes a member out for good. It is refused where those left would have no majority that
// answers; one that leads hands that over first, and is to be asked for again.
func (q *Node) RemoveMember(ctx context.Context, id uint64) error {
	all, err := q.Members()
	if err != nil {
		return err
	}
	there, voters, active, next := false, 0, 0, uint64(0)
	for _, m := range all {
		if m.ID == id {
			there = true
			continue
		}
		if !m.Learner {
			voters++
			if m.Active {
				active++
				next = m.ID
			}
		}
	}
	switch {
	case !there:
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.state.RemovedMembers[id] {
			return nil // asked twice
		}
		return fmt.Errorf("member %d is not there", id)
	case active <= voters/2:
		return fmt.Errorf("without member %d, %d of %d would answer, no majority", id, active, voters)
	case id == q.cfg.MemberID:
		q.node.TransferLeadership(ctx, id, next)
		return fmt.Errorf("%w any more: %d is to", statemachine.ErrNotLeader, next)
	}
	return q.change(ctx, raftpb.ConfChangeType_ConfChangeRemoveNode, id, "")
}

// change proposes a change of members, and waits until it has come. One at a time: raft passes
// over one that is proposed while another is under way.
func (q *Node) change(ctx context.Context, kind raftpb.ConfChangeType, id uint64, addr string) error {
	if err := q.node.ProposeConfChange(ctx, &raftpb.ConfChange{Type: kind.Enum(), NodeId: &id, Context: []byte(addr)}); err != nil {
		return err
	}
	for {
		all, err := q.Members()
		if err != nil {
			return err
		}
		at := slices.IndexFunc(all, func(m statemachine.Member) bool { return m.ID == id })
		if kind == raftpb.ConfChangeType_ConfChangeRemoveNode && at < 0 || at >= 0 && all[at].Learner == (kind == raftpb.ConfChangeType_ConfChangeAddLearnerNode) {
			return nil
		}
		select {
		case <-time.After(q.cfg.TickInterval):
		case <-ctx.Done():
			return fmt.Errorf("not done by now: another change of members may be under way: %w", ctx.Err())
		case <-q.ended:
			return q.err()
		}
	}
}
