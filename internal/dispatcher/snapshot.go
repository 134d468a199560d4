package dispatcher

import (
	"yardflow/scheduling/taskrun"
)

// snapshotDiff is what is known here and has not been named by a snapshot yet: what remains at its end is gone. A nil one
// stands for updates outside of a snapshot, and keeps nothing.
type snapshotDiff struct {
	workers map[string]bool
	jobs    map[string]bool
	// placements are, the other way round, those that the snapshot has named: the number of the run, by worker and task.
	placements map[string]map[string]uint64
}

func (d *Dispatcher) beginSnapshot() *snapshotDiff {
	s := &snapshotDiff{workers: map[string]bool{}, jobs: map[string]bool{}, placements: map[string]map[string]uint64{}}
	for id := range d.workers {
		s.workers[id] = true
	}
	for id := range d.jobs {
		s.jobs[id] = true
	}
	return s
}

func (s *snapshotDiff) keepWorker(id string) {
	if s != nil {
		delete(s.workers, id)
	}
}

func (s *snapshotDiff) keepJob(id string) {
	if s != nil {
		delete(s.jobs, id)
	}
}

func (s *snapshotDiff) keepPlacement(placed *taskrun.Placement) {
	if s == nil {
		return
	}
	if s.placements[placed.Worker] == nil {
		s.placements[placed.Worker] = map[string]uint64{}
	}
	s.placements[placed.Worker][placed.Task] = placed.Run
}

// endSnapshot removes what the snapshot has not named.
func (d *Dispatcher) endSnapshot(s *snapshotDiff) {
	for id := range s.workers {
		d.removeWorker(id)
	}
	for id := range s.jobs {
		d.removeJob(id)
	}
	for id, worker := range d.ownedWorkers {
		worker.owner.RetainPlacements(s.placements[id])
	}
}
