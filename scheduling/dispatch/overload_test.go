package dispatch

import (
	"testing"
	"time"
)

// When jobs wait longer than their slack at all workers, part of them are rejected at once: the more, the
// longer the waits are, and none while waits are short.
func TestLoadIsShedWhenWaitsExceedSlack(t *testing.T) {
	for _, c := range []struct {
		wait        time.Duration
		least, most int // rejected, of 60
	}{{50 * ms, 0, 0}, {1500 * ms, 10, 50}, {6 * time.Second, 45, 60}} {
		s := testSettings()
		s.Fleet.Count, s.Classes[0].LateValueShare, s.Attempts.MaxRetryAfter = 40, 0, time.Second
		d, out := mustNew(t, s, 5), &recorder{}
		d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}, out)
		rejected, now := 0, time.Duration(0)
		for id := RequestID(1); id <= 120; id++ {
			d.Arrive(now, Request{ID: id, TimeLeft: 8 * time.Second, Slots: 1}, out)
			for _, a := range out.take() {
				if a.kind == "send" {
					d.Notify(now+c.wait, Notification{ID: id, Worker: a.worker, Kind: NotificationStarted}, out)
					d.AttemptEnded(now+c.wait+300*ms, Outcome{ID: id, Worker: a.worker, Answered: true}, out)
				} else if a.kind == "reject" && id > 60 {
					rejected++
				}
			}
			now += c.wait + 400*ms
		}
		if rejected < c.least || rejected > c.most {
			t.Errorf("waits of %v: %d of 60 requests rejected, want %d to %d", c.wait, rejected, c.least, c.most)
		}
	}
}

// While most of the fleet warms up, the retry times of rejected clients are spread over the warm-up, so that
// they do not all retry at once. With a warm fleet all clients get the same retry time.
func TestRetryAfterIsSpreadWhileTheFleetWarmsUp(t *testing.T) {
	for _, warming := range []bool{true, false} {
		s := testSettings()
		s.Attempts.MaxRetryAfter = 4 * time.Second
		d, out := mustNew(t, s, 1), &recorder{}
		at := 100 * time.Second
		list := []Worker{{ID: 1, State: Ready, Weight: 1}, {ID: 2, State: Ready, Weight: 1}}
		if warming {
			list[0].Launched, list[1].Launched = at, at
		}
		d.UpdateWorkers(at, ListFull, list, out)
		least, most, n := time.Hour, time.Duration(0), 0
		for i := range 60 {
			d.Arrive(at+ms, Request{ID: RequestID(i + 1), TimeLeft: 20 * ms}, out)
			for _, a := range out.take() {
				if a.kind == "reject" {
					least, most, n = min(least, a.in), max(most, a.in), n+1
				}
			}
		}
		if n < 30 || most > s.Attempts.MaxRetryAfter || warming != (most-least > 2*time.Second) {
			t.Errorf("fleet warming up %t: %d of 60 rejected, want 30 or more; retry times from %v to %v, want at most 4s, and a spread of over 2s only while warming up", warming, n, least, most)
		}
	}
}
