package dispatcher

import (
	"yardflow/scheduling/taskrun"
)

// snapshotDiff compares the dispatcher's state with a snapshot that is being received. Workers, jobs and placements that the
// complete snapshot does not contain no longer exist. A nil snapshotDiff is for updates outside of a snapshot and records
// nothing.
type snapshotDiff struct {
	unseenWorkers map[string]bool // known workers that have not appeared in the snapshot yet
	unseenJobs    map[string]bool // known jobs that have not appeared in the snapshot yet
	// seenPlacements has the placements that have appeared in the snapshot: the number of the run, by worker and task.
	seenPlacements map[string]map[string]uint64
}

func (d *Dispatcher) beginSnapshot() *snapshotDiff {
	s := &snapshotDiff{unseenWorkers: map[string]bool{}, unseenJobs: map[string]bool{},
		seenPlacements: map[string]map[string]uint64{}}
	for id := range d.workers {
		s.unseenWorkers[id] = true
	}
	for id := range d.jobs {
		s.unseenJobs[id] = true
	}
	return s
}

func (s *snapshotDiff) markWorkerSeen(id string) {
	if s != nil {
		delete(s.unseenWorkers, id)
	}
}

func (s *snapshotDiff) markJobSeen(id string) {
	if s != nil {
		delete(s.unseenJobs, id)
	}
}

func (s *snapshotDiff) markPlacementSeen(placed *taskrun.Placement) {
	if s == nil {
		return
	}
	if s.seenPlacements[placed.Worker] == nil {
		s.seenPlacements[placed.Worker] = map[string]uint64{}
	}
	s.seenPlacements[placed.Worker][placed.Task] = placed.Run
}

// endSnapshot removes the workers, jobs and placements that the snapshot does not contain.
func (d *Dispatcher) endSnapshot(s *snapshotDiff) {
	for id := range s.unseenWorkers {
		d.removeWorker(id)
	}
	for id := range s.unseenJobs {
		d.removeJob(id)
	}
	for id, worker := range d.ownedWorkers {
		worker.owner.RetainPlacements(s.seenPlacements[id])
	}
}
