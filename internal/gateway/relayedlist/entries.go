package relayedlist

import (
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/fleet/coldstart/relay"
)

// entries converts workers to their form in messages, where times are in microseconds
// since 1970.
func entries(list []membership.Worker) []relay.Entry {
	out := make([]relay.Entry, 0, len(list))
	for _, w := range list {
		e := relay.Entry{ID: w.ID, Addr: w.Addr, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, Weight: w.Weight, State: uint8(w.State), Removed: w.State == membership.Removed}
		if !w.StartedAt.IsZero() {
			e.Started = w.StartedAt.UnixMicro()
		}
		out = append(out, e)
	}
	return out
}

// workers converts entries back.
func workers(list []relay.Entry) []membership.Worker {
	out := make([]membership.Worker, 0, len(list))
	for _, e := range list {
		w := membership.Worker{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, State: membership.State(e.State)}
		if e.Removed {
			w.State = membership.Removed
		}
		if e.Started != 0 {
			w.StartedAt = time.UnixMicro(e.Started)
		}
		out = append(out, w)
	}
	return out
}
