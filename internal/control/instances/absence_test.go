package instances

import (
	"fmt"
	"strings"
	"testing"
)

// removedAfterReadings passes readings of the list to the tracker, each as a word of one-letter worker IDs. It returns the
// number of the reading, from 1, after which the worker w counts as removed, or 0 if it never does.
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

func TestWorkerCountsAsRemovedAfterConsecutiveAbsences(t *testing.T) {
	for _, c := range []struct {
		name    string
		lists   string
		removed int
	}{
		{"listed worker", "abw abw abw abw abw", 0},
		{"removed worker", "abw ab ab ab", 4},
		{"removed worker while others join", "abw ab abc abcd", 4},
		{"worker listed again after two readings", "abw ab ab abw ab ab", 0},
		{"others are removed between the pages", "abcdw bcd cd d", 0},
		{"others are removed, then the list is stable", "abcdw bcd cd cd cd", 5},
		{"others are removed before each reading", "abcdefghijw bcdefghij cdefghij defghij efghij fghij ghij hij ij", 9},
	} {
		if after := removedAfterReadings(&absenceTracker{}, "abw", strings.Fields(c.lists)...); after != c.removed {
			t.Errorf("%s (%s): w counts as removed after reading %d, want %d", c.name, c.lists, after, c.removed)
		}
	}
}

// TestAbsencesOfAnEarlierTermDoNotCount checks that readings of an earlier term as reader don't count.
func TestAbsencesOfAnEarlierTermDoNotCount(t *testing.T) {
	a := &absenceTracker{}
	removedAfterReadings(a, "abw", "ab", "ab")
	a.reset()
	if after := removedAfterReadings(a, "abw", "ab", "ab"); after != 0 {
		t.Errorf("w counts as removed after reading %d of a new term, want never within two", after)
	}
	if after := removedAfterReadings(a, "abw", "ab"); after == 0 {
		t.Error("w does not count as removed after three readings of one term")
	}
}

// TestPagedReadingsRemoveNoListedWorker reads a list page by page while entries are removed from it, and checks that no
// worker that stays in the list counts as removed.
func TestPagedReadingsRemoveNoListedWorker(t *testing.T) {
	const page = 5
	for removals := range 3 { // number of entries of the first page that are removed after it was read
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
					list = list[removals:]
				}
			}
			remaining := map[string]bool{}
			for _, id := range list {
				remaining[id] = true
			}
			for _, id := range a.observe(listed, known) {
				if remaining[id] {
					t.Errorf("%d removals per reading: %s is still listed but counts as removed", removals, id)
				}
			}
		}
	}
}
