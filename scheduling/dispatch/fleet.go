package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/waitestimate"
)

// fleetState is this dispatcher's view of all workers.
type fleetState struct {
	workers      map[WorkerID]*worker // every worker that was ever listed or restored
	ranked       []*worker            // listed workers in the order of rankTime
	kinds        []workerKind
	slots        float64 // slots of all listed workers
	warmingShare float64 // share of these slots that is missing because workers are warming up
	probation    *worker // worker put on probation last; nil: none so far
}

// worker is this dispatcher's view of one worker.
type worker struct {
	Worker
	listed, crossZone bool
	listVersion       uint64  // version of the last list that contained the worker
	rankTime          float64 // expected run time of a job, in seconds, with all penalties
	rankIndex         int     // index in fleetState.ranked

	ringPosition uint64  // position on the ring of home shares
	poolPosition float64 // position among the pools, 0 to 1
	tieBreak     float64 // this dispatcher's order among equally fast workers, 0 to 1
	gossipHash   uint32  // hash that identifies the worker in broadcasts

	usage     workerUsage
	limit     slotLimit
	report    loadReport
	speed     workerSpeed
	slowStart slowStartBudget
	threshold softThreshold
	home      homeShare
	wait      waitestimate.WorkerWait

	errorShare      float64       // recent share of failed attempts, 0 to 1
	startedSentAt   time.Duration // latest send time of an attempt that is known to have started
	succeededSentAt time.Duration // latest send time of an attempt that is known to have succeeded
}

// workerUsage is the known load of a worker from outstanding attempts.
type workerUsage struct {
	slots, memory         float64 // own attempts, except those presumed lost
	startedSlots          float64 // part of slots whose attempts are known to have started
	jobs                  int     // number of own attempts, including those presumed lost
	peerSlots, peerMemory float64 // attempts of other dispatchers, from their broadcasts
}

// busy is the number of slots that are known to be used or waited for.
func (u *workerUsage) busy() float64 { return u.slots + u.peerSlots }

// workerKind holds the estimates that all workers of a kind share.
type workerKind struct {
	logSlowness float64 // ln of a job's run time relative to the fleet's average worker
	evidence    float64 // number of runs behind logSlowness, up to maxEvidence
	slots       kindSlots
}

// kindOf returns the kind of w. Kinds are numbered from 0 without gaps.
func (f *fleetState) kindOf(w *worker) *workerKind {
	for len(f.kinds) <= w.Kind {
		f.kinds = append(f.kinds, newWorkerKind())
	}
	return &f.kinds[w.Kind]
}

func newWorkerKind() workerKind { return workerKind{slots: kindSlots{seen: 1}} }

// kindSlots returns the observed slot count of one worker of w's kind.
func (f *fleetState) kindSlots(w *worker) float64 { return f.kindOf(w).slots.seen }

// findOrAddWorker returns the worker with the id, and adds it as an unlisted worker if it is unknown.
func (f *fleetState) findOrAddWorker(id WorkerID, dispatcherIndex int) *worker {
	w := f.workers[id]
	if w == nil {
		w = &worker{}
		f.workers[id] = w
		w.ringPosition = splitmix64(uint64(id))
		w.gossipHash = uint32(w.ringPosition)
		w.poolPosition = float64(splitmix64(w.ringPosition)>>11) / (1 << 53)
		// Multiples of the golden ratio spread the tie-breaks of the dispatchers evenly.
		offset := float64(dispatcherIndex) * 0.6180339887498949
		_, w.tieBreak = math.Modf(float64(w.ringPosition>>11)/(1<<53) + offset)
	}
	return w
}

// splitmix64 hashes an id to 64 bits with the output function of Steele, Lea and Flood's SplitMix64
// generator. Dispatchers of all versions must compute the same hash.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (f *fleetState) swapRanks(i, j int) {
	f.ranked[i], f.ranked[j] = f.ranked[j], f.ranked[i]
	f.ranked[i].rankIndex, f.ranked[j].rankIndex = i, j
}

// sort ranks all listed workers; workers of equal rank time keep their order.
func (f *fleetState) sort() {
	slices.SortStableFunc(f.ranked, func(a, b *worker) int { return cmp.Compare(a.rankTime, b.rankTime) })
	for i, w := range f.ranked {
		w.rankIndex = i
	}
}

// rerank moves w to its new rank after its rankTime has changed; the new rank is mostly a step or two away.
func (f *fleetState) rerank(w *worker) {
	for w.rankIndex > 0 && f.ranked[w.rankIndex-1].rankTime > w.rankTime {
		f.swapRanks(w.rankIndex-1, w.rankIndex)
	}
	for w.rankIndex+1 < len(f.ranked) && f.ranked[w.rankIndex+1].rankTime < w.rankTime {
		f.swapRanks(w.rankIndex, w.rankIndex+1)
	}
}

// Backoff after failed calls of the list service.
const (
	// listBackoffSeconds is the base of the pause, which doubles with each consecutive failure: the mean
	// pause is 0.4 s after the first one. A pause is at most half of Settings.List.RefreshInterval, so that
	// the next call still comes within that interval.
	listBackoffSeconds = 0.2
	// listBackoffDoublings is the number of failures after which the pause stops growing, at a mean of 6.4 s.
	listBackoffDoublings = 5
	// listFailuresBeforeLog is the number of consecutive failures at which the failure is logged.
	listFailuresBeforeLog = 8
)

// listSubscription is the state of the subscription to the list service.
type listSubscription struct {
	retryAt  time.Duration // time of the next call; 0: a call or a subscription is active
	failures int           // consecutive failures
	version  uint64        // number of lists received
}

func (d *dispatcher) UpdateWorkers(now time.Duration, form ListForm, list []Worker, out Actions) {
	d.beginEvent(now, out)
	if form == ListFailed {
		d.scheduleListRetry(out)
		return
	}
	if d.applyList(form, list) { // only on a change: shares and ranks are costly to compute on a large fleet
		d.fleet.ranked = slices.DeleteFunc(d.fleet.ranked, d.dropUnlisted)
		d.assignHomeShares()
		d.refreshEstimates()
	}
	switch {
	case form == ListOverride: // a pending retry of the list service stays pending
	case form != ListCached:
		d.list.retryAt, d.list.failures = 0, 0
	case d.List.MustSubscribe:
		d.subscribe(out)
	}
	d.decide(out)
}

// scheduleListRetry sets the time of the next call of the list service after a failure.
func (d *dispatcher) scheduleListRetry(out Actions) {
	l := &d.list
	l.failures++
	doublings := float64(min(l.failures, listBackoffDoublings))
	pause := listBackoffSeconds * math.Exp2(doublings) * (0.5 + d.random.Float64())
	l.retryAt = d.now + min(seconds(pause), max(d.List.RefreshInterval/2, tickInterval))
	if l.failures == listFailuresBeforeLog {
		d.log(out, "list", "list service keeps failing; using the last list received")
	}
}

func (d *dispatcher) subscribe(out Actions) {
	d.list.retryAt = 0 // every call is answered by exactly one list, ListFailed if it fails
	out.Subscribe()
}

// applyList applies the entries of a list and reports whether the set of listed workers has changed or a
// worker has restarted.
func (d *dispatcher) applyList(form ListForm, list []Worker) (changed bool) {
	d.list.version++
	for _, entry := range list {
		changed = d.updateWorker(entry) || changed
	}
	if form == ListDelta || form == ListOverride {
		return changed
	}
	for _, w := range d.fleet.ranked {
		if w.listVersion != d.list.version {
			w.listed, changed = false, true
		}
	}
	return changed
}

// updateWorker applies one entry. It reports whether the worker became listed or unlisted, or has restarted.
func (d *dispatcher) updateWorker(entry Worker) bool {
	w := d.fleet.findOrAddWorker(entry.ID, d.Fleet.Index)
	restarted := w.Launched != entry.Launched
	if restarted { // forget the failures, the estimates and the queue of the previous incarnation
		w.speed, w.errorShare, w.limit, w.report.receivedAt = workerSpeed{}, 0, slotLimit{}, 0
		w.wait.Observe(d.now, 0)
	}
	if w.Worker = entry; w.Health == OnProbation {
		d.fleet.probation = w
	}
	if w.listVersion, w.Kind = d.list.version, max(w.Kind, 0); w.Weight <= 0 {
		w.Weight = 1
	}
	w.crossZone = w.Zone != d.Fleet.Zone
	wasListed := w.listed
	w.listed = w.State == Ready
	if ranked := w.rankIndex < len(d.fleet.ranked) && d.fleet.ranked[w.rankIndex] == w; w.listed && !ranked {
		w.rankIndex = len(d.fleet.ranked)
		d.fleet.ranked = append(d.fleet.ranked, w)
	}
	return w.listed != wasListed || restarted
}

// dropUnlisted reports whether w is no longer listed, and if so removes its reservations.
func (d *dispatcher) dropUnlisted(w *worker) bool {
	if !w.listed && d.large.plan != nil {
		d.large.plan.RemoveWorker(d.now, uint64(w.ID))
	}
	return !w.listed
}
