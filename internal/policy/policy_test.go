package policy

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	d, err := Parse([]byte("attempts = 3\nban = [\"s-2\", \"s-1\", \"s-2\"]\n"))
	if diff := cmp.Diff(Document{Ban: []string{"s-1", "s-2"}, Attempts: 3}, d); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for text, want := range map[string][]string{
		"attempts = -1\nban = [\"\"]": {"attempts: -1; expected 0 to 100", `ban[0]: ""; expected an id`},
		"\nroom = 1\nfence = 2":       {"2: room: unknown", "3: fence: unknown"},
		"attempts = \"many\"":         {"1: "},
		"ban = [":                     {"1: "},
	} {
		_, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%q is taken", text)
			continue
		}
		for _, w := range want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%q: %v; want %q in it", text, err, w)
			}
		}
	}
	next := Document{Ban: []string{"s-2", "s-3"}, Attempts: 2}
	if diff := cmp.Diff([]string{"ban: + s-3", "ban: - s-1", "attempts: 3 to 2"}, d.Diff(next)); diff != "" {
		t.Error(diff)
	}
}
