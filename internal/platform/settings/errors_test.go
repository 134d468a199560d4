package settings

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An operator finds in each error where to look, and a caller finds its cause.
func TestErrorsNameTheFileAndUnwrapTheirCause(t *testing.T) {
	folder := t.TempDir()
	_, err := Load(filepath.Join(folder, "absent.toml"))
	var unreadable *ReadError
	if !errors.As(err, &unreadable) || !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), unreadable.Advice()) {
		t.Errorf("an absent file: %v", err)
	}
	path := filepath.Join(folder, "broken.toml")
	if err := os.WriteFile(path, []byte("Node = \"n\"\nZone = [\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Load(path)
	var broken *SyntaxError
	if !errors.As(err, &broken) || broken.Unwrap() == nil || !strings.HasPrefix(err.Error(), path) {
		t.Errorf("a broken file: %v", err)
	}
	if text := (&SyntaxError{Path: "f", Err: fs.ErrInvalid}).Error(); text != "f: invalid argument" {
		t.Errorf("without a line: %q", text)
	}
	if text := (&SyntaxError{Path: "f", Line: 3, Err: fs.ErrInvalid}).Error(); text != "f line 3: invalid argument" {
		t.Errorf("with a line: %q", text)
	}
}
