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

// readyEntry returns what the list says of the worker w, with what change makes of it.
func readyEntry(change func(*Entry)) Entry {
	entry := Entry{ID: "w", Service: "s", Address: "a:1", Zone: "z", State: "ready",
		Capacity: job.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"ssd"}}
	change(&entry)
	return entry
}

// knownWorker returns the worker w as the state has it after a report of readyEntry, with what change makes of it.
func knownWorker(change func(*statemachine.Worker)) *statemachine.Worker {
	entry := readyEntry(func(*Entry) {})
	worker := &statemachine.Worker{Instance: entry.Instance(), Owner: 7, Token: 3}
	change(worker)
	return worker
}

func TestWorkerIsReportedAsChangedWhereTheStateLacksWhatTheListSays(t *testing.T) {
	asListed := func(*Entry) {}
	asKnown := func(*statemachine.Worker) {}
	drains := func(remainingMs int64) func(*Entry) {
		return func(e *Entry) { e.State, e.RemainingMs = "draining", remainingMs }
	}
	knownToDrain := func(w *statemachine.Worker) { w.Draining, w.RemainingMs = true, 9000 }
	unlisted := func(w *statemachine.Worker) { w.Unlisted = true }
	for _, c := range []struct {
		name     string
		known    *statemachine.Worker // nil: the state does not know it
		listed   Entry
		reported bool
	}{
		{"a new worker", nil, readyEntry(asListed), true},
		{"a new worker that drains already", nil, readyEntry(drains(5000)), true},
		{"a worker that is listed as it is known", knownWorker(asKnown), readyEntry(asListed), false},
		{"a worker of another service", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Service = "t" }), true},
		{"a worker at another address", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Address = "b:1" }), true},
		{"a worker in another zone", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Zone = "y" }), true},
		{"a worker with more memory", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Capacity.MemoryMB++ }), true},
		{"a worker with another label", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Labels = []string{"ssd", "gpu"} }), true},
		{"a worker that has lost its labels", knownWorker(asKnown), readyEntry(func(e *Entry) { e.Labels = nil }), true},
		{"a worker that starts to drain", knownWorker(asKnown), readyEntry(drains(5000)), true},
		{"a worker that drains, with less time", knownWorker(knownToDrain), readyEntry(drains(5000)), false},
		{"a worker that drains and is ready by an older page", knownWorker(knownToDrain), readyEntry(asListed), false},
		{"a worker that was unlisted and is back", knownWorker(unlisted), readyEntry(asListed), true},
		{"a worker that has ended and is listed still", knownWorker(func(w *statemachine.Worker) { w.Ended = true }),
			readyEntry(asListed), false},
		{"no labels in the state, empty ones on the list", knownWorker(func(w *statemachine.Worker) { w.Labels = nil }),
			readyEntry(func(e *Entry) { e.Labels = []string{} }), false},
		{"empty labels in the state, none on the list", knownWorker(func(w *statemachine.Worker) { w.Labels = []string{} }),
			readyEntry(func(e *Entry) { e.Labels = nil }), false},
		{"another state than the two that are known", knownWorker(asKnown), readyEntry(func(e *Entry) { e.State = "starting" }), false},
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
			t.Errorf("%s: the report differs (- wanted, + got):\n%s", c.name, difference)
		}
		if got.IsEmpty() == c.reported {
			t.Errorf("%s: the report counts as empty: %v", c.name, got.IsEmpty())
		}
	}
}

// A report names what is new in the order of the list, and what has gone in the order of the IDs, whatever the order of
// the state: two readers that read the same report the same.
func TestReportsNameWorkersInAFixedOrder(t *testing.T) {
	tracker := &Tracker{}
	for range 20 {
		tracker.Reset()
		workers := map[string]*statemachine.Worker{"d": {}, "c": {}, "a": {}, "b": {}}
		reading := &Reading{Entries: []Entry{{ID: "z"}, {ID: "x"}, {ID: "y"}}}
		report := Report{}
		for range removedAfter {
			report = tracker.Observe(reading, workers)
		}
		if !slices.Equal(report.ChangedIDs(), []string{"z", "x", "y"}) || !slices.Equal(report.Removed, []string{"a", "b", "c", "d"}) {
			t.Fatalf("changed %v, removed %v", report.ChangedIDs(), report.Removed)
		}
	}
}

// In the lists each word is a reading, a letter a worker; "|" is the begin of another term as reader.
func TestWorkerIsReportedAsRemovedOnceThreeReadingsOfOneTermLackIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		unlisted bool // the state knows already that w is not listed
		readings string
		removed  []int // the readings, from 1, whose reports name w as removed
	}{
		{"it is listed", false, "aw aw aw aw aw", nil},
		{"it is lacking twice", false, "aw a a aw a a", nil},
		{"it has gone", false, "aw a a a", []int{4}},
		{"it has gone before the first reading", false, "a a a", []int{3}},
		{"it has gone, and a report is lost", false, "aw a a a a", []int{4, 5}},
		{"the state knows that it has gone", true, "a a a a a", nil},
		{"the term ends before the third reading", false, "aw a a | a a", nil},
		{"the term ends, and the next one has three readings", false, "aw a a | a a a", []int{6}},
		{"no worker is listed any more", false, "aw - - - -", []int{4, 5}},
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
				t.Errorf("%s (%s): the report of reading %d counts as empty", c.name, c.readings, reading)
			}
		}
		if !slices.Equal(removed, c.removed) {
			t.Errorf("%s (%s): reported as removed by readings %v, want %v", c.name, c.readings, removed, c.removed)
		}
	}
}

// readingOf returns a reading that names workers by one letter each; "-" names none.
func readingOf(word string) *Reading {
	reading := &Reading{Pages: 1}
	for _, id := range strings.Trim(word, "-") {
		reading.Entries = append(reading.Entries, Entry{ID: string(id)})
	}
	return reading
}

// The platform's JSON reaches the state with every field. A field that is added to the state's Instance and not filled by
// the list fails here.
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
		t.Errorf("the state gets (- wanted, + got):\n%s", difference)
	}
	for fields, i := reflect.ValueOf(got), 0; i < fields.NumField(); i++ {
		if fields.Field(i).IsZero() {
			t.Errorf("the field %s stays empty", fields.Type().Field(i).Name)
		}
	}
}

// The remaining time of a worker that does not drain means nothing, and does not reach the state.
func TestOnlyWorkersThatDrainHaveARemainingTime(t *testing.T) {
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
