package dispatch

import (
	"cmp"
	"math"
	"slices"

	"yardflow/scheduling/workerpool"
)

const (
	// maxHomeCrossZoneCost is the price of crossing zones, in mean values of a request, below which a
	// dispatcher may have home workers in all zones. From this price on, they are in its own zone only.
	maxHomeCrossZoneCost = 0.05
	// sparseHomeShares is the size of a dispatcher's home share in a sparse fleet, in fair shares of the
	// fleet: each worker then has a few dispatchers that send to it often enough to know its queue.
	sparseHomeShares = 4.0
	// atMostOncePoolFactor multiplies the pool share of an AtMostOnce class in a sparse fleet: its jobs
	// cannot be reclaimed, so more of its workers must be free.
	atMostOncePoolFactor = 1.3
)

// homeShare is the share of a worker's slots that belongs to this dispatcher, and the worker's pool.
type homeShare struct {
	share float64 // 0 to 1
	pool  int     // index of the class whose pool the worker is in
}

// homeSlots returns the number of slots of w that belong to this dispatcher.
func (d *dispatcher) homeSlots(w *worker) float64 {
	return math.Round(w.home.share * d.fleet.kindSlots(w))
}

// ring is one pool of workers, on which the dispatchers' home shares are arcs.
type ring struct {
	homeWeight float64   // total weight of the workers below
	allWeight  float64   // total weight of all workers of the pool
	workers    []*worker // workers that may have home shares, ordered by ring position
	weights    []float64 // weights of these workers
}

// assignHomeShares computes this dispatcher's home share of each worker's slots. All dispatchers arrange the
// workers on the same ring by weight, and each takes an arc of its fair length that starts at a position
// given by its index. With many dispatchers, each of which seldom uses a given worker, equal limits at all
// workers would add up to many times the fleet's capacity. Workers outside the arc are used by trial, when a
// request can be held no longer. If crossing zones is expensive, the ring holds the own zone only, and arcs
// may overlap. Each pool has its own ring.
func (d *dispatcher) assignHomeShares() {
	for _, r := range d.rings(d.Values.CrossZoneCost < maxHomeCrossZoneCost) {
		arc := r.allWeight / float64(d.Fleet.Count)
		start := math.Mod(arc*float64(d.Fleet.Index), max(r.homeWeight, 1e-9))
		if d.sparse() {
			arc = min(sparseHomeShares*arc, r.homeWeight)
		} else if d.usageKnown() {
			arc = r.homeWeight // usage by others is known, so all dispatchers share all workers
		}
		for i, covered := range workerpool.ArcCoverage(r.weights, start, arc) {
			r.workers[i].home.share = covered
		}
	}
}

// rings assigns the listed workers to pools and returns one ring per pool. Without spanZones, workers in
// other zones have no home share.
func (d *dispatcher) rings(spanZones bool) []ring {
	rings := make([]ring, len(d.poolShares))
	byPosition := func(a, b *worker) int { return cmp.Compare(a.ringPosition, b.ringPosition) }
	for _, w := range slices.SortedFunc(slices.Values(d.fleet.ranked), byPosition) {
		w.home = homeShare{pool: workerpool.PoolAt(w.poolPosition, d.poolShares)}
		r := &rings[w.home.pool]
		r.allWeight += w.Weight
		if spanZones || !w.crossZone {
			r.homeWeight += w.Weight
			r.workers, r.weights = append(r.workers, w), append(r.weights, w.Weight)
		}
	}
	return rings
}

// partitionWorkers divides the workers of a sparse fleet into one pool per class, in proportion to the recent
// work of the classes. A class may use workers of other pools at a price (lotteryOtherPoolWait).
func (d *dispatcher) partitionWorkers() {
	shares := []float64{1}
	if d.sparse() {
		shares = shares[:0]
		for i := range d.Classes {
			share := d.speeds.classOf(&d.Classes[i]).recentWork.Estimate()
			if d.Classes[i].Semantics == AtMostOnce {
				share *= atMostOncePoolFactor
			}
			shares = append(shares, share)
		}
	}
	if workerpool.SharesChanged(d.poolShares, shares) {
		d.poolShares = shares
		d.assignHomeShares()
	}
}

// assignClassPools assigns to each class the pool with the class's index.
func (d *dispatcher) assignClassPools() {
	for i := range d.Classes {
		d.speeds.classOf(&d.Classes[i]).pool = i
	}
}
