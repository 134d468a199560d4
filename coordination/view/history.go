package view

import "slices"

// maxConfigurations is the greatest number of configurations that a History keeps. Views that never become active add
// configurations, and each needs a writer that has not promised since; electors alone can add half of their number.
const maxConfigurations = 16

// Configuration stands for successive views with the same writers. The views between them have committed nothing.
type Configuration struct {
	First   uint64     `cbor:"1,keyasint"` // epoch of the first of the views
	Last    uint64     `cbor:"2,keyasint"` // epoch of the last of the views
	Writers []MemberID `cbor:"3,keyasint"`
}

// History lists the configurations before a view that may have committed entries. A view becomes active once all its
// writers are complete, and commits nothing before that. While views are replaced before they become active, the newest
// committed entries may be at writers of an earlier configuration only.
//
// Invariant: each view from the epoch Since up to the view's predecessor belongs to one of Configurations, or has
// committed nothing and never will. History says nothing of earlier views.
type History struct {
	Since          uint64          `cbor:"1,keyasint"`
	Configurations []Configuration `cbor:"2,keyasint,omitempty"` // oldest first
}

// Completeness is the part of a promise that shows which views its sender was complete in. Builds without it send none.
type Completeness struct {
	// CompleteEpoch is the last epoch in which the sender had the complete log, as in HardState.
	CompleteEpoch uint64 `cbor:"1,keyasint,omitempty"`
	// ExactSince is the first epoch for which CompleteEpoch is exact, as in HardState.
	ExactSince uint64 `cbor:"2,keyasint"`
	// Sealed is true if the sender never becomes complete in the base view after this promise.
	Sealed bool `cbor:"3,keyasint,omitempty"`
	// ActiveEpoch is an epoch of which the sender knows that a view of this or a later epoch was active.
	ActiveEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// historyAfter returns the history of the view that follows base, without the configurations that the promises prove
// inactive or superseded by an active one.
func historyAfter(base *View, promises map[MemberID]*Promise) *History {
	history := &History{Since: base.Epoch}
	if base.History != nil {
		history.Since = base.History.Since
		history.Configurations = slices.Clone(base.History.Configurations)
	}
	history.Configurations = append(history.Configurations,
		Configuration{First: base.Epoch, Last: base.Epoch, Writers: base.writerIDs()})
	history.Configurations = slices.DeleteFunc(history.Configurations, func(c Configuration) bool {
		return c.isProvenInactive(base.Epoch, promises)
	})
	history.dropBefore(activeEpoch(base.Epoch, promises))
	history.mergeSameWriters()
	if excess := len(history.Configurations) - maxConfigurations; excess > 0 {
		history.dropBefore(history.Configurations[excess-1].Last + 1)
	}
	return history
}

// activeEpoch returns the highest ActiveEpoch of the promises, at most the epoch of the base view.
func activeEpoch(baseEpoch uint64, promises map[MemberID]*Promise) uint64 {
	highest := uint64(0)
	for _, promise := range promises {
		if promise.Completeness != nil {
			highest = max(highest, min(promise.Completeness.ActiveEpoch, baseEpoch))
		}
	}
	return highest
}

// isProvenInactive reports whether a promise proves that the views of the configuration have committed nothing and never
// will: that of a writer that was not complete in any of them and never becomes so. A member does not become complete in
// a view once a later one is in force at it; in the base view itself only a sealed member does not.
func (c *Configuration) isProvenInactive(baseEpoch uint64, promises map[MemberID]*Promise) bool {
	return slices.ContainsFunc(c.Writers, func(writer MemberID) bool {
		promise := promises[writer]
		if promise == nil || promise.Completeness == nil {
			return false
		}
		known := promise.Completeness
		return known.CompleteEpoch < c.First && known.ExactSince <= c.First && (c.Last < baseEpoch || known.Sealed)
	})
}

// dropBefore drops what the history says of views before an epoch.
func (h *History) dropBefore(epoch uint64) {
	h.Since = max(h.Since, epoch)
	h.Configurations = slices.DeleteFunc(h.Configurations, func(c Configuration) bool { return c.Last < epoch })
}

// mergeSameWriters merges neighbouring configurations with the same writers. A writer that was complete in one of them has
// every entry that any of them has committed, so nothing is lost.
func (h *History) mergeSameWriters() {
	var merged []Configuration
	for _, configuration := range h.Configurations {
		last := len(merged) - 1
		if last >= 0 && sameWriters(merged[last].Writers, configuration.Writers) {
			merged[last].Last = configuration.Last
			continue
		}
		merged = append(merged, configuration)
	}
	h.Configurations = merged
}

func sameWriters(a, b []MemberID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(id MemberID) bool { return !slices.Contains(b, id) })
}

// covers reports whether a member that was last complete in an epoch certainly has every committed entry: it was a writer
// of each later view that may have committed entries, and of the view of that epoch.
func (h *History) covers(id MemberID, completeEpoch uint64) bool {
	if completeEpoch < h.Since {
		return false
	}
	return !slices.ContainsFunc(h.Configurations, func(c Configuration) bool {
		return c.Last >= completeEpoch && !slices.Contains(c.Writers, id)
	})
}
