package server

import "testing"

// The log behind the newest snapshot stays short, whatever room the ring has; small ones are not worth a snapshot.
func TestSnapshotIsDue(t *testing.T) {
	const manySegments = 7
	for name, c := range map[string]struct {
		log, snapshot, segments int
		due                     bool
	}{
		"a short log":                         {minLogBytes - 1, 0, manySegments, false},
		"a long log":                          {minLogBytes + 1, 0, manySegments, true},
		"a log that is short for the state":   {2 * minLogBytes, minLogBytes, manySegments, false},
		"a log that is long for the state":    {logToSnapshotRatio*minLogBytes + 1, minLogBytes, manySegments, true},
		"a short log where the ring is full":  {0, 0, minFreeSegments, true},
		"a short log where the ring has room": {0, 0, minFreeSegments + 1, false},
	} {
		s := &snapshots{logBytes: c.log, newestBytes: c.snapshot, freeSegments: c.segments}
		if got := s.due(); got != c.due {
			t.Errorf("%s: due %v", name, got)
		}
	}
}
