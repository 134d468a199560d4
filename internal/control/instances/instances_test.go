package instances

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// readyEntry returns the list's entry of the ready worker w, modified by change.
func readyEntry(change func(*Entry)) Entry {
	entry := Entry{ID: "w", Service: "s", Address: "a:1", Zone: "z", State: "ready",
		Capacity: job.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"ssd"}}
	change(&entry)
	return entry
}

// knownWorker returns the worker w in the state after a report of readyEntry, modified by change.
func knownWorker(change func(*statemachine.Worker)) *statemachine.Worker {
	entry := readyEntry(func(*Entry) {})
	worker := &statemachine.Worker{Instance: entry.Instance(), Owner: 7, Token: 3}
	change(worker)
	return worker
}

func TestWorkerIsReportedAsChangedIfTheStateDiffersFromTheList(t *testing.T) {
	asListed := func(*Entry) {}
	asKnown := func(*statemachine.Worker) {}
	drains := func(remainingMs int64) func(*Entry) {
		return func(e *Entry) { e.State, e.RemainingMs = "draining", remainingMs }
	}
	knownToDrain := func(w *statemachine.Worker) { w.Draining, w.RemainingMs = true, 9000 }
	unlisted := func(w *statemachine.Worker) { w.Unlisted = true }
	for _, c := range []struct {
		name     string
		known    *statemachine.Worker // nil: not in the state
		listed   Entry
		reported bool
	}{
		{"a new worker", nil, readyEntry(asListed), true},
		{"a new worker that is draining", nil, readyEntry(drains(5000)), true},
		{"an unchanged worker", knownWorker(asKnown), readyEntry(asListed), false},
		{"a worker of another service", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Service = "t" }), true},
		{"a worker at another address", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Address = "b:1" }), true},
		{"a worker in another zone", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Zone = "y" }), true},
		{"a worker with more memory", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Capacity.MemoryMB++ }), true},
		{"a worker with another label", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Labels = []string{"ssd", "gpu"} }), true},
		{"a worker that has lost its labels", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Labels = nil }), true},
		{"a worker that starts to drain", knownWorker(asKnown), readyEntry(drains(5000)), true},
		{"a draining worker with less remaining time", knownWorker(knownToDrain), readyEntry(drains(5000)), false},
		{"a draining worker that an outdated page lists as ready", knownWorker(knownToDrain), readyEntry(asListed), false},
		{"an unlisted worker that is listed again", knownWorker(unlisted), readyEntry(asListed), true},
		{"an ended worker that is still listed", knownWorker(func(w *statemachine.Worker) { w.Ended = true }),
			readyEntry(asListed), false},
		{"nil labels in the state, empty in the list", knownWorker(func(w *statemachine.Worker) { w.Labels = nil }),
			readyEntry(func(e *Entry) { e.Labels = []string{} }), false},
		{"empty labels in the state, nil in the list", knownWorker(func(w *statemachine.Worker) { w.Labels = []string{} }),
			readyEntry(func(e *Entry) { e.Labels = nil }), false},
		{"an unknown listed state", knownWorker(asKnown), readyEntry(func(e *Entry) { e.State = "starting" }), false},
	} {
		workers, want := map[string]*statemachine.Worker{}, Report{}
		if c.known != nil {
			workers["w"] = c.known
		}
		if c.reported {
			want.Changed = []statemachine.Instance{c.listed.Instance()}
		}
		got := (&Tracker{}).Observe(&Reading{Entries: []Entry{c.listed}, Pages: 1}, workers)
		if difference := cmp.Diff(want, got); difference != "" {
			t.Errorf("%s: the report differs (- want, + got):\n%s", c.name, difference)
		}
		if got.IsEmpty() == c.reported {
			t.Errorf("%s: IsEmpty of the report is %v", c.name, got.IsEmpty())
		}
	}
}

// TestReportsListWorkersInAFixedOrder checks that a report contains changed workers in the order of the list and removed
// workers in the order of their IDs, independent of map order, so that two readers of the same list make equal reports.
func TestReportsListWorkersInAFixedOrder(t *testing.T) {
	tracker := &Tracker{}
	for range 20 {
		tracker.Reset()
		workers := map[string]*statemachine.Worker{"d": {}, "c": {}, "a": {}, "b": {}}
		reading := &Reading{Entries: []Entry{{ID: "z"}, {ID: "x"}, {ID: "y"}}}
		report := Report{}
		for range conclusiveAbsences {
			report = tracker.Observe(reading, workers)
		}
		if !slices.Equal(report.ChangedIDs(), []string{"z", "x", "y"}) || !slices.Equal(report.Removed, []string{"a", "b", "c", "d"}) {
			t.Fatalf("changed %v, removed %v", report.ChangedIDs(), report.Removed)
		}
	}
}

// TestWorkerIsReportedAsRemovedAfterThreeAbsencesInOneTerm checks the reports of a sequence of readings. Each word is a
// reading, each letter a worker, and "|" stands for the start of another term as reader.
func TestWorkerIsReportedAsRemovedAfterThreeAbsencesInOneTerm(t *testing.T) {
	for _, c := range []struct {
		name     string
		unlisted bool // w is unlisted in the state already
		readings string
		removed  []int // numbers of the readings, from 1, whose reports contain w as removed
	}{
		{"listed worker", false, "aw aw aw aw aw", nil},
		{"absent from two consecutive readings", false, "aw a a aw a a", nil},
		{"removed worker", false, "aw a a a", []int{4}},
		{"removed before the first reading", false, "a a a", []int{3}},
		{"removed worker, and a report is lost", false, "aw a a a a", []int{4, 5}},
		{"already unlisted in the state", true, "a a a a a", nil},
		{"term ends before the third absence", false, "aw a a | a a", nil},
		{"three absences in the next term", false, "aw a a | a a a", []int{6}},
		{"no workers are listed", false, "aw - - - -", []int{4, 5}},
	} {
		tracker, removed, reading := &Tracker{}, []int(nil), 0
		workers := map[string]*statemachine.Worker{"a": {Instance: statemachine.Instance{ID: "a"}},
			"w": {Instance: statemachine.Instance{ID: "w"}, Unlisted: c.unlisted}}
		for _, word := range strings.Fields(c.readings) {
			if word == "|" {
				tracker.Reset()
				continue
			}
			reading++
			report := tracker.Observe(readingOf(word), workers)
			if !slices.Contains(report.Removed, "w") {
				continue
			}
			removed = append(removed, reading)
			if report.IsEmpty() {
				t.Errorf("%s (%s): IsEmpty is true for the report of reading %d", c.name, c.readings, reading)
			}
		}
		if !slices.Equal(removed, c.removed) {
			t.Errorf("%s (%s): reported as removed by readings %v, want %v", c.name, c.readings, removed, c.removed)
		}
	}
}

// readingOf returns a reading with one worker per letter of word; "-" stands for none.
func readingOf(word string) *Reading {
	reading := &Reading{Pages: 1}
	for _, id := range strings.Trim(word, "-") {
		reading.Entries = append(reading.Entries, Entry{ID: string(id)})
	}
	return reading
}

// TestEveryFieldOfTheListReachesTheState checks that all fields of the state's Instance are set from the platform's JSON. It
// fails if a field is added to Instance and not set from the list.
func TestEveryFieldOfTheListReachesTheState(t *testing.T) {
	entry := Entry{}
	text := `{"Id":"w1","Service":"s","Address":"a:1","Zone":"z","State":"draining",
		"Capacity":{"Cpu":4000,"MemMb":8000,"Gpu":2},"Labels":["ssd","gpu"],"RemainingMs":5000}`
	if err := json.Unmarshal([]byte(text), &entry); err != nil {
		t.Fatal(err)
	}
	got := entry.Instance()
	want := statemachine.Instance{ID: "w1", Service: "s", Address: "a:1", Zone: "z", Labels: []string{"ssd", "gpu"},
		Capacity: job.Resources{CPU: 4000, MemoryMB: 8000, GPU: 2}, Draining: true, RemainingMs: 5000}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("the instance differs (- want, + got):\n%s", difference)
	}
	for fields, i := reflect.ValueOf(got), 0; i < fields.NumField(); i++ {
		if fields.Field(i).IsZero() {
			t.Errorf("the field %s is not set", fields.Type().Field(i).Name)
		}
	}
}

// TestOnlyDrainingWorkersHaveARemainingTime checks that the remaining time of a worker that is not draining, which has no
// meaning, is not passed to the state.
func TestOnlyDrainingWorkersHaveARemainingTime(t *testing.T) {
	for state, c := range map[string]struct {
		draining    bool
		remainingMs int64
	}{
		"ready":    {false, 0},
		"":         {false, 0},
		"starting": {false, 0},
		"draining": {true, 5000},
	} {
		entry := Entry{ID: "w", State: state, RemainingMs: 5000}
		if got := entry.Instance(); got.Draining != c.draining || got.RemainingMs != c.remainingMs {
			t.Errorf("state %q: draining %v, %d ms remain", state, got.Draining, got.RemainingMs)
		}
	}
}
