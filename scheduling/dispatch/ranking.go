package dispatch

import "math"

// Penalties on the expected time by which workers are ranked.
const (
	// nearEqual is how far apart (ln of time) two workers count as equally fast: a queued request does not
	// wait for a worker that is faster by less, and dispatchers rank workers that near in orders of their
	// own, so that not all release to the same one at the same moment. A larger value gives up speed for
	// spread.
	nearEqual = 0.25
	// awayPenalty (ln of time) is what a worker wholly outside the own share loses: 1.6 times. With more, a
	// dispatcher keeps to slow workers of its own while faster ones stand idle; with less, all meet at these.
	awayPenalty = 0.5
	// errorSlowness (ln of time) is what a worker whose every attempt fails loses: 20 times, behind any slow
	// one. With more, a worker that is well again is ranked last for longer.
	errorSlowness = 3
	// crossZoneWeight turns ValueSettings.CrossZoneCost into time: so many mean latency targets for a cost of
	// one value. With less, jobs cross zones for gains that the crossing costs again.
	crossZoneWeight = 4.0
)

// updateRankTime works out the time a job is taken to need at w with all penalties, the measure of rank.
func (d *dispatcher) updateRankTime(w *worker) {
	slowness := d.fleet.kindOf(w).logSlowness
	w.rankTime = math.Exp(d.speeds.logMeanRun + slowness + w.speed.logSlowness + w.speed.logLateness)
	if w.crossZone {
		w.rankTime += d.speeds.crossZoneSeconds
	}
	penalty := nearEqual*w.tieBreak + awayPenalty*(1-w.home.share) + errorSlowness*w.errorShare
	w.rankTime *= math.Exp(penalty) / d.warmUpShare(w)
}

// rerank puts w to the rank it has by what is known now.
func (d *dispatcher) rerank(w *worker) {
	if !w.listed {
		return
	}
	d.updateRankTime(w)
	d.fleet.rerank(w)
}

// Decay of what counts against a worker, per refresh. A slower one keeps workers that are well again out of
// use; a faster one sends jobs to workers that fail until each has failed anew.
const (
	errorShareDecay = 0.9 // to 1/e in 10 s: a share of one failure is below distrustErrorShare after 4 s
	latenessDecay   = 0.8 // to 1/e in 4.5 s; a job still overdue raises it again
)

// refreshEstimates ages what is known, ranks all workers anew and sets thresholds that have not learned yet.
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

// totalLatencyTarget adds up the classes' targets for a job of the mean run, in seconds.
func (d *dispatcher) totalLatencyTarget() float64 {
	sum := 0.0
	for i := range d.Classes {
		sum += d.Classes[i].LatencyTarget.Seconds() + d.Classes[i].Stretch*d.speeds.meanRun.Seconds()
	}
	return sum
}

// summariseFleet adds up the ranked workers, and sets the thresholds that have not learned yet: the
// paper's RSRT (the service rates of all faster workers over the worker's own), less the slots that serve
// them, for this dispatcher's share.
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
