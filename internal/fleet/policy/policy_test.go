package policy

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseNamesEachProblemByItsKeyOrLine(t *testing.T) {
	d, err := Parse([]byte("attempts = 3\nban = [\"s-2\", \"s-1\", \"s-2\"]\n"))
	if diff := cmp.Diff(Document{BannedWorkers: []string{"s-1", "s-2"}, MaxAttempts: 3}, d); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for text, want := range map[string][]string{
		"attempts = -1\nban = [\"\"]": {"attempts: -1; expected 0 to 100", `ban[0]: ""; expected an id`},
		"\nrooms = 1\nfence = 2":      {"2: rooms: unknown", "3: fence: unknown"},
		"attempts = \"many\"":         {"1: "},
		"ban = [":                     {"1: "},
		"rule = \"most\"\n[room]\nenabled = true\nquantile = 0.2\n":                               {"rule: \"most\"; expected", "room.quantile: 0.2"},
		"[[contract]]\nteam = \"a\"\n[[contract]]\nteam = \"a\"\nclasses = [\"x\"]\nrate = 1.0\n": {"contract[0]: expected", "contract[1].team: \"a\""},
	} {
		_, err := Parse([]byte(text))
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
	next := Document{BannedWorkers: []string{"s-2", "s-3"}, MaxAttempts: 2}
	if diff := cmp.Diff([]string{"attempts: 3 to 2", "ban[s-1]: - s-1", "ban[s-3]: + s-3"}, d.Diff(next)); diff != "" {
		t.Error(diff)
	}
}

// A program that knows older format versions alone can't run a document with a newer key, and says so.
func TestKeysOfNewerFormatsAreRejected(t *testing.T) {
	defer func(was string) { form = was }(form)
	form = "1"
	if _, err := Parse([]byte("attempts = 3\n")); err != nil {
		t.Error(err)
	}
	for _, text := range []string{"rule = \"any\"\n", "[room]\nenabled = false\n"} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), "this program knows form 1") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

const course = `
[[pool]]
name = "packers"
kinds = ["triple-slow"]

[[flow]]
name = "course"
wanted = "1h"
[[flow.step]]
name = "loan"
class = "issue-loan"
each = "titles"
on_failed = "pass"
[[flow.step]]
name = "package"
class = "package-file"
pool = "packers"
needs = ["loan"]
each = "titles"
runs = "2s"
[[flow.step]]
name = "collect"
class = "package-file"
needs = ["package"]
when = "any"
on_unknown = "go collect-again"
[[flow.step]]
name = "collect-again"
class = "package-file"
`

// Problems of workflows are named by line, a cycle by its path.
func TestWorkflowsAreRejectedByLine(t *testing.T) {
	d, err := Parse([]byte(course))
	if err != nil || len(d.Templates()) != 1 || len(d.Templates()[0].Steps) != 4 {
		t.Fatal(err, d.Templates())
	}
	for _, edit := range []struct{ before, after, want string }{
		{`needs = ["package"]`, `needs = ["packages"]`, `21: flow "course", step "collect": needs: "packages" is none; expected steps of this template`},
		{"each = \"titles\"\non_failed", "each = \"titles\"\nneeds = [\"package\"]\non_failed", "needs: loan needs package needs loan; expected no cycle"},
		{`pool = "packers"`, `pool = "packer"`, `14: flow "course", step "package": pool: "packer"; expected a pool`},
		{`wanted = "1h"`, `wanted = "3s"`, `6: flow "course": wanted: 3s; expected 5s at least`},
		{`wanted = "1h"`, `fan = 2000000`, `fan: 2000000; expected 0 to`},
		{`on_failed = "pass"`, `on_failed = "go"`, `9: flow "course", step "loan": on_failed`},
		{`when = "any"`, `when = "now"`, `21: flow "course", step "collect": when: "now"`},
		{`kinds = ["triple-slow"]`, ``, `pool "packers": kinds: none`},
		{`class = "issue-loan"`, ``, `9: flow "course", step "loan": class: missing`},
	} {
		text := strings.Replace(course, edit.before, edit.after, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), edit.want) {
			t.Errorf("%q in the place of %q: %v; want %q", edit.after, edit.before, err, edit.want)
		}
	}
}
