package placement

import "time"

// Diagnosis says why a unit has found no place: how many workers fall out for which reason.
type Diagnosis struct {
	Job          string
	Step         int
	Waited       time.Duration
	Infeasible   int // wrong label, draining or too small
	BackedOff    int // left alone for a while after runs that did not end well
	AntiAffinity int // hold as many tasks of the step as may be together
	Exhausted    int
	Reserved     int // would have room, but for what is kept free for urgent tasks
	Deferred     int // have room, but faster ones are worth waiting for
}

// ExplainWaiting lists units that have waited for longer than the given time, one for each step.
func (p *Scheduler) ExplainWaiting(now, longerThan time.Duration) []Diagnosis {
	var list []Diagnosis
	seen := map[stepOf]bool{}
	for _, unit := range p.queue {
		step := stepOf{unit.Job.ID, unit.StepKey}
		if now-unit.EnqueuedAt <= longerThan || seen[step] {
			continue
		}
		seen[step] = true
		list = append(list, p.explain(now, unit))
	}
	return list
}

func (p *Scheduler) explain(now time.Duration, unit *Unit) Diagnosis {
	step := unit.Step()
	asks, reserve := step.Demand(), p.reserve(unit)
	waiting := Diagnosis{Job: unit.Job.ID, Step: unit.StepKey.Step, Waited: now - unit.EnqueuedAt}
	for _, worker := range p.list {
		switch {
		case !able(worker, step):
			waiting.Infeasible++
		case now < worker.pauseUntil:
			waiting.BackedOff++
		case !worker.room().Covers(asks):
			waiting.Exhausted++
		case !p.fits(worker, asks, reserve):
			waiting.Reserved++
		case step.AntiAffinity > 0 && unit.Job.CountPlacedAt(unit.StepKey, worker.ID) >= step.AntiAffinity:
			waiting.AntiAffinity++
		default:
			waiting.Deferred++
		}
	}
	return waiting
}
