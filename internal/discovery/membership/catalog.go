package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// sourceState is what one source has reported.
type sourceState struct {
	Source
	preference        int // position in Config.Sources; the lower the better
	records           map[string]*record
	reported          bool      // it has reported anything
	unresponsiveSince time.Time // zero: it responds
	tombstones        int       // records whose State is Removed
}

// Catalog holds what the sources have reported. It is not safe for concurrent use.
type Catalog struct {
	cfg             Config
	sources         []*sourceState // in the order of preference
	byName          map[string]*sourceState
	banned          map[string]bool           // ids, addresses or targets
	connectFailures map[string]failureRun     // by worker id
	priorityLevels  map[string]*priorityLevel // by pool
}

// New makes an empty catalog. It returns the error of Config.Validate, if any.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{banned: map[string]bool{}, connectFailures: map[string]failureRun{},
		priorityLevels: map[string]*priorityLevel{}, byName: map[string]*sourceState{}}
	return c, c.Configure(cfg)
}

// Configure replaces the configuration, or returns an error and changes nothing.
// What a source has reported stays as long as its name does; a source that is no
// longer configured takes its records and its tombstones with it.
func (c *Catalog) Configure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	c.cfg, c.sources = cfg, nil
	for i, s := range cfg.Sources {
		src := c.byName[s.Name]
		if src == nil || src.Identity != s.Identity {
			src = &sourceState{records: map[string]*record{}}
		}
		src.Source, src.preference = s, i
		c.sources = append(c.sources, src)
	}
	clear(c.byName)
	for _, src := range c.sources {
		c.byName[src.Name] = src
	}
	return nil
}

// Update applies what a source reports: its complete list, or changed entries only.
// Updates of one source must come in the order in which it made them. An entry
// without a name or a usable address is skipped and named in the error; the others
// are applied.
func (c *Catalog) Update(now time.Time, source string, complete bool, workers []Worker) error {
	src := c.byName[source]
	if src == nil {
		return fmt.Errorf("no source is called %q", source)
	}
	var errs []error
	seen := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.ID == "" && (w.Target == "" || w.Addr == "") || src.Identity == ByID && w.ID == "" {
			errs = append(errs, fmt.Errorf("source %s: an entry at %q has no name", source, w.Addr))
			continue
		}
		key := w.key()
		seen[key] = true
		src.applyEntry(now, key, w)
	}
	if complete {
		c.applyMissing(src, now, seen)
	}
	src.reported, src.unresponsiveSince = true, time.Time{}
	c.pruneTombstones(src)
	return errors.Join(errs...)
}

// applyEntry applies one entry.
func (s *sourceState) applyEntry(now time.Time, key string, w Worker) {
	r := s.records[key]
	if r == nil {
		s.addRecord(now, key, w)
		return
	}
	if r.State == Removed {
		s.tombstones--
		if r.FirstNamed = now; s.InferStart {
			r.InferredStart = now
		}
	} else if s.InferStart && r.Addr != w.Addr {
		r.InferredStart = now // the name stands for another process now
	}
	if w.Addr == "" {
		w.Addr = r.Addr // a removal may come without
	}
	if w.State == Removed {
		s.tombstones++
	}
	if r.State != w.State || w.StartedAt.After(r.StartedAt) {
		r.Since = now
	}
	r.Worker, r.RetainedSince = w, time.Time{}
}

// addRecord adds the first report of a worker. A removal of an unknown worker makes
// a tombstone only where the source has ids: others can't report a removal.
func (s *sourceState) addRecord(now time.Time, key string, w Worker) {
	if w.State == Removed && s.Identity != ByID {
		return
	}
	r := &record{Worker: w, Since: now, FirstNamed: now}
	if s.InferStart && s.reported {
		r.InferredStart = now
	}
	s.records[key] = r
	if w.State == Removed {
		s.tombstones++
	}
}

// applyMissing removes or retains what a complete list lacks.
func (c *Catalog) applyMissing(src *sourceState, now time.Time, seen map[string]bool) {
	var missing []string
	before := 0
	for _, key := range slices.Sorted(maps.Keys(src.records)) {
		if src.records[key].State == Removed {
			continue
		}
		before++
		if !seen[key] {
			missing = append(missing, key)
		}
	}
	// A roster says who is gone, a list of names only who is there: a name list that
	// shrinks a lot at once may be a broken zone file, a roster is taken at its word.
	retain := src.Identity != ByID && src.ShrinkHoldTime > 0 && float64(len(missing)) > src.ShrinkThreshold*float64(before)
	for _, key := range missing {
		r := src.records[key]
		switch {
		case !r.RetainedSince.IsZero() && now.Before(r.RetainedSince.Add(src.ShrinkHoldTime)): // retained already
		case retain && r.RetainedSince.IsZero():
			r.RetainedSince = now
		default:
			src.markRemoved(now, r)
			c.dropUnneededTombstone(src, key, r)
		}
	}
}

// SetUnresponsive records that a source does not respond, as of now, or that it does
// again. It does nothing for a source that is not configured.
func (c *Catalog) SetUnresponsive(now time.Time, source string, unresponsive bool) {
	src := c.byName[source]
	switch {
	case src == nil:
	case !unresponsive:
		src.unresponsiveSince = time.Time{}
	case src.unresponsiveSince.IsZero():
		src.unresponsiveSince = now
	}
}

// SetBanned replaces the set of banned names (ids, addresses or targets).
func (c *Catalog) SetBanned(names []string) {
	clear(c.banned)
	for _, n := range names {
		c.banned[n] = true
	}
}
