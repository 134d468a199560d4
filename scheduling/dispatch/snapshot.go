package dispatch

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"
)

// snapshotVersion is that of the form below; one of another version is ignored. Its JSON keys are read
// by processes of other versions and by package speeds, so they stay where Go names change.
const snapshotVersion = 1

// snapshot is all that was learned, with nothing of requests or attempts in it: those end where
// they began. Times are on the host's clock, in ns; logarithms are natural, of seconds.
type snapshot struct {
	Version           int                         `json:"Version"`
	SpeedsOnly        bool                        `json:"Speeds"` // for a dispatcher that is at work
	LogMeanRun        float64                     `json:"MeanRun"`
	LogFleetSlowness  float64                     `json:"MidSlow"`
	MeanStep          float64                     `json:"MeanStep"` // of the learner, in seconds
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
	for _, w := range d.fleet.ranked { // the listed ones: others start anew when they are back
		s.Workers[w.ID] = w.snapshot()
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil // a figure that is not a number: better nothing than a fault
	}
	return text
}

func (w *worker) snapshot() workerSnapshot {
	return workerSnapshot{
		Launched: w.Launched, BackoffUntil: w.limit.backoffUntil, ReportAt: w.report.at,
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
		at: s.ReportAt, known: s.ReportKnown, free: s.Free, freeMemory: s.FreeMemory, meanFree: s.MeanFree,
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
	for _, id := range slices.Sorted(maps.Keys(s.Workers)) { // in one order, so that the sum has the same last bits
		w := d.fleet.findOrAddWorker(id, d.Fleet.Index)
		w.restore(s.Workers[id])
		l.squaredLength += w.threshold.omega * w.threshold.omega
	}
}

// restoreSpeeds takes in what others know of kinds and classes of which less is known here.
func (d *dispatcher) restoreSpeeds(s snapshot) {
	fresh := true
	for _, c := range d.speeds.classes {
		fresh = fresh && c.evidence == 0
	}
	if fresh {
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
