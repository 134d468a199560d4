package harness

// This file owns the jury: dispatchers that send jobs to workers, some of them bad, and tell the
// keepers' ledger what they see, in virtual time. It counts what is lost at bad workers, with
// verdicts and as it is without. The same seed gives the same run.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/internal/fleet/outlier"
)

// Jury is one run.
type Jury struct {
	Seed                        uint64
	Dispatchers, Workers, Zones int
	Rate                        float64 // jobs a second at each dispatcher
	Errors                      float64 // part of the jobs that fail at a sound worker
	Verdicts                    bool
	Length                      time.Duration
	Every                       time.Duration // between two calls of a dispatcher
	// Bad tells whether a worker fails the jobs of a dispatcher in a zone at a moment; nil: none does.
	Bad func(at time.Duration, zone, worker int) bool
	// Liars say of all workers, sound or not, that they fail.
	Liars int
	Deaf  func(at time.Duration, dispatcher int) bool
}

// Tried is what came of it.
type Tried struct {
	Lost      int           // jobs that failed at workers while these were bad
	Sentences int           // passed
	False     int           // on workers that were not bad for all they hold for
	Most      int           // workers condemned at once
	Know95    time.Duration // from when the first worker is bad until 95% of the dispatchers send nothing there
	KnowAll   time.Duration // and until all
	Back      time.Duration // from when all are good again until all may be used by all
	Oldest    time.Duration // age of a verdict that was used
	Bytes     float64       // a second, of what dispatchers say of workers, each
}

type juror struct {
	name   string
	zone   int
	w      *outlier.Reporter
	next   time.Duration
	last   time.Duration
	held   []outlier.EjectionNotice
	got    time.Duration
	shun   map[int]time.Duration // by its own knowledge, until then
	trials map[int]uint64        // that it has yet to make, by worker
	made   map[uint64]bool
}

const juryStep = 10 * time.Millisecond

// Run plays it.
func (j Jury) Run() (out Tried) {
	rnd := rand.New(rand.NewPCG(j.Seed, 41))
	l := outlier.NewDetector()
	s := outlier.DefaultSettings()
	l.Configure(&s)
	lease := 3 * j.Every
	name := func(w int) outlier.Incarnation { return outlier.Incarnation{Worker: fmt.Sprint("s-", w), Started: 1} }
	var all []*juror
	for i := range j.Dispatchers {
		all = append(all, &juror{name: fmt.Sprint("d", i), zone: i % max(j.Zones, 1), w: outlier.NewReporter(s.HalfLife, 1), shun: map[int]time.Duration{}, trials: map[int]uint64{}, made: map[uint64]bool{},
			next: time.Duration(rnd.Float64() * float64(j.Every))})
	}
	bad := func(at time.Duration, zone, w int) bool { return j.Bad != nil && j.Bad(at, zone, w) }
	anyBad := func(at time.Duration, w int) (n int) {
		for z := range max(j.Zones, 1) {
			if bad(at, z, w) {
				n++
			}
		}
		return n
	}
	var began, good time.Duration
	bytes, seen, news := 0, uint64(0), uint64(0)
	stands := map[outlier.Incarnation]bool{}
	for now := time.Duration(0); now < j.Length; now += juryStep {
		isBad := false
		for w := range j.Workers {
			isBad = isBad || anyBad(now, w) > 0
		}
		if isBad && began == 0 {
			began = now
		}
		if began > 0 && !isBad && good == 0 {
			good = now
		}
		if now%(100*time.Millisecond) == 0 && j.Verdicts {
			l.Evaluate(now)
		}
		for i, d := range all {
			deaf := j.Deaf != nil && j.Deaf(now, i)
			if now-d.got > lease {
				d.held, d.trials = nil, map[int]uint64{}
			}
			if j.Verdicts && !deaf && (now >= d.next || d.w.Urgent() && now-d.last >= j.Every/4) {
				d.last, d.next = now, now+time.Duration(float64(j.Every)*(0.8+0.2*rnd.Float64()))
				said := d.w.Reports(now)
				if i < j.Liars {
					said = nil
					for w := range j.Workers {
						said = append(said, outlier.Report{Subject: name(w), Sequence: uint64(now) + 1, Failures: 1 << 60}, outlier.Report{Subject: outlier.Incarnation{Worker: name(w).Worker, Started: 1 << 60}, Sequence: uint64(now) + 1, Failures: 1 << 60, Age: -1 << 60})
					}
				}
				bytes += 40 * len(said)
				l.AddReports(now, d.name, d.zone, j.Workers, said)
				l.Evaluate(now)
				held, accused := l.NoticesFor(now, d.name, d.zone)
				d.w.Reinstated(d.held, held)
				d.held, d.got = held, now
				clear(d.trials)
				for _, v := range held {
					if v.Trial != 0 && !d.made[v.Trial] {
						for w := range j.Workers {
							if name(w) == v.Subject {
								d.trials[w] = v.Trial
							}
						}
					}
				}
				d.w.SetSuspects(accused)
			}
			if j.Verdicts && !deaf && news != l.Revision && now-d.got > 2*juryStep { // a watch tells of it
				d.held = slices.DeleteFunc(l.Notices(), func(v outlier.EjectionNotice) bool { return v.Zone != outlier.AllZones && v.Zone != d.zone })
			}
			if rnd.Float64() >= j.Rate*juryStep.Seconds() {
				continue
			}
			for try := 0; try < 4; try++ {
				w := rnd.IntN(j.Workers)
				for t := range d.trials {
					w = t // one at the most: made with the next job
				}
				condemned := slices.ContainsFunc(d.held, func(v outlier.EjectionNotice) bool { return v.Subject == name(w) })
				trial := d.trials[w]
				if condemned && trial == 0 || !condemned && d.shun[w] > now {
					continue
				}
				if condemned {
					out.Oldest = max(out.Oldest, now-d.got)
					d.made[trial] = true
					delete(d.trials, w)
					d.w.StartTrial(now, name(w), trial)
				}
				fails := bad(now, d.zone, w)
				if fails {
					out.Lost++
				}
				fails = fails || rnd.Float64() < j.Errors
				d.w.Observe(now, name(w), !fails, outlier.OneJob)
				if fails {
					d.shun[w] = now + 5*time.Second
				}
				break
			}
		}
		if news = seen; l.Revision != seen {
			seen = l.Revision
		}
		out.Most = max(out.Most, len(l.Ejections))
		for _, s := range l.Ejections {
			if !stands[s.Subject] {
				stands[s.Subject] = true
				out.Sentences++
				var w int
				_, _ = fmt.Sscanf(s.Subject.Worker, "s-%d", &w)
				if n := anyBad(now, w); n == 0 && (good == 0 || now > good+20*time.Second) || s.Zone == outlier.AllZones && n == 1 && j.Zones > 1 {
					out.False++
				}
			}
		}
		for of := range stands {
			if !slices.ContainsFunc(l.Ejections, func(s *outlier.Ejection) bool { return s.Subject == of }) {
				delete(stands, of)
			}
		}
		if began > 0 && good == 0 && out.KnowAll == 0 {
			know, of := 0, 0
			for _, d := range all {
				for w := range j.Workers {
					if bad(now, d.zone, w) {
						of++
						if d.shun[w] > now || slices.ContainsFunc(d.held, func(v outlier.EjectionNotice) bool { return v.Subject == name(w) }) {
							know++
						}
					}
				}
			}
			if of > 0 && out.Know95 == 0 && float64(know) >= 0.95*float64(of) {
				out.Know95 = max(now-began, 1)
			}
			if of > 0 && know == of {
				out.KnowAll = max(now-began, 1)
			}
		}
		if good > 0 && out.Back == 0 && len(l.Ejections) == 0 && !slices.ContainsFunc(all, func(d *juror) bool { return len(d.held) > 0 }) {
			out.Back = max(now-good, 1)
		}
	}
	out.Bytes = float64(bytes) / j.Length.Seconds() / float64(j.Dispatchers)
	return out
}
