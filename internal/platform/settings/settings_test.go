package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// core is the file of a control machine that passes all checks; tests replace parts of it.
const core = `Node = "core-1"
Zone = "a"
Seeds = ["10.0.0.1:1"]
DataDir = "/data"
Unknown = "field"
[Listen]
Control = "10.0.0.1:1"
[Tolerate]
Machines = 1
[Bounds]
HoldMaxMs = 6000
stop_ms = 400
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestValidSettings(t *testing.T) {
	s, err := load(t, core)
	if err != nil {
		t.Fatal(err)
	}
	if s.Tolerate.Machines != 1 || s.Bounds.StopMs != 400 || s.Listen.Control != "10.0.0.1:1" {
		t.Errorf("read %+v", s)
	}
}

func TestInvalidSettingsNameTheKey(t *testing.T) {
	cases := []struct{ old, new, key string }{
		{`Node = "core-1"`, ``, "Node"},
		{`Zone = "a"`, ``, "Zone"},
		{`Seeds = ["10.0.0.1:1"]`, ``, "Seeds"},
		{`Control = "10.0.0.1:1"`, ``, "Listen"},
		{`DataDir = "/data"`, ``, "DataDir"},
		{`Control = "10.0.0.1:1"`, `Front = "10.0.0.1:1"`, "Cloud.Address"},
		{`Machines = 1`, `Machines = -1`, "Tolerate.Machines"},
	}
	for _, c := range cases {
		_, err := load(t, strings.Replace(core, c.old, c.new, 1))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || invalid.Key != c.key || invalid.Problem == "" || invalid.Advice() == "" {
			t.Errorf("without %s: %v", c.old, err)
		}
	}
}

func TestUnreadableSettings(t *testing.T) {
	if _, err := load(t, strings.Replace(core, `Zone = "a"`, `Zone = 3`, 1)); err == nil {
		t.Error("a field of the wrong type was read")
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || !strings.Contains(err.Error(), PathVariable) {
		t.Errorf("%v", err)
	}
}
