package dispatcher

import (
	"time"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/taskrun"
)

// receiveUpdates takes in what the control machine tells.
func (d *Dispatcher) receiveUpdates(down *protocol.ControlMessage) {
	now := d.now()
	var stale *staleness
	if down.Session != 0 {
		stale = d.markStale()
	}
	for _, raw := range protocol.DecompressUpdates(down.Updates) {
		update := &statemachine.Update{}
		if protocol.Decode(raw, update) {
			d.receiveUpdate(now, update, stale)
		}
	}
	if stale != nil {
		d.dropStale(now, stale)
	}
}

func (d *Dispatcher) receiveUpdate(now time.Duration, update *statemachine.Update, stale *staleness) {
	switch {
	case update.Sessions != nil:
		d.setSessions(update.Sessions)
	case update.Config != nil:
		d.setConfig(update.Config)
	case update.Worker != nil:
		stale.keepWorker(update.Worker.ID)
		d.setWorker(now, update.Worker)
	case update.WorkerRemoved != "":
		d.removeWorker(now, update.WorkerRemoved)
	case update.Usage != nil:
		if worker := d.workers[update.Usage.Worker]; worker != nil {
			worker.Used = update.Usage.Used
			d.placer(worker.Service).SetUsed(worker.ID, worker.Used)
		}
	case update.Job != nil:
		stale.keepJob(update.Job.ID)
		d.setJob(now, update.Job)
	case update.JobRemoved != "":
		d.removeJob(update.JobRemoved)
	case update.Task != nil:
		d.setTask(now, update.Task)
	case update.JobState != nil:
		stale.keepJob(update.JobState.Job)
		d.setJobState(update.JobState, stale != nil)
	case update.Placement != nil:
		stale.keepPlacement(update.Placement)
		if worker := d.owned[update.Placement.Worker]; worker != nil {
			worker.agent.SetPlacement(now, *update.Placement)
		}
	case update.PlacementRemoved != nil:
		if worker := d.owned[update.PlacementRemoved.Worker]; worker != nil {
			worker.agent.RemovePlacement(now, update.PlacementRemoved.Task, update.PlacementRemoved.Run)
		}
	}
}

func (d *Dispatcher) setSessions(sessions []statemachine.SessionID) {
	d.sessions = sessions
	for _, placer := range d.placers {
		placer.SetPeers(len(sessions))
	}
	for _, id := range sessions {
		if id == d.uplink.session {
			return
		}
	}
	d.logger.Warn().Uint64("session", d.uplink.session).Msg("session is over for the others; opening it anew")
	d.uplink.reconnect()
}

func (d *Dispatcher) placer(service string) *placement.Scheduler {
	placer := d.placers[service]
	if placer == nil {
		placer = placement.New(d.settings.Bounds.FarFactor, d.uplink.hello.Incarnation+uint64(len(d.placers)))
		placer.SetPeers(len(d.sessions))
		d.placers[service] = placer
	}
	return placer
}

func (d *Dispatcher) setWorker(now time.Duration, worker *statemachine.Worker) {
	d.workers[worker.ID] = worker
	d.placer(worker.Service).SetWorker(worker.ID, worker.Labels, worker.Capacity, worker.Used, worker.Unschedulable())
	mine := d.owned[worker.ID]
	owns := worker.Owner == d.uplink.session && d.uplink.session != 0 && !worker.Ended
	if mine != nil && (!owns || worker.Token != mine.agent.Token()) {
		mine.close()
		delete(d.owned, worker.ID)
		mine = nil
	}
	if mine == nil && owns {
		mine = newOwnedWorker(d, worker)
		d.owned[worker.ID] = mine
	}
	if mine != nil {
		mine.agent.SetListed(now, !worker.Unlisted)
	}
	if mine != nil && worker.Draining && worker.RemainingMs > 0 {
		mine.agent.Drain(now, time.Duration(worker.RemainingMs)*time.Millisecond)
	}
}

func (d *Dispatcher) removeWorker(now time.Duration, id string) {
	worker := d.workers[id]
	if worker == nil {
		return
	}
	d.placer(worker.Service).RemoveWorker(id)
	delete(d.workers, id)
	if mine := d.owned[id]; mine != nil {
		mine.close()
		delete(d.owned, id)
	}
}

// staleness lists what a new snapshot has not named yet.
type staleness struct {
	workers    map[string]bool
	jobs       map[string]bool
	placements map[string]map[string]uint64 // by worker: task and run
}

func (d *Dispatcher) markStale() *staleness {
	s := &staleness{workers: map[string]bool{}, jobs: map[string]bool{}, placements: map[string]map[string]uint64{}}
	for id := range d.workers {
		s.workers[id] = true
	}
	for id := range d.jobs {
		s.jobs[id] = true
	}
	return s
}

func (s *staleness) keepWorker(id string) {
	if s != nil {
		delete(s.workers, id)
	}
}

func (s *staleness) keepJob(id string) {
	if s != nil {
		delete(s.jobs, id)
	}
}

func (s *staleness) keepPlacement(placed *taskrun.Placement) {
	if s == nil {
		return
	}
	if s.placements[placed.Worker] == nil {
		s.placements[placed.Worker] = map[string]uint64{}
	}
	s.placements[placed.Worker][placed.Task] = placed.Run
}

func (d *Dispatcher) dropStale(now time.Duration, s *staleness) {
	for id := range s.workers {
		d.removeWorker(now, id)
	}
	for id := range s.jobs {
		d.removeJob(id)
	}
	for id, worker := range d.owned {
		worker.agent.RetainPlacements(s.placements[id])
	}
}
