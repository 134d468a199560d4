package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Hundreds ask at once; answers are late, lost and doubled, holders stand still between their
// look and whatever comes after, are killed and ask again. No second has more calls than are stated.
func TestNoSecondHasMoreCallsThanStated(t *testing.T) {
	sum := 0
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		s := Settings{Calls: 2 + rnd.IntN(40), Use: time.Duration(10+rnd.IntN(300)) * time.Millisecond}
		b := New(s, 0, 0)
		type holder struct {
			Mine
			asked, heard time.Duration
			answer       Turn
			skew         float64
		}
		all := make([]*holder, 60)
		for i := range all {
			all[i] = &holder{skew: 1 + 0.02*(rnd.Float64()-0.5)}
		}
		var calls []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
			for i, h := range all {
				if rnd.IntN(8) > 0 {
					continue // it stands still
				}
				own := time.Duration(float64(now)*h.skew) + time.Duration(i)*time.Hour
				switch {
				case rnd.IntN(400) == 0:
					all[i] = &holder{skew: h.skew} // killed, and started again
				case h.answer.No != 0 && own >= h.heard:
					if rnd.IntN(5) > 0 { // else it is lost
						h.Take(h.asked, own, h.answer)
					}
					if rnd.IntN(3) > 0 { // else it comes again
						h.answer = Turn{}
					}
				default:
					if ok, wait := h.May(own); ok {
						calls = append(calls, now)
					} else if wait < 0 && h.answer.No == 0 {
						at := time.Duration(rnd.IntN(int(s.Use * 3 / 2))) // the way there takes its part
						h.asked, h.heard = own, own+at
						h.answer = b.Ask(now+at/3, string(rune('a'+i)), h.Used())
					}
				}
			}
		}
		sum += len(calls)
		for i, at := range calls {
			n, _ := slices.BinarySearch(calls[i:], at+time.Second)
			if n > s.Calls || n > s.Bound(time.Second) {
				t.Fatalf("seed %d: %d calls in the second from %v; %d are stated, %d are the bound", seed, n, at, s.Calls, s.Bound(time.Second))
			}
		}
	}
	if sum < 200*20 {
		t.Errorf("%d calls in all: hardly a turn is used", sum)
	}
}

// Asking again is asking once, until the turn is used or over.
func TestAskingAgainGivesTheSameTurn(t *testing.T) {
	b := New(Settings{Calls: 5, Use: 100 * time.Millisecond}, 0, 0)
	first := b.Ask(0, "a", 0)
	if again := b.Ask(50*time.Millisecond, "a", 0); again.No != first.No || again.In != first.In-50*time.Millisecond {
		t.Errorf("asked again: %+v after %+v", again, first)
	}
	if next := b.Ask(60*time.Millisecond, "a", first.No); next.No == first.No || next.In < b.Step() {
		t.Errorf("used, and asked again: %+v", next)
	}
	if err := (Settings{Calls: 1, Use: time.Second}).Check(); err == nil {
		t.Error("one call a second can't be kept to, and is taken")
	}
}
