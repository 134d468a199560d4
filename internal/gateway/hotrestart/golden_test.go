package hotrestart

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The golden files were written at b99a1ea: the files outlast the process, and the next version reads them.
func TestFilesOfBansAndPolicyDoNotChange(t *testing.T) {
	dir := t.TempDir()
	bans, err := OpenBanList(dir, "n0 a/b")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"w7", "w3"} {
		if _, err := bans.Set(id, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := OpenPolicyFile(dir, "n0 a/b").Save([]byte("attempts = 3\n")); err != nil {
		t.Fatal(err)
	}
	for file, golden := range map[string]string{"yardflow-n0_a_b.bans": "bans", "yardflow-n0_a_b.policy": "policy"} {
		written, err := os.ReadFile(filepath.Join(dir, file))
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, golden, written)
	}
	again, err := OpenBanList(dir, "n0 a/b")
	if err != nil {
		t.Fatal(err)
	}
	if ids, err := again.Reload(); err != nil || !slices.Equal(ids, []string{"w3", "w7"}) {
		t.Errorf("the bans are read as %q, %v", ids, err)
	}
	if text, err := OpenPolicyFile(dir, "n0 a/b").Read(); err != nil || string(text) != "attempts = 3\n" {
		t.Errorf("the policy is read as %q, %v", text, err)
	}
}
