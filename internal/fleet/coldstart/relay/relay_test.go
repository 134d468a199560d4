package relay

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// One reader after another publishes whole lists and changes; holders take what is new whenever
// they come. Each that has the latest mark has just the reader's list, however far behind it was.
func TestWhoHasTheMarkHasTheList(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		var l List
		truth := map[string]Entry{}
		mine := make([]map[string]Entry, 8)
		marks := make([]Watermark, len(mine))
		for i := range mine {
			mine[i] = map[string]Entry{}
		}
		generation, whole := uint64(1), true
		l.Appoint("r0")
		for step := range 400 {
			if rnd.IntN(20) == 0 {
				l.Vacate(false)
				l.Appoint(fmt.Sprint("r", step))
				whole = true
			}
			var told []Entry
			for range rnd.IntN(4) {
				e := Entry{ID: fmt.Sprint("s-", rnd.IntN(30)), Addr: "a", State: uint8(rnd.IntN(2)), Removed: rnd.IntN(4) == 0}
				if told = append(told, e); e.Removed {
					delete(truth, e.ID)
				} else {
					truth[e.ID] = e
				}
			}
			seen := map[string]bool{}
			for i := len(told) - 1; i >= 0; i-- { // each once, by its last word
				if seen[told[i].ID] {
					told = append(told[:i], told[i+1:]...)
				} else {
					seen[told[i].ID] = true
				}
			}
			if whole {
				told = nil
				for _, e := range truth {
					told = append(told, e)
				}
			}
			generation++
			if err := l.Publish(l.Reader, l.FencingToken, Publication{Generation: generation, Complete: whole, Entries: told}); err != nil {
				t.Fatal(err)
			}
			whole = rnd.IntN(10) == 0
			if whole {
				continue // the next is
			}
			for i := range mine {
				if rnd.IntN(1+i*20) > 0 {
					continue
				}
				u := l.UpdateSince(marks[i])
				if u == nil {
					continue
				}
				if u.Complete {
					clear(mine[i])
				}
				for _, e := range u.Entries {
					if e.Removed {
						delete(mine[i], e.ID)
					} else {
						mine[i][e.ID] = e
					}
				}
				if marks[i].Seq = u.Seq; !maps.Equal(mine[i], truth) {
					t.Fatalf("seed %d, step %d: holder %d has %v, the list is %v", seed, step, i, mine[i], truth)
				}
			}
		}
	}
}

// A reader that lost its seat, and one that read an older list, are refused, each saying why.
func TestNothingOldIsHandedOut(t *testing.T) {
	var l List
	l.Appoint("a")
	if err := l.Publish("a", 1, Publication{Generation: 10, Complete: true, Entries: []Entry{{ID: "s1"}, {ID: "s2"}}}); err != nil {
		t.Fatal(err)
	}
	l.Vacate(false)
	l.Appoint("b")
	var fence *FenceError
	if err := l.Publish("a", 1, Publication{Generation: 11, Complete: true, Entries: nil}); !errors.As(err, &fence) || fence.Advice() == "" || len(l.Entries) != 2 {
		t.Errorf("the one that was replaced: %v", err)
	}
	var older *OutdatedListError
	if err := l.Publish("b", 2, Publication{Generation: 9, Complete: true, Entries: []Entry{{ID: "s9"}}}); !errors.As(err, &older) || older.Advice() == "" || len(l.Entries) != 2 {
		t.Errorf("an old list: %v", err)
	}
	if err := l.Publish("b", 2, Publication{Generation: 12, Complete: true, Entries: []Entry{{ID: "s2", State: 1}}}); err != nil || len(l.Entries) != 1 || l.Seq != 2 {
		t.Errorf("%v, %+v", err, l)
	}
}
