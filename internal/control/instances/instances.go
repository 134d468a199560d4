// Package instances compares the platform's instance list with the replicated state.
//
// It has no I/O and no clock: internal/control/instancelist reads the list, and the reader passes each reading to a
// Tracker, which returns the report for the replicated state (statemachine.InstancesChanged).
//
// Its invariants are that a draining worker is never reported as ready again, since only an outdated page can list it as
// ready, and that a worker counts as removed only after complete readings of one reader's term.
package instances

import (
	"maps"
	"slices"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// stateDraining is the State of an entry whose worker will end soon.
const stateDraining = "draining"

// Entry is a worker in the JSON of the platform's list.
type Entry struct {
	ID          string        `json:"Id"`
	Service     string        `json:"Service"`
	Address     string        `json:"Address"`
	Zone        string        `json:"Zone"`
	State       string        `json:"State"`
	Capacity    job.Resources `json:"Capacity"`
	Labels      []string      `json:"Labels"`
	RemainingMs int64         `json:"RemainingMs"`
}

// Instance converts the entry to the type in the replicated state.
func (e *Entry) Instance() statemachine.Instance {
	instance := statemachine.Instance{ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Labels: e.Labels, Capacity: e.Capacity, Draining: e.State == stateDraining}
	if instance.Draining {
		instance.RemainingMs = e.RemainingMs
	}
	return instance
}

// Reading is the result of reading the list's pages once.
type Reading struct {
	Entries []Entry
	Pages   int
	Err     error // set if not all pages were received
}

// Report contains the differences between a reading and the state.
type Report struct {
	Changed []statemachine.Instance // new, or listed with other values
	Removed []string                // IDs of workers that are no longer listed
}

// IsEmpty reports whether there are no differences.
func (r *Report) IsEmpty() bool { return len(r.Changed)+len(r.Removed) == 0 }

// ChangedIDs returns the IDs of the workers that are new or listed with other values.
func (r *Report) ChangedIDs() []string {
	ids := make([]string, len(r.Changed))
	for i := range r.Changed {
		ids[i] = r.Changed[i].ID
	}
	return ids
}

// Tracker compares the readings of one reader with the state. Its zero value is ready for use in a new term as reader.
type Tracker struct {
	absences absenceTracker
}

// Reset discards all readings, since readings of an earlier term as reader do not show that a worker has been removed.
func (t *Tracker) Reset() { t.absences.reset() }

// Observe records a complete reading, and returns its differences to the workers in the state.
func (t *Tracker) Observe(reading *Reading, workers map[string]*statemachine.Worker) Report {
	report := Report{}
	listed := map[string]bool{}
	for i := range reading.Entries {
		instance := reading.Entries[i].Instance()
		listed[instance.ID] = true
		known := workers[instance.ID]
		if known == nil || known.Unlisted || !upToDate(&known.Instance, &instance) {
			report.Changed = append(report.Changed, instance)
		}
	}
	for _, id := range t.absences.observe(listed, slices.Sorted(maps.Keys(workers))) {
		if !workers[id].Unlisted {
			report.Removed = append(report.Removed, id)
		}
	}
	return report
}

// upToDate reports whether a worker's instance in the replicated state already equals the one in the list. A worker that has
// begun to drain stays draining until it ends, so a list in which it does not drain is an outdated one. RemainingMs is not
// compared, since it decreases with each reading.
func upToDate(known, read *statemachine.Instance) bool {
	return known.Service == read.Service && known.Address == read.Address && known.Zone == read.Zone &&
		known.Capacity == read.Capacity && (known.Draining || !read.Draining) && slices.Equal(known.Labels, read.Labels)
}
