package haproxy

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/gateway/config"
	"yardflow/internal/platform/fault"
	"yardflow/scheduling/dispatch"
)

// What is imported is a configuration that the program takes, and every
// directive without counterpart is reported with its line.
func TestImport(t *testing.T) {
	files, err := filepath.Glob("testdata/*.cfg")
	if err != nil || len(files) == 0 {
		t.Fatal("no samples", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			in, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			text, diagnostics, err := Import(in)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			cfg, err := config.Load(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, "none")
			if err != nil {
				t.Fatal("the program does not take it:", err)
			}
			if _, err := dispatch.New(cfg.Dispatch, 1); err != nil {
				t.Fatal("the module does not take it:", err)
			}
			var got strings.Builder
			for _, d := range diagnostics {
				got.WriteString(d.String() + "\n")
			}
			var compact any
			if err := json.Unmarshal(text, &compact); err != nil {
				t.Fatal(err)
			}
			lines, err := json.MarshalIndent(compact, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			got.Write(lines)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".cfg") + ".want")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(strings.TrimSpace(string(want)), got.String()); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestFaultsAreNamedByLine(t *testing.T) {
	const frame = "frontend f\n bind :80\nbackend b\n server s 127.0.0.1:1\n"
	for want, text := range map[string]string{
		"line 1: bind: outside any section":                      "bind :80\n" + frame,
		"line 1: frontend: a name is missing":                    "frontend\n",
		"line 5: timeout server: \"5 parsecs\" is not a time":    frame + " timeout server '5 parsecs'\n",
		"line 5: timeout: its name or time is missing":           frame + " timeout server\n",
		"line 5: maxconn: \"many\" is not a number of 1 or more": frame + " maxconn many\n",
		"line 5: server: its name or address is missing":         frame + " server t\n",
		"line 5: server s: the name comes twice":                 frame + " server s 127.0.0.1:2\n",
		"line 5: a quote is not closed":                          frame + " server \"t\n",
		"line 5: a backslash ends the line":                      frame + " server t\\",
		"line 1: frontend f: unknown default_backend \"c\"":      "frontend f\n bind :80\n default_backend c\n",
		"line 5: from: unknown defaults \"d\"":                   frame + "backend c from d\n",
		"no frontend binds an address that can be served":        "backend b\n server s 127.0.0.1:1\n",
		"no backend has a server":                                "frontend f\n bind :80\n",
	} {
		_, _, err := Import(strings.NewReader(text))
		if err == nil || err.Error() != want {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
		if f := fault.Of(err); f == nil || f.Advice() == "" || !strings.HasPrefix(f.Code(), "import-") {
			t.Errorf("%q: %v does not say what can be done", text, err)
		}
	}
}

func TestWordsAreSplitAsHAProxyDoes(t *testing.T) {
	for text, want := range map[string][]string{
		`a  b	c # d`:           {"a", "b", "c"},
		`"a b" 'c \d' e\ f\#g`: {"a b", `c \d`, "e f#g"},
		`a"b c"d "" "x\"y"`:    {"ab cd", "", `x"y`},
		`# only`:               nil,
	} {
		got, problem := split(text)
		if diff := cmp.Diff(want, got); diff != "" || problem != "" {
			t.Errorf("%s: %s\n%s", text, problem, diff)
		}
	}
}

// What the fuzz of the importer found: each is named by its line, or carries over as what the program takes.
func TestInputsThatTheFuzzFound(t *testing.T) {
	const backend = "frontend f\n bind :7070\nbackend b\n timeout connect 250us\n timeout server 900us\n server s 127.0.0.1:1\n"
	for name, c := range map[string]struct{ text, want string }{
		"from without a name":        {"defaults x from\n", "line 1: from: a name is missing"},
		"a backend that comes twice": {backend + "listen b\n bind :7071\n server s 127.0.0.1:2\n", "line 7: listen b: another backend has this name"},
		"times below a millisecond":  {backend, ""},
	} {
		text, _, err := Import(strings.NewReader(c.text))
		if c.want != "" {
			if err == nil || err.Error() != c.want {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if err != nil || !strings.Contains(string(text), `"ConnectTimeoutMs": 1`) || !strings.Contains(string(text), `"DeadlineMs": 1`) {
			t.Errorf("%s: %v, %s", name, err, text)
		}
	}
}
