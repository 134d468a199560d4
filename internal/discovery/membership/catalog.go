package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// sourceState holds the reports of one source.
type sourceState struct {
	Source
	preference        int // index in Config.Sources; a lower one is preferred
	records           map[string]*record
	reported          bool      // whether the source has reported anything
	unresponsiveSince time.Time // zero while the source responds
	tombstones        int       // number of records whose State is Removed
}

// Catalog holds the reports of all sources, the bans and the connect failures. It is not
// safe for concurrent use.
type Catalog struct {
	cfg             Config
	sources         []*sourceState // in the order of preference
	byName          map[string]*sourceState
	banned          map[string]bool           // ids, addresses or targets
	connectFailures map[string]failureRun     // by worker id
	priorityLevels  map[string]*priorityLevel // by pool
}

// New returns an empty catalog, and the error of Config.Validate, if any.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{banned: map[string]bool{}, connectFailures: map[string]failureRun{},
		priorityLevels: map[string]*priorityLevel{}, byName: map[string]*sourceState{}}
	return c, c.Configure(cfg)
}

// Configure replaces the configuration. If the new one is invalid, Configure returns an
// error and changes nothing. A source that keeps its name and Identity keeps its records;
// the records of any other source are dropped, tombstones included.
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

// Update applies a report of a source: its complete list, or changed entries only.
// Updates of one source must be applied in the order in which the source made them. An
// entry is named by its id or, unless the source's Identity is ByID, by its target and
// address. Update skips an entry without such a name and includes it in the error; it
// applies the other entries.
func (c *Catalog) Update(now time.Time, source string, complete bool, workers []Worker) error {
	src := c.byName[source]
	if src == nil {
		return fmt.Errorf("source %q is not configured", source)
	}
	var errs []error
	seen := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.ID == "" && (w.Target == "" || w.Addr == "") || src.Identity == ByID && w.ID == "" {
			errs = append(errs, fmt.Errorf("source %s: entry at %q has no usable name", source, w.Addr))
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

// applyEntry applies one entry of a report.
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
		r.InferredStart = now // the name refers to another process now
	}
	if w.Addr == "" {
		w.Addr = r.Addr // a removal may omit the address
	}
	if w.State == Removed {
		s.tombstones++
	}
	if r.State != w.State || w.StartedAt.After(r.StartedAt) {
		r.Since = now
	}
	r.Worker, r.RetainedSince = w, time.Time{}
}

// addRecord adds the first report of a worker. A removal of an unknown worker adds a
// tombstone only if the source's Identity is ByID; other sources can't report a removal.
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

// applyMissing removes or retains the workers that are missing from a complete list.
func (c *Catalog) applyMissing(src *sourceState, now time.Time, seen map[string]bool) {
	var missing []string
	total := 0
	for _, key := range slices.Sorted(maps.Keys(src.records)) {
		if src.records[key].State == Removed {
			continue
		}
		total++
		if !seen[key] {
			missing = append(missing, key)
		}
	}
	// A roster reports which workers are gone, a list of names only which are present. A
	// list of names that shrinks a lot at once may come from a broken zone file, so its
	// missing workers are retained; those of a roster are removed at once.
	retain := src.Identity != ByID && src.ShrinkHoldTime > 0 && float64(len(missing)) > src.ShrinkThreshold*float64(total)
	for _, key := range missing {
		r := src.records[key]
		switch {
		case !r.RetainedSince.IsZero() && now.Before(r.RetainedSince.Add(src.ShrinkHoldTime)): // still retained
		case retain && r.RetainedSince.IsZero():
			r.RetainedSince = now
		default:
			src.markRemoved(now, r)
			c.dropUnneededTombstone(src, key, r)
		}
	}
}

// SetUnresponsive records that a source has stopped responding, or that it responds again.
// A source that is already unresponsive keeps its earlier time. SetUnresponsive does
// nothing for a source that is not configured.
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
