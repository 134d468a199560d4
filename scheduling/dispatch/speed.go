package dispatch

import (
	"math"
	"time"

	"yardflow/scheduling/workerpool"
)

// Learning of speeds. Run times are long-tailed, so all of it is in logarithms (ln of seconds): one run
// is split into the class's work, the kind's slowness and the worker's own, each of which moves by
// its part of the residual, the more slowly the more evidence there is.
const (
	// maxResidual bounds (ln) what one run tells of speed: what ran over 4.5 times longer than expected
	// counts as 4.5 times, so that a long tail cannot blur a speed. With less, a worker that has become
	// much slower is believed late.
	maxResidual = 1.5
	// maxEvidence is how many runs the figures of a class or kind are taken over at the most. With more, a
	// change of the work is followed late; with fewer, the figures follow single runs.
	maxEvidence = 200
	// leastRunSeconds is the shortest run that is told apart: a shorter one counts as this, since 0 has no
	// logarithm.
	leastRunSeconds = 1e-4
	// kindEvidence and varianceEvidence count as runs seen before the first one, so that it does not decide
	// alone.
	kindEvidence, varianceEvidence = 3, 3
	// meanRunStep is what one run moves the (ln) mean run by: a memory of some 100 runs of all classes.
	meanRunStep = 0.01
	// initialMeanRunSeconds is what a job is taken to run before any was seen. Pauses and margins that are
	// counted in mean runs begin with it; some 100 runs correct it.
	initialMeanRunSeconds = 0.2
	// unknownLogVariance is the variance of ln run times that is taken until jobs have shown theirs: a
	// standard deviation of 1.65 times.
	unknownLogVariance = 0.25
)

// evidenceWeight is how fast a worker's own slowness is learned. A smaller prior or most follows single runs.
type evidenceWeight struct {
	prior float64 // counts as runs seen before the first one
	most  float64 // runs that it is taken over at the most
}

var (
	hintedRuns = evidenceWeight{prior: 3, most: 8}
	// Without a hint the job's own size is most of the residual.
	unhintedRuns = evidenceWeight{prior: 12, most: 30}
)

// speedModel is what is known of run times over all workers.
type speedModel struct {
	classes          map[string]*classStats // by name: indexes change with the settings
	logMeanRun       float64                // ln of the typical work over all classes, in seconds
	meanRun          time.Duration          // e to the logMeanRun
	logFleetSlowness float64                // mean of ln slowness over all slots of the fleet
	startDelay       [2]float64             // seconds from send to start notification: own zone, other zones
	crossZoneSeconds float64                // what crossing zones is taken to cost
}

// classStats is what is known of one class's run times.
type classStats struct {
	logWork     float64 // ln of the typical work, in seconds
	evidence    float64 // for it: runs seen, up to maxEvidence
	logVariance float64 // of ln of the work
	pool        int     // of workers, the class's own
	recentWork  workerpool.RecentWork
}

// workerSpeed is what is known of one worker's speed.
type workerSpeed struct {
	logSlowness float64 // ln, against its kind
	evidence    float64 // for it: runs seen
	logLateness float64 // ln of how far its most overdue attempt is past when it counted as overdue
}

func newSpeedModel() speedModel {
	return speedModel{
		classes:    map[string]*classStats{},
		logMeanRun: math.Log(initialMeanRunSeconds), meanRun: seconds(initialMeanRunSeconds),
		startDelay: [2]float64{0.01, 0.04}, // of a local and a wider network; learned from the first start on
	}
}

func (s *speedModel) classOf(c *Class) *classStats {
	stats := s.classes[c.Name]
	if stats == nil {
		stats = &classStats{logVariance: unknownLogVariance}
		s.classes[c.Name] = stats
	}
	return stats
}

func (s *speedModel) decayRecentWork() {
	for _, stats := range s.classes {
		stats.recentWork.Decay()
	}
}

// expectedWork is the expected run time of r on a worker of slowness 1, in seconds.
func (d *dispatcher) expectedWork(r *request) float64 {
	if r.WorkHint > 0 {
		return r.WorkHint.Seconds()
	}
	if r.stats.evidence > 0 {
		return math.Exp(r.stats.logWork)
	}
	return math.Exp(d.speeds.logMeanRun)
}

// expectedRun is the expected run time of r at w once it is warm, in seconds.
func (d *dispatcher) expectedRun(r *request, w *worker) float64 {
	return d.expectedWork(r) * math.Exp(d.fleet.kindOf(w).logSlowness+w.speed.logSlowness)
}

// currentSpeed is the speed of w as it is now, against a worker of slowness 1.
func (d *dispatcher) currentSpeed(w *worker) float64 {
	logSpeed := -d.fleet.kindOf(w).logSlowness - w.speed.logSlowness - w.speed.logLateness
	return d.warmUpShare(w) * math.Exp(logSpeed-errorSlowness*w.errorShare)
}

// learnRunTime takes in one run time, in seconds.
func (d *dispatcher) learnRunTime(r *request, w *worker, run float64) {
	k, s := d.fleet.kindOf(w), r.stats
	run = math.Log(max(run, leastRunSeconds))
	if s.evidence == 0 && r.WorkHint == 0 {
		s.logWork = run
	}
	residual := run - math.Log(d.expectedWork(r)) - k.logSlowness - w.speed.logSlowness
	residual = min(max(residual, -maxResidual), maxResidual)
	weight := unhintedRuns
	if r.WorkHint > 0 {
		weight = hintedRuns
	}
	s.evidence = min(s.evidence+1, maxEvidence)
	s.logVariance += (residual*residual - s.logVariance) / (varianceEvidence + s.evidence)
	if r.WorkHint == 0 {
		s.logWork += residual / (1 + s.evidence)
	}
	d.speeds.logMeanRun += meanRunStep * (math.Log(d.expectedWork(r)) - d.speeds.logMeanRun)
	d.speeds.meanRun = seconds(math.Exp(d.speeds.logMeanRun))
	k.evidence = min(k.evidence+1, maxEvidence)
	k.logSlowness += residual / (kindEvidence + k.evidence)
	w.speed.evidence = min(w.speed.evidence+1, weight.most)
	w.speed.logSlowness += residual / (weight.prior + w.speed.evidence)
}

// Start delays. The typical one is a low quantile: a mean would take waiting at the workers for the
// ordinary delay, and stop seeing it just when every worker is full.
const (
	startDelayStep   = 0.2  // part of the way that a shorter delay moves it down
	startDelayGrowth = 1.02 // factor by which a longer one moves it up: 35 such starts double it
)

// learnStartDelay takes in the time from an attempt's send to the notification of its start, in seconds.
func (d *dispatcher) learnStartDelay(w *worker, delay float64) {
	typical := d.typicalStartDelay(w)
	w.wait.Observe(d.now, delay)
	d.fleetWait.Observe(delay)
	if delay < *typical {
		*typical += startDelayStep * (delay - *typical)
	} else {
		*typical *= startDelayGrowth
	}
}

func (d *dispatcher) typicalStartDelay(w *worker) *float64 {
	if w.crossZone {
		return &d.speeds.startDelay[1]
	}
	return &d.speeds.startDelay[0]
}
