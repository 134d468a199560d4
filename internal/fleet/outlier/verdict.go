// Package outlier is what a fleet of dispatchers knows of its workers together: each is a witness
// of what it has seen, and a worker that enough of them, independently, have seen fail is condemned
// for all, or for one zone, until paced trials show that it is good again.
//
// Evidence is a register for each worker, its life (when it started) and witness, in which a later
// stamp of the same witness takes the place of an earlier: merging is taking the greater stamp, so
// the order and number of times in which it comes do not matter. It fades by a half-life.
//
// One liar, or one badly placed dispatcher, condemns nobody; a zone whose dispatchers alone see a
// worker fail condemns it for that zone alone; and never more than a stated part of the workers
// are condemned at once, whatever is said.
//
// It has no clock, draw or I/O; it must never drop a worker from use by itself: the module is told.
package outlier

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// OneJob is one job's worth of evidence.
const OneJob = 1000

// AllZones is the scope of a verdict that holds in every zone.
const AllZones = -1

// Settings are how a fleet judges.
type Settings struct {
	MinReporters      int           `cbor:"Witnesses" json:"Witnesses"` // distinct dispatchers that must have seen it fail
	MinFailures       int           `cbor:"Failures" json:"Failures"`   // jobs that must have failed there, at all of them together, none having ended well since at any of those
	HalfLife          time.Duration // of evidence
	ObjectionWindow   time.Duration `cbor:"Hearing" json:"Hearing"` // from the first word against it, for those who know better to say so
	MaxEjectedShare   float64       `cbor:"Most" json:"Most"`       // part of the workers that may be condemned at once
	TrialInterval     time.Duration `cbor:"Pace" json:"Pace"`       // between two trials of one worker by the whole fleet; doubles while they fail
	TrialsToReinstate int           `cbor:"Pass" json:"Pass"`       // trials passed in a row for its return
}

// DefaultSettings is sound to begin with.
func DefaultSettings() Settings {
	return Settings{MinReporters: 2, MinFailures: 3, HalfLife: 10 * time.Second, ObjectionWindow: 1500 * time.Millisecond, MaxEjectedShare: 0.3, TrialInterval: time.Second, TrialsToReinstate: 2}
}

// Validate names what can't be judged by.
func (s *Settings) Validate() error {
	switch {
	case s.MinReporters < 2 || s.MinReporters > 100:
		return fmt.Errorf("witnesses: %d; expected 2 to 100, since one alone may be wrong", s.MinReporters)
	case s.MinFailures < s.MinReporters || s.MinFailures > 1000:
		return fmt.Errorf("failures: %d; expected %d, one at each witness, to 1000", s.MinFailures, s.MinReporters)
	case s.HalfLife < 100*time.Millisecond || s.HalfLife > time.Hour:
		return fmt.Errorf("half_life: %v; expected 100ms to 1h", s.HalfLife)
	case s.ObjectionWindow < 0 || s.ObjectionWindow > s.HalfLife:
		return fmt.Errorf("hearing: %v; expected 0s to the half-life, %v", s.ObjectionWindow, s.HalfLife)
	case !(s.MaxEjectedShare > 0 && s.MaxEjectedShare <= 0.5):
		return fmt.Errorf("most: %v; expected over 0 and up to 0.5 of the workers", s.MaxEjectedShare)
	case s.TrialInterval < 50*time.Millisecond || s.TrialInterval > time.Hour:
		return fmt.Errorf("pace: %v; expected 50ms to 1h", s.TrialInterval)
	case s.TrialsToReinstate < 1 || s.TrialsToReinstate > 100:
		return fmt.Errorf("pass: %d; expected 1 to 100", s.TrialsToReinstate)
	}
	return nil
}

// Incarnation is one life of a worker: its id, and when it started (Unix milliseconds; 0: long ago).
type Incarnation struct {
	Worker  string
	Started int64
}

func (l Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(l.Worker, o.Worker), cmp.Compare(l.Started, o.Started))
}

// Report is one witness's word on one life of a worker.
type Report struct {
	Subject   Incarnation   `cbor:"Of"`
	Sequence  uint64        `cbor:"Stamp"` // grows with each word of this witness
	Failures  int64         `cbor:"Bad"`
	Successes int64         `cbor:"Good"` // thousandths of jobs, faded: failed since one ended well, and the other way round
	Age       time.Duration // of the latest of it
	Trial     uint64        // whose outcome it is alone; 0: of no trial
}

// Evidence is a report as it was taken in.
type Evidence struct {
	Zone       int
	Sequence   uint64        `cbor:"Stamp" json:"Stamp"`
	Failures   int64         `cbor:"Bad" json:"Bad"`
	Successes  int64         `cbor:"Good" json:"Good"` // as of At
	ObservedAt time.Duration `cbor:"At" json:"At"`     // of the latest of it, on the ledger's clock
}

// Newer merges two words of one witness: the greater stamp counts, and of equal ones the worse.
func Newer(a, b Evidence) Evidence {
	if c := cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Failures, b.Failures), cmp.Compare(b.Successes, a.Successes), cmp.Compare(a.ObservedAt, b.ObservedAt), cmp.Compare(a.Zone, b.Zone)); c < 0 {
		return b
	}
	return a
}

// Observations is all that is said of one life of a worker.
type Observations struct {
	ByReporter     map[string]Evidence `cbor:"By" json:"By"`             // by witness
	SuspectedSince time.Duration       `cbor:"Since" json:"Since"`       // it was accused; 0: it is not
	ClearedAt      time.Duration       `cbor:"Pardoned" json:"Pardoned"` // what was seen before does not count
}

// Merge takes in what another case has.
func (c *Observations) Merge(o *Observations) {
	for who, e := range o.ByReporter {
		c.ByReporter[who] = Newer(c.ByReporter[who], e)
	}
	c.ClearedAt = max(c.ClearedAt, o.ClearedAt)
}

// Ejection is a verdict that stands.
type Ejection struct {
	Subject       Incarnation `cbor:"Of" json:"Of"`
	Zone          int         // Everywhere, or the one in which it holds
	Since         time.Duration
	Reporters     int           `cbor:"Against" json:"Against"` // witnesses that it rests on
	NextTrial     time.Duration `cbor:"Next" json:"Next"`       // a trial may be had from then on
	TrialBackoff  time.Duration `cbor:"Wait" json:"Wait"`       // between two
	TrialReporter string        `cbor:"Tried" json:"Tried"`     // who has one now; empty: nobody
	TrialNumber   uint64        `cbor:"Trial" json:"Trial"`     // its number
	TrialStarted  time.Duration `cbor:"TriedAt" json:"TriedAt"`
	TrialsPassed  int           `cbor:"Passed" json:"Passed"`
}

// EjectionNotice is what a dispatcher is told.
type EjectionNotice struct {
	Subject Incarnation `cbor:"Of"`
	Zone    int         // Everywhere, or the one in which it holds
	Trial   uint64      // number of the trial that this dispatcher is to make; 0: it is to send nothing there
}

// Detector is the keepers' half.
type Detector struct {
	Settings      *Settings      // nil: nobody judges
	Records       []Record       `cbor:"Cases" json:"Cases"` // sorted by life
	Ejections     []*Ejection    `cbor:"Sentences" json:"Sentences"`
	ReporterZones map[string]int `cbor:"Zones" json:"Zones"`     // of the witnesses
	WorkerCounts  map[string]int `cbor:"Workers" json:"Workers"` // how many each of them knows
	TrialCount    uint64         `cbor:"Trials" json:"Trials"`
	Revision      uint64         `cbor:"No" json:"No"` // grows with each sentence that begins or ends
}

// Record is one case with what it is of.
type Record struct {
	Subject      Incarnation   `cbor:"Of" json:"Of"`
	Observations *Observations `cbor:"Case" json:"Case"`
}

// NewDetector makes one.
func NewDetector() *Detector {
	return &Detector{ReporterZones: map[string]int{}, WorkerCounts: map[string]int{}}
}

// InitMaps makes what a snapshot leaves out where it is empty.
func (l *Detector) InitMaps() {
	if l.ReporterZones == nil {
		l.ReporterZones = map[string]int{}
	}
	if l.WorkerCounts == nil {
		l.WorkerCounts = map[string]int{}
	}
	for _, e := range l.Records {
		if e.Observations.ByReporter == nil {
			e.Observations.ByReporter = map[string]Evidence{}
		}
	}
}

// Configure changes how it is judged; nil: all sentences end, and nobody judges.
func (l *Detector) Configure(s *Settings) {
	l.Settings = s
	if s == nil {
		if len(l.Ejections) > 0 {
			l.Revision++
		}
		l.Records, l.Ejections = nil, nil
	}
}

const (
	maxCases   = 4096 // beyond, the oldest word goes
	maxReports = 256  // taken in of one call
	maxWeight  = 1000 * OneJob
	fadesAway  = 10 // half-lives after which evidence is forgotten
)

// Decay is a weight after a time: halved with each half-life, in straight lines between.
func Decay(w int64, age, half time.Duration) int64 {
	if age <= 0 {
		return w
	}
	n := age / half
	if n > 40 {
		return 0
	}
	w >>= uint(n)
	return w - w*int64(age%half)/int64(2*half)
}

func (l *Detector) find(of Incarnation) (int, bool) {
	return slices.BinarySearchFunc(l.Records, of, func(e Record, of Incarnation) int { return e.Subject.compare(of) })
}

// AddReports takes in what a witness says. Whatever it says, it is one witness.
func (l *Detector) AddReports(now time.Duration, who string, zone, workers int, reports []Report) {
	if l.Settings == nil {
		return
	}
	l.ReporterZones[who], l.WorkerCounts[who] = zone, max(workers, 0)
	for _, r := range reports[:min(len(reports), maxReports)] {
		if r.Subject.Worker == "" || len(r.Subject.Worker) > 200 {
			continue
		}
		at, ok := l.find(r.Subject)
		if !ok {
			if len(l.Records) >= maxCases {
				continue
			}
			l.Records = slices.Insert(l.Records, at, Record{r.Subject, &Observations{ByReporter: map[string]Evidence{}}})
		}
		c := l.Records[at].Observations
		e := Evidence{Zone: zone, Sequence: r.Sequence, Failures: min(max(r.Failures, 0), maxWeight), Successes: min(max(r.Successes, 0), maxWeight), ObservedAt: now - min(max(r.Age, 0), fadesAway*l.Settings.HalfLife)}
		was, had := c.ByReporter[who]
		if had {
			e = Newer(was, e)
		}
		c.ByReporter[who] = e
		if !had || e.Sequence != was.Sequence {
			l.tried(now, who, r)
		}
	}
}

// opinion is what a witness holds of a worker now: 1 that it fails, -1 that it does well, 0 neither.
func (l *Detector) opinion(now time.Duration, c *Observations, e Evidence) int {
	if e.ObservedAt <= c.ClearedAt {
		return 0
	}
	bad, good := Decay(e.Failures, now-e.ObservedAt, l.Settings.HalfLife), Decay(e.Successes, now-e.ObservedAt, l.Settings.HalfLife)
	switch {
	case bad >= OneJob/2 && bad > good:
		return 1
	case good >= OneJob/2 && good >= bad:
		return -1
	}
	return 0
}

// tried takes in what a trial came to.
func (l *Detector) tried(now time.Duration, who string, r Report) {
	for i, s := range l.Ejections {
		if s.Subject != r.Subject || s.TrialReporter != who || r.Trial != s.TrialNumber {
			continue
		}
		if s.TrialReporter = ""; r.Failures > 0 {
			s.TrialsPassed = 0
			s.TrialBackoff = min(2*s.TrialBackoff, 8*l.Settings.TrialInterval)
			s.NextTrial = now + s.TrialBackoff
			return
		}
		s.NextTrial = now + l.Settings.TrialInterval
		if s.TrialsPassed++; s.TrialsPassed >= l.Settings.TrialsToReinstate {
			if at, ok := l.find(r.Subject); ok {
				l.Records[at].Observations.ClearedAt, l.Records[at].Observations.SuspectedSince = now, 0
			}
			l.Ejections = slices.Delete(l.Ejections, i, i+1)
			l.Revision++
		}
		return
	}
}

// RemoveReporter takes a witness out of the count of those that may speak; what it said fades by itself.
func (l *Detector) RemoveReporter(who string) {
	delete(l.ReporterZones, who)
	delete(l.WorkerCounts, who)
}

// Evaluate weighs all cases as of now.
func (l *Detector) Evaluate(now time.Duration) {
	if l.Settings == nil {
		return
	}
	l.Records = slices.DeleteFunc(l.Records, func(e Record) bool {
		maps.DeleteFunc(e.Observations.ByReporter, func(_ string, v Evidence) bool { return now-v.ObservedAt > fadesAway*l.Settings.HalfLife })
		return len(e.Observations.ByReporter) == 0 && now-e.Observations.ClearedAt > fadesAway*l.Settings.HalfLife
	})
	l.Ejections = slices.DeleteFunc(l.Ejections, func(s *Ejection) bool {
		if s.TrialReporter != "" && now-s.TrialStarted > max(3*l.Settings.TrialInterval, l.Settings.ObjectionWindow) {
			s.TrialReporter, s.NextTrial = "", now // whoever had it had nothing to send there, or is gone: another
		}
		// What it rested on is long past: the worker was replaced, or nobody has anything to send there.
		at, ok := l.find(s.Subject)
		over := !ok || len(l.Records[at].Observations.ByReporter) == 0
		if over {
			l.Revision++
		}
		return over
	})
	zones := map[int]int{} // witnesses in each
	for _, z := range l.ReporterZones {
		zones[z]++
	}
	for _, e := range l.Records {
		c := e.Observations
		first := time.Duration(1<<63 - 1) // of the failures that are held against it
		for _, v := range c.ByReporter {
			if l.opinion(now, c, v) > 0 {
				first = min(first, v.ObservedAt)
			}
		}
		bad, good := map[int]int{}, map[int]int{} // by zone; failing more than once counts there alone
		from := map[int]bool{}
		against, for_, jobs := 0, 0, int64(0)
		for _, v := range c.ByReporter {
			switch weight := Decay(v.Failures, now-v.ObservedAt, l.Settings.HalfLife); {
			case l.opinion(now, c, v) > 0:
				against++
				from[v.Zone] = true
				// One witness alone never weighs as much as it takes, less one more's word.
				jobs += min(weight, (2*int64(l.Settings.MinFailures)-3)*OneJob/2-OneJob/10)
				if weight >= OneJob*5/4 {
					bad[v.Zone]++
				}
			case l.opinion(now, c, v) < 0 && v.ObservedAt >= first: // what ended well before tells nothing of now
				good[v.Zone]++
				for_++
			}
		}
		if against == 0 {
			c.SuspectedSince = 0
			continue
		}
		if c.SuspectedSince == 0 {
			c.SuspectedSince = max(now, 1)
		}
		// Those who know better have had time to say so, or all have spoken.
		heard := func(spoke, of int) bool {
			return now-c.SuspectedSince >= l.Settings.ObjectionWindow || spoke >= of && of > l.Settings.MinReporters
		}
		enough := (2*int64(l.Settings.MinFailures) - 1) * OneJob / 2 // some of it has faded a little
		if against >= l.Settings.MinReporters && jobs >= enough && against > 2*for_ && (len(from) > 1 || len(zones) < 2) && heard(against+for_, len(l.ReporterZones)) {
			l.condemn(now, e.Subject, AllZones, against)
			continue
		}
		// One zone's word binds that zone. Few are in it, so each must have seen it fail again.
		for _, z := range slices.Sorted(maps.Keys(bad)) {
			if bad[z] >= l.Settings.MinReporters && bad[z] > 2*good[z] && heard(bad[z]+good[z], zones[z]) {
				l.condemn(now, e.Subject, z, bad[z])
			}
		}
	}
}

func (l *Detector) sentenced(of Incarnation, zone int) bool {
	return slices.ContainsFunc(l.Ejections, func(s *Ejection) bool { return s.Subject == of && (s.Zone == zone || s.Zone == AllZones) })
}

// condemn passes a sentence, unless too many stand.
func (l *Detector) condemn(now time.Duration, of Incarnation, zone, against int) {
	if l.sentenced(of, zone) || len(l.Ejections) >= l.most() && zone == AllZones {
		return
	}
	in := 0
	for _, s := range l.Ejections {
		if s.Zone == zone || s.Zone == AllZones || zone == AllZones {
			in++
		}
	}
	if in >= l.most() {
		return
	}
	if zone == AllZones { // it takes in what was for one zone
		l.Ejections = slices.DeleteFunc(l.Ejections, func(s *Ejection) bool { return s.Subject == of })
	}
	l.Ejections = append(l.Ejections, &Ejection{Subject: of, Zone: zone, Since: now, Reporters: against, NextTrial: now + l.Settings.TrialInterval, TrialBackoff: l.Settings.TrialInterval})
	l.Revision++
}

// most is how many workers may be condemned at once, in any zone: by how many the witnesses know,
// the median of what they say, so that one can't lie it up.
func (l *Detector) most() int {
	if len(l.WorkerCounts) == 0 {
		return 0
	}
	all := slices.Sorted(maps.Values(l.WorkerCounts))
	return int(l.Settings.MaxEjectedShare * float64(all[(len(all)-1)/2]))
}

// NoticesFor is what a witness is to hear: the verdicts that hold for it, one of which may be a trial
// for it to make, and the workers accused, of which it is to say what it knows.
func (l *Detector) NoticesFor(now time.Duration, who string, zone int) (verdicts []EjectionNotice, accused []Incarnation) {
	if l.Settings == nil {
		return nil, nil
	}
	gave := false
	for _, s := range l.Ejections {
		if s.Zone != AllZones && s.Zone != zone {
			continue
		}
		v := EjectionNotice{Subject: s.Subject, Zone: s.Zone}
		if s.TrialReporter == "" && now >= s.NextTrial && !gave {
			l.TrialCount++
			s.TrialReporter, s.TrialStarted, s.TrialNumber = who, now, l.TrialCount
			gave = true
		}
		if s.TrialReporter == who {
			v.Trial = s.TrialNumber
		}
		verdicts = append(verdicts, v)
	}
	for _, e := range l.Records {
		if e.Observations.SuspectedSince > 0 && len(accused) < maxReports {
			accused = append(accused, e.Subject)
		}
	}
	return verdicts, accused
}

// Notices are the verdicts of all zones, without trials: what a watch tells.
func (l *Detector) Notices() (out []EjectionNotice) {
	for _, s := range l.Ejections {
		out = append(out, EjectionNotice{Subject: s.Subject, Zone: s.Zone})
	}
	return out
}

// ErrDisabled is what is said where nobody judges.
var ErrDisabled = errors.New("no verdicts: the policy in force has no [verdicts] enabled")
