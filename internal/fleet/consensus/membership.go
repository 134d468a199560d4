package consensus

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

// Members change one at a time, so that any two successive majorities overlap (Raft thesis, section 4.1): a new one is
// added as a learner, which has no vote, and promoted once it has nearly the whole log.

// maxPromotionLag is how many entries a learner may lack to be promoted. With a vote, it may be needed for the
// majority at once, which then waits until it has them.
const maxPromotionLag = 100

// A member counts as active for this long after its last message: twice raft's election time-out, and half a second
// for a busy machine.
const (
	activeIntervals = 2 * electionIntervals
	activeGrace     = 500 * time.Millisecond
)

// Members returns the members with their progress, by number. Only the leader knows it; another returns an error that
// wraps statemachine.ErrNotLeader.
func (n *Node) Members() (members []statemachine.Member, err error) {
	status := n.raft.Status()
	if status.RaftState != raft.StateLeader {
		return nil, fmt.Errorf("%w: member %d is", statemachine.ErrNotLeader, status.Lead)
	}
	addresses := n.peerAddresses()
	addresses[n.cfg.MemberID] = n.cfg.InitialMembers[n.cfg.MemberID]
	last := status.Progress[n.cfg.MemberID].Match
	for id, progress := range status.Progress {
		members = append(members, statemachine.Member{ID: id, Addr: addresses[id], Learner: progress.IsLearner, Leader: id == n.cfg.MemberID,
			Active: n.isActive(id), EntriesBehind: last - min(progress.Match, last)})
	}
	slices.SortFunc(members, func(a, b statemachine.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members, nil
}

// isActive reports whether a member has sent a message of late. Raft's own flag does not serve: it is cleared at each
// check of the quorum and set at the next message.
func (n *Node) isActive(id uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return id == n.cfg.MemberID || time.Since(n.lastHeard[id]) < activeIntervals*n.cfg.TickInterval+activeGrace
}

// wasRemoved reports whether a number was a member's that was removed. It can't be used again: the old member's votes
// and acknowledgements would count as the new one's.
func (n *Node) wasRemoved(id uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RemovedMembers[id]
}

func findMember(members []statemachine.Member, id uint64) (statemachine.Member, bool) {
	i := slices.IndexFunc(members, func(m statemachine.Member) bool { return m.ID == id })
	if i < 0 {
		return statemachine.Member{}, false
	}
	return members[i], true
}

// AddLearner adds a member, at addr (host:port), that has no vote yet. It does nothing where that member is there
// already at that address.
func (n *Node) AddLearner(ctx context.Context, id uint64, addr string) error {
	members, err := n.Members()
	if err != nil {
		return err
	}
	_, _, badAddr := net.SplitHostPort(addr)
	member, exists := findMember(members, id)
	switch {
	case id == 0 || badAddr != nil:
		return fmt.Errorf("member %d at %q; expected a number, 1 and up, and host:port", id, addr)
	case n.wasRemoved(id):
		return fmt.Errorf("member %d was removed: a number is used once", id)
	case exists && member.Addr == addr:
		return nil
	case exists:
		return fmt.Errorf("member %d exists already, at %s", id, member.Addr)
	}
	return n.changeMembers(ctx, raftpb.ConfChangeType_ConfChangeAddLearnerNode, id, addr)
}

// PromoteLearner gives a learner its vote. It fails while the learner is inactive or lacks more than maxPromotionLag
// entries, and does nothing where the member has its vote already.
func (n *Node) PromoteLearner(ctx context.Context, id uint64) error {
	members, err := n.Members()
	if err != nil {
		return err
	}
	switch member, exists := findMember(members, id); {
	case !exists:
		return fmt.Errorf("no member %d", id)
	case !member.Learner:
		return nil
	case !member.Active || member.EntriesBehind > maxPromotionLag:
		return fmt.Errorf("member %d is %d entries behind; it gets its vote once it has them", id, member.EntriesBehind)
	default:
		return n.changeMembers(ctx, raftpb.ConfChangeType_ConfChangeAddNode, id, member.Addr)
	}
}

// RemoveMember removes a member for good. It is refused where the remaining voters would have no active majority. A
// leader that is to be removed first hands leadership over, and returns an error that wraps statemachine.ErrNotLeader:
// the caller then asks the new leader. It does nothing where the member was removed already.
func (n *Node) RemoveMember(ctx context.Context, id uint64) error {
	members, err := n.Members()
	if err != nil {
		return err
	}
	voters, active, successor := 0, 0, uint64(0) // without the one to be removed
	for _, m := range members {
		if m.ID == id || m.Learner {
			continue
		}
		voters++
		if m.Active {
			active++
			successor = m.ID
		}
	}
	_, exists := findMember(members, id)
	switch {
	case !exists && n.wasRemoved(id):
		return nil
	case !exists:
		return fmt.Errorf("no member %d", id)
	case active <= voters/2:
		return fmt.Errorf("without member %d, %d of %d would answer, no majority", id, active, voters)
	case id == n.cfg.MemberID:
		n.raft.TransferLeadership(ctx, id, successor)
		return fmt.Errorf("%w any more: member %d is to be", statemachine.ErrNotLeader, successor)
	}
	return n.changeMembers(ctx, raftpb.ConfChangeType_ConfChangeRemoveNode, id, "")
}

// changeMembers proposes a change of the members and waits until it counts as applied (see isApplied). Raft ignores one that is proposed
// while another is under way, which the caller sees as a time-out.
func (n *Node) changeMembers(ctx context.Context, kind raftpb.ConfChangeType, id uint64, addr string) error {
	if err := n.raft.ProposeConfChange(ctx, &raftpb.ConfChange{Type: kind.Enum(), NodeId: &id, Context: []byte(addr)}); err != nil {
		return err
	}
	for {
		members, err := n.Members()
		if err != nil {
			return err
		}
		if member, exists := findMember(members, id); isApplied(kind, member, exists) {
			return nil
		}
		select {
		case <-time.After(n.cfg.TickInterval):
		case <-ctx.Done():
			return fmt.Errorf("not done by now: another change of members may be under way: %w", ctx.Err())
		case <-n.stopped:
			return n.Err()
		}
	}
}

// isApplied reports whether a change counts as applied by what the leader shows of its member: a removed one is shown no
// more, an added one is shown with or without its vote.
func isApplied(kind raftpb.ConfChangeType, member statemachine.Member, exists bool) bool {
	switch kind {
	case raftpb.ConfChangeType_ConfChangeRemoveNode:
		return !exists
	case raftpb.ConfChangeType_ConfChangeAddLearnerNode:
		return exists && member.Learner
	default:
		return exists && !member.Learner
	}
}
