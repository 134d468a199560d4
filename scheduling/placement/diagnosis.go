package placement

import "time"

// Diagnosis says why a unit waits: how many workers are ruled out for which reason.
// Each worker counts once.
type Diagnosis struct {
	Job          string
	Step         int
	Waited       time.Duration
	Infeasible   int // draining, too small, or without the label
	BackedOff    int // after faults
	AntiAffinity int // has as many tasks of the step as one worker may have
	Exhausted    int // the demand does not fit beside what is in use and reserved
	Reserved     int // it would fit, but for what is kept free for urgent tasks
	Deferred     int // feasible, but slower than others that are worth waiting for
}

// ExplainWaiting diagnoses units that have waited for longer than the given time, one for each step.
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
	demand, headroom := step.Demand(), s.headroomFor(unit)
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
