package haproxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardflow/internal/gateway/config"
)

// FuzzImport: whatever the file, the importer ends with an error or with a configuration that the program takes.
func FuzzImport(f *testing.F) {
	samples, err := filepath.Glob("testdata/*.cfg")
	if err != nil {
		f.Fatal(err)
	}
	for _, sample := range samples {
		text, err := os.ReadFile(sample)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("defaults x from\n")
	f.Add("frontend f from\nlisten l from x\n")
	f.Fuzz(func(t *testing.T, text string) {
		imported, _, err := Import(strings.NewReader(text))
		if err != nil {
			return
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, imported, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := config.Load(func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] }, "none"); err != nil {
			t.Errorf("the program does not take what was imported: %v", err)
		}
	})
}
