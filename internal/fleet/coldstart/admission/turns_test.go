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
		s := Settings{CallsPerSecond: 2 + rnd.IntN(40), TokenWindow: time.Duration(10+rnd.IntN(300)) * time.Millisecond}
		b := NewIssuer(s, 0, 0)
		type holder struct {
			Holder
			asked, heard time.Duration
			answer       Token
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
				case h.answer.Number != 0 && own >= h.heard:
					if rnd.IntN(5) > 0 { // else it is lost
						h.Accept(h.asked, own, h.answer)
					}
					if rnd.IntN(3) > 0 { // else it comes again
						h.answer = Token{}
					}
				default:
					if ok, wait := h.MayCall(own); ok {
						calls = append(calls, now)
					} else if wait < 0 && h.answer.Number == 0 {
						at := time.Duration(rnd.IntN(int(s.TokenWindow * 3 / 2))) // the way there takes its part
						h.asked, h.heard = own, own+at
						h.answer = b.Issue(now+at/3, string(rune('a'+i)), h.UsedToken())
					}
				}
			}
		}
		sum += len(calls)
		for i, at := range calls {
			n, _ := slices.BinarySearch(calls[i:], at+time.Second)
			if n > s.CallsPerSecond || n > s.MaxCalls(time.Second) {
				t.Fatalf("seed %d: %d calls in the second from %v; %d are stated, %d are the bound", seed, n, at, s.CallsPerSecond, s.MaxCalls(time.Second))
			}
		}
	}
	if sum < 200*20 {
		t.Errorf("%d calls in all: hardly a turn is used", sum)
	}
}

// Asking again is asking once, until the turn is used or over.
func TestAskingAgainGivesTheSameTurn(t *testing.T) {
	b := NewIssuer(Settings{CallsPerSecond: 5, TokenWindow: 100 * time.Millisecond}, 0, 0)
	first := b.Issue(0, "a", 0)
	if again := b.Issue(50*time.Millisecond, "a", 0); again.Number != first.Number || again.Delay != first.Delay-50*time.Millisecond {
		t.Errorf("asked again: %+v after %+v", again, first)
	}
	if next := b.Issue(60*time.Millisecond, "a", first.Number); next.Number == first.Number || next.Delay < b.TokenSpacing() {
		t.Errorf("used, and asked again: %+v", next)
	}
	if err := (Settings{CallsPerSecond: 1, TokenWindow: time.Second}).Validate(); err == nil {
		t.Error("one call a second can't be kept to, and is taken")
	}
}
