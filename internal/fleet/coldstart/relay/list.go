package relay

import (
	"slices"
	"strings"
)

// keptChanges is how many of the latest changes are kept; a dispatcher that is further behind gets the complete list.
const keptChanges = 64

// List is one zone's list, its reader and its latest changes. It is a part of the coordinators' replicated state.
type List struct {
	Reader                string // the holder that reads; empty: none
	FencingToken          uint64 `cbor:"Fence"` // of the latest reader
	ResignedReader        string `cbor:"Last"`  // the latest that could not reach the list service
	Generation            uint64 // of the list service
	Seq                   uint64 // of the latest change
	PublishedFencingToken uint64 `cbor:"By"` // under which the latest complete list was published; 0: none was
	Entries               []Entry
	RecentChanges         []Change `cbor:"Recent"`
}

// ElectReader makes the candidate the reader if there is none, or the present one has lost its lease. A candidate that
// resigned as the present reader is not elected again before another was. resigned is the fencing token under which it
// could not reach the list service.
func (l *List) ElectReader(candidate string, resigned uint64, holdsLease func(holder string) bool) {
	if l.Reader == candidate && resigned == l.FencingToken && l.FencingToken > 0 {
		l.Vacate(true)
	}
	if l.Reader != "" && !holdsLease(l.Reader) {
		l.Vacate(false)
	}
	if l.Reader == "" && (l.ResignedReader != candidate || resigned != l.FencingToken) {
		l.Appoint(candidate)
	}
}

// Appoint makes a holder the reader, under a new fencing token.
func (l *List) Appoint(holder string) { l.Reader, l.FencingToken = holder, l.FencingToken+1 }

// Vacate leaves the list without a reader; resigned says that the present one can't reach the list service.
func (l *List) Vacate(resigned bool) {
	if resigned {
		l.ResignedReader = l.Reader
	}
	l.Reader = ""
}

// Publish takes in what a holder has received from the list service, under its fencing token. The first publication under a
// token has to be a complete list. Its error is a FenceError, an OutdatedListError or a NeedsCompleteListError.
func (l *List) Publish(holder string, fencingToken uint64, p Publication) error {
	switch {
	case holder != l.Reader || fencingToken != l.FencingToken:
		return &FenceError{fencingToken, l.FencingToken}
	case p.Generation < l.Generation && (!p.NewSource || !p.Complete):
		return &OutdatedListError{p.Generation, l.Generation}
	case !p.Complete && l.PublishedFencingToken != fencingToken:
		return &NeedsCompleteListError{}
	}
	changed := l.apply(p)
	first := l.PublishedFencingToken == 0
	l.Generation = p.Generation
	if p.Complete {
		l.PublishedFencingToken = fencingToken
	}
	if len(changed) > 0 || first {
		l.addChange(changed)
	}
	return nil
}

// apply changes the entries by a publication, and returns those that have changed.
func (l *List) apply(p Publication) (changed []Entry) {
	published := latestByID(p.Entries)
	if p.Complete {
		for _, e := range l.Entries {
			if _, ok := find(published, e.ID); !ok {
				changed = append(changed, Entry{ID: e.ID, Removed: true})
			}
		}
	}
	for _, e := range published {
		i, ok := find(l.Entries, e.ID)
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
		if i, ok := find(l.Entries, e.ID); ok && e.Removed {
			l.Entries = slices.Delete(l.Entries, i, i+1)
		}
	}
	return changed
}

// latestByID returns the entries sorted by ID; of several with one ID the last counts.
func latestByID(entries []Entry) []Entry {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	latest := sorted[:0]
	for _, e := range sorted {
		if n := len(latest); n > 0 && latest[n-1].ID == e.ID {
			latest[n-1] = e
		} else {
			latest = append(latest, e)
		}
	}
	return latest
}

func (l *List) addChange(entries []Entry) {
	l.Seq++
	l.RecentChanges = append(l.RecentChanges, Change{l.Seq, entries})
	if surplus := len(l.RecentChanges) - keptChanges; surplus > 0 {
		l.RecentChanges = slices.Delete(l.RecentChanges, 0, surplus)
	}
}

// find is the index of an ID in entries that are sorted by it, or where it would be.
func find(sorted []Entry, id string) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
}

// UpdateSince is what a dispatcher lacks that has the list up to a watermark; nil where it lacks nothing, or nothing was
// published yet.
func (l *List) UpdateSince(w Watermark) *Update {
	if l.PublishedFencingToken == 0 || w.Seq == l.Seq {
		return nil
	}
	u := &Update{FencingToken: l.FencingToken, Generation: l.Generation, Seq: l.Seq}
	if w.Seq == 0 || w.Seq > l.Seq || len(l.RecentChanges) == 0 || l.RecentChanges[0].Seq > w.Seq+1 {
		u.Complete, u.Entries = true, slices.Clone(l.Entries)
		return u
	}
	u.Entries = l.changedSince(w)
	return u
}

// changedSince returns the entries that have changed since a watermark, each as it is after the latest change.
func (l *List) changedSince(w Watermark) (entries []Entry) {
	index := map[string]int{} // by ID
	for _, change := range l.RecentChanges {
		if change.Seq <= w.Seq {
			continue
		}
		for _, e := range change.Entries {
			if i, ok := index[e.ID]; ok {
				entries[i] = e
				continue
			}
			index[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	return entries
}
