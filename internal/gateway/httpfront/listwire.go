package httpfront

// This file has the list service's list of workers as it comes over the wire, and as it is kept: the configuration's
// "known" and the state for the next process have the same form.

import (
	"time"

	"yardflow/internal/discovery/membership"
)

// listResponse is a list, or what has changed since a generation.
type listResponse struct {
	Generation *uint64     `json:"generation"`
	Reset      bool        `json:"reset"` // the whole list
	Instances  []listEntry `json:"instances"`
}

// listEntry is one worker.
type listEntry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	Priority    int     `json:"priority,omitempty"` // of this program, for fixed lists: the lower the better
	StartedAtMs float64 `json:"startedAtMs"`        // Unix time
}

// Values of listEntry.Lifecycle. Any other counts as draining.
const (
	lifecycleServing  = "SERVING"
	lifecycleDraining = "DRAINING"
	lifecycleDeleted  = "DELETED"
)

// workersFrom returns entries as members; entries without an id are skipped.
func workersFrom(entries []listEntry) []membership.Worker {
	workers := make([]membership.Worker, 0, len(entries))
	for _, e := range entries {
		if e.InstanceID == "" {
			continue
		}
		w := membership.Worker{ID: e.InstanceID, Addr: e.HostPort, Cell: e.Cell, Weight: e.Weight, Priority: e.Priority,
			Zone: e.Zone, Kind: e.MachineType}
		switch e.Lifecycle {
		case lifecycleServing:
			w.State = membership.Serving
		case lifecycleDeleted:
			w.State = membership.Removed
		default:
			w.State = membership.Draining // a state that is not known is not one to send to
		}
		if e.StartedAtMs > 0 {
			w.StartedAt = time.UnixMicro(int64(e.StartedAtMs * 1000))
		}
		workers = append(workers, w)
	}
	return workers
}

// entryFrom returns a member as an entry.
func entryFrom(w membership.Worker) listEntry {
	e := listEntry{InstanceID: w.ID, HostPort: w.Addr, Zone: w.Zone, MachineType: w.Kind, Cell: w.Cell, Weight: w.Weight, Priority: w.Priority}
	switch w.State {
	case membership.Serving:
		e.Lifecycle = lifecycleServing
	case membership.Removed:
		e.Lifecycle = lifecycleDeleted
	default:
		e.Lifecycle = lifecycleDraining
	}
	if !w.StartedAt.IsZero() {
		e.StartedAtMs = float64(w.StartedAt.UnixMicro()) / 1000
	}
	return e
}
