package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

// errRemoved ends a node that was taken out of the fleet's members.
var errRemoved = errors.New("this coordinator was removed from the members: its folder can't be used again")

// applyEntry applies one committed entry.
func (n *Node) applyEntry(entry *raftpb.Entry) error {
	switch entry.GetType() {
	case raftpb.EntryType_EntryConfChange:
		return n.applyConfChange(entry)
	case raftpb.EntryType_EntryNormal:
		return n.applyCommand(entry)
	}
	return nil
}

// applyConfChange applies a change of the members, and connects to or disconnects from the one it names.
func (n *Node) applyConfChange(entry *raftpb.Entry) error {
	change, err := decodeConfChange(entry)
	if err != nil {
		return err
	}
	id, removed := change.GetNodeId(), isRemoval(change)
	n.loop.confState = n.raft.ApplyConfChange(change)
	n.mu.Lock()
	n.setApplied(entry.GetIndex())
	n.state.ApplyMemberChange(id, string(change.GetContext()), removed)
	n.notifyWatchers()
	n.mu.Unlock()
	if change.GetType() == raftpb.ConfChangeType_ConfChangeAddLearnerNode {
		// Raft ignores a snapshot in whose membership the receiver is missing, so the learner needs one made now.
		if err := n.compact(); err != nil {
			return err
		}
	}
	switch {
	case !removed:
		n.connect(id)
	case id == n.cfg.MemberID:
		return errRemoved
	default:
		n.disconnect(id)
	}
	return nil
}

func decodeConfChange(entry *raftpb.Entry) (*raftpb.ConfChange, error) {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return nil, fmt.Errorf("%w: entry %d: %w", ErrCorrupt, entry.GetIndex(), err)
	}
	return change, nil
}

func isRemoval(change *raftpb.ConfChange) bool {
	return change.GetType() == raftpb.ConfChangeType_ConfChangeRemoveNode
}

// applyCommand applies an entry's command, and hands the result to the caller of Do where that is in this process.
func (n *Node) applyCommand(entry *raftpb.Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setApplied(entry.GetIndex())
	proposal, err := decodeProposal(entry)
	if proposal == nil || err != nil {
		return err
	}
	before := n.state.Revision
	result := n.state.Apply(proposal.command)
	if n.state.Revision != before {
		n.notifyWatchers()
	}
	if proposal.incarnation == n.incarnation {
		n.requests.completeProposal(proposal.id, result)
	}
	return nil
}

// deepCopy returns a result that shares nothing with the state, which later commands change.
func deepCopy(result statemachine.Result) (out statemachine.Result) {
	encoded, err := statemachine.Encode(result)
	if err == nil {
		err = statemachine.Decode(encoded, &out)
	}
	if err != nil {
		out.Err = err.Error()
	}
	return out
}
