package placement

import "time"

// Diagnosis explains why a unit waits: the number of workers ruled out, by reason. Each worker counts once.
type Diagnosis struct {
	Job          string
	Step         int
	Waited       time.Duration
	Infeasible   int // draining, too small, or without the required label
	BackedOff    int // in backoff after faults
	AntiAffinity int // the worker has as many tasks of the step as anti-affinity allows
	Exhausted    int // the demand exceeds the capacity that is neither in use nor reserved
	Reserved     int // the demand fits, but would use the headroom for urgent tasks
	Deferred     int // feasible, but slower than workers for which the unit waits
}

// ExplainWaiting returns a diagnosis for each step with a unit that has waited for longer than the given time.
func (s *Scheduler) ExplainWaiting(now, longerThan time.Duration) []Diagnosis {
	var diagnoses []Diagnosis
	seen := map[stepID]bool{}
	for _, unit := range s.queue {
		step := stepID{unit.Job.ID, unit.StepKey}
		if now-unit.EnqueuedAt <= longerThan || seen[step] {
			continue
		}
		seen[step] = true
		diagnoses = append(diagnoses, s.diagnose(now, unit))
	}
	return diagnoses
}

func (s *Scheduler) diagnose(now time.Duration, unit *Unit) Diagnosis {
	step := unit.Step()
	demand, headroom := step.Demand(), s.requiredHeadroom(unit)
	placed := placedPerWorker(unit)
	diagnosis := Diagnosis{Job: unit.Job.ID, Step: unit.StepKey.Step, Waited: now - unit.EnqueuedAt}
	for _, worker := range s.workerList {
		switch {
		case !eligible(worker, step):
			diagnosis.Infeasible++
		case now < worker.backoffUntil:
			diagnosis.BackedOff++
		case !worker.available().Covers(demand):
			diagnosis.Exhausted++
		case !s.fits(worker, demand, headroom):
			diagnosis.Reserved++
		case step.AntiAffinity > 0 && placed[worker.id] >= step.AntiAffinity:
			diagnosis.AntiAffinity++
		default:
			diagnosis.Deferred++
		}
	}
	return diagnosis
}
