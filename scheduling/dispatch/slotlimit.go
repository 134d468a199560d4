package dispatch

import (
	"math"
	"time"
)

// Each worker has an adaptive slot limit, similar to TCP's congestion window. A rejection or a late start
// lowers the limit to the slots in use at the worker; a clean completion while the limit is reached raises it
// by one. After a backoff the limit is at least this dispatcher's home slots. Only a trial raises it above
// the slot count observed for the worker's kind.
const (
	// maxRejectionDoublings limits how often the backoff after a rejection or late start doubles: up to 8
	// mean run times. More doublings keep a worker unused for longer after its slots have come free.
	maxRejectionDoublings = 3
	// maxFailureDoublings limits how often the backoff after a failure doubles. With 6 (64 mean run times), a
	// worker that had recovered stayed unused for 13.8 s.
	maxFailureDoublings = 3
	// maxKindDoublings limits how often the backoff doubles between trials of a worker kind above its
	// observed slot count: up to 256 mean run times.
	maxKindDoublings = 8
	// unusedSlotsReturned is how many unused slots above the home slots a limit gives up per refresh, so that
	// other dispatchers can use them. A larger value makes each short lull cost new trials.
	unusedSlotsReturned = 0.5
)

// slotLimit bounds the slots in use at one worker, unless a fresh load report shows more free slots.
type slotLimit struct {
	slots        float64
	backoffUntil time.Duration // no trial above slots before this time
	backoffs     int           // reductions of the limit; halved when it rises
}

// kindSlots is the observed slot count of a worker kind.
type kindSlots struct {
	seen         float64       // slots of one worker, as seen in use or reported free; starts at 1
	observations float64       // number of observations of a larger count than seen; decays
	growAt       time.Duration // no trial above seen before this time
	growBackoffs int           // failed trials above seen
}

// returnUnused lowers a limit that is above the home slots and not fully used.
func (l *slotLimit) returnUnused(home, busy float64) {
	if l.slots > home && busy < l.slots {
		l.slots = max(home, l.slots-unusedSlotsReturned)
	}
}

// growLimit raises the limit of w after a clean completion while the limit was reached; the completed job
// freed the given number of slots. The limit does not rise during the backoff after a reduction: under a
// steady load each increase makes one job wait.
func (d *dispatcher) growLimit(w *worker, freed float64) {
	if !d.Workers.StartNotifications && len(d.Workers.LoadFields) == 0 {
		d.observeSlots(w, w.usage.slots+freed)
	}
	k := &d.fleet.kindOf(w).slots
	if d.now >= w.limit.backoffUntil && (w.limit.slots < k.seen || d.now >= k.growAt && !d.slotsScarce()) {
		w.limit.slots++
		w.limit.backoffs /= 2
	}
}

// shrinkLimit lowers the limit of w to the slots in use there and stops the use of its last load report. The
// limit can rise again by one trial after a jittered backoff, which doubles with each reduction, up to the
// given number of doublings.
func (d *dispatcher) shrinkLimit(w *worker, doublings int) {
	pause := d.speeds.meanRun.Seconds() * (0.5 + d.random.Float64())
	if k := &d.fleet.kindOf(w).slots; w.limit.slots > k.seen {
		// This was a trial above the slot count observed for the kind; make such trials less and less often.
		k.growAt = d.now + seconds(pause*math.Exp2(float64(min(k.growBackoffs, maxKindDoublings))))
		k.growBackoffs++
	}
	w.limit.slots = min(w.limit.slots, w.usage.busy())
	w.report.receivedAt = 0
	w.limit.backoffUntil = d.now + seconds(pause*math.Exp2(float64(min(w.limit.backoffs, doublings))))
	w.limit.backoffs++
}

// Estimation of the slot count of a worker kind.
const (
	// minSlotObservations is how many observations of a larger slot count raise the estimate by one slot:
	// load reports are noisy, and a start notification may arrive before the end that freed the slot.
	minSlotObservations = 4
	// observationDecay multiplies the number of observations at each refresh: minSlotObservations of them
	// must arrive within about ten seconds, so noise alone never accumulates to that number.
	observationDecay = 0.9
	// certainObservationFactor is the multiple of the known slot count from which a load report is accepted
	// at once, as it is well above any noise. Without it half of the slots were unused in the first seconds
	// of a simulated day.
	certainObservationFactor = 1.5
)

// decaySlotObservations decays the observations once per worker kind. A decay per worker would keep them from
// ever reaching minSlotObservations on a large fleet.
func (f *fleetState) decaySlotObservations() {
	for i := range f.kinds {
		f.kinds[i].slots.observations *= observationDecay
	}
}

// observeSlots records an observation that w has n slots.
func (d *dispatcher) observeSlots(w *worker, n float64) {
	k := &d.fleet.kindOf(w).slots
	if n <= k.seen {
		return
	}
	// A sparse dispatcher sends too few jobs to collect several observations: one is enough.
	if k.observations++; k.observations >= minSlotObservations || d.sparse() {
		k.seen, k.observations = k.seen+1, 0
	}
}
