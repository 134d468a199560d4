package segment

import (
	"bytes"
	"fmt"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// TestFileFormatDoesNotChange compares the files of a store with a golden file written by the code of commit 9db0dbd. The
// format must not change, so that new versions can read the files of old versions and vice versa.
func TestFileFormatDoesNotChange(t *testing.T) {
	folder := newMemoryFolder()
	store, _ := open(t, folder)
	if err := store.Append([]Record{record(1, "a"), {Index: 2, Epoch: 3, CommitIndex: 1, Data: []byte("b")}}); err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(Snapshot{Index: 1, Epoch: 1, Data: []byte("state of 1")}); err != nil {
		t.Fatal(err)
	}
	store, _ = open(t, folder) // the store is reopened as another incarnation
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
	for _, name := range []string{"meta-a", "meta-b", "snapshot-a", "snapshot-b",
		"segment-a", "segment-b", "segment-c", "segment-d"} {
		content := bytes.TrimRight(folder.files[name].content, "\x00")
		files = append(files, fmt.Sprintf("%s, %d bytes:", name, len(content))...)
		files = append(files, content...)
	}
	wiretest.AssertBytes(t, "files", files)
}
