package segment

import (
	"fmt"
	"testing"
)

// wide is a layout of which a reader reads a part of each segment at once.
var wide = Layout{Segments: 4, SegmentSize: 4 * readAtOnce}

// heads is more than all headers of segments, the metadata and the snapshot of these tests take.
const heads = 1 << 10

// fill appends records until so many segments are in use, and returns the index of the last one.
func fill(t *testing.T, store *Store, segments int) uint64 {
	t.Helper()
	text, index := string(make([]byte, 32<<10)), uint64(0)
	for store.sequence < uint32(segments) {
		index++
		if err := store.Append([]Record{record(index, fmt.Sprint(index, text))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	return index
}

// A restart reads what the snapshot does not cover, and of the last segment what is written.
func TestCoveredSegmentsAreNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		uncovered uint64 // entries behind the snapshot
		most      int    // bytes that may be read
	}{
		"the snapshot covers all":                       {0, 2 * readAtOnce},
		"one entry behind the snapshot":                 {1, 2 * readAtOnce},
		"the snapshot ends in the last but one segment": {30, 7 * readAtOnce},
		"the snapshot ends in the one before":           {100, 12 * readAtOnce},
	} {
		t.Run(name, func(t *testing.T) {
			folder := newMemoryFolder()
			store, _, err := Open(folder, wide)
			if err != nil || store.SaveMeta([]byte("meta")) != nil {
				t.Fatal(err)
			}
			last := fill(t, store, 4)
			if err := store.SaveSnapshot(Snapshot{Index: last - c.uncovered, Epoch: 1, Data: []byte("state")}); err != nil {
				t.Fatal(err)
			}
			free := store.FreeSegments()
			folder.read = 0
			again, recovered, err := Open(folder, wide)
			if err != nil || uint64(len(recovered.Records)) != c.uncovered {
				t.Fatalf("%d entries read, want %d: %v", len(recovered.Records), c.uncovered, err)
			}
			if most := c.most + heads; folder.read > most {
				t.Errorf("%d bytes read, want %d at most", folder.read, most)
			}
			if again.FreeSegments() != free {
				t.Errorf("%d segments are free, %d were before", again.FreeSegments(), free)
			}
			if err := again.Append([]Record{record(last+1, "next")}); err != nil {
				t.Fatal(err)
			}
		})
	}
}
