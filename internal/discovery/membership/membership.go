// Package membership merges the reports of any number of named sources about loan
// workers into one list, with a reason for every entry.
//
// The merge rule, which applies to every source:
//
//   - A drain or a removal reported by a source that is authoritative for a worker
//     takes effect at once and overrides every source that still names the worker. It
//     stays in effect (a removal as a tombstone) until the same source names the worker
//     as serving again, for example after a restart. Another source that names the
//     worker again does not lift it, whatever the lifetime of its entry. The MergeRule
//     defines which sources are authoritative.
//   - An operator's ban overrides all sources. It may give any of the worker's names.
//   - A source's entry is valid for its lifetime. While the source does not respond,
//     the entry stays valid for the source's StaleTTL beyond that (serve-stale,
//     RFC 8767); then the worker is drained or kept, depending on KeepStale. A worker
//     that comes back after such a gap does not count as restarted.
//   - If a list of names shrinks by more than ShrinkThreshold in one update, the
//     missing workers are retained for ShrinkHoldTime, as long as they answer connects:
//     the list may be broken. Sources that report drains (rosters) are exempt; their
//     removals take effect at once.
//   - Workers of a worse priority are on standby while any worker of a better priority
//     in the same pool can serve. A worker cannot serve if it is not listed as serving,
//     if its last FailureThreshold connects failed, or if one connect failed
//     UnreachableAfter ago and the worker has not answered since. The time limit exists
//     because a failing worker soon receives few requests, so that the count alone would
//     take long. Workers return to standby once a worker of a better priority has been
//     able to serve for FailbackDelay.
//   - An id identifies one worker. If two workers claim one id, the first to claim it
//     keeps it; the other is not listed, and the conflict is reported as a fault.
//
// The package does no I/O and has no clock, no randomness and no goroutine: the caller
// passes in the time. The list is a function of the reports, the bans, the results of
// connects and the time, so reports of equal time from different sources may come in
// any order. While its source is configured, a tombstone that the merge rule uses is never
// dropped if another source still names the worker.
package membership

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of a worker, as one source reports it or in the merged list.
type State uint8

// The states of a worker. A draining worker finishes its requests and receives no new
// ones. The values are part of the snapshot that a process hands to its successor.
const (
	Serving State = iota
	Draining
	Removed
)

// String returns the state as the console prints it.
func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// MergeRule defines which sources may add a worker and which may remove one. Its values
// are those of the operator's configuration file.
type MergeRule string

// The merge rules. Under RuleRosterVetoes every source may add workers, but only the
// roster's drains and removals override other sources; a worker that a list of names
// drops is removed once no other source names it. Under RuleAny every source may add and
// remove workers. Under RuleAll a worker is listed as serving only if every source that
// has reported names it, and each source may remove it.
const (
	RuleRosterVetoes MergeRule = "roster-vetoes"
	RuleAny          MergeRule = "any"
	RuleAll          MergeRule = "all"
)

// Identity selects how an entry of a source is matched to a worker.
type Identity string

// The identities: by the entry's own instance id, by its host:port, or by the
// first label of its target name.
const (
	ByID       Identity = "id"
	ByHostPort Identity = "host-port"
	ByLabel    Identity = "target-label"
)

// RosterSource is the reserved name of the roster, the only source that reports drains.
const RosterSource = "roster"

// Source is the configuration of one source.
type Source struct {
	Name     string
	Identity Identity
	// StaleTTL is how long an entry stays valid past its lifetime while the source does
	// not respond; 0 or more. After that the entry stays valid if KeepStale is set;
	// otherwise the worker is drained.
	StaleTTL  time.Duration
	KeepStale bool
	// ShrinkThreshold is the share of a list, greater than 0 and at most 1, that may be
	// missing from one update. If more is missing, the missing workers are retained for
	// ShrinkHoldTime (0: not at all).
	ShrinkThreshold float64
	ShrinkHoldTime  time.Duration
	// InferStart infers that a worker started when its name appears in a list after the
	// source's first one, also again after a removal, or changes its address. The inferred
	// start is not used if the first source that names the worker has Identity ByID.
	InferStart bool
}

// Config is the configuration of a Catalog.
type Config struct {
	Rule             MergeRule
	Sources          []Source // in the order of preference, the roster first
	FailureThreshold int      // consecutive failed connects after which a worker cannot serve; 1 or more
	FailbackDelay    time.Duration
}

// Validate returns an error if the configuration cannot be used.
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
			return fmt.Errorf("source %q is configured twice", s.Name)
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
