// Package membership merges what any number of named sources report about loan
// workers into one list, with a reason for every entry.
//
// The merge rule, which applies to every source:
//
//   - A drain or a removal reported by a source that is authoritative for a worker
//     takes effect at once over every source that still names the worker, and stays
//     in effect (a tombstone) until that source itself names the worker as serving
//     again or reports a later start. Another source that names it again, whatever
//     the lifetime, does not lift it. The MergeRule says which sources are
//     authoritative.
//   - An operator's ban overrides all sources, under whichever of the worker's
//     names it was given.
//   - What a source has reported holds for its lifetime. While the source does not
//     respond it holds on for the source's StaleTTL (serve-stale, RFC 8767), and
//     then the worker is drained or kept, as KeepStale says. A worker that comes
//     back after such a gap has not restarted.
//   - A list of names that shrinks by more than ShrinkThreshold in one update is
//     not trusted at once: what it lacks is retained for ShrinkHoldTime, while it
//     answers connects. Sources that report drains (rosters) are never held back.
//   - Workers of a worse priority are listed only while no worker of a better one in
//     the same pool can serve: none is listed as serving, or each of them has failed
//     FailureThreshold connects in a row, or one connect UnreachableAfter ago, and
//     has answered nothing since (a failing worker soon receives few requests, so
//     that a count alone would take long). They leave once one of the better has
//     been able to serve for FailbackDelay.
//   - An id is one worker. Two workers that claim one id are a fault; the one that
//     claimed it first keeps it, and the other is not listed.
//
// The package does no I/O and has no clock, no randomness and no goroutine: time is
// what the caller passes in. The list is a function of the reports, the bans and the
// time, so reports of equal time from different sources may come in any order. A
// tombstone is never dropped while another source still names the worker.
package membership

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of a worker, as one source reports it or in the merged list.
type State uint8

// The states. A draining worker finishes what it has and gets nothing new. The
// values are part of the snapshot that a process hands to its successor.
const (
	Serving State = iota
	Draining
	Removed
)

// String returns the state as the console prints it.
func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// MergeRule says which sources may add a worker, and which may take one out. Its
// values are those of the operator's file.
type MergeRule string

// The rules. Under RuleRosterVetoes every source may add, and the roster alone takes
// out what it has named; a name that a list of names drops is out once no other
// source has it. Under RuleAny every source may do both. Under RuleAll a worker needs
// every source that has reported anything, and each may take it out.
const (
	RuleRosterVetoes MergeRule = "roster-vetoes"
	RuleAny          MergeRule = "any"
	RuleAll          MergeRule = "all"
)

// Identity says how an entry of a source is matched to a worker.
type Identity string

// The identities: by the entry's own instance id, by its host:port, or by the
// first label of its target name.
const (
	ByID       Identity = "id"
	ByHostPort Identity = "host-port"
	ByLabel    Identity = "target-label"
)

// RosterSource is the reserved name of the one source that reports drains.
const RosterSource = "roster"

// Source declares a source.
type Source struct {
	Name     string
	Identity Identity
	// StaleTTL is how long past its lifetime an entry holds while the source does
	// not respond, 0 or more. With KeepStale it holds on after that too; else the
	// worker is drained.
	StaleTTL  time.Duration
	KeepStale bool
	// ShrinkThreshold is the share of a list, over 0 to 1, by which it may shrink in
	// one update without being held back; ShrinkHoldTime is for how long it is held
	// back (0: not at all).
	ShrinkThreshold float64
	ShrinkHoldTime  time.Duration
	// InferStart: a name first seen in a later list than the first, or at another
	// address, counts as started then, if no source reports its start.
	InferStart bool
}

// Config is the configuration of a Catalog.
type Config struct {
	Rule             MergeRule
	Sources          []Source // in the order of preference; the roster comes first
	FailureThreshold int      // connects failed in a row that make a worker unable to serve; 1 or more
	FailbackDelay    time.Duration
}

// Validate reports a configuration under which no list can be made.
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
		if seen[s.Name] {
			return fmt.Errorf("source %q comes twice", s.Name)
		}
		if err := s.validate(); err != nil {
			return err
		}
		seen[s.Name] = true
	}
	return nil
}

func (s *Source) validate() error {
	switch {
	case s.Name == "":
		return errors.New("a source has no name")
	case s.Identity != ByID && s.Identity != ByHostPort && s.Identity != ByLabel:
		return fmt.Errorf("source %q: identity: %q is none of %s, %s, %s", s.Name, s.Identity, ByID, ByHostPort, ByLabel)
	case s.StaleTTL < 0 || s.ShrinkHoldTime < 0:
		return fmt.Errorf("source %q: times must not be negative", s.Name)
	case s.ShrinkHoldTime > 0 && (s.ShrinkThreshold <= 0 || s.ShrinkThreshold > 1):
		return fmt.Errorf("source %q: shrink_part: %v is not over 0 and up to 1", s.Name, s.ShrinkThreshold)
	}
	return nil
}
