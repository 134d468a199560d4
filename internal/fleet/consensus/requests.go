package consensus

import (
	"context"
	"encoding/binary"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// readRetryTicks is after how many ticks a read is asked for again: raft drops it where no leader is known.
const readRetryTicks = 10

// pendingRequests are the calls of this process that wait for raft. Proposals and reads are numbered together. It is
// guarded by Node.mu; the channels have room for their one value, so that sending never blocks.
type pendingRequests struct {
	lastID    uint64
	proposals map[uint64]chan statemachine.Result
	reads     map[uint64]chan uint64 // receives the index that the state must have reached
}

func newPendingRequests() pendingRequests {
	return pendingRequests{proposals: map[uint64]chan statemachine.Result{}, reads: map[uint64]chan uint64{}}
}

func (p *pendingRequests) addProposal() (uint64, <-chan statemachine.Result) {
	p.lastID++
	done := make(chan statemachine.Result, 1)
	p.proposals[p.lastID] = done
	return p.lastID, done
}

func (p *pendingRequests) completeProposal(id uint64, result statemachine.Result) {
	if done := p.proposals[id]; done != nil {
		done <- deepCopy(result)
		delete(p.proposals, id)
	}
}

func (p *pendingRequests) addRead() (uint64, <-chan uint64) {
	p.lastID++
	confirmed := make(chan uint64, 1)
	p.reads[p.lastID] = confirmed
	return p.lastID, confirmed
}

// confirmRead tells the read of a request context (see readContext) which index the state must have reached.
func (p *pendingRequests) confirmRead(requestContext []byte, index uint64) {
	id := binary.LittleEndian.Uint64(requestContext)
	if confirmed := p.reads[id]; confirmed != nil {
		delete(p.reads, id)
		confirmed <- index
	}
}

// readContext is how a read is named to raft.
func readContext(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// Do proposes a command and returns its result once a majority has stored it. Any member takes commands, and forwards
// them to the leader. After an error the command may have been applied, or may yet be.
func (n *Node) Do(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	n.mu.Lock()
	if n.failure != nil {
		defer n.mu.Unlock()
		return statemachine.Result{}, n.failure
	}
	id, done := n.requests.addProposal()
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.requests.proposals, id)
		n.mu.Unlock()
	}()
	proposal, err := n.encodeProposal(id, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	if err := n.raft.Propose(ctx, proposal); err != nil {
		return statemachine.Result{}, err
	}
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		return statemachine.Result{}, ctx.Err()
	case <-n.stopped:
		return statemachine.Result{}, n.Err()
	}
}

// Read calls f with a state that has all that was acknowledged before Read was called (a linearizable read by raft's
// ReadIndex: the leader confirms with a majority that it still leads). f must not keep the state.
func (n *Node) Read(ctx context.Context, f func(s *statemachine.State)) error {
	index, err := n.readIndex(ctx)
	if err != nil {
		return err
	}
	for {
		n.mu.Lock()
		if n.applied >= index {
			defer n.mu.Unlock()
			f(n.state)
			return nil
		}
		if n.appliedChanged == nil {
			n.appliedChanged = make(chan struct{})
		}
		changed := n.appliedChanged
		n.mu.Unlock()
		if err := n.await(ctx, changed); err != nil {
			return err
		}
	}
}

// readIndex returns the index that the state must have reached for a linearizable read that begins now.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	n.mu.Lock()
	id, confirmed := n.requests.addRead()
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.requests.reads, id)
		n.mu.Unlock()
	}()
	retry := time.NewTicker(readRetryTicks * n.cfg.TickInterval)
	defer retry.Stop()
	for {
		if err := n.raft.ReadIndex(ctx, readContext(id)); err != nil {
			return 0, err
		}
		select {
		case index := <-confirmed:
			if index > 0 {
				return index, nil
			}
		case <-retry.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-n.stopped:
			return 0, n.Err()
		}
	}
}

// await blocks until the channel is closed, ctx ends or the node stops.
func (n *Node) await(ctx context.Context, closed <-chan struct{}) error {
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return n.Err()
	}
}

// WaitForRevision blocks until this node's state is past a revision, ctx ends or the node stops, and returns the
// revision it has then. That state may lag behind what is committed.
func (n *Node) WaitForRevision(ctx context.Context, past uint64) uint64 {
	for {
		n.mu.Lock()
		revision, changed := n.state.Revision, n.revisionChanged
		n.mu.Unlock()
		if revision > past || n.await(ctx, changed) != nil {
			return revision
		}
	}
}

// ReadStale calls f with this node's state, which may lag behind what is committed. f must not keep it.
func (n *Node) ReadStale(f func(s *statemachine.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
}
