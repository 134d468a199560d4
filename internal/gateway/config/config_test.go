package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// loadEdited loads a valid configuration with one piece of its text replaced, an operator's file and
// further variables.
func loadEdited(t *testing.T, edit [2]string, sse string, env map[string]string) (*Config, error) {
	t.Helper()
	settings, err := os.ReadFile("../../../cmd/yardflow/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{"name": "n3", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500",
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	before := string(text)
	after := strings.Replace(before, edit[0], edit[1], 1)
	if edit[0] != "" && after == before {
		t.Fatalf("%q is not in the text", edit[0])
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	all := map[string]string{"NODE_CONFIG": write("config.json", after)}
	for k, v := range env {
		all[k] = v
	}
	path := filepath.Join(dir, "yardflow.toml")
	if sse != "" {
		write("yardflow.toml", sse)
	}
	return Load(func(k string) string { return all[k] }, path)
}

func TestValidConfiguration(t *testing.T) {
	c, err := loadEdited(t, [2]string{}, "", map[string]string{"NODE_LISTEN": "127.0.0.2:1"})
	if err != nil {
		t.Fatal(err)
	}
	type figures struct {
		Name, Listen, Discovery   string
		Seed                      uint64
		Limits                    Limits
		Classes, Columns, Tenants []string
		Connect, Idle             time.Duration
		SSE                       bool
	}
	want := figures{"n3", "127.0.0.2:1", "127.0.0.1:8500", 0x8c1f30d27a5be964, Limits{1, 192, 1024},
		[]string{"issue-loan", "package-file"}, []string{"cpu", "err_rps", "x0"}, []string{"mestska-brnenska", "univ-vltava"},
		250 * time.Millisecond, time.Minute, false}
	got := figures{c.Name, c.Listen, c.Discovery, c.Seed, c.Limits, c.Classes, c.LoadColumns, c.Tenants, c.ConnectTimeout, c.IdleTimeout, c.SSE.Enabled}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// The file that ships must be valid, and switch nothing on.
func TestShippedFileIsOff(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/yardflow.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := loadEdited(t, [2]string{}, string(text), nil)
	if err != nil || c.SSE.Enabled || len(c.SRV) > 0 || len(c.Notices) > 0 {
		t.Fatal(err, c.SSE.Enabled, c.SRV, c.Notices)
	}
	if c, err = loadEdited(t, [2]string{}, strings.Replace(string(text), "enabled = false", "enabled = true", 1), nil); err != nil || !c.SSE.Enabled {
		t.Fatal("switched on:", err)
	}
}

const sseFileWithContract = "[sse]\nenabled = true\nlisten = \"127.0.0.1:7171\"\n[[sse.contract]]\nteam = \"a\"\ntenant = \"univ-vltava\"\nclasses = [\"issue-loan\"]\nrate = 1.0\nburst = 1\nmax_open = 1\n"

// Every message names the faulty key.
func TestErrorsNameTheKey(t *testing.T) {
	for key, edit := range map[string][2]string{
		"NODE_DISCOVERY: ":                    {`"127.0.0.1:8500"`, `"nowhere"`},
		"NODE_LISTEN: missing":                {`"listen":"127.0.0.1:7070"`, `"listen":""`},
		"limits.sockets":                      {`"sockets":1024`, `"sockets":9`},
		"limits.memory_mb":                    {`"memory_mb":192`, `"memory_mb":1`},
		"settings: missing":                   {`"settings":`, `"other":`},
		"settings: Classes[1].Name":           {`"Name":"package-file"`, `"Name":"issue-loan"`},
		"settings: Classes[0].DeadlineMs":     {`"DeadlineMs":5000`, `"DeadlineMs":0`},
		"settings: Limits.MaxAttempts":        {`"MaxAttempts":4`, `"MaxAttempts":0`},
		"settings: Limits.ConnectTimeoutMs":   {`"ConnectTimeoutMs":250`, `"ConnectTimeoutMs":-1`},
		"settings: Limits.IdleCloseMs":        {`"IdleCloseMs":60000`, `"IdleCloseMs":0`},
		"settings: MyNumber":                  {`"MyNumber":0`, `"MyNumber":1`},
		"settings: Tenants[0].Name":           {`"Name":"mestska-brnenska"`, `"Name":""`},
		`semantics "odd"`:                     {`"fragile"`, `"odd"`},
		"NODE_CONFIG: unexpected end of JSON": {`}}`, ``},
	} {
		if _, err := loadEdited(t, edit, "", nil); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v: got %v, want %q in it", edit, err, key)
		}
	}
	for key, edit := range map[string][2]string{
		"3: sse.listen: ":     {"127.0.0.1:7171", "here"},
		"contract[0].team":    {`"a"`, `""`},
		"contract[0].tenant":  {"univ-vltava", "nobody"},
		"contract[0].classes": {"issue-loan", "other"},
		"contract[0].rate":    {"1.0", "0.0"},
		"contract[0].burst":   {"burst = 1", "burst = 0"},
		"max_open":            {"max_open = 1", "max_open = 0"},
		"max_event_bytes":     {"listen", "max_event_bytes = 1\nlisten"},
		"speed: unknown key":  {"listen", "speed = 1\nlisten"},
		"write_timeout":       {"listen", "write_timeout = \"soon\"\nlisten"},
	} {
		if _, err := loadEdited(t, [2]string{}, strings.Replace(sseFileWithContract, edit[0], edit[1], 1), nil); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v: got %v, want %q in it", edit, err, key)
		}
	}
}

// While a dispatcher runs the file's discovery takes precedence; other keys that differ are named.
func TestReload(t *testing.T) {
	first, err := loadEdited(t, [2]string{}, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../../cmd/yardflow/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for text, want := range map[string][]string{
		`{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.9:1","seed":"02","known":{},"limits":{"memory_mb":192},"settings":` + string(settings) + `}`: nil,
		`{"name":"n3","listen":"127.0.0.1:7071","discovery":"127.0.0.9:1","limits":{"memory_mb":64},"settings":` + string(settings) + `}`:                         {"listen", "limits"},
		`{"name":"n3","listen":"127.0.0.1:7071","discovery":"127.0.0.9:no"}`:                                                                                      {"refused"},
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.0.1:8500"}
		next, err := Reload(func(k string) string { return env[k] }, "none")
		got := []string{"refused"}
		if err == nil {
			if got = first.RestartKeys(next); next.Discovery != "127.0.0.9:1" {
				t.Error("discovery at", next.Discovery)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
}

// A file that is cut off anywhere, or lacks any key that the one in force has, is
// rejected by the key's name; one that only differs is taken over whole.
func TestReloadRejectsIncompleteFiles(t *testing.T) {
	first, err := loadEdited(t, [2]string{}, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(first.raw)
	if err != nil {
		t.Fatal(err)
	}
	dir, files := t.TempDir(), 0
	reload := func(text []byte) (*Config, error) {
		// A file written over is flushed to the disk when it is closed (ext4, for safety):
		// 50 ms each, for a thousand of them.
		files++
		path := filepath.Join(dir, strconv.Itoa(files))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		next, err := Reload(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, "none")
		if err != nil {
			return nil, err
		}
		return first.Reloaded(next)
	}
	if _, err := reload(whole); err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if _, err := reload(whole[:n]); err == nil {
			t.Fatalf("accepted though cut off after %s", whole[max(n-20, 0):n])
		}
	}
	cuts := 0
	var cut func(v any, at string)
	cut = func(v any, at string) {
		switch v := v.(type) {
		case map[string]any:
			for key, value := range v {
				path := strings.TrimPrefix(at+"."+key, ".")
				cut(value, path)
				if path == "seed" {
					continue // for a start alone
				}
				delete(v, key)
				text, _ := json.Marshal(first.raw)
				v[key] = value
				cuts++
				// Either check may find it first; both name the last part of its path.
				last := path[strings.LastIndex(path, ".")+1:]
				if _, err := reload(text); err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(last)) &&
					(last != "Semantics" || !strings.Contains(err.Error(), "semantics")) && last != "discovery" && last != "listen" {
					t.Errorf("%s cut out: %v", path, err)
				}
			}
		case []any:
			for _, entry := range v {
				cut(entry, at+"[]")
			}
		}
	}
	cut(first.raw, "")
	if cuts < 60 {
		t.Errorf("only %d keys were cut", cuts)
	}
	next, err := reload([]byte(strings.Replace(string(whole), `"MaxAttempts":4`, `"MaxAttempts":2`, 1)))
	if err != nil || next.Dispatch.Attempts.Max != 2 || first.Dispatch.Attempts.Max != 4 {
		t.Errorf("%v; %+v", err, next)
	}
}
