package segment

import (
	"bytes"
	"fmt"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden file was written by the code of 9db0dbd: what a disk holds keeps its bytes, so that a new version reads
// what an old one has written, and the other way round.
func TestFormOfFilesDoesNotChange(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	if err := store.Append([]Record{record(1, "a"), {Index: 2, Epoch: 3, CommitIndex: 1, Data: []byte("b")}}); err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(Snapshot{Index: 1, Epoch: 1, Data: []byte("state of 1")}); err != nil {
		t.Fatal(err)
	}
	store, _ = open(t, folder) // another incarnation
	if err := store.Append([]Record{{Index: 3, Epoch: 3, CommitIndex: 2, Data: []byte("c")}}); err != nil {
		t.Fatal(err)
	}
	if err := store.InstallSnapshot(Snapshot{Index: 9, Epoch: 4, Data: []byte("state of 9")}); err != nil {
		t.Fatal(err)
	}
	if err := store.Append([]Record{{Index: 10, Epoch: 4, CommitIndex: 9, Data: []byte("d")}}); err != nil {
		t.Fatal(err)
	}
	var files []byte
	for _, name := range []string{"meta-a", "meta-b", "snapshot-a", "snapshot-b", "segment-a", "segment-b", "segment-c", "segment-d"} {
		content := bytes.TrimRight(folder.files[name].content, "\x00")
		files = append(files, fmt.Sprintf("%s, %d bytes:", name, len(content))...)
		files = append(files, content...)
	}
	wiretest.AssertBytes(t, "files", files)
}
