package dispatch

import "math"

// Penalties on the expected run time by which workers are ranked.
const (
	// equalTimeMargin is the difference (ln of time) below which two workers count as equally fast. A queued
	// request does not wait for a worker that is faster by less than this margin. Each dispatcher orders such
	// workers differently, so that not all dispatchers send to the same worker at the same moment. A larger
	// value spreads the jobs more but uses slower workers.
	equalTimeMargin = 0.25
	// nonHomePenalty (ln of time) is the penalty of a worker that is entirely outside this dispatcher's home
	// share: a factor of 1.6. With a larger penalty, a dispatcher uses its slow home workers while faster
	// workers are idle; with a smaller one, all dispatchers send to the same fast workers.
	nonHomePenalty = 0.5
	// errorSlowness (ln of time) is the penalty of a worker whose attempts all fail: a factor of 20, which
	// ranks it behind any slow worker. With a larger penalty, a recovered worker is ranked last for longer.
	errorSlowness = 3
	// crossZoneWeight converts ValueSettings.CrossZoneCost to time: the number of mean latency targets that
	// a cost of one value stands for. With less, jobs cross zones although the crossing costs more than it
	// gains.
	crossZoneWeight = 4.0
)

// updateRankTime sets w.rankTime, the expected run time of a job at w with all penalties.
func (d *dispatcher) updateRankTime(w *worker) {
	slowness := d.fleet.kindOf(w).logSlowness
	w.rankTime = math.Exp(d.speeds.logMeanRun + slowness + w.speed.logSlowness + w.speed.logLateness)
	if w.crossZone {
		w.rankTime += d.speeds.crossZoneSeconds
	}
	penalty := equalTimeMargin*w.tieBreak + nonHomePenalty*(1-w.home.share) + errorSlowness*w.errorShare
	w.rankTime *= math.Exp(penalty) / d.warmUpShare(w)
}

// rerank recomputes the rank time of w and moves w to its new rank.
func (d *dispatcher) rerank(w *worker) {
	if !w.listed {
		return
	}
	d.updateRankTime(w)
	d.fleet.rerank(w)
}

// Decay factors of a worker's error share and lateness, applied at each refresh. A slower decay keeps
// recovered workers out of use for longer; a faster one sends jobs to workers that still fail, until each of
// them has failed again.
const (
	errorShareDecay = 0.9 // to 1/e in 10 s: the share of one failure is below suspectErrorShare after 4 s
	latenessDecay   = 0.8 // to 1/e in 4.5 s; a job that is still overdue raises the lateness again
)

// refreshEstimates decays the estimates, ranks all workers again and sets the soft thresholds that have not
// been learned yet.
func (d *dispatcher) refreshEstimates() {
	d.refreshAt = d.now + refreshInterval
	d.partitionWorkers()
	d.fleet.decaySlotObservations()
	d.speeds.crossZoneSeconds = d.speeds.startDelay[1] +
		crossZoneWeight*d.Values.CrossZoneCost*d.totalLatencyTarget()/float64(len(d.Classes))
	for _, w := range d.fleet.ranked {
		w.errorShare *= errorShareDecay
		w.speed.logLateness *= latenessDecay
		w.limit.returnUnused(d.homeSlots(w), w.usage.busy())
		d.updateRankTime(w)
	}
	d.fleet.sort()
	d.summariseFleet()
}

// totalLatencyTarget is the sum of all classes' latency targets for a job of the mean run time, in seconds.
func (d *dispatcher) totalLatencyTarget() float64 {
	sum := 0.0
	for i := range d.Classes {
		sum += d.Classes[i].LatencyTarget.Seconds() + d.Classes[i].Stretch*d.speeds.meanRun.Seconds()
	}
	return sum
}

// summariseFleet computes the fleet's total slots, mean slowness and warming share. It also sets the soft
// thresholds that have not been learned yet to this dispatcher's share of the paper's RSRT (the service rates
// of all faster workers over the worker's own rate) minus the slots of the faster workers.
func (d *dispatcher) summariseFleet() {
	rates, slots, slowness, missing := 0.0, 0.0, 0.0, 0.0
	for _, w := range d.fleet.ranked {
		n, mu := d.fleet.kindSlots(w), 1/w.rankTime
		if w.threshold.updates < learnedThresholdUpdates {
			w.threshold.theta = min(max(rates/mu-slots, 0)/float64(d.Fleet.Count), queueScale)
		}
		rates += n * mu
		slots += n
		slowness += n * (d.fleet.kindOf(w).logSlowness + w.speed.logSlowness)
		missing += n * (1 - d.warmUpShare(w))
	}
	d.fleet.slots = slots
	if slots > 0 {
		d.speeds.logFleetSlowness, d.fleet.warmingShare = slowness/slots, missing/slots
	}
}
