package outlier

// This file owns the dispatcher's half: what it has seen itself of each worker, faded, and what it
// is to say of it. It must never take another's word for its own.

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Reporter is one dispatcher's. Its methods may be called from any goroutine; time is its own.
type Reporter struct {
	off     atomic.Bool // nobody judges
	mu      sync.Mutex
	half    time.Duration
	stamp   uint64
	seen    map[Incarnation]*sight
	accused map[Incarnation]bool
	urgent  bool
}

type sight struct {
	bad, good int64 // as of at: jobs failed since one ended well, and well since one failed
	at        time.Duration
	told      bool // all of it was said, or is not asked for
	toldAt    time.Duration
	spoke     bool // of a job that ended well, since it was accused
	trial     uint64
}

// NewReporter makes one; its stamps go on from a number that no earlier life of it has reached.
func NewReporter(half time.Duration, stamp uint64) *Reporter {
	return &Reporter{half: half, stamp: stamp, seen: map[Incarnation]*sight{}, accused: map[Incarnation]bool{}}
}

const maxSeen = 2048

// Observe notes how a job ended at a worker: well, or not; weight in thousandths of a job.
func (w *Reporter) Observe(now time.Duration, of Incarnation, well bool, weight int64) {
	if w.off.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.seen[of]
	if s == nil {
		if len(w.seen) >= maxSeen {
			if w.tidy(now); len(w.seen) >= maxSeen {
				return
			}
		}
		s = &sight{told: true}
		w.seen[of] = s
	}
	s.bad, s.good, s.at = Decay(s.bad, now-s.at, w.half), Decay(s.good, now-s.at, w.half), now
	news := false
	if !well {
		s.bad, s.good, news = min(s.bad+weight, maxWeight), 0, true
	} else {
		news = s.bad > 0 || w.accused[of] && !s.spoke
		s.spoke = w.accused[of]
		s.bad, s.good = 0, min(s.good+weight, 20*OneJob) // as sure as it needs to be
		if w.accused[of] && now-s.toldAt > w.half/16 {   // what was said fades
			s.told = false
		}
	}
	if news {
		s.told, w.urgent = false, true
	}
}

func (w *Reporter) tidy(now time.Duration) {
	for of, s := range w.seen {
		if now-s.at > fadesAway*w.half {
			delete(w.seen, of)
		}
	}
}

// Urgent tells whether there is something that the others should know soon.
func (w *Reporter) Urgent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.urgent
}

// Reports words what is to be said; Unsaid, where it did not get through.
func (w *Reporter) Reports(now time.Duration) (out []Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.urgent = false
	for of, s := range w.seen {
		if s.told || len(out) >= maxReports {
			continue
		}
		s.told, s.toldAt = true, now
		w.stamp++
		out = append(out, Report{Subject: of, Sequence: w.stamp, Failures: s.bad, Successes: s.good, Age: now - s.at, Trial: s.trial})
	}
	return out
}

// Undelivered notes that reports may not have arrived: they are said again.
func (w *Reporter) Undelivered(all []Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range all {
		if s := w.seen[r.Subject]; s != nil {
			s.told = false
		}
	}
}

// SetSuspects notes of whom it is asked what it knows.
func (w *Reporter) SetSuspects(all []Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[Incarnation]bool{}
	for _, of := range all {
		next[of] = true
		if s := w.seen[of]; s != nil && !w.accused[of] {
			s.spoke = false // the next that ends well is news
			if s.good > 0 {
				s.told, w.urgent = false, true
			}
		}
	}
	w.accused = next
}

// Reinstated forgets what was seen of those that are condemned no more: a trial has shown better.
func (w *Reporter) Reinstated(before, now []EjectionNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range before {
		if !slices.ContainsFunc(now, func(n EjectionNotice) bool { return n.Subject == v.Subject }) {
			delete(w.seen, v.Subject)
		}
	}
}

// StartTrial notes that what is seen of a worker from here on is a trial's: what was before is left out.
func (w *Reporter) StartTrial(now time.Duration, of Incarnation, trial uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[of] = &sight{at: now, told: true, trial: trial}
	w.accused[of] = true
}

// SetHalfLife changes the half-life by which it fades; 0: nobody judges, and nothing is noted.
func (w *Reporter) SetHalfLife(half time.Duration) {
	if w.off.Store(half <= 0); half <= 0 {
		return
	}
	w.mu.Lock()
	w.half = half
	w.mu.Unlock()
}
