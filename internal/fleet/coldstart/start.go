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
	Relay bool // one reader of a zone has the list for all others
}

// Want is what a dispatcher asks for beside its lease.
type Want struct {
	Turn    bool           `cbor:"1,keyasint,omitempty"` // it wants to call the list service
	Alone   bool           `cbor:"7,keyasint,omitempty"` // for itself, whoever reads: it was moved to another service
	Used    uint64         `cbor:"2,keyasint,omitempty"` // the latest turn that it used up
	Has     relay.Mark     `cbor:"3,keyasint,omitempty"` // of the relayed list
	Unfit   uint64         `cbor:"4,keyasint,omitempty"` // the seat that it gives up: it can't reach the service
	Blank   bool           `cbor:"5,keyasint,omitempty"` // it knows nothing of speeds
	Learned *speeds.Speeds `cbor:"6,keyasint,omitempty"`
}

// Word is what it is told beside its lease.
type Word struct {
	Turn   admission.Turn `cbor:"1,keyasint,omitempty"` // No 0: none
	Seat   uint64         `cbor:"2,keyasint,omitempty"` // it reads for its zone, under this number; 0: it does not
	Relay  bool           `cbor:"3,keyasint,omitempty"` // somebody reads for its zone, or will
	List   *relay.Update  `cbor:"4,keyasint,omitempty"`
	Speeds *speeds.Speeds `cbor:"5,keyasint,omitempty"`
}

// Book is the keepers' half.
type Book struct {
	Settings
	Turns  *admission.Book
	Lists  map[int]*relay.List // by zone
	Speeds speeds.Speeds
	Base   uint64 // numbers of turns, seats and changes are over it: over all that keepers before a restore gave
}

// NewBook makes one by which nobody calls sooner than a moment, with numbers over base.
func NewBook(s Settings, from time.Duration, base uint64) *Book {
	return &Book{Settings: s, Turns: admission.New(s.Settings, from, base), Lists: map[int]*relay.List{}, Base: base}
}

// Mend makes what a snapshot leaves out where it is empty.
func (b *Book) Mend() {
	if b.Lists == nil {
		b.Lists = map[int]*relay.List{}
	}
	b.Turns.Mend()
}

// Set puts other settings in force; others than before begin the relay anew, so that a list
// service which was set back is believed again.
func (b *Book) Set(s Settings) {
	if s == b.Settings {
		return
	}
	b.Settings = s
	b.Turns.Set(s.Settings)
	for _, l := range b.Lists {
		l.Generation = 0
		l.Leave(false)
	}
}

// Ask answers a dispatcher of a zone that has just been given a lease. live tells whether a
// holder may hold one now.
func (b *Book) Ask(now time.Duration, who string, zone int, w *Want, live func(who string) bool) *Word {
	out := &Word{}
	if b.Relay {
		l := b.Lists[zone]
		if l == nil {
			l = &relay.List{Fence: b.Base, Seq: b.Base}
			b.Lists[zone] = l
		}
		if l.Reader == who && w.Unfit == l.Fence && l.Fence > 0 {
			l.Leave(true)
		}
		if l.Reader != "" && !live(l.Reader) {
			l.Leave(false)
		}
		if l.Reader == "" && (l.Last != who || w.Unfit != l.Fence) {
			l.Seat(who)
		}
		if out.Relay = true; l.Reader == who {
			out.Seat = l.Fence
		}
		out.List = l.Since(w.Has)
	}
	if w.Turn && (out.Seat > 0 || !out.Relay || w.Alone) {
		out.Turn = b.Turns.Ask(now, who, w.Used)
	}
	if w.Learned != nil {
		b.Speeds.Merge(w.Learned)
	}
	if w.Blank && b.Speeds.Known() {
		speeds := b.Speeds
		out.Speeds = &speeds
	}
	return out
}

// Publish takes in what the reader of a zone was told.
func (b *Book) Publish(who string, zone int, fence uint64, w relay.Word) error {
	l := b.Lists[zone]
	if l == nil || !b.Relay {
		return &relay.FenceError{Fence: fence}
	}
	return l.Publish(who, fence, w)
}

// Since is what is new of a zone's list for one that has it up to a mark.
func (b *Book) Since(zone int, m relay.Mark) *relay.Update {
	if l := b.Lists[zone]; l != nil && b.Relay {
		return l.Since(m)
	}
	return nil
}

// Gone forgets a holder whose life is over.
func (b *Book) Gone(who string) {
	b.Turns.Forget(who)
	for _, z := range slices.Sorted(maps.Keys(b.Lists)) {
		if l := b.Lists[z]; l.Reader == who {
			l.Leave(false)
		}
	}
}
