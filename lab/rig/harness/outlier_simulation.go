package harness

// This file simulates outlier ejection in virtual time: dispatchers send jobs to workers, some of them unhealthy, and report
// to the coordinators' detector what they see. It counts what is lost at unhealthy workers, with ejection by the fleet and
// without. The same seed gives the same run.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/internal/fleet/outlier"
)

// OutlierSimulation is one simulation.
type OutlierSimulation struct {
	Seed                        uint64
	Dispatchers, Workers, Zones int
	Rate                        float64 // jobs a second at each dispatcher
	Errors                      float64 // share of the jobs that fail at a healthy worker
	EjectByFleet                bool    // the fleet ejects workers
	Length                      time.Duration
	ReportInterval              time.Duration // between two reports of a dispatcher
	// Unhealthy tells whether a worker fails the jobs of a dispatcher in a zone at a moment; nil: none does.
	Unhealthy func(at time.Duration, zone, worker int) bool
	// Liars report of all workers, healthy or not, that they fail.
	Liars int
	// Disconnected tells whether a dispatcher does not reach the coordinators at a moment; nil: all do.
	Disconnected func(at time.Duration, dispatcher int) bool
}

// OutlierResult is the result of an OutlierSimulation.
type OutlierResult struct {
	LostJobs        int           // jobs that failed at workers while these were unhealthy
	Ejections       int           // ejections
	WrongEjections  int           // of these, on workers that were healthy all the while
	MaxEjected      int           // workers ejected at once
	Avoided95       time.Duration // from when the first worker is unhealthy until 95% of the dispatchers send nothing there
	AvoidedByAll    time.Duration // and until all
	ReinstatedAfter time.Duration // from when all are healthy again until all may be used by all
	OldestNotice    time.Duration // age of an ejection notice that was used
	ReportBytes     float64       // a second, of each dispatcher's reports
}

const (
	outlierStep          = 10 * time.Millisecond  // of the simulation
	evaluationInterval   = 100 * time.Millisecond // of the detector
	ownAvoidance         = 5 * time.Second        // for which a dispatcher avoids a worker that failed its own job
	maxWorkerDraws       = 4                      // for one job
	healthyAgainMargin   = 20 * time.Second       // after which an ejection of a worker that was unhealthy counts as wrong
	outlierReportBytes   = 40
	outlierPolicyRenewal = 3 // leases last so many intervals of reports
)

// outlierDispatcher is one dispatcher of the simulation.
type outlierDispatcher struct {
	index      int
	name       string
	zone       int
	reporter   *outlier.Reporter
	nextReport time.Duration
	reportedAt time.Duration
	notices    []outlier.EjectionNotice
	noticesAt  time.Duration
	avoided    map[int]time.Duration // by its own knowledge, until then
	trials     map[int]uint64        // that it has yet to make, by worker
	made       map[uint64]bool
}

// ejects reports whether the dispatcher has a notice that a worker is ejected.
func (d *outlierDispatcher) ejects(worker int) bool {
	return slices.ContainsFunc(d.notices, func(n outlier.EjectionNotice) bool { return n.Subject == outlierWorker(worker) })
}

// outlierWorker names a worker. All are of one incarnation.
func outlierWorker(worker int) outlier.Incarnation {
	return outlier.Incarnation{Worker: fmt.Sprint("s-", worker), Started: 1}
}

// outlierRun is an OutlierSimulation under way.
type outlierRun struct {
	OutlierSimulation
	random       *rand.Rand
	now          time.Duration
	detector     *outlier.Detector
	dispatchers  []*outlierDispatcher
	unhealthyAt  time.Duration // when the first worker became unhealthy; 0: none has
	healthyAt    time.Duration // when all were healthy again; 0: not yet
	reportBytes  int
	revision     uint64 // of the detector, at the end of the last step
	prevRevision uint64 // and of the one before: watches bring it a step later
	ejected      map[outlier.Incarnation]bool
	result       OutlierResult
}

// Run simulates for the whole length.
func (j OutlierSimulation) Run() OutlierResult {
	r := newOutlierRun(j)
	for ; r.now < j.Length; r.now += outlierStep {
		r.step()
	}
	r.result.ReportBytes = float64(r.reportBytes) / j.Length.Seconds() / float64(j.Dispatchers)
	return r.result
}

func newOutlierRun(j OutlierSimulation) *outlierRun {
	settings := outlier.DefaultSettings()
	r := &outlierRun{OutlierSimulation: j, random: rand.New(rand.NewPCG(j.Seed, 41)), detector: outlier.NewDetector(), ejected: map[outlier.Incarnation]bool{}}
	r.detector.Configure(&settings)
	for i := range j.Dispatchers {
		r.dispatchers = append(r.dispatchers, &outlierDispatcher{index: i, name: fmt.Sprint("d", i), zone: i % max(j.Zones, 1),
			reporter: outlier.NewReporter(settings.HalfLife, 1), avoided: map[int]time.Duration{}, trials: map[int]uint64{}, made: map[uint64]bool{},
			nextReport: time.Duration(r.random.Float64() * float64(j.ReportInterval))})
	}
	return r
}

// unhealthy reports whether a worker fails the jobs of a zone now.
func (r *outlierRun) unhealthy(zone, worker int) bool {
	return r.Unhealthy != nil && r.Unhealthy(r.now, zone, worker)
}

// unhealthyZones returns for how many zones a worker is unhealthy now.
func (r *outlierRun) unhealthyZones(worker int) (count int) {
	for zone := range max(r.Zones, 1) {
		if r.unhealthy(zone, worker) {
			count++
		}
	}
	return count
}

func (r *outlierRun) step() {
	r.observeHealth()
	if r.now%evaluationInterval == 0 && r.EjectByFleet {
		r.detector.Evaluate(r.now)
	}
	for _, d := range r.dispatchers {
		r.stepDispatcher(d)
	}
	r.prevRevision = r.revision
	r.revision = r.detector.Revision
	r.countEjections()
	r.measureKnowledge()
}

// observeHealth records when the first worker becomes unhealthy, and when all are healthy again.
func (r *outlierRun) observeHealth() {
	any := false
	for worker := range r.Workers {
		any = any || r.unhealthyZones(worker) > 0
	}
	if any && r.unhealthyAt == 0 {
		r.unhealthyAt = r.now
	}
	if r.unhealthyAt > 0 && !any && r.healthyAt == 0 {
		r.healthyAt = r.now
	}
}

func (r *outlierRun) stepDispatcher(d *outlierDispatcher) {
	connected := r.Disconnected == nil || !r.Disconnected(r.now, d.index)
	if r.now-d.noticesAt > outlierPolicyRenewal*r.ReportInterval {
		d.notices, d.trials = nil, map[int]uint64{}
	}
	if r.EjectByFleet && connected && (r.now >= d.nextReport || d.reporter.Urgent() && r.now-d.reportedAt >= r.ReportInterval/4) {
		r.report(d)
	}
	if r.EjectByFleet && connected && r.prevRevision != r.detector.Revision && r.now-d.noticesAt > 2*outlierStep { // by a watch
		d.notices = slices.DeleteFunc(r.detector.Notices(), func(n outlier.EjectionNotice) bool {
			return n.Zone != outlier.AllZones && n.Zone != d.zone
		})
	}
	if r.random.Float64() < r.Rate*outlierStep.Seconds() {
		r.sendJob(d)
	}
}

// report sends a dispatcher's reports to the detector and takes in what that notifies it of.
func (r *outlierRun) report(d *outlierDispatcher) {
	d.reportedAt, d.nextReport = r.now, r.now+time.Duration(float64(r.ReportInterval)*(0.8+0.2*r.random.Float64()))
	reports := d.reporter.Reports(r.now)
	if d.index < r.Liars {
		reports = r.lies()
	}
	r.reportBytes += outlierReportBytes * len(reports)
	r.detector.AddReports(r.now, d.name, d.zone, r.Workers, reports)
	r.detector.Evaluate(r.now)
	notices, suspects := r.detector.NoticesFor(r.now, d.name, d.zone)
	d.reporter.Reinstated(d.notices, notices)
	d.notices, d.noticesAt = notices, r.now
	clear(d.trials)
	for _, notice := range notices {
		if notice.Trial != 0 && !d.made[notice.Trial] {
			r.scheduleTrial(d, notice)
		}
	}
	d.reporter.SetSuspects(suspects)
}

func (r *outlierRun) scheduleTrial(d *outlierDispatcher, notice outlier.EjectionNotice) {
	for worker := range r.Workers {
		if outlierWorker(worker) == notice.Subject {
			d.trials[worker] = notice.Trial
		}
	}
}

// lies returns reports against all workers, of this incarnation and of one to come, with figures beyond all bounds.
func (r *outlierRun) lies() (reports []outlier.Report) {
	for worker := range r.Workers {
		subject := outlierWorker(worker)
		reports = append(reports, outlier.Report{Subject: subject, Sequence: uint64(r.now) + 1, Failures: 1 << 60},
			outlier.Report{Subject: outlier.Incarnation{Worker: subject.Worker, Started: 1 << 60}, Sequence: uint64(r.now) + 1, Failures: 1 << 60, Age: -1 << 60})
	}
	return reports
}

// sendJob sends one job to a worker drawn among those that are in use.
func (r *outlierRun) sendJob(d *outlierDispatcher) {
	for range maxWorkerDraws {
		worker := r.random.IntN(r.Workers)
		for trial := range d.trials {
			worker = trial // one at the most: made with the next job
		}
		ejected, trial := d.ejects(worker), d.trials[worker]
		if ejected && trial == 0 || !ejected && d.avoided[worker] > r.now {
			continue
		}
		if ejected {
			r.result.OldestNotice = max(r.result.OldestNotice, r.now-d.noticesAt)
			d.made[trial] = true
			delete(d.trials, worker)
			d.reporter.StartTrial(r.now, outlierWorker(worker), trial)
		}
		r.runJob(d, worker)
		return
	}
}

func (r *outlierRun) runJob(d *outlierDispatcher, worker int) {
	fails := r.unhealthy(d.zone, worker)
	if fails {
		r.result.LostJobs++
	}
	fails = fails || r.random.Float64() < r.Errors
	d.reporter.Observe(r.now, outlierWorker(worker), !fails, outlier.OneJob)
	if fails {
		d.avoided[worker] = r.now + ownAvoidance
	}
}

// countEjections counts the ejections of this step, and which of them are wrong.
func (r *outlierRun) countEjections() {
	r.result.MaxEjected = max(r.result.MaxEjected, len(r.detector.Ejections))
	for _, ejection := range r.detector.Ejections {
		if r.ejected[ejection.Subject] {
			continue
		}
		r.ejected[ejection.Subject] = true
		r.result.Ejections++
		if r.isWrong(ejection) {
			r.result.WrongEjections++
		}
	}
	for subject := range r.ejected {
		if !slices.ContainsFunc(r.detector.Ejections, func(e *outlier.Ejection) bool { return e.Subject == subject }) {
			delete(r.ejected, subject)
		}
	}
}

// isWrong reports whether an ejection holds for zones for which its worker is healthy.
func (r *outlierRun) isWrong(ejection *outlier.Ejection) bool {
	var worker int
	if _, err := fmt.Sscanf(ejection.Subject.Worker, "s-%d", &worker); err != nil {
		return true
	}
	zones := r.unhealthyZones(worker)
	healthy := zones == 0 && (r.healthyAt == 0 || r.now > r.healthyAt+healthyAgainMargin)
	return healthy || ejection.Zone == outlier.AllZones && zones == 1 && r.Zones > 1
}

// measureKnowledge records when dispatchers send nothing to unhealthy workers any more, and when all workers are in use
// again.
func (r *outlierRun) measureKnowledge() {
	if r.unhealthyAt > 0 && r.healthyAt == 0 && r.result.AvoidedByAll == 0 {
		know, all := r.knowledge()
		if all > 0 && r.result.Avoided95 == 0 && float64(know) >= 0.95*float64(all) {
			r.result.Avoided95 = max(r.now-r.unhealthyAt, 1)
		}
		if all > 0 && know == all {
			r.result.AvoidedByAll = max(r.now-r.unhealthyAt, 1)
		}
	}
	if r.healthyAt > 0 && r.result.ReinstatedAfter == 0 && len(r.detector.Ejections) == 0 &&
		!slices.ContainsFunc(r.dispatchers, func(d *outlierDispatcher) bool { return len(d.notices) > 0 }) {
		r.result.ReinstatedAfter = max(r.now-r.healthyAt, 1)
	}
}

// knowledge returns how many pairs of a dispatcher and a worker that is unhealthy for it there are, and of how many the
// dispatcher sends nothing there.
func (r *outlierRun) knowledge() (know, all int) {
	for _, d := range r.dispatchers {
		for worker := range r.Workers {
			if !r.unhealthy(d.zone, worker) {
				continue
			}
			all++
			if d.avoided[worker] > r.now || d.ejects(worker) {
				know++
			}
		}
	}
	return know, all
}
