package relay

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// One reader after another publishes complete lists and changes; dispatchers take what is new whenever they ask. Each that
// is at the latest watermark has the reader's list, however far behind it was.
func TestDispatchersAtTheWatermarkHaveTheList(t *testing.T) {
	for seed := range uint64(300) {
		z := newZone(seed)
		for step := range 400 {
			if z.rnd.IntN(20) == 0 {
				z.list.Vacate(false)
				z.list.Appoint(fmt.Sprint("r", step))
				z.complete = true
			}
			if err := z.publish(); err != nil {
				t.Fatal(err)
			}
			if z.complete = z.rnd.IntN(10) == 0; z.complete {
				continue // the next publication is a complete list
			}
			for i := range z.dispatchers {
				if z.rnd.IntN(1+i*20) > 0 {
					continue
				}
				if d := &z.dispatchers[i]; d.update(&z.list) && !maps.Equal(d.entries, z.truth) {
					t.Fatalf("seed %d, step %d: dispatcher %d has %v, the list is %v", seed, step, i, d.entries, z.truth)
				}
			}
		}
	}
}

// zone is one zone's list, and the dispatchers that have it.
type zone struct {
	rnd         *rand.Rand
	list        List
	truth       map[string]Entry // the list service's list, by ID
	generation  uint64
	complete    bool // the next publication has to be a complete list
	dispatchers [8]dispatcher
}

func newZone(seed uint64) *zone {
	z := &zone{rnd: rand.New(rand.NewPCG(seed, 11)), truth: map[string]Entry{}, generation: 1, complete: true}
	for i := range z.dispatchers {
		z.dispatchers[i].entries = map[string]Entry{}
	}
	z.list.Appoint("r0")
	return z
}

// publish changes the truth, and has the reader publish the changes or the complete list.
func (z *zone) publish() error {
	var published []Entry
	for range z.rnd.IntN(4) {
		e := Entry{ID: fmt.Sprint("s-", z.rnd.IntN(30)), Addr: "a", State: uint8(z.rnd.IntN(2)), Removed: z.rnd.IntN(4) == 0}
		published = slices.DeleteFunc(published, func(earlier Entry) bool { return earlier.ID == e.ID })
		if published = append(published, e); e.Removed {
			delete(z.truth, e.ID)
		} else {
			z.truth[e.ID] = e
		}
	}
	if z.complete {
		published = slices.Collect(maps.Values(z.truth))
	}
	z.generation++
	return z.list.Publish(z.list.Reader, z.list.FencingToken, Publication{Generation: z.generation, Complete: z.complete, Entries: published})
}

// dispatcher has the list up to a watermark.
type dispatcher struct {
	entries   map[string]Entry // by ID
	watermark Watermark
}

// update takes what is new of the list, and reports whether there was anything.
func (d *dispatcher) update(list *List) bool {
	u := list.UpdateSince(d.watermark)
	if u == nil {
		return false
	}
	if u.Complete {
		clear(d.entries)
	}
	for _, e := range u.Entries {
		if e.Removed {
			delete(d.entries, e.ID)
		} else {
			d.entries[e.ID] = e
		}
	}
	d.watermark.Seq = u.Seq
	return true
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

// Of several entries of one worker in one publication the last counts, whether it removes the worker or brings it back.
func TestLastEntryOfAWorkerCounts(t *testing.T) {
	present, removed := Entry{ID: "s-1", Addr: "a"}, Entry{ID: "s-1", Removed: true}
	for name, c := range map[string]struct {
		entries []Entry
		want    int // entries in the list
	}{
		"removed, then present": {[]Entry{removed, present}, 1},
		"present, then removed": {[]Entry{present, removed}, 0},
		"present twice":         {[]Entry{present, present}, 1},
	} {
		for _, complete := range []bool{true, false} {
			list := &List{}
			list.Appoint("r")
			for _, p := range []Publication{{Generation: 1, Complete: true, Entries: []Entry{present}}, {Generation: 2, Complete: complete, Entries: c.entries}} {
				if err := list.Publish("r", list.FencingToken, p); err != nil {
					t.Fatal(err)
				}
			}
			if len(list.Entries) != c.want {
				t.Errorf("%s, complete %v: the list has %v", name, complete, list.Entries)
			}
			d := dispatcher{entries: map[string]Entry{"s-1": present}, watermark: Watermark{Seq: 1}}
			if d.update(list); len(d.entries) != c.want {
				t.Errorf("%s, complete %v: a dispatcher has %v", name, complete, d.entries)
			}
		}
	}
}
