package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"yardflow/internal/testing/emulator"
)

func TestBatchesHoldEachSeedOnce(t *testing.T) {
	next := uint64(7)
	for _, b := range batches(7, 2*batchSize+3) {
		if b.first != next || b.count < 1 || b.count > batchSize {
			t.Errorf("batch %+v, want the first seed %d", b, next)
		}
		next += uint64(b.count)
	}
	if next != 7+2*batchSize+3 {
		t.Errorf("the batches end before seed %d", next)
	}
}

// What is broken is printed the moment it is found, with its seed and time line; it makes the proof fail, as does a
// schedule that did not end, and an interrupt.
func TestBrokenSchedulesArePrintedAtOnce(t *testing.T) {
	good := emulator.ScheduleReport{Seed: 1, Accepted: 3, Completed: 3, Configurations: 1}
	bad := good
	bad.Seed, bad.Broken = 2, []string{"TWICE run 7"}
	bad.Disruptions = []emulator.DisruptionRecord{{Name: "core frozen", Began: 1500 * time.Millisecond, Ended: 3 * time.Second}}
	read, ok := emulator.ParseScheduleReport(bad.Line())
	if !ok {
		t.Fatal("a report's line is not read back")
	}
	for _, c := range []struct {
		name        string
		results     []batchResult
		interrupted bool
		sound       bool
		prints      []string
	}{
		{"all sound", []batchResult{{report: &good}, {report: &good}}, false, true, []string{"2 of 2 schedules played"}},
		{"one broken", []batchResult{{report: &good}, {report: &read}}, false, false, []string{"seed 2", "TWICE run 7", "1.50 to   3.00 s  core frozen"}},
		{"one did not end", []batchResult{{report: &good}, {batch: batch{1, 2}, missing: 1, output: "panic: x"}}, false, false, []string{"seeds 1 to 2: 1 schedules did not end", "panic: x"}},
		{"interrupted", []batchResult{{report: &good}}, true, false, []string{"1 of 2 schedules played", "interrupted"}},
	} {
		s, out := newSummary(2), &strings.Builder{}
		for i := range c.results {
			s.add(out, &c.results[i])
		}
		if sound := s.finish(out, time.Second, c.interrupted); sound != c.sound {
			t.Errorf("%s: sound %v", c.name, sound)
		}
		for _, text := range c.prints {
			if !strings.Contains(out.String(), text) {
				t.Errorf("%s: %q is not printed in:\n%s", c.name, text, out)
			}
		}
	}
}

// A batch that stands still leaves more than its last lines: the goroutines are what is looked for.
func TestLongOutputIsKeptInAFile(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	if got := shorten([]byte("short"), batch{}); got != "short" {
		t.Errorf("short output became %q", got)
	}
	text := strings.Repeat("goroutine 1\n", keptOutput)
	got := shorten([]byte(text), batch{first: 7})
	last, file, found := strings.Cut(got, "\nall of its output is in ")
	if kept, err := os.ReadFile(file); !found || err != nil || string(kept) != text || last != text[len(text)-keptOutput:] {
		t.Errorf("%d bytes shown, %v", len(last), err)
	}
}
