// Package relay is the list of loan workers that one dispatcher of a zone, its reader, is told by
// the list service and all others of the zone have from it. Who reads is settled by a numbered
// seat: whoever publishes under an older number is refused, so a reader that was stopped and
// wakes hands out nothing old; nor does one that read an older list than the one relayed.
//
// It has no clock, draw or I/O, and knows nothing of who is alive: package start tells it.
package relay

import (
	"fmt"
	"slices"
	"strings"
)

// Entry is one loan worker, as the list service words it.
type Entry struct {
	ID      string  `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint,omitempty"`
	Zone    string  `cbor:"3,keyasint,omitempty"`
	Kind    string  `cbor:"4,keyasint,omitempty"`
	Cell    int     `cbor:"5,keyasint,omitempty"`
	Weight  float64 `cbor:"6,keyasint,omitempty"`
	State   uint8   `cbor:"7,keyasint,omitempty"` // as package membership has it
	Started int64   `cbor:"8,keyasint,omitempty"` // Unix microseconds; 0: long ago
	Removed bool    `cbor:"9,keyasint,omitempty"` // in changes: it is off the list
}

// Watermark is how far a holder has the list.
type Watermark struct {
	Seq uint64 // of the latest change; 0: nothing
}

// Update is what a holder does not have.
type Update struct {
	FencingToken uint64 `cbor:"Fence"` // of the seat by which it was published
	Generation   uint64 // of the list service
	Seq          uint64
	Complete     bool `cbor:"Whole"` // the whole list; else what changed since the holder's mark
	Entries      []Entry
}

// Change is one step of the list.
type Change struct {
	Seq     uint64
	Entries []Entry
}

// List is one zone's.
type List struct {
	Reader                string // who reads; empty: nobody
	FencingToken          uint64 `cbor:"Fence"` // number of the seat, growing with each reader
	ResignedReader        string `cbor:"Last"`  // who read before, and gave the seat up as unfit
	Generation            uint64
	Seq                   uint64
	PublishedFencingToken uint64 `cbor:"By"` // the seat by which it was last published whole; 0: never
	Entries               []Entry
	RecentChanges         []Change `cbor:"Recent"` // the latest, for those a little behind
}

// recent changes are kept; who is further behind gets the whole list.
const recent = 64

// FenceError is a word of one who reads no more.
type FenceError struct{ FencingToken, Current uint64 }

func (e *FenceError) Error() string {
	return fmt.Sprintf("published under seat %d; seat %d reads now", e.FencingToken, e.Current)
}

// Code is its word in the operators' table.
func (e *FenceError) Code() string { return "relay-fence" }

// Advice is what an operator can do.
func (e *FenceError) Advice() string {
	return "nothing: another dispatcher reads for the zone; if it comes often, see why readers lose their lease"
}

// OutdatedListError is a list older than the one relayed.
type OutdatedListError struct{ Generation, Current uint64 }

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("a list of generation %d; %d is relayed already", e.Generation, e.Current)
}

// Code is its word in the operators' table.
func (e *OutdatedListError) Code() string { return "relay-older" }

// Advice is what an operator can do.
func (e *OutdatedListError) Advice() string {
	return "see whether the list service was restored from an older state; if it was meant, change calls or use in the policy's [start] and back, which begins the relay anew"
}

// NeedsCompleteListError is a change where the whole list is due: what was told before was another seat's.
type NeedsCompleteListError struct{}

func (*NeedsCompleteListError) Error() string {
	return "a change, before the whole list under this seat"
}

// Code is its word in the operators' table.
func (*NeedsCompleteListError) Code() string { return "relay-part" }

// Advice is what an operator can do.
func (*NeedsCompleteListError) Advice() string { return "nothing: the reader says the whole list next" }

// Appoint gives who the seat.
func (l *List) Appoint(who string) { l.Reader, l.FencingToken = who, l.FencingToken+1 }

// Vacate empties the seat; unfit: its holder can't reach the service and is not given it next.
func (l *List) Vacate(unfit bool) {
	if unfit {
		l.ResignedReader = l.Reader
	}
	l.Reader = ""
}

// Publication is what a reader was told.
type Publication struct {
	Generation uint64 // of the list service
	Complete   bool   `cbor:"Whole"`  // the whole list; else what has changed
	NewSource  bool   `cbor:"Afresh"` // of another list service, to which the reader was moved: generations begin anew
	Entries    []Entry
}

// Publish takes in what a reader was told, under the number of its seat. The first word under a
// seat is whole.
func (l *List) Publish(who string, fence uint64, w Publication) error {
	generation, whole, entries := w.Generation, w.Complete, w.Entries
	switch {
	case who != l.Reader || fence != l.FencingToken:
		return &FenceError{fence, l.FencingToken}
	case generation < l.Generation && !(w.NewSource && whole):
		return &OutdatedListError{generation, l.Generation}
	case !whole && l.PublishedFencingToken != fence:
		return &NeedsCompleteListError{}
	}
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	var changed []Entry
	if whole {
		for _, e := range l.Entries {
			if !has(entries, e.ID) {
				changed = append(changed, Entry{ID: e.ID, Removed: true})
			}
		}
	}
	for _, e := range entries {
		i, ok := l.find(e.ID)
		switch {
		case e.Removed && ok:
			l.Entries = slices.Delete(l.Entries, i, i+1)
		case e.Removed, ok && l.Entries[i] == e:
			continue
		case ok:
			l.Entries[i] = e
		default:
			l.Entries = slices.Insert(l.Entries, i, e)
		}
		changed = append(changed, e)
	}
	for _, e := range changed {
		if i, ok := l.find(e.ID); ok && e.Removed {
			l.Entries = slices.Delete(l.Entries, i, i+1)
		}
	}
	first := l.PublishedFencingToken == 0
	if l.Generation = generation; whole {
		l.PublishedFencingToken = fence
	}
	if len(changed) > 0 || first {
		l.Seq++
		l.RecentChanges = append(l.RecentChanges, Change{l.Seq, changed})
		if over := len(l.RecentChanges) - recent; over > 0 {
			l.RecentChanges = slices.Delete(l.RecentChanges, 0, over)
		}
	}
	return nil
}

func has(sorted []Entry, id string) bool {
	_, ok := slices.BinarySearchFunc(sorted, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	return ok
}

func (l *List) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.Entries, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
}

// UpdateSince is what a holder does not have; nil where there is nothing.
func (l *List) UpdateSince(m Watermark) *Update {
	if l.PublishedFencingToken == 0 || m.Seq == l.Seq {
		return nil
	}
	u := &Update{FencingToken: l.FencingToken, Generation: l.Generation, Seq: l.Seq}
	if m.Seq == 0 || m.Seq > l.Seq || len(l.RecentChanges) == 0 || l.RecentChanges[0].Seq > m.Seq+1 {
		u.Complete, u.Entries = true, slices.Clone(l.Entries)
		return u
	}
	at := map[string]int{}
	for _, c := range l.RecentChanges {
		if c.Seq <= m.Seq {
			continue
		}
		for _, e := range c.Entries {
			if i, ok := at[e.ID]; ok {
				u.Entries[i] = e
				continue
			}
			at[e.ID] = len(u.Entries)
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}
