package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// clockInterval is how often the head advances the state machine's clock. It is the resolution at which finished jobs
// are forgotten.
const clockInterval = 5 * time.Second

// jobRetentionMargin is how long jobs are known beyond what clients were promised (settings key Bounds.status_s): four
// clockIntervals, since the clock is that coarse.
const jobRetentionMargin = 20 * time.Second

// replicatedState is the cluster's state as of the newest log entry that was applied here, and what follows from those
// entries for dispatchers.
type replicatedState struct {
	fsm          *statemachine.FSM
	appliedIndex uint64
	updates      []statemachine.AddressedUpdate // not in outboxes yet
	configs      configHistory
}

// newReplicatedState returns an empty state that remembers jobs for the given time, in seconds, after their end.
func newReplicatedState(retentionS float64) replicatedState {
	ticks := uint64((retentionS + jobRetentionMargin.Seconds()) / clockInterval.Seconds())
	return replicatedState{fsm: statemachine.New(ticks)}
}

// restore replaces the state by that of a snapshot, and reports whether it can be read. If not, nothing changes.
func (r *replicatedState) restore(index uint64, data []byte) bool {
	state := statemachine.State{}
	if !protocol.Decode(data, &state) {
		return false
	}
	r.fsm.Restore(state)
	r.configs.reset()
	r.appliedIndex = index
	return true
}

// apply applies a committed entry and returns its command's outcome, and false where the entry holds no command that
// this version can read: such an entry changes nothing at any member.
func (r *replicatedState) apply(entry *chain.Entry) (statemachine.Result, bool) {
	command := &statemachine.Command{}
	r.appliedIndex = entry.Index
	if !protocol.Decode(entry.Data, command) {
		return statemachine.Result{}, false
	}
	result := r.fsm.Apply(command)
	updates := r.fsm.DequeueUpdates()
	r.updates = append(r.updates, updates...)
	for i := range updates {
		if updates[i].Update.Config != nil {
			r.configs.add(updates[i].Update.Config)
		}
	}
	return result, true
}

// discardOutput drops the updates and notices of what was applied.
func (r *replicatedState) discardOutput() {
	r.updates = nil
	r.fsm.DequeueNotices()
}
