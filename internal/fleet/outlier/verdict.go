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

// One is one job's worth of evidence.
const One = 1000

// Everywhere is the scope of a verdict that holds in every zone.
const Everywhere = -1

// Settings are how a fleet judges.
type Settings struct {
	Witnesses int           // distinct dispatchers that must have seen it fail
	Failures  int           // jobs that must have failed there, at all of them together, none having ended well since at any of those
	HalfLife  time.Duration // of evidence
	Hearing   time.Duration // from the first word against it, for those who know better to say so
	Most      float64       // part of the workers that may be condemned at once
	Pace      time.Duration // between two trials of one worker by the whole fleet; doubles while they fail
	Pass      int           // trials passed in a row for its return
}

// Default is sound to begin with.
func Default() Settings {
	return Settings{Witnesses: 2, Failures: 3, HalfLife: 10 * time.Second, Hearing: 1500 * time.Millisecond, Most: 0.3, Pace: time.Second, Pass: 2}
}

// Check names what can't be judged by.
func (s *Settings) Check() error {
	switch {
	case s.Witnesses < 2 || s.Witnesses > 100:
		return fmt.Errorf("witnesses: %d; expected 2 to 100, since one alone may be wrong", s.Witnesses)
	case s.Failures < s.Witnesses || s.Failures > 1000:
		return fmt.Errorf("failures: %d; expected %d, one at each witness, to 1000", s.Failures, s.Witnesses)
	case s.HalfLife < 100*time.Millisecond || s.HalfLife > time.Hour:
		return fmt.Errorf("half_life: %v; expected 100ms to 1h", s.HalfLife)
	case s.Hearing < 0 || s.Hearing > s.HalfLife:
		return fmt.Errorf("hearing: %v; expected 0s to the half-life, %v", s.Hearing, s.HalfLife)
	case !(s.Most > 0 && s.Most <= 0.5):
		return fmt.Errorf("most: %v; expected over 0 and up to 0.5 of the workers", s.Most)
	case s.Pace < 50*time.Millisecond || s.Pace > time.Hour:
		return fmt.Errorf("pace: %v; expected 50ms to 1h", s.Pace)
	case s.Pass < 1 || s.Pass > 100:
		return fmt.Errorf("pass: %d; expected 1 to 100", s.Pass)
	}
	return nil
}

// Life is one life of a worker: its id, and when it started (Unix milliseconds; 0: long ago).
type Life struct {
	Worker  string
	Started int64
}

func (l Life) compare(o Life) int {
	return cmp.Or(cmp.Compare(l.Worker, o.Worker), cmp.Compare(l.Started, o.Started))
}

// Report is one witness's word on one life of a worker.
type Report struct {
	Of        Life
	Stamp     uint64        // grows with each word of this witness
	Bad, Good int64         // thousandths of jobs, faded: failed since one ended well, and the other way round
	Age       time.Duration // of the latest of it
	Trial     uint64        // whose outcome it is alone; 0: of no trial
}

// Evidence is a report as it was taken in.
type Evidence struct {
	Zone      int
	Stamp     uint64
	Bad, Good int64         // as of At
	At        time.Duration // of the latest of it, on the ledger's clock
}

// Later merges two words of one witness: the greater stamp counts, and of equal ones the worse.
func Later(a, b Evidence) Evidence {
	if c := cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Bad, b.Bad), cmp.Compare(b.Good, a.Good), cmp.Compare(a.At, b.At), cmp.Compare(a.Zone, b.Zone)); c < 0 {
		return b
	}
	return a
}

// Case is all that is said of one life of a worker.
type Case struct {
	By       map[string]Evidence // by witness
	Since    time.Duration       // it was accused; 0: it is not
	Pardoned time.Duration       // what was seen before does not count
}

// Merge takes in what another case has.
func (c *Case) Merge(o *Case) {
	for who, e := range o.By {
		c.By[who] = Later(c.By[who], e)
	}
	c.Pardoned = max(c.Pardoned, o.Pardoned)
}

// Sentence is a verdict that stands.
type Sentence struct {
	Of      Life
	Zone    int // Everywhere, or the one in which it holds
	Since   time.Duration
	Against int           // witnesses that it rests on
	Next    time.Duration // a trial may be had from then on
	Wait    time.Duration // between two
	Tried   string        // who has one now; empty: nobody
	Trial   uint64        // its number
	TriedAt time.Duration
	Passed  int
}

// Verdict is what a dispatcher is told.
type Verdict struct {
	Of    Life
	Zone  int    // Everywhere, or the one in which it holds
	Trial uint64 // number of the trial that this dispatcher is to make; 0: it is to send nothing there
}

// Ledger is the keepers' half.
type Ledger struct {
	Settings  *Settings // nil: nobody judges
	Cases     []Entry   // sorted by life
	Sentences []*Sentence
	Zones     map[string]int // of the witnesses
	Workers   map[string]int // how many each of them knows
	Trials    uint64
	No        uint64 // grows with each sentence that begins or ends
}

// Entry is one case with what it is of.
type Entry struct {
	Of   Life
	Case *Case
}

// NewLedger makes one.
func NewLedger() *Ledger { return &Ledger{Zones: map[string]int{}, Workers: map[string]int{}} }

// Mend makes what a snapshot leaves out where it is empty.
func (l *Ledger) Mend() {
	if l.Zones == nil {
		l.Zones = map[string]int{}
	}
	if l.Workers == nil {
		l.Workers = map[string]int{}
	}
	for _, e := range l.Cases {
		if e.Case.By == nil {
			e.Case.By = map[string]Evidence{}
		}
	}
}

// Set changes how it is judged; nil: all sentences end, and nobody judges.
func (l *Ledger) Set(s *Settings) {
	l.Settings = s
	if s == nil {
		if len(l.Sentences) > 0 {
			l.No++
		}
		l.Cases, l.Sentences = nil, nil
	}
}

const (
	maxCases   = 4096 // beyond, the oldest word goes
	maxReports = 256  // taken in of one call
	maxWeight  = 1000 * One
	fadesAway  = 10 // half-lives after which evidence is forgotten
)

// Fade is a weight after a time: halved with each half-life, in straight lines between.
func Fade(w int64, age, half time.Duration) int64 {
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

func (l *Ledger) find(of Life) (int, bool) {
	return slices.BinarySearchFunc(l.Cases, of, func(e Entry, of Life) int { return e.Of.compare(of) })
}

// Hear takes in what a witness says. Whatever it says, it is one witness.
func (l *Ledger) Hear(now time.Duration, who string, zone, workers int, reports []Report) {
	if l.Settings == nil {
		return
	}
	l.Zones[who], l.Workers[who] = zone, max(workers, 0)
	for _, r := range reports[:min(len(reports), maxReports)] {
		if r.Of.Worker == "" || len(r.Of.Worker) > 200 {
			continue
		}
		at, ok := l.find(r.Of)
		if !ok {
			if len(l.Cases) >= maxCases {
				continue
			}
			l.Cases = slices.Insert(l.Cases, at, Entry{r.Of, &Case{By: map[string]Evidence{}}})
		}
		c := l.Cases[at].Case
		e := Evidence{Zone: zone, Stamp: r.Stamp, Bad: min(max(r.Bad, 0), maxWeight), Good: min(max(r.Good, 0), maxWeight), At: now - min(max(r.Age, 0), fadesAway*l.Settings.HalfLife)}
		was, had := c.By[who]
		if had {
			e = Later(was, e)
		}
		c.By[who] = e
		if !had || e.Stamp != was.Stamp {
			l.tried(now, who, r)
		}
	}
}

// opinion is what a witness holds of a worker now: 1 that it fails, -1 that it does well, 0 neither.
func (l *Ledger) opinion(now time.Duration, c *Case, e Evidence) int {
	if e.At <= c.Pardoned {
		return 0
	}
	bad, good := Fade(e.Bad, now-e.At, l.Settings.HalfLife), Fade(e.Good, now-e.At, l.Settings.HalfLife)
	switch {
	case bad >= One/2 && bad > good:
		return 1
	case good >= One/2 && good >= bad:
		return -1
	}
	return 0
}

// tried takes in what a trial came to.
func (l *Ledger) tried(now time.Duration, who string, r Report) {
	for i, s := range l.Sentences {
		if s.Of != r.Of || s.Tried != who || r.Trial != s.Trial {
			continue
		}
		if s.Tried = ""; r.Bad > 0 {
			s.Passed = 0
			s.Wait = min(2*s.Wait, 8*l.Settings.Pace)
			s.Next = now + s.Wait
			return
		}
		s.Next = now + l.Settings.Pace
		if s.Passed++; s.Passed >= l.Settings.Pass {
			if at, ok := l.find(r.Of); ok {
				l.Cases[at].Case.Pardoned, l.Cases[at].Case.Since = now, 0
			}
			l.Sentences = slices.Delete(l.Sentences, i, i+1)
			l.No++
		}
		return
	}
}

// Forget takes a witness out of the count of those that may speak; what it said fades by itself.
func (l *Ledger) Forget(who string) {
	delete(l.Zones, who)
	delete(l.Workers, who)
}

// Judge weighs all cases as of now.
func (l *Ledger) Judge(now time.Duration) {
	if l.Settings == nil {
		return
	}
	l.Cases = slices.DeleteFunc(l.Cases, func(e Entry) bool {
		maps.DeleteFunc(e.Case.By, func(_ string, v Evidence) bool { return now-v.At > fadesAway*l.Settings.HalfLife })
		return len(e.Case.By) == 0 && now-e.Case.Pardoned > fadesAway*l.Settings.HalfLife
	})
	l.Sentences = slices.DeleteFunc(l.Sentences, func(s *Sentence) bool {
		if s.Tried != "" && now-s.TriedAt > max(3*l.Settings.Pace, l.Settings.Hearing) {
			s.Tried, s.Next = "", now // whoever had it had nothing to send there, or is gone: another
		}
		// What it rested on is long past: the worker was replaced, or nobody has anything to send there.
		at, ok := l.find(s.Of)
		over := !ok || len(l.Cases[at].Case.By) == 0
		if over {
			l.No++
		}
		return over
	})
	zones := map[int]int{} // witnesses in each
	for _, z := range l.Zones {
		zones[z]++
	}
	for _, e := range l.Cases {
		c := e.Case
		first := time.Duration(1<<63 - 1) // of the failures that are held against it
		for _, v := range c.By {
			if l.opinion(now, c, v) > 0 {
				first = min(first, v.At)
			}
		}
		bad, good := map[int]int{}, map[int]int{} // by zone; failing more than once counts there alone
		from := map[int]bool{}
		against, for_, jobs := 0, 0, int64(0)
		for _, v := range c.By {
			switch weight := Fade(v.Bad, now-v.At, l.Settings.HalfLife); {
			case l.opinion(now, c, v) > 0:
				against++
				from[v.Zone] = true
				// One witness alone never weighs as much as it takes, less one more's word.
				jobs += min(weight, (2*int64(l.Settings.Failures)-3)*One/2-One/10)
				if weight >= One*5/4 {
					bad[v.Zone]++
				}
			case l.opinion(now, c, v) < 0 && v.At >= first: // what ended well before tells nothing of now
				good[v.Zone]++
				for_++
			}
		}
		if against == 0 {
			c.Since = 0
			continue
		}
		if c.Since == 0 {
			c.Since = max(now, 1)
		}
		// Those who know better have had time to say so, or all have spoken.
		heard := func(spoke, of int) bool {
			return now-c.Since >= l.Settings.Hearing || spoke >= of && of > l.Settings.Witnesses
		}
		enough := (2*int64(l.Settings.Failures) - 1) * One / 2 // some of it has faded a little
		if against >= l.Settings.Witnesses && jobs >= enough && against > 2*for_ && (len(from) > 1 || len(zones) < 2) && heard(against+for_, len(l.Zones)) {
			l.condemn(now, e.Of, Everywhere, against)
			continue
		}
		// One zone's word binds that zone. Few are in it, so each must have seen it fail again.
		for _, z := range slices.Sorted(maps.Keys(bad)) {
			if bad[z] >= l.Settings.Witnesses && bad[z] > 2*good[z] && heard(bad[z]+good[z], zones[z]) {
				l.condemn(now, e.Of, z, bad[z])
			}
		}
	}
}

func (l *Ledger) sentenced(of Life, zone int) bool {
	return slices.ContainsFunc(l.Sentences, func(s *Sentence) bool { return s.Of == of && (s.Zone == zone || s.Zone == Everywhere) })
}

// condemn passes a sentence, unless too many stand.
func (l *Ledger) condemn(now time.Duration, of Life, zone, against int) {
	if l.sentenced(of, zone) || len(l.Sentences) >= l.most() && zone == Everywhere {
		return
	}
	in := 0
	for _, s := range l.Sentences {
		if s.Zone == zone || s.Zone == Everywhere || zone == Everywhere {
			in++
		}
	}
	if in >= l.most() {
		return
	}
	if zone == Everywhere { // it takes in what was for one zone
		l.Sentences = slices.DeleteFunc(l.Sentences, func(s *Sentence) bool { return s.Of == of })
	}
	l.Sentences = append(l.Sentences, &Sentence{Of: of, Zone: zone, Since: now, Against: against, Next: now + l.Settings.Pace, Wait: l.Settings.Pace})
	l.No++
}

// most is how many workers may be condemned at once, in any zone: by how many the witnesses know,
// the median of what they say, so that one can't lie it up.
func (l *Ledger) most() int {
	if len(l.Workers) == 0 {
		return 0
	}
	all := slices.Sorted(maps.Values(l.Workers))
	return int(l.Settings.Most * float64(all[(len(all)-1)/2]))
}

// Tell is what a witness is to hear: the verdicts that hold for it, one of which may be a trial
// for it to make, and the workers accused, of which it is to say what it knows.
func (l *Ledger) Tell(now time.Duration, who string, zone int) (verdicts []Verdict, accused []Life) {
	if l.Settings == nil {
		return nil, nil
	}
	gave := false
	for _, s := range l.Sentences {
		if s.Zone != Everywhere && s.Zone != zone {
			continue
		}
		v := Verdict{Of: s.Of, Zone: s.Zone}
		if s.Tried == "" && now >= s.Next && !gave {
			l.Trials++
			s.Tried, s.TriedAt, s.Trial = who, now, l.Trials
			gave = true
		}
		if s.Tried == who {
			v.Trial = s.Trial
		}
		verdicts = append(verdicts, v)
	}
	for _, e := range l.Cases {
		if e.Case.Since > 0 && len(accused) < maxReports {
			accused = append(accused, e.Of)
		}
	}
	return verdicts, accused
}

// All are the verdicts of all zones, without trials: what a watch tells.
func (l *Ledger) All() (out []Verdict) {
	for _, s := range l.Sentences {
		out = append(out, Verdict{Of: s.Of, Zone: s.Zone})
	}
	return out
}

// ErrOff is what is said where nobody judges.
var ErrOff = errors.New("no verdicts: the policy in force has no [verdicts] enabled")
