package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/stateclock"
	"yardflow/internal/control/statemachine"
)

// jobRetentionMargin is how long jobs are kept beyond the retention that clients were promised (settings key
// Bounds.status_s): four intervals of the state's clock, since a job may end right before a tick.
const jobRetentionMargin = 20 * time.Second

// replicatedState is the cluster's state as of the newest log entry applied here, with the updates for dispatchers that
// result from these entries.
type replicatedState struct {
	fsm          *statemachine.FSM
	appliedIndex uint64
	updates      []statemachine.AddressedUpdate // not added to outboxes yet
	configs      configHistory
}

// newReplicatedState returns an empty state that keeps jobs for the given time after their end, in seconds.
func newReplicatedState(retentionS float64) replicatedState {
	ticks := uint64((retentionS + jobRetentionMargin.Seconds()) / stateclock.Interval.Seconds())
	return replicatedState{fsm: statemachine.New(ticks)}
}

// restore replaces the state with that of a snapshot. If the snapshot can't be decoded, or its rules are not supported here,
// it returns false and changes nothing.
func (r *replicatedState) restore(index uint64, data []byte) bool {
	state := statemachine.State{}
	if !protocol.Decode(data, &state) || r.fsm.CheckRules(&state) != nil {
		return false
	}
	r.fsm.Restore(state)
	r.configs.reset()
	r.appliedIndex = index
	return true
}

// supportsRules reports whether the rules in force are supported here.
func (r *replicatedState) supportsRules() bool { return r.fsm.CheckRules(&r.fsm.State) == nil }

// apply applies a committed entry, and returns its command with the outcome. The command is nil if the entry holds none that
// this version can decode; such an entry changes nothing at any member. Once rules are in force that are not supported
// here, apply does nothing, so that no snapshot of a diverging state is saved.
func (r *replicatedState) apply(entry *chain.Entry) (*statemachine.Command, statemachine.Result) {
	if !r.supportsRules() {
		return nil, statemachine.Result{}
	}
	command := &statemachine.Command{}
	r.appliedIndex = entry.Index
	if !protocol.Decode(entry.Data, command) {
		return nil, statemachine.Result{}
	}
	result := r.fsm.Apply(command)
	updates := r.fsm.DequeueUpdates()
	r.updates = append(r.updates, updates...)
	for i := range updates {
		if updates[i].Update.Config != nil {
			r.configs.add(updates[i].Update.Config)
		}
	}
	return command, result
}

// discardOutput discards the pending updates and notices.
func (r *replicatedState) discardOutput() {
	r.updates = nil
	r.fsm.DequeueNotices()
}
