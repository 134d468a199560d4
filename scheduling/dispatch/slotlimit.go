package dispatch

import (
	"math"
	"time"
)

// Limits of slots per worker, in the manner of TCP's window. A limit falls to what runs there on a rejection
// or a late start, and rises by one after a clean completion at it. After a backoff it is the own share at
// least. It goes beyond the slots that the worker's kind was seen to have by trial alone.
const (
	// rejectionBackoffs is how often the backoff after a rejection or late start doubles: to 8 mean runs.
	// With more, a worker that has free slots again is left out for longer.
	rejectionBackoffs = 3
	// failureBackoffs is the same after failures. With 6 (64 runs) a worker that was well again was left
	// out for 13.8 s.
	failureBackoffs = 3
	// kindBackoffs is the same for trying a whole kind beyond the slots it was seen to have: to 256 runs.
	kindBackoffs = 8
	// unusedReturn is how many slots beyond the own share are given back per refresh where they are not used,
	// so that other dispatchers can have them. With more, each short lull costs trials anew.
	unusedReturn = 0.5
)

// slotLimit bounds the slots used at one worker where free slots are not reported.
type slotLimit struct {
	slots        float64
	backoffUntil time.Duration // no trial beyond slots before this
	backoffs     int           // since the limit last rose, halved when it rises
}

// kindSlots is what was seen of the slots of a kind of worker.
type kindSlots struct {
	seen         float64 // most seen at work at once
	sightings    float64 // of more than that, decaying
	growAt       time.Duration
	growBackoffs int // after trials beyond seen that failed
}

// returnUnused gives back what was gained beyond the own share where it is not used.
func (l *slotLimit) returnUnused(home, busy float64) {
	if l.slots > home && busy < l.slots {
		l.slots = max(home, l.slots-unusedReturn)
	}
}

// growLimit raises the limit of w after a clean completion at it that freed so many slots. Not during
// the backoff after a shrink: at a steady load every raise costs a job that waits.
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

// shrinkLimit lowers the limit of w to what runs there now. The way back is one trial after a jittered
// backoff, which doubles up to so many times.
func (d *dispatcher) shrinkLimit(w *worker, doublings int) {
	pause := d.speeds.meanRun.Seconds() * (0.5 + d.random.Float64())
	if k := &d.fleet.kindOf(w).slots; w.limit.slots > k.seen {
		// The whole kind was tried beyond what it was seen to run; try that less and less often.
		k.growAt = d.now + seconds(pause*math.Exp2(float64(min(k.growBackoffs, kindBackoffs))))
		k.growBackoffs++
	}
	w.limit.slots = min(w.limit.slots, w.usage.busy())
	w.report.at = 0
	w.limit.backoffUntil = d.now + seconds(pause*math.Exp2(float64(min(w.limit.backoffs, doublings))))
	w.limit.backoffs++
}

// Seeing how many slots a kind has.
const (
	// slotSightings is how often more slots than known must be seen for one more to count: reports are
	// noisy, and a start may be heard of before the end that made room for it.
	slotSightings = 4
	// sightingDecay is what is left of the sightings after each refresh: slotSightings must come within some
	// ten seconds, so that noise alone never adds up.
	sightingDecay = 0.9
	// clearSightingFactor is how many times the known slots a report must tell of to count at once: well
	// beyond any noise. Without it half of the slots went unused in a day's first seconds.
	clearSightingFactor = 1.5
)

// decaySightings ages sightings once a kind: aged once a worker, they would never add up on a large fleet.
func (f *fleetState) decaySightings() {
	for i := range f.kinds {
		f.kinds[i].slots.sightings *= sightingDecay
	}
}

// observeSlots takes in how many slots w seems to have.
func (d *dispatcher) observeSlots(w *worker, n float64) {
	k := &d.fleet.kindOf(w).slots
	if n <= k.seen {
		return
	}
	// Where few jobs pass, sightings would never add up: there one is enough.
	if k.sightings++; k.sightings >= slotSightings || d.sparse() {
		k.seen, k.sightings = k.seen+1, 0
	}
}
