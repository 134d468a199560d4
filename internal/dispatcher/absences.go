package dispatcher

// Bounds of what readings without a worker show.
const (
	// goneAfter is how many complete readings in a row must lack a worker. They span two seconds, more than the lag
	// between the views of the list that its callers get.
	goneAfter = 3
	// goneSurely is how many do whatever else leaves the list meanwhile.
	goneSurely = 8
)

// absence is how many readings in a row lack a worker.
type absence struct {
	steady int // those that show it: nothing else left the list before them
	all    int
}

// absences counts the readings of the platform's list that lack a worker. The list comes in pages that are read one
// after the other: while entries leave it, others move to a page that has been read, and seem to be missing. So a
// reading that lacks what the one before named shows nothing of what it lacks.
type absences struct {
	missing map[string]absence
	last    map[string]bool // what the reading before named
}

// begin forgets all readings: those of an earlier term as reader show nothing.
func (a *absences) begin() { a.missing, a.last = nil, nil }

// read takes a complete reading in, and returns which of the known workers count as gone.
func (a *absences) read(listed map[string]bool, known []string) (gone []string) {
	steady := a.last != nil
	for id := range a.last {
		steady = steady && listed[id]
	}
	still := map[string]absence{}
	for _, id := range known {
		if listed[id] {
			continue
		}
		count := a.missing[id]
		count.all++
		if steady || count.all == 1 {
			count.steady++
		}
		still[id] = count
		if count.steady >= goneAfter || count.all >= goneSurely {
			gone = append(gone, id)
		}
	}
	a.missing, a.last = still, listed
	return gone
}
