package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/waitestimate"
)

// fleetState is the workers as this dispatcher knows them.
type fleetState struct {
	workers      map[WorkerID]*worker // all that were ever listed or restored
	ranked       []*worker            // listed ones, by rankTime
	kinds        []workerKind
	slots        float64 // of all listed workers
	warmingShare float64 // part of these that is not there yet, as workers warm up
	probation    *worker // latest that was put on probation; nil: none was
}

// worker is one worker as this dispatcher knows it.
type worker struct {
	Worker
	listed, crossZone bool
	listVersion       uint64  // of the last list that held it
	rankTime          float64 // seconds that a job is taken to need there, with all penalties
	rankIndex         int     // in fleetState.ranked

	ringPosition uint64  // on the ring of home shares
	poolPosition float64 // among the pools, 0 to 1
	tieBreak     float64 // own rank among equals, 0 to 1
	gossipHash   uint32  // its name in what dispatchers broadcast

	usage     workerUsage
	limit     slotLimit
	report    loadReport
	speed     workerSpeed
	slowStart slowStartBudget
	threshold softThreshold
	home      homeShare
	wait      waitestimate.WorkerWait

	errorShare      float64       // recent share of failed attempts, 0 to 1
	startedSentAt   time.Duration // when the latest attempt known to have started was sent
	succeededSentAt time.Duration // when the latest attempt known to have succeeded was sent
}

// workerUsage is what is known to be outstanding at a worker.
type workerUsage struct {
	slots, memory         float64 // of own attempts, without those presumed lost
	startedSlots          float64 // of these, known to have started
	jobs                  int     // own attempts, with those presumed lost
	peerSlots, peerMemory float64 // of the other dispatchers', as they broadcast
}

// busy is how many slots are known to be used, or waited for.
func (u *workerUsage) busy() float64 { return u.slots + u.peerSlots }

// workerKind is what all workers of a kind have in common.
type workerKind struct {
	logSlowness float64 // ln of how much longer a job runs than on the fleet's average worker
	evidence    float64 // for it: runs seen, up to maxEvidence
	slots       kindSlots
}

// kindOf is the kind of w; kinds are numbered from 0 without gaps.
func (f *fleetState) kindOf(w *worker) *workerKind {
	for len(f.kinds) <= w.Kind {
		f.kinds = append(f.kinds, newWorkerKind())
	}
	return &f.kinds[w.Kind]
}

func newWorkerKind() workerKind { return workerKind{slots: kindSlots{seen: 1}} }

// kindSlots is the most that workers of w's kind were seen to run at once.
func (f *fleetState) kindSlots(w *worker) float64 { return f.kindOf(w).slots.seen }

// findOrAddWorker finds a worker, or makes one that is not listed yet.
func (f *fleetState) findOrAddWorker(id WorkerID, dispatcherIndex int) *worker {
	w := f.workers[id]
	if w == nil {
		w = &worker{}
		f.workers[id] = w
		w.ringPosition = splitmix64(uint64(id))
		w.gossipHash = uint32(w.ringPosition)
		w.poolPosition = float64(splitmix64(w.ringPosition)>>11) / (1 << 53)
		// Steps of the golden ratio spread the dispatchers' orders evenly.
		turn := float64(dispatcherIndex) * 0.6180339887498949
		_, w.tieBreak = math.Modf(float64(w.ringPosition>>11)/(1<<53) + turn)
	}
	return w
}

// splitmix64 spreads an id over 64 bits: the finish of Steele, Lea and Flood's SplitMix64 generator.
// Dispatchers of all versions must compute it alike.
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

// sort ranks all listed workers; equals keep their order.
func (f *fleetState) sort() {
	slices.SortStableFunc(f.ranked, func(a, b *worker) int { return cmp.Compare(a.rankTime, b.rankTime) })
	for i, w := range f.ranked {
		w.rankIndex = i
	}
}

// rerank moves w to its place after its rankTime has changed, mostly a step or two away.
func (f *fleetState) rerank(w *worker) {
	for w.rankIndex > 0 && f.ranked[w.rankIndex-1].rankTime > w.rankTime {
		f.swapRanks(w.rankIndex-1, w.rankIndex)
	}
	for w.rankIndex+1 < len(f.ranked) && f.ranked[w.rankIndex+1].rankTime < w.rankTime {
		f.swapRanks(w.rankIndex, w.rankIndex+1)
	}
}

// Backoff between calls of the list service that fail.
const (
	// listBackoffSeconds doubles with each failure in a row: the mean pause is 0.4 s after the first. It
	// never is over half of Settings.List.RefreshInterval, so that the next call still keeps that promise.
	listBackoffSeconds = 0.2
	// listBackoffDoublings is the number of failures from which the pause grows no more, at a mean of 6.4 s.
	listBackoffDoublings = 5
	// listFailuresBeforeLog is how many failures in a row operators are told of.
	listFailuresBeforeLog = 8
)

// listSubscription is the state of following the list service.
type listSubscription struct {
	retryAt  time.Duration // when to ask next; 0: an answer or a subscription stands
	failures int           // in a row
	version  uint64        // counts lists
}

func (d *dispatcher) UpdateWorkers(now time.Duration, form ListForm, list []Worker, out Actions) {
	d.beginEvent(now, out)
	if form == ListFailed {
		d.scheduleListRetry(out)
		return
	}
	if d.applyList(form, list) { // shares and ranks are dear on a large fleet
		d.fleet.ranked = slices.DeleteFunc(d.fleet.ranked, d.dropUnlisted)
		d.assignHomeShares()
		d.refreshEstimates()
	}
	switch {
	case form == ListOverride: // whatever is due from the list service stays due
	case form != ListCached:
		d.list.retryAt, d.list.failures = 0, 0
	case d.List.MustSubscribe:
		d.subscribe(out)
	}
	d.decide(out)
}

// scheduleListRetry sets when to ask the list service again after a failure.
func (d *dispatcher) scheduleListRetry(out Actions) {
	l := &d.list
	l.failures++
	doublings := float64(min(l.failures, listBackoffDoublings))
	pause := listBackoffSeconds * math.Exp2(doublings) * (0.5 + d.random.Float64())
	l.retryAt = d.now + min(seconds(pause), max(d.List.RefreshInterval/2, tickInterval))
	if l.failures == listFailuresBeforeLog {
		d.log(out, "list", "list service fails; going on with the last list")
	}
}

func (d *dispatcher) subscribe(out Actions) {
	d.list.retryAt = 0 // exactly one list answers, a failed one at the worst
	out.Subscribe()
}

// applyList takes in the entries of a list and tells whether the fleet has changed.
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

// updateWorker takes in one entry and tells whether it changes the fleet.
func (d *dispatcher) updateWorker(entry Worker) bool {
	w := d.fleet.findOrAddWorker(entry.ID, d.Fleet.Index)
	restarted := w.Launched != entry.Launched
	if restarted { // what its former incarnation was blamed for, and what waited there
		w.speed, w.errorShare, w.limit, w.report.at = workerSpeed{}, 0, slotLimit{}, 0
		w.wait.Observe(d.now, 0)
	}
	if w.Worker = entry; w.Health == OnProbation {
		d.fleet.probation = w
	}
	if w.listVersion, w.Kind = d.list.version, max(w.Kind, 0); w.Weight <= 0 {
		w.Weight = 1
	}
	w.crossZone = w.Zone != d.Fleet.Zone
	was := w.listed
	w.listed = w.State == Ready
	if ranked := w.rankIndex < len(d.fleet.ranked) && d.fleet.ranked[w.rankIndex] == w; w.listed && !ranked {
		w.rankIndex = len(d.fleet.ranked)
		d.fleet.ranked = append(d.fleet.ranked, w)
	}
	return w.listed != was || restarted
}

// dropUnlisted tells whether w is no longer listed; what is reserved there is given up.
func (d *dispatcher) dropUnlisted(w *worker) bool {
	if !w.listed && d.large.plan != nil {
		d.large.plan.RemoveWorker(d.now, uint64(w.ID))
	}
	return !w.listed
}
