package placement

import "time"

// Waiting says why a unit has found no place: how many workers fall out for which reason.
type Waiting struct {
	Job      string
	Step     int
	For      time.Duration
	Unable   int // wrong label, draining or too small
	Paused   int // left alone for a while after runs that did not end well
	Apart    int // hold as many tasks of the step as may be together
	Full     int
	Reserved int // would have room, but for what is kept free for urgent tasks
	Slower   int // have room, but faster ones are worth waiting for
}

// Explain lists units that have waited for longer than the given time, one for each step.
func (p *Placer) Explain(now, longerThan time.Duration) []Waiting {
	var list []Waiting
	seen := map[stepOf]bool{}
	for _, unit := range p.queue {
		step := stepOf{unit.Job.ID, unit.Key}
		if now-unit.Since <= longerThan || seen[step] {
			continue
		}
		seen[step] = true
		list = append(list, p.explain(now, unit))
	}
	return list
}

func (p *Placer) explain(now time.Duration, unit *Unit) Waiting {
	step := unit.Step()
	asks, reserve := step.Asks(), p.reserve(unit)
	waiting := Waiting{Job: unit.Job.ID, Step: unit.Key.Step, For: now - unit.Since}
	for _, worker := range p.list {
		switch {
		case !able(worker, step):
			waiting.Unable++
		case now < worker.pauseUntil:
			waiting.Paused++
		case !worker.room().Holds(asks):
			waiting.Full++
		case !p.fits(worker, asks, reserve):
			waiting.Reserved++
		case step.AntiAffinity > 0 && unit.Job.CountAt(unit.Key, worker.ID) >= step.AntiAffinity:
			waiting.Apart++
		default:
			waiting.Slower++
		}
	}
	return waiting
}
