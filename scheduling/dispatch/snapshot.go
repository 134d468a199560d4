package dispatch

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"
)

// snapshotVersion is the version of the encoding below; a snapshot of another version is ignored. Processes
// of other versions and package speeds read the JSON keys, so the keys must not change when Go names do.
const snapshotVersion = 1

// snapshot holds all estimates that a dispatcher has learned. It holds no requests or attempts: these end in
// the process where they began. Times are on the host's clock, in ns; logarithms are natural, of seconds.
type snapshot struct {
	Version           int                         `json:"Version"`
	SpeedsOnly        bool                        `json:"Speeds"` // speeds only, for a running dispatcher
	LogMeanRun        float64                     `json:"MeanRun"`
	LogFleetSlowness  float64                     `json:"MidSlow"`
	MeanStep          float64                     `json:"MeanStep"` // of the actor-critic learner, in seconds
	AverageCost       float64                     `json:"Eta"`
	QueueWeight       float64                     `json:"Omega0"`
	OvercommitSeconds float64                     `json:"ForceGap"`
	StartDelay        [2]float64                  `json:"StartDelay"`
	Kinds             []kindSnapshot              `json:"Kinds"`
	Classes           map[string][2]float64       `json:"Classes"` // logWork and evidence
	Workers           map[WorkerID]workerSnapshot `json:"Workers"`
}

type kindSnapshot struct {
	LogSlowness float64 `json:"Slow"`
	Evidence    float64 `json:"Seen"`
	Slots       float64 `json:"Slots"`
}

type workerSnapshot struct {
	Launched     time.Duration `json:"Launched"`
	BackoffUntil time.Duration `json:"TrialAt"`
	ReportAt     time.Duration `json:"ReportAt"`
	LogSlowness  float64       `json:"Slow"`
	Evidence     float64       `json:"Seen"`
	LogLateness  float64       `json:"Late"`
	ErrorShare   float64       `json:"Bad"`
	SlotLimit    float64       `json:"Limit"`
	Theta        float64       `json:"Theta"`
	Omega        float64       `json:"Omega"`
	Free         float64       `json:"Free"`
	FreeMemory   float64       `json:"FreeMem"`
	MeanFree     float64       `json:"FreeMean"`
	Backoffs     int           `json:"Misses"`
	Updates      int           `json:"Visits"`
	ReportKnown  bool          `json:"Reported"`
}

func (d *dispatcher) Snapshot() []byte {
	s := snapshot{
		Version:    snapshotVersion,
		LogMeanRun: d.speeds.logMeanRun, LogFleetSlowness: d.speeds.logFleetSlowness,
		MeanStep: d.learner.meanStep, AverageCost: d.learner.averageCost, QueueWeight: d.learner.queueWeight,
		OvercommitSeconds: d.overcommit.gapSeconds, StartDelay: d.speeds.startDelay,
		Classes: map[string][2]float64{}, Workers: map[WorkerID]workerSnapshot{},
	}
	for _, k := range d.fleet.kinds {
		s.Kinds = append(s.Kinds, kindSnapshot{k.logSlowness, k.evidence, k.slots.seen})
	}
	for name, c := range d.speeds.classes {
		s.Classes[name] = [2]float64{c.logWork, c.evidence}
	}
	for _, w := range d.fleet.ranked { // listed workers only; others start without estimates when they return
		s.Workers[w.ID] = w.snapshot()
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil // a value is NaN or infinite: hand over no snapshot rather than fail
	}
	return text
}

func (w *worker) snapshot() workerSnapshot {
	return workerSnapshot{
		Launched: w.Launched, BackoffUntil: w.limit.backoffUntil, ReportAt: w.report.receivedAt,
		LogSlowness: w.speed.logSlowness, Evidence: w.speed.evidence, LogLateness: w.speed.logLateness,
		ErrorShare: w.errorShare, SlotLimit: w.limit.slots,
		Theta: w.threshold.theta, Omega: w.threshold.omega,
		Free: w.report.free, FreeMemory: w.report.freeMemory, MeanFree: w.report.meanFree,
		Backoffs: w.limit.backoffs, Updates: w.threshold.updates, ReportKnown: w.report.known,
	}
}

func (w *worker) restore(s workerSnapshot) {
	w.Launched = s.Launched
	w.limit = slotLimit{slots: s.SlotLimit, backoffUntil: s.BackoffUntil, backoffs: s.Backoffs}
	w.report = loadReport{
		receivedAt: s.ReportAt, known: s.ReportKnown,
		free: s.Free, freeMemory: s.FreeMemory, meanFree: s.MeanFree,
	}
	w.speed = workerSpeed{logSlowness: s.LogSlowness, evidence: s.Evidence, logLateness: s.LogLateness}
	w.threshold = softThreshold{theta: s.Theta, omega: s.Omega, updates: s.Updates}
	w.errorShare = s.ErrorShare
}

func (d *dispatcher) Restore(text []byte) {
	var s snapshot
	if json.Unmarshal(text, &s) != nil || s.Version != snapshotVersion {
		return
	}
	if s.SpeedsOnly {
		d.restoreSpeeds(s)
		return
	}
	d.speeds.logMeanRun, d.speeds.logFleetSlowness = s.LogMeanRun, s.LogFleetSlowness
	d.speeds.meanRun = seconds(math.Exp(s.LogMeanRun))
	d.speeds.startDelay = s.StartDelay
	d.overcommit.gapSeconds = s.OvercommitSeconds
	for _, k := range s.Kinds {
		kind := workerKind{logSlowness: k.LogSlowness, evidence: k.Evidence, slots: kindSlots{seen: k.Slots}}
		d.fleet.kinds = append(d.fleet.kinds, kind)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		own, c := d.speeds.classOf(&Class{Name: name}), s.Classes[name]
		own.logWork, own.evidence = c[0], c[1]
	}
	l := &d.learner
	l.meanStep, l.averageCost, l.queueWeight = s.MeanStep, s.AverageCost, s.QueueWeight
	l.squaredLength = l.queueWeight * l.queueWeight
	for _, id := range slices.Sorted(maps.Keys(s.Workers)) { // fixed order, for the same rounding of the sum
		w := d.fleet.findOrAddWorker(id, d.Fleet.Index)
		w.restore(s.Workers[id])
		l.squaredLength += w.threshold.omega * w.threshold.omega
	}
}

// restoreSpeeds adopts the speeds in s of those kinds and classes for which this dispatcher has less
// evidence. It adopts the mean run time only before this dispatcher has seen any run.
func (d *dispatcher) restoreSpeeds(s snapshot) {
	noEvidence := true
	for _, c := range d.speeds.classes {
		noEvidence = noEvidence && c.evidence == 0
	}
	if noEvidence {
		d.speeds.logMeanRun, d.speeds.meanRun = s.LogMeanRun, seconds(math.Exp(s.LogMeanRun))
	}
	for i, k := range s.Kinds {
		if i == len(d.fleet.kinds) {
			d.fleet.kinds = append(d.fleet.kinds, newWorkerKind())
		}
		if own := &d.fleet.kinds[i]; own.evidence < k.Evidence {
			own.logSlowness, own.evidence = k.LogSlowness, k.Evidence
			own.slots.seen = max(own.slots.seen, k.Slots)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		if own := d.speeds.classOf(&Class{Name: name}); own.evidence < c[1] {
			own.logWork, own.evidence = c[0], c[1]
		}
	}
}
