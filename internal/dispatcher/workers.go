package dispatcher

import (
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/placement"
)

// setWorker applies the state of a worker: it updates the scheduler of the worker's service, and creates or closes the
// ownedWorker if the ownership has changed. An ownedWorker is valid for one token; a new token means a new ownedWorker, even
// if this dispatcher owned the worker before.
func (d *Dispatcher) setWorker(now time.Duration, worker *statemachine.Worker) {
	former := d.workers[worker.ID]
	if former != nil && worker.Token < former.Token {
		return // an older state: the token only increases
	}
	d.logDrain(former, worker)
	worker.Draining = worker.Draining || former != nil && former.Draining // a drain may arrive before older updates
	worker.Ended = worker.Ended || former != nil && former.Ended
	d.workers[worker.ID] = worker
	d.scheduler(worker.Service).SetWorker(worker.ID, worker.Labels, worker.Capacity, worker.Used, worker.Unschedulable())
	owned := d.ownedWorkers[worker.ID]
	shouldOwn := worker.Owner == d.uplink.session && d.uplink.session != 0 && !worker.Ended
	if owned != nil && (!shouldOwn || worker.Token != owned.owner.Token()) {
		owned.close()
		delete(d.ownedWorkers, worker.ID)
		owned = nil
	}
	if owned == nil && shouldOwn {
		owned = newOwnedWorker(d, worker)
		d.ownedWorkers[worker.ID] = owned
	}
	if owned == nil {
		return
	}
	owned.owner.SetListed(now, !worker.Unlisted)
	if worker.Draining {
		owned.owner.Drain(now, time.Duration(worker.RemainingMs)*time.Millisecond)
	}
}

// drainWorker marks a worker as draining. The update of the worker's state, which follows, has its remaining time.
func (d *Dispatcher) drainWorker(now time.Duration, id string) {
	known := d.workers[id]
	if known == nil || known.Draining {
		return
	}
	draining := *known
	draining.Draining = true
	d.setWorker(now, &draining)
}

// logDrain logs at debug level that an owned worker has begun to drain, and how many of its runs are not dispatched yet.
func (d *Dispatcher) logDrain(former, worker *statemachine.Worker) {
	owned := d.ownedWorkers[worker.ID]
	if owned == nil || !worker.Draining || former != nil && former.Draining {
		return
	}
	d.logger.Debug().Str("worker", worker.ID).Int64("remaining_ms", worker.RemainingMs).
		Int("undispatched", owned.owner.Undispatched()).Msg("worker started draining")
}

// setUsage applies an update of the resources that are in use at a worker.
func (d *Dispatcher) setUsage(usage *statemachine.UsageUpdate) {
	if worker := d.workers[usage.Worker]; worker != nil {
		worker.Used = usage.Used
		d.scheduler(worker.Service).SetUsed(worker.ID, worker.Used)
	}
}

func (d *Dispatcher) removeWorker(id string) {
	worker := d.workers[id]
	if worker == nil {
		return
	}
	d.scheduler(worker.Service).RemoveWorker(id)
	delete(d.workers, id)
	if owned := d.ownedWorkers[id]; owned != nil {
		owned.close()
		delete(d.ownedWorkers, id)
	}
}

// scheduler returns the scheduler of a service and creates it if necessary.
func (d *Dispatcher) scheduler(service string) *placement.Scheduler {
	scheduler := d.schedulers[service]
	if scheduler == nil {
		scheduler = placement.New(d.settings.Bounds.FarFactor, d.uplink.sessionRequest.Incarnation+uint64(len(d.schedulers)))
		scheduler.SetPeers(len(d.sessions))
		d.schedulers[service] = scheduler
	}
	return scheduler
}
