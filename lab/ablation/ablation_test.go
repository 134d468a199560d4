package main

import (
	"go/format"
	"os"
	"path/filepath"
	"testing"
)

// Each mechanism can be switched off in the sources as they are, and what comes out is Go.
func TestMechanismsAreThere(t *testing.T) {
	for _, m := range mechanisms {
		for _, e := range m.edits {
			source, err := os.ReadFile(filepath.Join("..", "..", e.file))
			if err != nil {
				t.Fatal(err)
			}
			changed, err := e.change(string(source))
			if err != nil {
				t.Errorf("%s: %v", m.name, err)
				continue
			}
			if _, err := format.Source([]byte(changed)); err != nil {
				t.Errorf("%s: %s: %v", m.name, e.file, err)
			}
		}
	}
}
