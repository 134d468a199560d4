package dispatch

import (
	"math"
	"time"

	"yardflow/scheduling/workerpool"
)

// Estimation of speeds. Run times are long-tailed, so all estimates are logarithms (ln of seconds). The
// expected ln run time is the sum of the class's work, the worker kind's slowness and the worker's own
// slowness. Each run moves all three by a part of its residual; the part shrinks with the number of runs
// seen.
const (
	// maxResidual bounds the residual (ln) of one run: a run that took over 4.5 times longer than expected
	// counts as 4.5 times, so that a long tail cannot distort an estimate. With a smaller bound, the estimate
	// of a worker that has become much slower adapts late.
	maxResidual = 1.5
	// maxEvidence is the largest number of runs that the estimates of a class or kind average over. With
	// more, they follow a change of the work late; with fewer, they follow single runs.
	maxEvidence = 200
	// minRunSeconds is the shortest run time in the estimates: a shorter run counts as this long, since 0 has
	// no logarithm.
	minRunSeconds = 1e-4
	// kindPriorRuns and variancePriorRuns are the weights of the initial values of a kind's slowness and a
	// class's variance, in runs, so that the first run does not determine the estimate alone.
	kindPriorRuns, variancePriorRuns = 3, 3
	// meanRunStep is the weight of one run in the mean ln run time, which averages over about 100 runs of all
	// classes.
	meanRunStep = 0.01
	// initialMeanRunSeconds is the assumed mean run time before any run was seen. Pauses and margins in units
	// of the mean run time start from it; about 100 runs correct it.
	initialMeanRunSeconds = 0.2
	// initialLogVariance is the assumed variance of ln run times of a class before any run was seen: one
	// standard deviation is a factor of 1.65.
	initialLogVariance = 0.25
)

// evidenceWeight sets how fast the estimate of a worker's own slowness adapts. With smaller values it follows
// single runs.
type evidenceWeight struct {
	priorRuns float64 // weight of the initial value, in runs
	maxRuns   float64 // largest number of runs that the estimate averages over
}

var (
	hintedRunWeight = evidenceWeight{priorRuns: 3, maxRuns: 8}
	// Without a work hint, most of the residual is due to the job's own size.
	unhintedRunWeight = evidenceWeight{priorRuns: 12, maxRuns: 30}
)

// speedModel holds the estimates of run times that are common to all workers.
type speedModel struct {
	classes          map[string]*classStats // by class name, since indexes change with the settings
	logMeanRun       float64                // ln of the typical work of a job over all classes, in seconds
	meanRun          time.Duration          // exp(logMeanRun)
	logFleetSlowness float64                // mean of ln slowness over all slots of the fleet
	startDelay       [2]float64             // seconds from send to start; own zone, other zones
	crossZoneSeconds float64                // assumed cost of crossing zones, in seconds
}

// classStats holds the estimates of one class's run times.
type classStats struct {
	logWork     float64 // ln of the typical work, in seconds
	evidence    float64 // number of runs seen, up to maxEvidence
	logVariance float64 // variance of ln of the work
	pool        int     // index of the class's own pool of workers
	recentWork  workerpool.RecentWork
}

// workerSpeed holds the estimates of one worker's speed.
type workerSpeed struct {
	logSlowness float64 // ln of its slowness relative to its kind
	evidence    float64 // number of runs seen, up to evidenceWeight.maxRuns
	logLateness float64 // ln of its most overdue attempt's age over the overdueAge of checkRun; decays
}

func newSpeedModel() speedModel {
	return speedModel{
		classes:    map[string]*classStats{},
		logMeanRun: math.Log(initialMeanRunSeconds), meanRun: seconds(initialMeanRunSeconds),
		startDelay: [2]float64{0.01, 0.04}, // of a local and a wider network; adapts from the first start on
	}
}

func (s *speedModel) classOf(c *Class) *classStats {
	stats := s.classes[c.Name]
	if stats == nil {
		stats = &classStats{logVariance: initialLogVariance}
		s.classes[c.Name] = stats
	}
	return stats
}

func (s *speedModel) decayRecentWork() {
	for _, stats := range s.classes {
		stats.recentWork.Decay()
	}
}

// expectedWork returns the expected run time of r on a worker of slowness 1, in seconds.
func (d *dispatcher) expectedWork(r *request) float64 {
	if r.WorkHint > 0 {
		return r.WorkHint.Seconds()
	}
	if r.stats.evidence > 0 {
		return math.Exp(r.stats.logWork)
	}
	return math.Exp(d.speeds.logMeanRun)
}

// expectedRun returns the expected run time of r at w when w is warm, in seconds.
func (d *dispatcher) expectedRun(r *request, w *worker) float64 {
	return d.expectedWork(r) * math.Exp(d.fleet.kindOf(w).logSlowness+w.speed.logSlowness)
}

// currentSpeed returns the present speed of w relative to a warm worker of slowness 1.
func (d *dispatcher) currentSpeed(w *worker) float64 {
	logSpeed := -d.fleet.kindOf(w).logSlowness - w.speed.logSlowness - w.speed.logLateness
	return d.warmUpShare(w) * math.Exp(logSpeed-errorSlowness*w.errorShare)
}

// learnRunTime updates all speed estimates with the run time of r at w, in seconds.
func (d *dispatcher) learnRunTime(r *request, w *worker, run float64) {
	k, s := d.fleet.kindOf(w), r.stats
	run = math.Log(max(run, minRunSeconds))
	if s.evidence == 0 && r.WorkHint == 0 {
		s.logWork = run
	}
	residual := run - math.Log(d.expectedWork(r)) - k.logSlowness - w.speed.logSlowness
	residual = min(max(residual, -maxResidual), maxResidual)
	weight := unhintedRunWeight
	if r.WorkHint > 0 {
		weight = hintedRunWeight
	}
	s.evidence = min(s.evidence+1, maxEvidence)
	s.logVariance += (residual*residual - s.logVariance) / (variancePriorRuns + s.evidence)
	if r.WorkHint == 0 {
		s.logWork += residual / (1 + s.evidence)
	}
	d.speeds.logMeanRun += meanRunStep * (math.Log(d.expectedWork(r)) - d.speeds.logMeanRun)
	d.speeds.meanRun = seconds(math.Exp(d.speeds.logMeanRun))
	k.evidence = min(k.evidence+1, maxEvidence)
	k.logSlowness += residual / (kindPriorRuns + k.evidence)
	w.speed.evidence = min(w.speed.evidence+1, weight.maxRuns)
	w.speed.logSlowness += residual / (weight.priorRuns + w.speed.evidence)
}

// Estimation of start delays. The typical start delay is a low quantile. A mean would include waiting at the
// workers, and so fail to detect waiting just when all workers are full.
const (
	startDelayStep   = 0.2  // weight of a shorter delay, which lowers the estimate
	startDelayGrowth = 1.02 // factor of increase for a longer delay: 35 of them double the estimate
)

// learnStartDelay updates the wait and start-delay estimates with the time from an attempt's send to the
// notification of its start, in seconds.
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
