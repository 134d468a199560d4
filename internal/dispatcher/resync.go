package dispatcher

import (
	"time"

	"yardflow/scheduling/job"
)

// Pauses between new connections because of a different digest. They double each time, so that a difference that a snapshot
// does not mend costs little.
const (
	minResyncPause = 5 * time.Second
	maxResyncPause = 5 * time.Minute
)

// resync limits how often the dispatcher connects again because its picture of its jobs differs from the state.
type resync struct {
	notBefore time.Duration
	pause     time.Duration // before the next one; 0: none has happened since the last equal digest
}

// compareOpenJobs compares the state's digest of this dispatcher's open jobs with its own, after all updates that the digest
// includes. If they differ, the dispatcher connects again: a snapshot then replaces its picture.
func (d *Dispatcher) compareOpenJobs(state job.Digest) {
	now, own := d.now(), d.openJobs()
	if own == state {
		d.resync.pause = 0
		return
	}
	if now < d.resync.notBefore {
		return
	}
	d.resync.pause = min(max(2*d.resync.pause, minResyncPause), maxResyncPause)
	d.resync.notBefore = now + d.resync.pause
	d.logger.Error().Int("jobs", own.Jobs).Int("state_jobs", state.Jobs).Dur("next_after", d.resync.pause).
		Msg("the jobs here differ from the replicated state; connecting again for a snapshot")
	d.uplink.reconnect()
}

// openJobs returns the digest of the open jobs that the replicated state is known to have. The workers of proposals don't
// count as placements.
func (d *Dispatcher) openJobs() job.Digest {
	digest := job.Digest{}
	for id, owned := range d.jobs {
		if owned.provisional || owned.State.Terminal() {
			continue
		}
		progress := owned.Progress()
		progress.Placed = len(owned.runs)
		digest.Add(id, progress)
	}
	return digest
}
