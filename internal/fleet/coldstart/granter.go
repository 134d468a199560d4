package coldstart

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
)

// Granter is the coordinators' half. It is a part of their replicated state, so the same calls give the same state
// everywhere. Times are on the state's clock.
type Granter struct {
	Settings
	Admissions *admission.Issuer   `cbor:"Turns"`
	Lists      map[int]*relay.List // by zone
	Speeds     speeds.Estimates
	BaseNumber uint64 `cbor:"Base"` // tokens, fencing tokens and changes have greater numbers: greater than all before a restore
}

// NewGranter returns a granter by which nobody calls the list service before earliest, and whose numbers are greater than
// base.
func NewGranter(s Settings, earliest time.Duration, base uint64) *Granter {
	return &Granter{Settings: s, Admissions: admission.NewIssuer(s.Settings, earliest, base), Lists: map[int]*relay.List{}, BaseNumber: base}
}

// InitMaps makes the maps that a snapshot left out because they were empty.
func (g *Granter) InitMaps() {
	if g.Lists == nil {
		g.Lists = map[int]*relay.List{}
	}
	g.Admissions.InitMaps()
}

// Configure changes the settings. A change begins the relay anew, so that a list service that was set back to an older
// generation is believed again.
func (g *Granter) Configure(s Settings) {
	if s == g.Settings {
		return
	}
	g.Settings = s
	g.Admissions.Configure(s.Settings)
	for _, list := range g.Lists {
		list.Generation = 0
		list.Vacate(false)
	}
}

// Fleet is what the coordinators know of all holders.
type Fleet struct {
	Position, Holders int                      // the holder's place among those that are known, and how many these are
	HoldsLease        func(holder string) bool // reports whether a holder may have a lease now
}

// Grant answers a holder of a zone that has just been given a lease.
func (g *Granter) Grant(now time.Duration, holder string, zone int, request *Request, fleet Fleet) *Response {
	slot := g.SlotOf(now, fleet.Position, fleet.Holders)
	response := &Response{Slot: &slot}
	if g.RelayList {
		list := g.listOf(zone)
		list.ElectReader(holder, request.ResignedFencingToken, fleet.HoldsLease)
		response.RelayActive = true
		if list.Reader == holder {
			response.FencingToken = list.FencingToken
		}
		response.List = list.UpdateSince(request.Watermark)
	}
	if request.WantsAdmission && (response.FencingToken > 0 || !response.RelayActive || request.Independent) {
		response.Admission = g.Admissions.Issue(now, holder, request.UsedAdmission)
	}
	if request.LearnedSpeeds != nil {
		g.Speeds.Merge(request.LearnedSpeeds)
	}
	if request.NeedsSpeeds && g.Speeds.HasData() {
		known := g.Speeds
		response.Speeds = &known
	}
	return response
}

// listOf returns a zone's list, a new one where there is none.
func (g *Granter) listOf(zone int) *relay.List {
	list := g.Lists[zone]
	if list == nil {
		list = &relay.List{FencingToken: g.BaseNumber, Seq: g.BaseNumber}
		g.Lists[zone] = list
	}
	return list
}

// Publish takes in what the reader of a zone has received from the list service. Its error is one of package relay's.
func (g *Granter) Publish(holder string, zone int, fencingToken uint64, p relay.Publication) error {
	list := g.Lists[zone]
	if list == nil || !g.RelayList {
		return &relay.FenceError{FencingToken: fencingToken}
	}
	return list.Publish(holder, fencingToken, p)
}

// ListUpdateSince is what is new of a zone's list for a holder that has it up to a watermark; nil: nothing.
func (g *Granter) ListUpdateSince(zone int, w relay.Watermark) *relay.Update {
	if list := g.Lists[zone]; list != nil && g.RelayList {
		return list.UpdateSince(w)
	}
	return nil
}

// RemoveHolder forgets a holder whose incarnation has ended.
func (g *Granter) RemoveHolder(holder string) {
	g.Admissions.RemoveHolder(holder)
	for _, zone := range slices.Sorted(maps.Keys(g.Lists)) {
		if list := g.Lists[zone]; list.Reader == holder {
			list.Vacate(false)
		}
	}
}
