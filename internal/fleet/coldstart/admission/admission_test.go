package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Many dispatchers request at once; answers are late, lost and doubled; dispatchers pause, are killed and request again.
// No second has more calls than the list service is stated to take.
func TestNoSecondHasMoreCallsThanStated(t *testing.T) {
	total := 0
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		settings := Settings{CallsPerSecond: 2 + rnd.IntN(40), TokenWindow: time.Duration(10+rnd.IntN(300)) * time.Millisecond}
		issuer := NewIssuer(settings, 0, 0)
		type dispatcher struct {
			Holder
			requestedAt, answeredAt time.Duration
			answer                  Token
			skew                    float64
		}
		all := make([]*dispatcher, 60)
		for i := range all {
			all[i] = &dispatcher{skew: 1 + 0.02*(rnd.Float64()-0.5)}
		}
		var calls []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
			for i, d := range all {
				if rnd.IntN(8) > 0 {
					continue // it pauses
				}
				own := time.Duration(float64(now)*d.skew) + time.Duration(i)*time.Hour
				switch {
				case rnd.IntN(400) == 0:
					all[i] = &dispatcher{skew: d.skew} // killed, and started again
				case d.answer.Number != 0 && own >= d.answeredAt:
					if rnd.IntN(5) > 0 { // else it is lost
						d.Accept(d.requestedAt, own, d.answer)
					}
					if rnd.IntN(3) > 0 { // else it arrives again
						d.answer = Token{}
					}
				default:
					if ok, wait := d.MayCall(own); ok {
						calls = append(calls, now)
					} else if wait < 0 && d.answer.Number == 0 {
						trip := time.Duration(rnd.IntN(int(settings.TokenWindow * 3 / 2))) // the request takes a third of it
						d.requestedAt, d.answeredAt = own, own+trip
						d.answer = issuer.Issue(now+trip/3, string(rune('a'+i)), d.UsedToken())
					}
				}
			}
		}
		total += len(calls)
		for i, at := range calls {
			n, _ := slices.BinarySearch(calls[i:], at+time.Second)
			if n > settings.CallsPerSecond || n > settings.MaxCalls(time.Second) {
				t.Fatalf("seed %d: %d calls in the second from %v; %d are stated, %d are the bound", seed, n, at, settings.CallsPerSecond, settings.MaxCalls(time.Second))
			}
		}
	}
	if total < 200*20 {
		t.Errorf("%d calls in all: hardly a token is used", total)
	}
}

// Requesting again gives the same token until that is used or has closed.
func TestRequestingAgainGivesTheSameToken(t *testing.T) {
	issuer := NewIssuer(Settings{CallsPerSecond: 5, TokenWindow: 100 * time.Millisecond}, 0, 0)
	first := issuer.Issue(0, "a", 0)
	if again := issuer.Issue(50*time.Millisecond, "a", 0); again.Number != first.Number || again.Delay != first.Delay-50*time.Millisecond {
		t.Errorf("requested again: %+v after %+v", again, first)
	}
	if next := issuer.Issue(60*time.Millisecond, "a", first.Number); next.Number == first.Number || next.Delay < issuer.TokenSpacing() {
		t.Errorf("used, and requested again: %+v", next)
	}
	if err := (Settings{CallsPerSecond: 1, TokenWindow: time.Second}).Validate(); err == nil {
		t.Error("one call a second can't be kept to, and is accepted")
	}
}
