package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The shipped file is valid; of an invalid one every fault is reported, by line and key, with what was
// expected.
func TestConfigErrorsNameLineAndKey(t *testing.T) {
	if _, err := readConfig("../../deploy/keeper.toml"); err != nil {
		t.Error(err)
	}
	for text, want := range map[string][]string{
		"fleet = \"\"\nmember = 7\nlisten = \"here\"\nfence = \"maybe\"\nlease = \"1h\"\nkeep = 1\n": {":1: fleet: missing", ":2: member: 7; expected one of",
			":3: listen: ", "expected host:port", ":4: fence: \"maybe\"; expected \"refuse\" or \"last\"", ":5: lease: 1h0m0s; expected 300ms to 1m0s",
			":6: keep: 1; expected 2 to 10000", "folder: missing", "keeper: 0 of them; expected 1, 3 or 5"},
		"fleet = \"a\"\nleese = \"3s\"\nfense = 1\n": {":2: leese: unknown", ":3: fense: unknown"},
		"fleet = \"a\"\nlease = \"3 years\"\n":       {":2: "},
		"fleet = \"a\"\n[[keeper]]\nid = 0\naddr = \"x\"\n[[keeper]]\nid = 2\naddr = \"h:1\"\n[[keeper]]\nid = 2\naddr = \"h:1\"\n": {
			":3: keeper[0].id: 0; expected a number of its own", ":4: keeper[0].addr: ", ":9: keeper[2].id: 2; expected a number of its own"},
	} {
		file := filepath.Join(t.TempDir(), "keeper.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := readConfig(file)
		if err == nil {
			t.Errorf("%q is accepted", text)
			continue
		}
		for _, w := range want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%q: %v; want %q in it", text, err, w)
			}
		}
	}
}
