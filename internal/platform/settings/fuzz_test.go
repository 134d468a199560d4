package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzLoad loads arbitrary files: settings that pass have what a process needs.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("Node = \"n\"\nZone = \"z\"\nSeeds = [\"a:1\"]\nDataDir = \"/d\"\n[Listen]\nControl = \"a:1\"\n"))
	f.Add([]byte("Node = 3"))
	f.Add([]byte("[Listen]\nFront = \"a:1\"\n[Cloud]\nAddress = \"b:1\"\n[Bounds]\nHoldMaxMs = -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		if err != nil {
			return
		}
		if s.Node == "" || s.Zone == "" || len(s.Seeds) == 0 || s.Listen.Front+s.Listen.Control == "" {
			t.Fatalf("settings pass that lack what is needed: %+v", s)
		}
	})
}
