package segment

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/juju/errors"
)

var layout = Layout{SegmentCount: 4, SegmentBytes: 4096}

// open opens a store, and saves its metadata if it is fresh.
func open(t *testing.T, folder Folder) (*Store, *Recovered) {
	t.Helper()
	store, recovered, err := Open(folder, layout)
	if err != nil {
		t.Fatal(err)
	}
	if recovered.Fresh {
		if err := store.SaveMetadata([]byte("meta")); err != nil {
			t.Fatal(err)
		}
	}
	return store, recovered
}

func record(index uint64, text string) Record {
	return Record{Index: index, Epoch: 1, Data: []byte(text)}
}

func TestSyncedRecordsAreRecovered(t *testing.T) {
	folder := newMemoryFolder()
	store, recovered := open(t, folder)
	if !recovered.Fresh {
		t.Error("an empty folder is not reported as fresh")
	}
	if err := store.Append([]Record{record(1, "a"), record(2, "b")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	_, recovered = open(t, folder)
	if recovered.Fresh || string(recovered.Metadata) != "meta" || len(recovered.Records) != 2 ||
		string(recovered.Records[1].Data) != "b" {
		t.Errorf("recovered %+v", recovered)
	}
}

// TestRecoveryDropsOverwrittenRecords checks that a record replaces an earlier one with the same index and all after that.
func TestRecoveryDropsOverwrittenRecords(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	if err := store.Append([]Record{record(1, "a"), record(2, "b"), record(3, "c")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Append([]Record{{Index: 2, Epoch: 2, Data: []byte("B")}}); err != nil {
		t.Fatal(err)
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	_, recovered := open(t, folder)
	if len(recovered.Records) != 2 || string(recovered.Records[1].Data) != "B" {
		t.Errorf("recovered %+v", recovered.Records)
	}
}

// TestSnapshotFreesFullRing checks that Append fails with ErrFull until a snapshot covers the records.
func TestSnapshotFreesFullRing(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	index := uint64(0)
	var err error
	for err == nil {
		index++
		err = store.Append([]Record{record(index, fmt.Sprintf("%0500d", index))})
	}
	if !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(Snapshot{Index: index - 1, Epoch: 1, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Append([]Record{record(index, "after")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	_, recovered := open(t, folder)
	if recovered.Snapshot.Index != index-1 || len(recovered.Records) != 1 {
		t.Errorf("snapshot %d, %d records", recovered.Snapshot.Index, len(recovered.Records))
	}
}

func TestFailedAppendCanBeRetried(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	folder.full = true
	if err := store.Append([]Record{record(1, "a")}); !errors.Is(err, errNoSpace) {
		t.Fatal(err)
	}
	folder.full = false
	if err := store.Append([]Record{record(1, "a")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	if _, recovered := open(t, folder); len(recovered.Records) != 1 {
		t.Errorf("recovered %+v", recovered.Records)
	}
}

// TestCorruptionOfDurableRecordIsReported checks that Open reports the file and the reason if a record before the last one
// is corrupt.
func TestCorruptionOfDurableRecordIsReported(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	for index := uint64(1); index <= 20; index++ {
		if err := store.Append([]Record{record(index, fmt.Sprintf("%0500d", index))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	folder.files["segment-a"].content[segmentHeaderBytes+recordHeaderBytes+5] ^= 1
	_, _, err := Open(folder, layout)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) {
		t.Fatalf("Open returned %v, want a CorruptionError", err)
	}
	if corruption.File == "" || corruption.Reason == "" {
		t.Errorf("the error lacks a file or a reason: %+v", corruption)
	}
}

// TestSyncedRecordsSurvivePowerLoss appends, syncs, saves snapshots and loses power at random, and checks that all synced
// records are recovered.
func TestSyncedRecordsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		folder := newMemoryFolder()
		store, _ := open(t, folder)
		durable, written := []Record{}, []Record{}
		snapshot, epoch := uint64(0), uint64(1)
		for range 120 {
			switch dice := random.IntN(10); {
			case dice < 5:
				next := snapshot + uint64(len(written)) + 1
				r := Record{Index: next, Epoch: epoch,
					Data: []byte(fmt.Sprintf("%d.%d.%0*d", epoch, next, random.IntN(300), 0))}
				if store.Append([]Record{r}) == nil {
					written = append(written, r)
				}
			case dice < 7:
				if err := store.Sync(); err != nil {
					t.Fatal(err)
				}
				durable = append([]Record(nil), written...)
			case dice < 8 && len(durable) > 4:
				covered := snapshot + uint64(len(durable)) - 2
				at := durable[covered-snapshot-1].Epoch
				if err := store.SaveSnapshot(Snapshot{covered, at, []byte("s")}); err != nil {
					t.Fatal(err)
				}
				durable, written = durable[covered-snapshot:], written[covered-snapshot:]
				snapshot = covered
			case dice < 9:
				folder.losePower(random)
				var recovered *Recovered
				store, recovered = open(t, folder)
				checkRecovered(t, seed, recovered, snapshot, durable)
				written = append([]Record(nil), recovered.Records...)
				epoch++
			}
		}
	}
}

// checkRecovered checks that the snapshot and all durable records were recovered.
func checkRecovered(t *testing.T, seed uint64, recovered *Recovered, snapshot uint64, durable []Record) {
	t.Helper()
	if recovered.Snapshot.Index != snapshot {
		t.Fatalf("seed %d: snapshot %d, want %d", seed, recovered.Snapshot.Index, snapshot)
	}
	if len(recovered.Records) < len(durable) {
		t.Fatalf("seed %d: %d records are recovered, but %d were synced", seed, len(recovered.Records), len(durable))
	}
	for i := range durable {
		if string(recovered.Records[i].Data) != string(durable[i].Data) {
			t.Fatalf("seed %d: record %d is %q, want %q", seed, i, recovered.Records[i].Data, durable[i].Data)
		}
	}
}

// BenchmarkRecovery measures opening a ring that contains 32 MiB of record data.
func BenchmarkRecovery(b *testing.B) {
	folder := newMemoryFolder()
	large := Layout{SegmentCount: 8, SegmentBytes: 8 << 20}
	store, _, err := Open(folder, large)
	if err != nil {
		b.Fatal(err)
	}
	if err := store.SaveMetadata(nil); err != nil {
		b.Fatal(err)
	}
	total := int64(0)
	for index := uint64(1); total < 32<<20; index++ {
		r := record(index, fmt.Sprintf("%0400d", index))
		total += int64(len(r.Data))
		if err := store.Append([]Record{r}); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(total)
	b.ResetTimer()
	for range b.N {
		if _, _, err := Open(folder, large); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRecordLongerThanASegmentIsRejected checks that Append rejects a record that is too long for a segment before it writes
// any record of the batch, and that the records before remain readable.
func TestRecordLongerThanASegmentIsRejected(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	if err := store.Append([]Record{record(1, "a")}); err != nil {
		t.Fatal(err)
	}
	longest := make([]byte, layout.MaxDataBytes())
	var tooLong *RecordTooLongError
	err := store.Append([]Record{record(2, "b"), {Index: 3, Epoch: 1, Data: append(longest, 0)}})
	if !errors.As(err, &tooLong) || tooLong.Index != 3 || tooLong.Max != int64(len(longest)) || tooLong.Advice() == "" {
		t.Fatalf("Append of a record that is one byte too long returned: %v", err)
	}
	if err := store.Append([]Record{{Index: 2, Epoch: 1, Data: longest}}); err != nil {
		t.Fatalf("Append of a record of the maximum length returned: %v", err)
	}
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	if _, recovered := open(t, folder); len(recovered.Records) != 2 || len(recovered.Records[1].Data) != len(longest) {
		t.Errorf("recovered %d records, or the last one has the wrong length", len(recovered.Records))
	}
}
