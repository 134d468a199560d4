package instances

import (
	"fmt"
	"strings"
	"testing"
)

// removedAfterReadings lets readings of the list be observed, each a word of the one-letter names that it has, and returns
// after which of them (from 1) the worker w counts as removed, or 0.
func removedAfterReadings(a *absenceTracker, known string, lists ...string) int {
	for i, list := range lists {
		listed := map[string]bool{}
		for _, id := range list {
			listed[string(id)] = true
		}
		for _, removed := range a.observe(listed, strings.Split(known, "")) {
			if removed == "w" {
				return i + 1
			}
		}
	}
	return 0
}

func TestWorkerCountsAsRemovedAfterItsAbsence(t *testing.T) {
	for _, c := range []struct {
		name    string
		lists   string
		removed int
	}{
		{"it is listed", "abw abw abw abw abw", 0},
		{"it has left", "abw ab ab ab", 4},
		{"it has left for good, and others come", "abw ab abc abcd", 4},
		{"it is back", "abw ab ab abw ab ab", 0},
		{"others leave while the pages are read", "abcdw bcd cd d", 0},
		{"others leave, then the list is steady", "abcdw bcd cd cd cd", 5},
		{"others leave each time", "abcdefghijw bcdefghij cdefghij defghij efghij fghij ghij hij ij", 9},
	} {
		if after := removedAfterReadings(&absenceTracker{}, "abw", strings.Fields(c.lists)...); after != c.removed {
			t.Errorf("%s (%s): removed after reading %d, want %d", c.name, c.lists, after, c.removed)
		}
	}
}

// TestAbsencesOfAnEarlierTermDoNotCount keeps that readings of a former term as reader do not count.
func TestAbsencesOfAnEarlierTermDoNotCount(t *testing.T) {
	a := &absenceTracker{}
	removedAfterReadings(a, "abw", "ab", "ab")
	a.reset()
	if after := removedAfterReadings(a, "abw", "ab", "ab"); after != 0 {
		t.Errorf("removed after reading %d of a new term", after)
	}
	if after := removedAfterReadings(a, "abw", "ab"); after == 0 {
		t.Error("not removed after three readings of one term")
	}
}

// TestPagedReadingsRemoveNoListedWorker reads a list in pages, one after the other, while entries leave it: no worker
// that stays on it counts as removed.
func TestPagedReadingsRemoveNoListedWorker(t *testing.T) {
	const page = 5
	for leaving := range 3 { // how many entries of the first page leave between two pages
		list := []string{}
		for i := range 60 {
			list = append(list, fmt.Sprint("w", i))
		}
		known := append([]string{}, list...)
		a := &absenceTracker{}
		for range 7 {
			listed := map[string]bool{}
			for from := 0; from < len(list); from += page {
				for _, id := range list[from:min(from+page, len(list))] {
					listed[id] = true
				}
				if from == 0 {
					list = list[leaving:]
				}
			}
			stays := map[string]bool{}
			for _, id := range list {
				stays[id] = true
			}
			for _, id := range a.observe(listed, known) {
				if stays[id] {
					t.Errorf("%d leave at a time: %s is listed and counts as removed", leaving, id)
				}
			}
		}
	}
}
