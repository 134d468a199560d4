package consensus

import (
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/fleet/statemachine"
)

// writtenVersion is the version of the policy in force in testdata/keeper.db.gz.
const writtenVersion = 45

// extractFolder lays the folder that a coordinator of b99a1ea has written, with a snapshot and a log behind it.
func extractFolder(t *testing.T) string {
	t.Helper()
	packed, err := os.Open("testdata/keeper.db.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	reader, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file, err := os.OpenFile(filepath.Join(dir, dataFileName), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(file, reader); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// What a coordinator of b99a1ea has stored is opened by today's, and goes on from there.
func TestFolderWrittenBeforeTheRenamesIsOpened(t *testing.T) {
	node, err := openSingleNode(t, extractFolder(t), false, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNode(t, node)
	if v := currentVersion(t, node); v != writtenVersion {
		t.Fatalf("version %d is in force, want %d", v, writtenVersion)
	}
	node.ReadStale(func(s *statemachine.State) {
		if text := string(s.CurrentPolicy().Text); text != "attempts = 45" {
			t.Errorf("the policy in force is %q", text)
		}
	})
	propose(t, node, writtenVersion+1)
	if v := currentVersion(t, node); v != writtenVersion+1 {
		t.Errorf("version %d is in force behind a proposal", v)
	}
}

// The same folder serves as the backup from which a lost majority is restored.
func TestFolderWrittenBeforeTheRenamesIsRestored(t *testing.T) {
	const skip = 100
	config := Config{Fleet: "f", MemberID: 2, InitialMembers: map[uint64]string{2: "127.0.0.1:1"}, Dir: t.TempDir(), State: statemachine.Config{PolicyHistory: 100}, Log: func(string) {}}
	got, err := Restore(config, extractFolder(t), skip, true)
	if err != nil {
		t.Fatal(err)
	}
	want := RestoreReport{SourceMember: 1, LastEntry: got.LastEntry, LastTerm: got.LastTerm, Version: writtenVersion, RestoredVersion: got.RestoredVersion, Generation: 2, FormerMembers: 1, CommittedEntries: got.CommittedEntries, UncertainEntries: got.UncertainEntries}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("restored (-want +got):\n%s", diff)
	}
	if got.RestoredVersion <= writtenVersion {
		t.Errorf("the policy is restored as version %d, which is not above %d", got.RestoredVersion, writtenVersion)
	}
}
