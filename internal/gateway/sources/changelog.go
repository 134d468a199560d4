package sources

import (
	"fmt"
	"slices"
	"time"

	"yardflow/internal/discovery/membership"
)

// summaryInterval bounds the log's summary lines, as a flapping source would fill the
// log: changes within it are counted together in the next line.
const summaryInterval = time.Second

// changeLog writes what has changed of the list to the log: each new fault, each
// beginning and end of a retention, and a summary. Merger's mu guards it.
type changeLog struct {
	write        func(string)
	lastSummary  time.Time
	joined, left int             // since the last summary
	retained     map[string]bool // by source, whether workers are retained
	faults       []string
}

func (l *changeLog) report(now time.Time, list membership.List, sources []membership.Summary) {
	for _, f := range list.Faults {
		if !slices.Contains(l.faults, f) {
			l.write("membership: fault: " + f)
		}
	}
	l.faults = list.Faults
	for _, s := range sources {
		l.reportRetention(s)
	}
	if l.joined+l.left == 0 || now.Sub(l.lastSummary) < summaryInterval {
		return
	}
	serving := 0
	for _, e := range list.Entries {
		if e.State == membership.Serving {
			serving++
		}
	}
	l.write(fmt.Sprintf("membership: %d serving of %d listed (%d came, %d left)", serving, len(list.Entries), l.joined, l.left))
	l.lastSummary, l.joined, l.left = now, 0, 0
}

func (l *changeLog) reportRetention(s membership.Summary) {
	retained := s.Retained > 0
	if retained == l.retained[s.Name] {
		return
	}
	l.retained[s.Name] = retained
	if retained {
		l.write(fmt.Sprintf("membership: %s: the list shrank by %d of %d at once: held while they answer", s.Name, s.Retained, s.Retained+s.Serving))
	} else {
		l.write(fmt.Sprintf("membership: %s: nothing is held any more", s.Name))
	}
}
