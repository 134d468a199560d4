// Package instances compares what the platform's list of instances says with the replicated state.
//
// It has no I/O and no clock: internal/control/instancelist reads the list, and whoever reads it hands each reading to a
// Tracker, which returns the report that the replicated state is to apply (statemachine.InstancesChanged).
//
// Its invariants: a worker that drains is never reported as ready again, since only an older page can say so; and a worker
// counts as removed only by complete readings of one reader's term.
package instances

import (
	"maps"
	"slices"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// stateDraining is the State of an entry whose worker is about to end.
const stateDraining = "draining"

// Entry is a worker in the platform's list, as its JSON names it.
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

// Instance returns the entry as the replicated state has it.
func (e *Entry) Instance() statemachine.Instance {
	instance := statemachine.Instance{ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Labels: e.Labels, Capacity: e.Capacity, Draining: e.State == stateDraining}
	if instance.Draining {
		instance.RemainingMs = e.RemainingMs
	}
	return instance
}

// Reading is what one pass over the list's pages has brought.
type Reading struct {
	Entries []Entry
	Pages   int
	Err     error // set: not all pages came
}

// Report is how a reading differs from the state.
type Report struct {
	Changed []statemachine.Instance // new, or listed with other values
	Removed []string                // IDs of workers that are no longer listed
}

// IsEmpty reports whether the reading does not differ from the state.
func (r *Report) IsEmpty() bool { return len(r.Changed)+len(r.Removed) == 0 }

// ChangedIDs returns the IDs of the workers that are new or listed with other values.
func (r *Report) ChangedIDs() []string {
	ids := make([]string, len(r.Changed))
	for i := range r.Changed {
		ids[i] = r.Changed[i].ID
	}
	return ids
}

// Tracker compares the readings of one reader with the state. Its zero value is ready for the first reading of a term.
type Tracker struct {
	absences absenceTracker
}

// Reset forgets all readings: those of an earlier term as reader do not show that a worker has been removed.
func (t *Tracker) Reset() { t.absences.reset() }

// Observe takes in a complete reading and the workers that the state knows, and returns how they differ.
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

// upToDate reports whether the replicated state already has what the list says. A worker that has begun to drain goes on
// draining, so a list that says otherwise is an older one.
func upToDate(known, read *statemachine.Instance) bool {
	return known.Service == read.Service && known.Address == read.Address && known.Zone == read.Zone &&
		known.Capacity == read.Capacity && (known.Draining || !read.Draining) && slices.Equal(known.Labels, read.Labels)
}
