// Package membership makes one list of loan workers out of what any number of
// named sources say, with a reason for every entry.
//
// The rule, which every source comes under:
//
//   - A drain or a removal told by a source that is authoritative for a worker
//     wins at once over every source that still names it, and stays won (a
//     tombstone) until that source itself names the worker as serving again or
//     shows a later start. Another source that names it anew, with whatever
//     lifetime, does not lift it. Which sources are authoritative is the Rule.
//   - An operator's ban stands above all sources, under whichever of a worker's
//     names it was spoken.
//   - What a source has told holds for its lifetime. While the source is silent it
//     holds on for the source's Stale time (RFC 8767), and then ends or is kept, as
//     the source's setting says. A worker that comes back after a silence is the
//     one it was: it has not newly started.
//   - A list of names that shrinks by more than ShrinkThreshold at one moment is held:
//     what it lacks stays for ShrinkHoldTime, while it answers. Sources that tell of
//     drains (rosters) are never held.
//   - Workers of a worse priority are listed while no worker of a better one in the
//     same pool can serve: none is listed as serving, or every one of them has
//     failed FailureThreshold connects in a row, or one connect UnreachableAfter ago, and answered
//     nothing since (one that fails is soon sent little, so that a count alone
//     would take long). They leave once one of the better has been able to serve
//     for FailbackDelay.
//   - An id is one worker. Two workers that claim one id are a fault; the one that
//     claimed it first keeps it, and the other is not listed.
//
// This package does no I/O and has no clock, no randomness and no goroutine: time
// is what the caller passes in. Facts of equal time that come from different
// sources may come in any order; the list is the same. It must never drop a
// tombstone that a source's word still meets.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// State is what a source, or the merged list, says of a worker.
type State uint8

// The states. A draining worker ends what it holds and gets nothing new.
const (
	Serving State = iota
	Draining
	Removed
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// MergeRule says which sources may add a worker, and which may take one out.
type MergeRule string

// The rules. Under RuleRosterVetoes every source may add, and the roster alone takes
// out what it has named; a name that a list of names drops is out once no other
// source has it. Under Any every source may do both. Under All a worker needs
// every source that has told anything, and each may take it out.
const (
	RuleRosterVetoes MergeRule = "roster-vetoes"
	RuleAny          MergeRule = "any"
	RuleAll          MergeRule = "all"
)

// Identity says how a source's entry finds the worker it speaks of.
type Identity string

// The identities: by the entry's own instance id, by its host:port, or by the
// first label of its target name.
const (
	ByID       Identity = "id"
	ByHostPort Identity = "host-port"
	ByLabel    Identity = "target-label"
)

// RosterSource is the reserved name of the one source that tells of drains.
const RosterSource = "roster"

// Source declares a source.
type Source struct {
	Name     string
	Identity Identity
	// StaleTTL is how long past its lifetime a name holds while the source is silent,
	// 0 or more. Keep: it holds on after that too; else it is drained.
	StaleTTL  time.Duration
	KeepStale bool
	// ShrinkThreshold is the part of a list, over 0 to 1, by which it may shrink at one
	// moment without being held; ShrinkHoldTime is for how long it is; 0: not at all.
	ShrinkThreshold float64
	ShrinkHoldTime  time.Duration
	// InferStart: a name first seen in a later list than the first, or at another
	// address, counts as started then, if no source tells its start.
	InferStart bool
}

// Config is the whole of the settings.
type Config struct {
	Rule             MergeRule
	Sources          []Source // in the order of preference; the roster comes first
	FailureThreshold int      // connects failed in a row that make a worker unable to serve; 1 or more
	FailbackDelay    time.Duration
}

// Validate reports settings under which no list can be made.
func (c *Config) Validate() error {
	switch {
	case c.Rule != RuleRosterVetoes && c.Rule != RuleAny && c.Rule != RuleAll:
		return fmt.Errorf("rule: %q is none of %s, %s, %s", c.Rule, RuleRosterVetoes, RuleAny, RuleAll)
	case c.FailureThreshold < 1:
		return fmt.Errorf("fail_after: %d is under 1", c.FailureThreshold)
	case c.FailbackDelay < 0:
		return errors.New("backup_settle: must not be negative")
	}
	seen := map[string]bool{}
	for _, s := range c.Sources {
		switch {
		case s.Name == "":
			return errors.New("a source has no name")
		case seen[s.Name]:
			return fmt.Errorf("source %q comes twice", s.Name)
		case s.Identity != ByID && s.Identity != ByHostPort && s.Identity != ByLabel:
			return fmt.Errorf("source %q: identity: %q is none of %s, %s, %s", s.Name, s.Identity, ByID, ByHostPort, ByLabel)
		case s.StaleTTL < 0 || s.ShrinkHoldTime < 0:
			return fmt.Errorf("source %q: times must not be negative", s.Name)
		case s.ShrinkHoldTime > 0 && (s.ShrinkThreshold <= 0 || s.ShrinkThreshold > 1):
			return fmt.Errorf("source %q: shrink_part: %v is not over 0 and up to 1", s.Name, s.ShrinkThreshold)
		}
		seen[s.Name] = true
	}
	return nil
}

// Worker is what one source says of one worker.
type Worker struct {
	ID        string    `json:"id,omitempty"`     // instance id, where the source has ids
	Target    string    `json:"target,omitempty"` // full name, where it has names
	Addr      string    `json:"addr"`             // host:port
	Zone      string    `json:"zone,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cell      int       `json:"cell,omitempty"`
	Weight    float64   `json:"weight,omitempty"`   // relative size; 1 is usual
	Priority  int       `json:"priority,omitempty"` // the lower the better
	State     State     `json:"state,omitempty"`
	StartedAt time.Time `json:"started,omitzero"` // latest start; zero: long ago
	ExpiresAt time.Time `json:"until,omitzero"`   // the end of its lifetime; zero: none
}

// key tells a source's entries apart.
func (w *Worker) key() string {
	if w.ID != "" {
		return w.ID
	}
	return w.Target + " " + port(w.Addr)
}

func port(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

// record is one source's latest word on one worker. One whose State is Gone is a
// tombstone.
type record struct {
	Worker
	Since    time.Time `json:"since"`              // of this state
	Named    time.Time `json:"named"`              // first named, without a break
	HeldFrom time.Time `json:"held_from,omitzero"` // missing since, and held
	Inferred time.Time `json:"inferred,omitzero"`  // start taken from its first sight
}

// voice is one source's side of the book.
type voice struct {
	Source
	rank    int
	records map[string]*record
	told    bool      // it has told anything
	silent  time.Time // not answering since; zero: it answers
	empty   int       // tombstones
}

// Entry is one worker of the merged list.
type Entry struct {
	ID, Addr    string
	Zone, Kind  string
	Cell        int
	Weight      float64
	Priority    int
	State       State // with bans
	SourceState State // by the sources alone
	Banned      bool
	StartedAt   time.Time
	Reason      string // whose word won, and since when
	pool        string
	names       []string // every id, address and target it goes by
}

// List is the merged list at one moment.
type List struct {
	Entries    []Entry // by id; none is Gone
	Faults     []string
	NextChange time.Time // when it may change without a new fact; zero: never
}

// Catalog holds what the sources have said. It is not safe for concurrent use.
type Catalog struct {
	cfg    Config
	voices []*voice
	by     map[string]*voice
	banned map[string]bool
	fails  map[string]failing   // by the worker's id
	open   map[string]*openness // by pool
}

// UnreachableAfter is how long after one failed connect without an answer since a worker
// counts as unable to serve.
const UnreachableAfter = time.Second

// failing is a row of failed connects.
type failing struct {
	n     int
	since time.Time // the first of them
}

// openness is the hysteresis of one pool's priorities.
type openness struct {
	upTo int       // worst priority that is listed
	able time.Time // since when a better one can serve again; zero: it can't
}

// New makes an empty book. The settings must be sound.
func New(cfg Config) (*Catalog, error) {
	b := &Catalog{banned: map[string]bool{}, fails: map[string]failing{}, open: map[string]*openness{}, by: map[string]*voice{}}
	return b, b.Configure(cfg)
}

// Configure puts other settings in force, or returns an error and changes
// nothing. What a source has told stays while its name does; a source that is no
// longer there takes its words and its tombstones with it.
func (b *Catalog) Configure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	b.cfg, b.voices = cfg, nil
	for i, s := range cfg.Sources {
		v := b.by[s.Name]
		if v == nil || v.Identity != s.Identity {
			v = &voice{records: map[string]*record{}}
		}
		v.Source, v.rank = s, i
		b.voices = append(b.voices, v)
	}
	clear(b.by)
	for _, v := range b.voices {
		b.by[v.Name] = v
	}
	return nil
}

// maxTombstones bounds what a source's removals cost in memory, a few hundred
// bytes each. Past it the oldest that nobody else names is forgotten.
const maxTombstones = 8192

// Update takes in what a source says: its whole list, or changed entries only.
// Words of one source must come in the order in which it spoke them. An entry
// without a name or an address that can be used is left out and named in the
// error; the others count.
func (b *Catalog) Update(now time.Time, source string, whole bool, workers []Worker) error {
	v := b.by[source]
	if v == nil {
		return fmt.Errorf("no source is called %q", source)
	}
	var errs []error
	seen := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.ID == "" && (w.Target == "" || w.Addr == "") || v.Identity == ByID && w.ID == "" {
			errs = append(errs, fmt.Errorf("source %s: an entry at %q has no name", source, w.Addr))
			continue
		}
		k := w.key()
		seen[k] = true
		v.enter(now, k, w)
	}
	if whole {
		b.missing(v, now, seen)
	}
	v.told, v.silent = true, time.Time{}
	b.prune(v)
	return errors.Join(errs...)
}

// enter takes in one entry.
func (v *voice) enter(now time.Time, k string, w Worker) {
	r := v.records[k]
	if r == nil {
		if w.State == Removed && v.Identity != ByID {
			return
		}
		r = &record{Since: now, Named: now}
		if v.InferStart && v.told {
			r.Inferred = now
		}
		r.Worker = w
		v.records[k] = r
		if w.State == Removed {
			v.empty++
		}
		return
	}
	if r.State == Removed {
		v.empty--
		if r.Named = now; v.InferStart {
			r.Inferred = now
		}
	} else if v.InferStart && r.Addr != w.Addr {
		r.Inferred = now // the name stands for another process now
	}
	if w.Addr == "" {
		w.Addr = r.Addr // a removal may come without
	}
	if w.State == Removed {
		v.empty++
	}
	if r.State != w.State || w.StartedAt.After(r.StartedAt) {
		r.Since = now
	}
	r.Worker, r.HeldFrom = w, time.Time{}
}

// missing deals with what a whole list lacks.
func (b *Catalog) missing(v *voice, now time.Time, seen map[string]bool) {
	var lacks []string
	had := 0
	for _, k := range slices.Sorted(maps.Keys(v.records)) {
		r := v.records[k]
		if r.State == Removed {
			continue
		}
		had++
		if !seen[k] {
			lacks = append(lacks, k)
		}
	}
	// Told drains are never held: rosters tell who is gone, name lists only who is there.
	hold := v.Identity != ByID && v.ShrinkHoldTime > 0 && float64(len(lacks)) > v.ShrinkThreshold*float64(had)
	for _, k := range lacks {
		r := v.records[k]
		switch {
		case !r.HeldFrom.IsZero() && now.Before(r.HeldFrom.Add(v.ShrinkHoldTime)): // held already
		case hold && r.HeldFrom.IsZero():
			r.HeldFrom = now
		default:
			v.bury(now, r)
			b.drop(v, k, r)
		}
	}
}

// bury makes a record a tombstone.
func (v *voice) bury(now time.Time, r *record) {
	r.State, r.Since, r.HeldFrom = Removed, now, time.Time{}
	v.empty++
}

// prune forgets the oldest tombstones past the bound that no other source meets.
func (b *Catalog) prune(v *voice) {
	if v.empty <= maxTombstones {
		return
	}
	met := map[string]bool{}
	for _, o := range b.voices {
		if o != v {
			for _, r := range o.records {
				if r.State != Removed {
					met[o.claim(r)], met[r.Addr] = true, true
				}
			}
		}
	}
	var old []string
	for k, r := range v.records {
		if r.State == Removed && !met[v.claim(r)] && !met[r.Addr] {
			old = append(old, k)
		}
	}
	slices.SortFunc(old, func(a, c string) int {
		return cmp.Or(v.records[a].Since.Compare(v.records[c].Since), strings.Compare(a, c))
	})
	for _, k := range old[:min(len(old), v.empty-maxTombstones*3/4)] {
		delete(v.records, k)
		v.empty--
	}
}

// SetUnresponsive notes that a source does not answer, as of now, or that it does again.
func (b *Catalog) SetUnresponsive(now time.Time, source string, silent bool) {
	v := b.by[source]
	switch {
	case v == nil:
	case !silent:
		v.silent = time.Time{}
	case v.silent.IsZero():
		v.silent = now
	}
}

// SetBanned makes exactly these names (ids, addresses or targets) the banned ones.
func (b *Catalog) SetBanned(names []string) {
	clear(b.banned)
	for _, n := range names {
		b.banned[n] = true
	}
}

// ObserveConnect notes how a connect to the worker of that id ended. It tells whether the
// list may have changed by it, or will.
func (b *Catalog) ObserveConnect(now time.Time, id string, answered bool) (changed bool) {
	f := b.fails[id]
	switch {
	case !answered:
		if f.n++; f.n == 1 {
			f.since = now
		}
		f.n = min(f.n, b.cfg.FailureThreshold+1)
		b.fails[id] = f
		return f.n == 1 || f.n == b.cfg.FailureThreshold
	case f.n > 0:
		delete(b.fails, id)
		return true
	}
	return false
}

// down tells that so many connects failed in a row that the worker is gone.
func (b *Catalog) down(id string) bool { return b.fails[id].n >= b.cfg.FailureThreshold }
