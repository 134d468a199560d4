// Package placement decides which tasks of a dispatcher's queue go to which workers, and when. A scheduling cycle goes
// through the units of the queue in order. For each unit it filters the feasible workers and ranks them by speed and
// utilisation. It takes the best worker, unless faster workers exist that are merely full: then the ACHQ threshold of
// package achq decides whether to take the slower worker or to wait.
//
// A decision is a proposal: other dispatchers place tasks on the same workers, and the replicated state commits or rejects
// each proposal. Until then the scheduler reserves the resources. It never preempts a running task.
//
// The package has no I/O and no clock. Randomness comes only from the seed, so the same calls give the same decisions. A
// Scheduler is not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"yardflow/scheduling/achq"
	"yardflow/scheduling/job"
)

// maxUnplaceableSteps is the number of steps without a suitable worker after which a cycle ends. It bounds the duration of a
// cycle when a long queue waits for resources.
const maxUnplaceableSteps = 100

// Scheduler places the tasks of one service. Its dispatcher supplies the workers and units, and carries out the decisions.
type Scheduler struct {
	remoteFactor float64 // ratio of a task's run time outside the rack of its data to that within it
	random       *rand.Rand
	peers        int // number of dispatchers that place on the same workers, including this one
	now          time.Duration

	workers      map[string]*workerState
	workerList   []*workerState     // sorted by ID, so that ties are always broken the same way
	kindSlowness map[string]float64 // by kind of worker: ln of the ratio of run times to their estimates

	queue      queue
	evidence   evidence
	candidates []candidate // of the unit that was ranked last

	learner     achq.Learner
	stepBegan   time.Duration // start of the learner's open step
	placedTasks int           // number of placed tasks of this dispatcher's jobs

	// CPU of the service, in thousandths of cores; see updateCPUTotals.
	freeCPU    float64 // free CPU of all workers that are neither draining nor in backoff
	totalCPU   float64 // capacity of the same workers
	usedCPU    float64 // used CPU of all workers that are not draining
	serviceCPU float64 // capacity of the same workers
	anyAvoided bool    // whether a worker that is not draining is to be avoided
	// starving are the steps of starving units that found no worker in this cycle, of steps that don't fail everywhere.
	starving []*job.Step
	urgent   urgentHeadroom
}

// New returns a scheduler without workers. RemoteFactor is the ratio of a task's run time outside the rack of its data to
// that within it.
func New(remoteFactor float64, seed uint64) *Scheduler {
	return &Scheduler{remoteFactor: max(remoteFactor, 1), peers: 1, random: rand.New(rand.NewPCG(seed, 1)),
		workers: map[string]*workerState{}, kindSlowness: map[string]float64{}, evidence: newEvidence()}
}

// SetPeers sets the number of dispatchers that place on the same workers, including this one.
func (s *Scheduler) SetPeers(count int) { s.peers = max(count, 1) }

// stepID identifies one repetition of a step of a job, whose tasks have the same demand.
type stepID struct {
	job string
	key job.StepKey
}

// Schedule runs a scheduling cycle and returns its decisions. It removes the placed units from the queue and reserves their
// demand until ReleaseReservation.
func (s *Scheduler) Schedule(now time.Duration) []Decision {
	if len(s.queue) == 0 {
		return nil
	}
	s.now = now
	s.updateCPUTotals(now)
	s.queue.demoteLate(now)
	s.endStep(now)
	cycle := &cycle{unplaceable: map[stepID]bool{}}
	s.starving = s.starving[:0]
	s.placeUnits(now, cycle, func(unit *Unit) bool { return !s.failsEverywhere(unit) })
	if len(s.evidence.neverDone) > 0 {
		s.placeUnits(now, cycle, s.failsEverywhere)
	}
	s.beginStep(now)
	return cycle.decisions
}

// cycle is the state of a scheduling cycle.
type cycle struct {
	decisions   []Decision
	unplaceable map[stepID]bool // steps with a task that found no worker in this cycle
}

// placeUnits goes through those units of the queue that included names, in their order. Units whose step fails everywhere
// come after all others, whatever their priority: their runs are most likely in vain.
func (s *Scheduler) placeUnits(now time.Duration, cycle *cycle, included func(*Unit) bool) {
	for i := 0; i < len(s.queue) && len(cycle.unplaceable) < maxUnplaceableSteps; {
		unit := s.queue[i]
		step := stepID{unit.Job.ID, unit.StepKey}
		if cycle.unplaceable[step] || !included(unit) {
			i++
			continue
		}
		workers := s.selectWorkers(now, unit)
		if workers == nil {
			cycle.unplaceable[step] = true
			s.noteStarving(unit)
			i++
			continue
		}
		s.queue.removeAt(i)
		cycle.decisions = append(cycle.decisions, s.reserve(now, unit, workers))
		s.beginStep(now)
		s.endStep(now)
	}
}

// selectWorkers returns the workers for the unit: one for a single task, or one for each member of a gang. It returns nil if
// the unit has to wait.
//
// Faults say where a unit had better not run. They don't keep it from the only workers on which it fits: not from a worker
// that is to be avoided, and once it starves, not from one in backoff. A unit that waits for a faster worker waits on.
func (s *Scheduler) selectWorkers(now time.Duration, unit *Unit) []string {
	workers, waits := s.selectWorkersBy(now, unit, avoidSuspects)
	if workers != nil || !s.anyAvoided {
		return workers
	}
	switch {
	case s.isStarving(unit):
		workers, _ = s.selectWorkersBy(now, unit, ignoreBackoff)
	case !waits:
		workers, _ = s.selectWorkersBy(now, unit, tryOneTask)
	}
	return workers
}

// selectWorkersBy does so by one rule. Waits is set if the unit had better wait than take the workers that it could have.
func (s *Scheduler) selectWorkersBy(now time.Duration, unit *Unit, rule backoffRule) (workers []string, waits bool) {
	var slower *slowerChoice
	if unit.Step().Gang {
		workers, slower = s.findGang(now, unit, rule)
	} else {
		workers, slower = s.findWorker(now, unit, rule)
	}
	if workers != nil && slower != nil && !s.accepts(now, unit, slower) {
		return nil, true
	}
	return workers, false
}

// reserve reserves the unit's demand at the workers, and returns the decision.
func (s *Scheduler) reserve(now time.Duration, unit *Unit, workers []string) Decision {
	s.urgent.recordWait(now, unit)
	demand := unit.Step().Demand()
	for _, id := range workers {
		worker := s.workers[id]
		s.freeCPU -= worker.freeCPU()
		worker.reserved = worker.reserved.Plus(demand)
		s.freeCPU += worker.freeCPU()
	}
	return Decision{Unit: unit, Workers: workers, Alternatives: s.alternatives(unit, workers)}
}

// ReleaseReservation releases the reservation of a decision at a worker, once the decision's outcome is known.
func (s *Scheduler) ReleaseReservation(worker string, demand job.Resources) {
	if known := s.workers[worker]; known != nil {
		known.reserved = known.reserved.Minus(demand)
	}
}
