package instances

// Numbers of consecutive complete readings without a worker after which it counts as removed.
const (
	// conclusiveAbsences is the required number of conclusive readings (absenceCount.conclusive). They span two seconds,
	// more than the lag between the views of the list that different clients get.
	conclusiveAbsences = 3
	// maxAbsences is the number of readings that suffices even if most of them are inconclusive.
	maxAbsences = 8
)

// absenceCount is the number of consecutive readings that lack a worker.
type absenceCount struct {
	conclusive int // the first one, and each later one that lists all entries of the reading before it
	all        int
}

// absenceTracker counts the readings of the platform's list that lack a worker. The pages of the list are read one after
// the other. If entries are removed meanwhile, others move to a page that was read already, and seem to be missing. So
// further absences of a worker are inconclusive in a reading that lacks any entry of the previous reading. The first absence
// counts even then, since the missing entry may be the worker itself.
type absenceTracker struct {
	missing  map[string]absenceCount // by the worker's ID
	previous map[string]bool         // IDs in the previous reading; nil if there was none
}

// reset discards all readings, since readings of an earlier term as reader must not count.
func (a *absenceTracker) reset() { a.missing, a.previous = nil, nil }

// observe records a complete reading, and returns the known workers that count as removed, in the order of known.
func (a *absenceTracker) observe(listed map[string]bool, known []string) (removed []string) {
	conclusive := a.previous != nil // and all previous entries are listed
	for id := range a.previous {
		conclusive = conclusive && listed[id]
	}
	missing := map[string]absenceCount{}
	for _, id := range known {
		if listed[id] {
			continue
		}
		count := a.missing[id]
		count.all++
		if conclusive || count.all == 1 {
			count.conclusive++
		}
		missing[id] = count
		if count.conclusive >= conclusiveAbsences || count.all >= maxAbsences {
			removed = append(removed, id)
		}
	}
	a.missing, a.previous = missing, listed
	return removed
}
