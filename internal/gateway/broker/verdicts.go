package broker

// This file owns what the fleet's verdicts on workers mean here: facts that the module is handed
// with a worker, until they are too old. It must never keep a worker from use by itself.

import (
	"cmp"

	"yardflow/internal/fleet/outlier"
	"yardflow/scheduling/dispatch"
)

// SetOutlierReporter sets who notes what is seen of workers, by the clock of Limit. Before any request.
func (b *Broker) SetOutlierReporter(w *outlier.Reporter) { b.outlierReporter = w }

// ListedWorkers is how many workers the list has.
func (b *Broker) ListedWorkers() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.workersByID {
		if p.told.State != dispatch.Removed {
			n++
		}
	}
	return n
}

// ApplyEjections makes exactly these verdicts the ones that hold here. Trials that were given before go on
// where news tells of none.
func (b *Broker) ApplyEjections(all []outlier.EjectionNotice, news bool) {
	next := map[outlier.Incarnation]outlier.EjectionNotice{}
	for _, v := range all {
		next[v.Subject] = v
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []dispatch.Worker
	for _, p := range b.workersByID {
		v, condemned := next[p.of()]
		is := dispatch.Healthy
		switch {
		case !condemned:
		case news && p.judged == v.Subject && p.verdict != dispatch.Healthy:
			continue
		case v.Trial != 0 && v.Trial != p.trial:
			is = dispatch.OnProbation
		case v.Trial != 0 && p.judged == v.Subject:
			is = p.verdict // it has it already
		default:
			is = dispatch.Ejected
		}
		if v.Trial != 0 {
			p.trial = v.Trial
		}
		if is != p.verdict || condemned && p.judged != v.Subject {
			p.verdict, p.judged = is, p.of()
			list = append(list, b.entry(p))
		}
	}
	if len(list) > 0 {
		b.queueWorkerList(dispatch.ListOverride, list)
	}
}

// onTrial notes that a job goes to a worker, which may be its trial: it has no more than that
// one. The caller holds mu.
func (b *Broker) onTrial(p *workerState) {
	if p.verdict != dispatch.OnProbation || p.of() != p.judged {
		return
	}
	p.verdict = dispatch.Ejected
	b.outlierReporter.StartTrial(b.limiterClock(), p.judged, p.trial)
	b.queueWorkerList(dispatch.ListOverride, []dispatch.Worker{b.entry(p)})
}

// weights are what an outcome tells against a worker, in thousandths of a job. What never reached
// it whole may be the way's fault, and what was called off is nobody's.
var weights = map[Code]int64{Failed: outlier.OneJob, TimedOut: outlier.OneJob, ConnectFailed: outlier.OneJob, ConnectionLost: outlier.OneJob / 2}

func (b *Broker) testify(of outlier.Incarnation, code Code) {
	if weight := weights[code]; weight > 0 || code == OK {
		b.outlierReporter.Observe(b.limiterClock(), of, code == OK, cmp.Or(weight, outlier.OneJob))
	}
}
