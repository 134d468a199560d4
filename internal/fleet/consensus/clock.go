package consensus

import (
	"context"
	"time"

	"go.etcd.io/raft/v3"

	"yardflow/internal/fleet/statemachine"
)

// leaderClock measures the time that passes while this node leads; the zero value: it does not lead. Each term has a
// clock of its own: the time between two terms may have been counted by another leader.
type leaderClock struct {
	term     uint64
	lastTick time.Time // when time was last proposed, or began to count
	number   uint64    // of the latest tick of the term; a gap tells the state that time was not counted in between
}

// next returns the clock of a term after a tick at now.
func (c leaderClock) next(term uint64, now time.Time) leaderClock {
	return leaderClock{term: term, lastTick: now, number: c.number + 1}
}

// proposeTick proposes how much time has passed since the last tick of this term, if this node leads. The state wants
// the count of leases granted to be read before the clock is: see statemachine.Tick.
func (n *Node) proposeTick(clock leaderClock) leaderClock {
	status := n.raft.Status()
	if status.RaftState != raft.StateLeader {
		return leaderClock{}
	}
	n.mu.Lock()
	grants := n.state.GrantCount
	idle := n.state.Idle()
	n.mu.Unlock()
	now := time.Now()
	next := clock.next(status.GetTerm(), now)
	if clock.term != status.GetTerm() || idle {
		return next
	}
	proposal, err := n.encodeProposal(0, statemachine.Command{Tick: &statemachine.Tick{
		Elapsed: now.Sub(clock.lastTick), GrantsSeen: grants, LeaderTerm: status.GetTerm(), Number: next.number}})
	if err != nil {
		return clock
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.TickInterval)
	defer cancel()
	// Whether this fails or not, the interval is not proposed again: counted twice, leases would expire in the state
	// before they do at their holders. Counted never, they expire later, which is safe.
	_ = n.raft.Propose(ctx, proposal)
	return next
}
