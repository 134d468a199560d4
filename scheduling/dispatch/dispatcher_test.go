package dispatch

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The policy key of the deploy file lists every file of this package that makes dispatch decisions, and no
// line of the listed files is longer than 110 characters. The operators have withdrawn a former limit on the
// package's length.
func TestDeployFileListsPolicyFiles(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatal("the policy key of deploy/balancer.toml lists no file")
	}
	// These files hold the interfaces, the values and the snapshot format, but no decisions.
	nonPolicyFiles := []string{"dispatch.go", "events.go", "settings.go", "snapshot.go"}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		isPolicy := !strings.HasSuffix(file, "_test.go") && !slices.Contains(nonPolicyFiles, file)
		if isPolicy && !slices.Contains(deploy.Policy, "scheduling/dispatch/"+file) {
			t.Errorf("the policy key of deploy/balancer.toml does not list %s", file)
		}
	}
	for _, file := range deploy.Policy {
		source, err := os.ReadFile("../../" + file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(source), "\n") {
			if len(strings.ReplaceAll(line, "\t", "    ")) > 110 {
				t.Errorf("%s:%d is longer than 110 characters", file, i+1)
			}
		}
	}
}

// New settings apply to open requests too, except that a request keeps its class as it was at arrival, even
// if the new settings no longer have that class. The estimates learned for a class are kept under its name.
func TestReconfigure(t *testing.T) {
	s := testSettings()
	s.Attempts.Max = 3
	s.Classes = []Class{{Name: "a", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1},
		{Name: "b", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1}}
	d := newDispatcher(s, 1)
	r := &recorder{}
	d.UpdateWorkers(0, ListFull, []Worker{{ID: 1}, {ID: 2}, {ID: 3}}, r)
	for id := range RequestID(2) {
		d.Arrive(time.Second, Request{ID: id, Class: 0, TimeLeft: time.Minute}, r)
	}
	d.speeds.classes["b"] = &classStats{logWork: 1, evidence: 9}
	next := s
	next.Attempts.Max = 1
	next.Classes = []Class{{Name: "b", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1, Semantics: AtMostOnce}}
	d.Reconfigure(2*time.Second, next, r)
	if got := d.requests[0].class; got.Name != "a" || got.Semantics != Retryable {
		t.Errorf("after Reconfigure, an open request has class %+v, want class a, Retryable", got)
	}
	d.Arrive(2*time.Second, Request{ID: 9, Class: 0, ResolvedClass: &s.Classes[0], TimeLeft: time.Minute}, r) // class resolved before Reconfigure, request handed in after it
	d.Arrive(2*time.Second, Request{ID: 10, Class: 0, TimeLeft: time.Minute}, r)
	if a, b := d.requests[9].class.Name, d.requests[10]; a != "a" || b.class.Name != "b" || b.stats.evidence != 9 {
		t.Errorf("classes %s and %+v, want a and b; statistics of b %+v, want evidence 9", a, b.class, b.stats)
	}
	w := d.requests[0].outstanding[0].worker.ID
	d.AttemptEnded(3*time.Second, Outcome{ID: 0, Worker: w, Code: Rejected}, r)
	if d.requests[0] != nil {
		t.Error("a request without attempts left is still held after its final answer")
	}
}
