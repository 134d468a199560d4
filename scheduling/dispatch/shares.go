package dispatch

import (
	"cmp"
	"math"
	"slices"

	"yardflow/scheduling/workerpool"
)

const (
	// cheapCrossZoneCost is the price of crossing zones, in mean values of a request, up to which a
	// dispatcher's share spans zones. Beyond it, homes lie in the own zone alone.
	cheapCrossZoneCost = 0.05
	// sparseHomeShares is how many fair shares of the fleet are homes in a sparse fleet: each
	// worker then has a few dispatchers that meet it often enough to know its queue.
	sparseHomeShares = 4.0
	// atMostOncePoolFactor is how many times its work an AtMostOnce class has workers for in a sparse fleet:
	// its jobs cannot be reclaimed, so more of its workers must be free.
	atMostOncePoolFactor = 1.3
)

// homeShare is what part of a worker is this dispatcher's own.
type homeShare struct {
	share float64 // 0 to 1
	pool  int     // index of the class whose pool the worker is in
}

// homeSlots is how many slots of w are this dispatcher's own.
func (d *dispatcher) homeSlots(w *worker) float64 {
	return math.Round(w.home.share * d.fleet.kindSlots(w))
}

// ring is one pool of workers; those that may be homes in the order of their positions.
type ring struct {
	homeWeight float64 // of the workers that may be homes
	allWeight  float64 // of all workers of the pool
	workers    []*worker
	weights    []float64
}

// assignHomeShares gives this dispatcher its own share of the workers' slots. All dispatchers lay the
// workers on one ring by weight, and each takes an arc of its fair length from its own index on: with
// many dispatchers that see each worker seldom, equal limits everywhere would add up to many times what
// the fleet holds. What lies outside is reached by trial, once holding is used up. Where crossing
// zones is dear the ring is that of the own zone, and arcs may overlap. Each pool has a ring of its own.
func (d *dispatcher) assignHomeShares() {
	for _, r := range d.rings(d.Values.CrossZoneCost < cheapCrossZoneCost) {
		arc := r.allWeight / float64(d.Fleet.Count)
		start := math.Mod(arc*float64(d.Fleet.Index), max(r.homeWeight, 1e-9))
		if d.sparse() {
			arc = min(sparseHomeShares*arc, r.homeWeight)
		} else if d.usageKnown() {
			arc = r.homeWeight // what others use is known: every worker is everyone's
		}
		for i, part := range workerpool.ArcCoverage(r.weights, start, arc) {
			r.workers[i].home.share = part
		}
	}
}

// rings gives the pools of the listed workers. Those of other zones are no homes unless zones are spanned.
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

// partitionWorkers divides the workers among the classes in a sparse fleet, in proportion to the work
// that each brings; a class may use another's workers at a price (lotteryOtherPoolWait).
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

// numberPools gives each class the pool of its index.
func (d *dispatcher) numberPools() {
	for i := range d.Classes {
		d.speeds.classOf(&d.Classes[i]).pool = i
	}
}
