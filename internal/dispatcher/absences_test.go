package dispatcher

import (
	"fmt"
	"strings"
	"testing"
)

// readings plays readings of the list, each a word of the one-letter names that it has, and returns after which of
// them (from 1) the worker w counts as gone, or 0.
func readings(a *absences, known string, lists ...string) int {
	for i, list := range lists {
		listed := map[string]bool{}
		for _, id := range list {
			listed[string(id)] = true
		}
		for _, gone := range a.read(listed, strings.Split(known, "")) {
			if gone == "w" {
				return i + 1
			}
		}
	}
	return 0
}

func TestAbsences(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists string
		gone  int
	}{
		{"it is listed", "abw abw abw abw abw", 0},
		{"it has left", "abw ab ab ab", 4},
		{"it has left for good, and others come", "abw ab abc abcd", 4},
		{"it is back", "abw ab ab abw ab ab", 0},
		{"others leave while the pages are read", "abcdw bcd cd d", 0},
		{"others leave, then the list is steady", "abcdw bcd cd cd cd", 5},
		{"others leave each time", "abcdefghijw bcdefghij cdefghij defghij efghij fghij ghij hij ij", 9},
	} {
		if gone := readings(&absences{}, "abw", strings.Fields(c.lists)...); gone != c.gone {
			t.Errorf("%s (%s): gone after reading %d, want %d", c.name, c.lists, gone, c.gone)
		}
	}
}

// TestAbsencesOfAnEarlierTerm keeps that what a dispatcher read when it was the reader before counts no more.
func TestAbsencesOfAnEarlierTerm(t *testing.T) {
	a := &absences{}
	readings(a, "abw", "ab", "ab")
	a.begin()
	if gone := readings(a, "abw", "ab", "ab"); gone != 0 {
		t.Errorf("gone after reading %d of a new term", gone)
	}
	if gone := readings(a, "abw", "ab"); gone == 0 {
		t.Error("not gone after three readings of one term")
	}
}

// TestPagedReadingsShowNoLivingWorkerGone plays a list in pages that are read one after the other while entries leave
// it: no worker that stays on it counts as gone.
func TestPagedReadingsShowNoLivingWorkerGone(t *testing.T) {
	const page = 5
	for leaving := range 3 { // how many entries of the first page leave between two pages
		list := []string{}
		for i := range 60 {
			list = append(list, fmt.Sprint("w", i))
		}
		known := append([]string{}, list...)
		a := &absences{}
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
			for _, id := range a.read(listed, known) {
				if stays[id] {
					t.Errorf("%d leave at a time: %s is listed and counts as gone", leaving, id)
				}
			}
		}
	}
}
