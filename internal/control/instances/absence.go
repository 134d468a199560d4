package instances

// Bounds of what readings without a worker show.
const (
	// removedAfter is how many complete readings in a row must lack a worker. They span two seconds, more than the lag
	// between the views of the list that its callers get.
	removedAfter = 3
	// removedSurely is how many do, whatever else leaves the list meanwhile.
	removedSurely = 8
)

// absenceCount is how many readings in a row lack a worker.
type absenceCount struct {
	steady int // those that show it: nothing else left the list before them
	all    int
}

// absenceTracker counts the readings of the platform's list that lack a worker. The list comes in pages that are read one
// after the other: while entries leave it, others move to a page that has been read, and seem to be missing. So a reading
// that lacks what the one before named shows nothing of what it lacks.
type absenceTracker struct {
	missing map[string]absenceCount // by the worker's ID
	last    map[string]bool         // what the reading before named; nil: there was none
}

// reset forgets all readings: those of an earlier term as reader show nothing.
func (a *absenceTracker) reset() { a.missing, a.last = nil, nil }

// observe takes in a complete reading, and returns which of the known workers count as removed, in the order of known.
func (a *absenceTracker) observe(listed map[string]bool, known []string) (removed []string) {
	steady := a.last != nil
	for id := range a.last {
		steady = steady && listed[id]
	}
	missing := map[string]absenceCount{}
	for _, id := range known {
		if listed[id] {
			continue
		}
		count := a.missing[id]
		count.all++
		if steady || count.all == 1 {
			count.steady++
		}
		missing[id] = count
		if count.steady >= removedAfter || count.all >= removedSurely {
			removed = append(removed, id)
		}
	}
	a.missing, a.last = missing, listed
	return removed
}
