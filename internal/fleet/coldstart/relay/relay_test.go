package relay

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// One reader after another publishes complete lists and changes; dispatchers take what is new whenever they ask. Each that
// is at the latest watermark has the reader's list, however far behind it was.
func TestDispatchersAtTheWatermarkHaveTheList(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		var list List
		truth := map[string]Entry{}
		lists := make([]map[string]Entry, 8)
		watermarks := make([]Watermark, len(lists))
		for i := range lists {
			lists[i] = map[string]Entry{}
		}
		generation, complete := uint64(1), true
		list.Appoint("r0")
		for step := range 400 {
			if rnd.IntN(20) == 0 {
				list.Vacate(false)
				list.Appoint(fmt.Sprint("r", step))
				complete = true
			}
			var published []Entry
			for range rnd.IntN(4) {
				e := Entry{ID: fmt.Sprint("s-", rnd.IntN(30)), Addr: "a", State: uint8(rnd.IntN(2)), Removed: rnd.IntN(4) == 0}
				if published = append(published, e); e.Removed {
					delete(truth, e.ID)
				} else {
					truth[e.ID] = e
				}
			}
			seen := map[string]bool{}
			for i := len(published) - 1; i >= 0; i-- { // each once, as it came last
				if seen[published[i].ID] {
					published = append(published[:i], published[i+1:]...)
				} else {
					seen[published[i].ID] = true
				}
			}
			if complete {
				published = nil
				for _, e := range truth {
					published = append(published, e)
				}
			}
			generation++
			if err := list.Publish(list.Reader, list.FencingToken, Publication{Generation: generation, Complete: complete, Entries: published}); err != nil {
				t.Fatal(err)
			}
			complete = rnd.IntN(10) == 0
			if complete {
				continue // the next is
			}
			for i := range lists {
				if rnd.IntN(1+i*20) > 0 {
					continue
				}
				u := list.UpdateSince(watermarks[i])
				if u == nil {
					continue
				}
				if u.Complete {
					clear(lists[i])
				}
				for _, e := range u.Entries {
					if e.Removed {
						delete(lists[i], e.ID)
					} else {
						lists[i][e.ID] = e
					}
				}
				if watermarks[i].Seq = u.Seq; !maps.Equal(lists[i], truth) {
					t.Fatalf("seed %d, step %d: dispatcher %d has %v, the list is %v", seed, step, i, lists[i], truth)
				}
			}
		}
	}
}

// A reader that was replaced, and one with an older list, are rejected, each with its error.
func TestOutdatedPublicationsAreRejected(t *testing.T) {
	var list List
	list.Appoint("a")
	if err := list.Publish("a", 1, Publication{Generation: 10, Complete: true, Entries: []Entry{{ID: "s1"}, {ID: "s2"}}}); err != nil {
		t.Fatal(err)
	}
	list.Vacate(false)
	list.Appoint("b")
	var fence *FenceError
	if err := list.Publish("a", 1, Publication{Generation: 11, Complete: true, Entries: nil}); !errors.As(err, &fence) || fence.Advice() == "" || len(list.Entries) != 2 {
		t.Errorf("the one that was replaced: %v", err)
	}
	var outdated *OutdatedListError
	if err := list.Publish("b", 2, Publication{Generation: 9, Complete: true, Entries: []Entry{{ID: "s9"}}}); !errors.As(err, &outdated) || outdated.Advice() == "" || len(list.Entries) != 2 {
		t.Errorf("an old list: %v", err)
	}
	if err := list.Publish("b", 2, Publication{Generation: 12, Complete: true, Entries: []Entry{{ID: "s2", State: 1}}}); err != nil || len(list.Entries) != 1 || list.Seq != 2 {
		t.Errorf("%v, %+v", err, list)
	}
}
