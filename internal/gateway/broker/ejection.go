package broker

// This file applies what the fleet has decided together of workers: outlier ejection. To the module it is a fact of the
// worker; nothing here keeps a worker from use by itself.

import (
	"cmp"

	"yardflow/internal/fleet/outlier"
	"yardflow/scheduling/dispatch"
)

// SetOutlierReporter sets who reports to the fleet how attempts end at workers, by the clock of SetLimiter. Before any
// request.
func (b *Broker) SetOutlierReporter(reporter *outlier.Reporter) { b.outlierReporter = reporter }

// ApplyEjections makes exactly these ejections the ones in force. A notice without a trial ends a worker's probation
// unless it is an update, which never speaks of trials: the probation goes on then.
func (b *Broker) ApplyEjections(notices []outlier.EjectionNotice, update bool) {
	bySubject := map[outlier.Incarnation]outlier.EjectionNotice{}
	for _, notice := range notices {
		bySubject[notice.Subject] = notice
	}
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	var changed []dispatch.Worker
	for _, w := range b.workers.byID {
		notice, ejected := bySubject[w.incarnation()]
		if ejected && update && w.healthOf == notice.Subject && w.health != dispatch.Healthy {
			continue
		}
		health := w.healthUnder(notice, ejected)
		if notice.Trial != 0 {
			w.trial = notice.Trial
		}
		if health != w.health || ejected && w.healthOf != notice.Subject {
			w.health, w.healthOf = health, w.incarnation()
			changed = append(changed, b.workers.entry(w))
		}
	}
	if len(changed) > 0 {
		b.postWorkerList(dispatch.ListOverride, changed)
	}
}

// healthUnder returns the health that a notice gives a worker. A notice with a trial is probation, once: its one job uses
// the trial up, and the same trial again changes nothing.
func (w *workerState) healthUnder(notice outlier.EjectionNotice, ejected bool) dispatch.Health {
	switch {
	case !ejected:
		return dispatch.Healthy
	case notice.Trial != 0 && notice.Trial != w.trial:
		return dispatch.OnProbation
	case notice.Trial != 0 && w.healthOf == notice.Subject:
		return w.health
	}
	return dispatch.Ejected
}

// startTrial uses up the trial of a worker on probation: the job that is sent to it now is the only one. The caller holds
// the table's mu.
func (b *Broker) startTrial(w *workerState) {
	if w.health != dispatch.OnProbation || w.incarnation() != w.healthOf {
		return
	}
	w.health = dispatch.Ejected
	b.outlierReporter.StartTrial(b.limits.now(), w.healthOf, w.trial)
	b.postWorkerList(dispatch.ListOverride, []dispatch.Worker{b.workers.entry(w)})
}

// failureWeights are how much an outcome counts against a worker, in thousandths of a job. A connection that was lost may
// be the network's fault, so it counts half; what was cancelled or never sent counts against nobody.
var failureWeights = map[Code]int64{
	Failed:         outlier.OneJob,
	TimedOut:       outlier.OneJob,
	ConnectFailed:  outlier.OneJob,
	ConnectionLost: outlier.OneJob / 2,
}

// reportOutcome reports to the fleet how an attempt ended at a worker's incarnation.
func (b *Broker) reportOutcome(incarnation outlier.Incarnation, code Code) {
	if weight := failureWeights[code]; weight > 0 || code == OK {
		b.outlierReporter.Observe(b.limits.now(), incarnation, code == OK, cmp.Or(weight, outlier.OneJob))
	}
}
