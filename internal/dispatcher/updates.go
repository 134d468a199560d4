package dispatcher

import (
	"time"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// receiveUpdates applies the updates of a message. A message that opens a session carries a complete snapshot: workers, jobs
// and placements that are not in it no longer exist.
func (d *Dispatcher) receiveUpdates(message *protocol.ControlMessage) {
	now := d.now()
	var snapshot *snapshotDiff
	if message.Session != 0 {
		snapshot = d.beginSnapshot()
	}
	for _, raw := range protocol.DecompressUpdates(message.Updates) {
		update := &statemachine.Update{}
		if protocol.Decode(raw, update) {
			d.receiveUpdate(now, update, snapshot)
		}
	}
	if snapshot != nil {
		d.endSnapshot(snapshot)
	}
}

// receiveUpdate applies one update. Snapshot is nil for updates that are not part of a snapshot. A snapshot replaces what is
// known. Any other update of a job or task that is older than what is known changes nothing: a control machine of an
// earlier build may send a job's newer state before older states of its tasks.
func (d *Dispatcher) receiveUpdate(now time.Duration, update *statemachine.Update, snapshot *snapshotDiff) {
	switch {
	case update.Sessions != nil:
		d.setSessions(update.Sessions)
	case update.Config != nil:
		d.receiveConfig(update.Config)
	case update.Worker != nil:
		snapshot.markWorkerSeen(update.Worker.ID)
		d.setWorker(now, update.Worker)
	case update.WorkerDraining != "":
		d.drainWorker(now, update.WorkerDraining)
	case update.WorkerRemoved != "":
		d.removeWorker(update.WorkerRemoved)
	case update.Usage != nil:
		d.setUsage(update.Usage)
	case update.Job != nil:
		snapshot.markJobSeen(update.Job.ID)
		if snapshot == nil {
			d.mergeJob(now, update.Job)
		} else {
			d.setJob(now, update.Job)
		}
	case update.JobRemoved != "":
		d.removeJob(update.JobRemoved)
	case update.Task != nil:
		d.setTask(now, update.Task)
	case update.JobState != nil:
		snapshot.markJobSeen(update.JobState.Job)
		d.setJobState(update.JobState, snapshot != nil)
	case update.Placement != nil:
		snapshot.markPlacementSeen(update.Placement)
		if worker := d.ownedWorkers[update.Placement.Worker]; worker != nil {
			worker.owner.SetPlacement(now, *update.Placement)
		}
	case update.PlacementRemoved != nil:
		if worker := d.ownedWorkers[update.PlacementRemoved.Worker]; worker != nil {
			worker.owner.RemovePlacement(now, update.PlacementRemoved.Task, update.PlacementRemoved.Run)
		}
	}
}

// setSessions records which sessions are open. If this dispatcher's session is not among them, it reconnects to open a new
// one.
func (d *Dispatcher) setSessions(sessions []statemachine.SessionID) {
	d.sessions = sessions
	for _, scheduler := range d.schedulers {
		scheduler.SetPeers(len(sessions))
	}
	for _, id := range sessions {
		if id == d.uplink.session {
			return
		}
	}
	d.logger.Warn().Uint64("session", d.uplink.session).Msg("session ended by the control machines; opening a new one")
	d.uplink.reconnect()
}
