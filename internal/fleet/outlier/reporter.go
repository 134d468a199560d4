package outlier

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of what a reporter keeps and says.
const (
	// maxObserved is how many incarnations of workers one reporter keeps. Of further ones it notes nothing until the
	// evidence on some has faded away.
	maxObserved = 2048
	// maxSuccesses is the greatest weight of successes: after 20 jobs it is as sure as it needs to be.
	maxSuccesses = 20 * OneJob
	// refreshesPerHalfLife is how often success at a suspect is reported again, since what was reported fades.
	refreshesPerHalfLife = 16
)

// Reporter is a dispatcher's half: what this dispatcher has itself observed of each worker, and what it is to report of
// it. It never takes another's report for its own observation. Its methods are safe for concurrent use; time is by the
// caller's clock.
type Reporter struct {
	disabled atomic.Bool

	mu       sync.Mutex
	halfLife time.Duration
	sequence uint64 // of the latest report
	observed map[Incarnation]*observation
	suspects map[Incarnation]bool
	urgent   bool
}

// observation is what was seen of one incarnation of a worker.
type observation struct {
	failures, successes int64 // as of observedAt: jobs that failed since one succeeded, and succeeded since one failed
	observedAt          time.Duration

	reported   bool // all of it was reported, or is not wanted
	reportedAt time.Duration
	objected   bool   // a success was reported since the worker is suspected
	trial      uint64 // of which all of it is; 0: of none
}

// NewReporter returns a reporter whose reports are numbered from sequence on. It must be greater than any that an earlier
// incarnation of the dispatcher may have reached.
func NewReporter(halfLife time.Duration, sequence uint64) *Reporter {
	return &Reporter{halfLife: halfLife, sequence: sequence, observed: map[Incarnation]*observation{}, suspects: map[Incarnation]bool{}}
}

// Observe notes how a job ended at a worker, with its weight in thousandths of a job.
func (r *Reporter) Observe(now time.Duration, subject Incarnation, succeeded bool, weight int64) {
	if r.disabled.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.observationOf(now, subject)
	if o == nil {
		return
	}
	age := now - o.observedAt
	o.failures, o.successes, o.observedAt = Decay(o.failures, age, r.halfLife), Decay(o.successes, age, r.halfLife), now
	suspected := r.suspects[subject]
	news := true
	if succeeded {
		news = o.failures > 0 || suspected && !o.objected
		o.objected = suspected
		o.failures, o.successes = 0, min(o.successes+weight, maxSuccesses)
		if suspected && now-o.reportedAt > r.halfLife/refreshesPerHalfLife {
			o.reported = false
		}
	} else {
		o.failures, o.successes = min(o.failures+weight, maxWeight), 0
	}
	if news {
		o.reported, r.urgent = false, true
	}
}

// observationOf returns the observation of a subject, a new one where there is none; nil where there is no room for it.
func (r *Reporter) observationOf(now time.Duration, subject Incarnation) *observation {
	if o := r.observed[subject]; o != nil {
		return o
	}
	if len(r.observed) >= maxObserved {
		if r.forgetOld(now); len(r.observed) >= maxObserved {
			return nil
		}
	}
	o := &observation{reported: true}
	r.observed[subject] = o
	return o
}

func (r *Reporter) forgetOld(now time.Duration) {
	for subject, o := range r.observed {
		if now-o.observedAt > forgottenAfter*r.halfLife {
			delete(r.observed, subject)
		}
	}
}

// Urgent reports whether there is something that others should know soon.
func (r *Reporter) Urgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.urgent
}

// Reports returns what is to be reported. Call Undelivered where it may not have arrived.
func (r *Reporter) Reports(now time.Duration) (reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgent = false
	for subject, o := range r.observed {
		if o.reported || len(reports) >= maxReports {
			continue
		}
		o.reported, o.reportedAt = true, now
		r.sequence++
		reports = append(reports, Report{Subject: subject, Sequence: r.sequence, Failures: o.failures, Successes: o.successes, Age: now - o.observedAt, Trial: o.trial})
	}
	return reports
}

// Undelivered notes that reports may not have arrived: they are made again.
func (r *Reporter) Undelivered(reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		if o := r.observed[report.Subject]; o != nil {
			o.reported = false
		}
	}
}

// SetSuspects replaces the workers of which the coordinators want to know what this dispatcher has observed.
func (r *Reporter) SetSuspects(suspects []Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[Incarnation]bool{}
	for _, subject := range suspects {
		next[subject] = true
		if o := r.observed[subject]; o != nil && !r.suspects[subject] {
			o.objected = false // the next success is news
			if o.successes > 0 {
				o.reported, r.urgent = false, true
			}
		}
	}
	r.suspects = next
}

// Reinstated compares the ejections before with those that hold now, and forgets what was observed of the workers that
// are ejected no more: a trial has shown that it does not hold any longer.
func (r *Reporter) Reinstated(before, now []EjectionNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, notice := range before {
		if !slices.ContainsFunc(now, func(n EjectionNotice) bool { return n.Subject == notice.Subject }) {
			delete(r.observed, notice.Subject)
		}
	}
}

// StartTrial notes that what is observed of a worker from here on is of a trial: what was observed before is left out.
func (r *Reporter) StartTrial(now time.Duration, subject Incarnation, trial uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed[subject] = &observation{observedAt: now, reported: true, trial: trial}
	r.suspects[subject] = true
}

// SetHalfLife changes the half-life of evidence; 0: no outliers are detected, and nothing is noted.
func (r *Reporter) SetHalfLife(halfLife time.Duration) {
	r.disabled.Store(halfLife <= 0)
	if halfLife <= 0 {
		return
	}
	r.mu.Lock()
	r.halfLife = halfLife
	r.mu.Unlock()
}
