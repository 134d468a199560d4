// Package coldstart is how a fleet starts cold and spares what it starts on: who may ask the list
// service when (turns), the list that one reader of a zone has for all others (relay), and what a
// newcomer is told of speeds (memory). A Book is the keepers' half, a Desk a dispatcher's.
//
// It has no clock, draw or I/O, and makes nobody wait: a dispatcher without keepers starts by its
// own drawn pauses (package cadence).
package coldstart

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
)

// Settings are a policy's [start].
type Settings struct {
	admission.Settings
	RelayList bool `cbor:"Relay" json:"Relay"` // one reader of a zone has the list for all others
}

// Request is what a dispatcher asks for beside its lease.
type Request struct {
	WantsAdmission       bool              `cbor:"1,keyasint,omitempty"` // it wants to call the list service
	Independent          bool              `cbor:"7,keyasint,omitempty"` // for itself, whoever reads: it was moved to another service
	UsedAdmission        uint64            `cbor:"2,keyasint,omitempty"` // the latest turn that it used up
	Watermark            relay.Watermark   `cbor:"3,keyasint,omitempty"` // of the relayed list
	ResignedFencingToken uint64            `cbor:"4,keyasint,omitempty"` // the seat that it gives up: it can't reach the service
	NeedsSpeeds          bool              `cbor:"5,keyasint,omitempty"` // it knows nothing of speeds
	LearnedSpeeds        *speeds.Estimates `cbor:"6,keyasint,omitempty"`
}

// Response is what it is told beside its lease.
type Response struct {
	Admission    admission.Token   `cbor:"1,keyasint,omitempty"` // No 0: none
	FencingToken uint64            `cbor:"2,keyasint,omitempty"` // it reads for its zone, under this number; 0: it does not
	RelayActive  bool              `cbor:"3,keyasint,omitempty"` // somebody reads for its zone, or will
	List         *relay.Update     `cbor:"4,keyasint,omitempty"`
	Speeds       *speeds.Estimates `cbor:"5,keyasint,omitempty"`
}

// Granter is the keepers' half.
type Granter struct {
	Settings
	Admissions *admission.Issuer   `cbor:"Turns"`
	Lists      map[int]*relay.List // by zone
	Speeds     speeds.Estimates
	BaseNumber uint64 `cbor:"Base"` // numbers of turns, seats and changes are over it: over all that keepers before a restore gave
}

// NewGranter makes one by which nobody calls sooner than a moment, with numbers over base.
func NewGranter(s Settings, from time.Duration, base uint64) *Granter {
	return &Granter{Settings: s, Admissions: admission.NewIssuer(s.Settings, from, base), Lists: map[int]*relay.List{}, BaseNumber: base}
}

// InitMaps makes what a snapshot leaves out where it is empty.
func (b *Granter) InitMaps() {
	if b.Lists == nil {
		b.Lists = map[int]*relay.List{}
	}
	b.Admissions.InitMaps()
}

// Configure puts other settings in force; others than before begin the relay anew, so that a list
// service which was set back is believed again.
func (b *Granter) Configure(s Settings) {
	if s == b.Settings {
		return
	}
	b.Settings = s
	b.Admissions.Configure(s.Settings)
	for _, l := range b.Lists {
		l.Generation = 0
		l.Vacate(false)
	}
}

// Grant answers a dispatcher of a zone that has just been given a lease. live tells whether a
// holder may hold one now.
func (b *Granter) Grant(now time.Duration, who string, zone int, w *Request, live func(who string) bool) *Response {
	out := &Response{}
	if b.RelayList {
		l := b.Lists[zone]
		if l == nil {
			l = &relay.List{FencingToken: b.BaseNumber, Seq: b.BaseNumber}
			b.Lists[zone] = l
		}
		if l.Reader == who && w.ResignedFencingToken == l.FencingToken && l.FencingToken > 0 {
			l.Vacate(true)
		}
		if l.Reader != "" && !live(l.Reader) {
			l.Vacate(false)
		}
		if l.Reader == "" && (l.ResignedReader != who || w.ResignedFencingToken != l.FencingToken) {
			l.Appoint(who)
		}
		if out.RelayActive = true; l.Reader == who {
			out.FencingToken = l.FencingToken
		}
		out.List = l.UpdateSince(w.Watermark)
	}
	if w.WantsAdmission && (out.FencingToken > 0 || !out.RelayActive || w.Independent) {
		out.Admission = b.Admissions.Issue(now, who, w.UsedAdmission)
	}
	if w.LearnedSpeeds != nil {
		b.Speeds.Merge(w.LearnedSpeeds)
	}
	if w.NeedsSpeeds && b.Speeds.HasData() {
		speeds := b.Speeds
		out.Speeds = &speeds
	}
	return out
}

// Publish takes in what the reader of a zone was told.
func (b *Granter) Publish(who string, zone int, fence uint64, w relay.Publication) error {
	l := b.Lists[zone]
	if l == nil || !b.RelayList {
		return &relay.FenceError{FencingToken: fence}
	}
	return l.Publish(who, fence, w)
}

// ListUpdateSince is what is new of a zone's list for one that has it up to a mark.
func (b *Granter) ListUpdateSince(zone int, m relay.Watermark) *relay.Update {
	if l := b.Lists[zone]; l != nil && b.RelayList {
		return l.UpdateSince(m)
	}
	return nil
}

// RemoveHolder forgets a holder whose life is over.
func (b *Granter) RemoveHolder(who string) {
	b.Admissions.RemoveHolder(who)
	for _, z := range slices.Sorted(maps.Keys(b.Lists)) {
		if l := b.Lists[z]; l.Reader == who {
			l.Vacate(false)
		}
	}
}
