package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Dispatchers lose the coordinators at random moments and all call the list service by their slots, however late, lost or
// old the answers were by which they know them. No second has more calls than are stated.
func TestNoSecondHasMoreCallsThanStatedWithoutCoordinators(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 17))
		settings := Settings{CallsPerSecond: 2 + random.IntN(20), TokenWindow: time.Duration(10+random.IntN(90)) * time.Millisecond}
		dispatchers := 1 + random.IntN(60)
		holders := make([]SlotHolder, dispatchers)
		for i := range holders {
			for range 3 {
				requested := time.Duration(random.Int64N(int64(10 * time.Second)))
				way := time.Duration(random.Int64N(int64(settings.TokenWindow)))
				slot := settings.SlotOf(requested+way, i, dispatchers)
				holders[i].Accept(requested, requested+2*way, slot)
			}
		}
		var calls []time.Duration
		for now := 10 * time.Second; now < 40*time.Second; now += 10 * time.Millisecond {
			for i := range holders {
				if random.IntN(3) > 0 {
					continue // it pauses
				}
				if ok, _ := holders[i].MayCall(now); ok {
					calls = append(calls, now)
				}
			}
		}
		for i, at := range calls {
			if n, _ := slices.BinarySearch(calls[i:], at+time.Second); n > settings.CallsPerSecond {
				t.Fatalf("seed %d: %d calls in the second from %v by %d dispatchers; %d are stated", seed, n, at, dispatchers, settings.CallsPerSecond)
			}
		}
		if fair := int(30*time.Second/settings.SlotLength()) * 8 / 10; len(calls) < fair {
			t.Errorf("seed %d: %d calls in 30 s, want %d at the least", seed, len(calls), fair)
		}
	}
}

func TestSlotIsUsedOnce(t *testing.T) {
	settings := Settings{CallsPerSecond: 5, TokenWindow: 100 * time.Millisecond}
	length := settings.SlotLength()
	h := SlotHolder{}
	if h.Known() {
		t.Error("the zero value has a slot")
	}
	h.Accept(0, 0, Slot{}) // of an earlier version of the coordinators
	if h.Known() {
		t.Error("a slot of no length is taken up")
	}
	h.Accept(0, 0, settings.SlotOf(0, 2, 4)) // it opens at 2 lengths, and each 4
	for _, c := range []struct {
		at   time.Duration // in hundredths of a slot's length
		ok   bool
		wait time.Duration
	}{
		{0, false, 200}, {199, false, 1}, {210, true, 0}, {220, false, 380}, {299, false, 301}, {350, false, 250},
		{650, true, 0}, {650, false, 350}, {1400, true, 0},
	} {
		ok, wait := h.MayCall(c.at * length / 100)
		if ok != c.ok || wait != c.wait*length/100 {
			t.Errorf("at %d%%: %v, wait %v; want %v, %v", c.at, ok, wait, c.ok, c.wait*length/100)
		}
	}
	h.Accept(15*length, 17*length, settings.SlotOf(15*length, 3, 4))
	if ok, _ := h.MayCall(18*length + length/2); !ok {
		t.Error("an answer that took longer than a slot replaces the slot that is known")
	}
}

func TestSlotsLieOneAfterTheOther(t *testing.T) {
	settings := Settings{CallsPerSecond: 5, TokenWindow: 100 * time.Millisecond}
	length := settings.SlotLength()
	now := 12345 * time.Millisecond
	var openings []time.Duration
	for i := range 7 {
		s := settings.SlotOf(now, i, 7)
		if s.Length != length || s.Period != 7*length {
			t.Errorf("%+v", s)
		}
		openings = append(openings, s.Delay)
	}
	slices.Sort(openings)
	for i := 1; i < len(openings); i++ {
		if openings[i]-openings[i-1] != length {
			t.Errorf("openings %s", fmt.Sprint(openings))
		}
	}
}
