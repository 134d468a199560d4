// Package placement decides which tasks of a dispatcher's queue go to which workers, and when. A scheduling cycle takes the
// units of the queue in order; for each it filters the workers that are feasible, ranks them by speed and by how well they
// are filled, and either takes the best one or, where faster ones are merely full, lets the ACHQ threshold of package achq
// decide whether to take a slower worker or to wait.
//
// What it decides is a proposal: other dispatchers place on the same workers, and the replicated state commits or refuses.
// Until then the resources are reserved here. It never preempts.
//
// The package has no I/O and no clock; randomness comes from the seed alone, so the same calls give the same decisions. A
// Scheduler is not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"yardflow/scheduling/achq"
	"yardflow/scheduling/job"
)

// maxUnplaceableSteps is how many steps may turn out to have no worker before a cycle ends: it bounds the time of a cycle
// behind a long queue that waits for resources.
const maxUnplaceableSteps = 100

// Scheduler places the tasks of one service. Its dispatcher feeds it the workers and units, and carries its decisions out.
type Scheduler struct {
	remoteFactor float64 // how many times as long work takes away from its data
	random       *rand.Rand
	peers        int // dispatchers that place on the same workers, this one included
	now          time.Duration

	workers      map[string]*workerState
	workerList   []*workerState     // by ID, so that the order of equals does not change
	kindSlowness map[string]float64 // ln of a kind's run times against their estimates

	queue      queue
	candidates []candidate // for the unit that was ranked last

	learner      achq.Learner
	stepBegan    time.Duration // of the learner's open step
	runningTasks int

	// Thousandths of cores of the service; see countFreeCPU.
	freeCPU    float64 // of workers that may be given work
	totalCPU   float64 // of the same workers
	usedCPU    float64 // of all workers that do not drain
	serviceCPU float64 // of the same workers
	urgent     urgentHeadroom
}

// New returns a scheduler without workers. RemoteFactor is how many times as long work takes away from its data.
func New(remoteFactor float64, seed uint64) *Scheduler {
	return &Scheduler{remoteFactor: max(remoteFactor, 1), peers: 1, random: rand.New(rand.NewPCG(seed, 1)),
		workers: map[string]*workerState{}, kindSlowness: map[string]float64{}}
}

// SetPeers records how many dispatchers place on the same workers, this one included.
func (s *Scheduler) SetPeers(count int) { s.peers = max(count, 1) }

// stepID identifies one repetition of a step of a job, whose tasks have the same demand.
type stepID struct {
	job string
	key job.StepKey
}

// Schedule runs a scheduling cycle and returns its decisions. The units decided upon are no longer queued, and their
// demand is reserved until ReleaseReservation.
func (s *Scheduler) Schedule(now time.Duration) []Decision {
	if len(s.queue) == 0 {
		return nil
	}
	var decisions []Decision
	s.now = now
	s.countFreeCPU(now)
	s.queue.demoteLate(now)
	s.endStep(now)
	unplaceable := map[stepID]bool{} // steps of which a task found no worker in this cycle
	for i := 0; i < len(s.queue) && len(unplaceable) < maxUnplaceableSteps; {
		unit := s.queue[i]
		step := stepID{unit.Job.ID, unit.StepKey}
		if unplaceable[step] {
			i++
			continue
		}
		workers := s.selectWorkers(now, unit)
		if workers == nil {
			unplaceable[step] = true
			i++
			continue
		}
		s.queue.removeAt(i)
		decisions = append(decisions, s.reserve(now, unit, workers))
		s.beginStep(now)
		s.endStep(now)
	}
	s.beginStep(now)
	return decisions
}

// selectWorkers returns where the unit goes now: a worker, or one for each member of a gang. It returns nil where the unit
// has to wait.
func (s *Scheduler) selectWorkers(now time.Duration, unit *Unit) []string {
	var workers []string
	var slower *slowerChoice
	if unit.Step().Gang {
		workers, slower = s.findGang(now, unit)
	} else {
		workers, slower = s.findWorker(now, unit)
	}
	if workers == nil || slower != nil && !s.accepts(now, unit, slower) {
		return nil
	}
	return workers
}

// reserve takes the unit's demand out of what is free at the workers, and returns the decision.
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

// ReleaseReservation gives back what a decision had reserved at a worker, once its outcome is known.
func (s *Scheduler) ReleaseReservation(worker string, demand job.Resources) {
	if known := s.workers[worker]; known != nil {
		known.reserved = known.reserved.Minus(demand)
	}
}
