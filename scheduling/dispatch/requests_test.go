package dispatch

import (
	"testing"
	"time"
)

// A request with a deadline shorter than two ticks is answered at once if no worker can take it: the next
// sweep of the queue would come too late.
func TestShortLivedRequestIsAnsweredAtOnce(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, nil, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, TimeLeft: 20 * ms}, out)
	if got := out.take(); len(got) != 1 || got[0].kind != "reject" {
		t.Fatalf("got %v, want a rejection", got)
	}
}

// A queued request that can no longer be on time and has no value when late is rejected at once, with a retry
// delay. It is not held until shortly before its deadline, when its client could no longer retry.
func TestValuelessRequestIsAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		name           string
		lateValueShare float64
		clientRetry    bool
		timeLeft       time.Duration
		from, end      time.Duration // period in which the answer is expected
	}{
		{"first try", 0, false, 5 * time.Second, 100 * ms, 1200 * ms},
		{"client retry without slack left after the first try", 0, true, 3 * time.Second, 0, 1},
		{"late answers have value: kept until near the deadline", 0.2, false, 5 * time.Second, 4800 * ms, 5000 * ms},
	} {
		s := testSettings()
		s.Attempts.MaxRetryAfter = 2 * time.Second
		s.Classes[2].LateValueShare = c.lateValueShare
		d, out := mustNew(t, s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, nil, out) // no worker: nothing can be sent
		out.take()
		d.Arrive(ms, Request{ID: 7, Class: 2, TimeLeft: c.timeLeft, ClientRetry: c.clientRetry}, out)
		var got []action
		now := time.Duration(0)
		for got = out.take(); len(got) == 0 && now < 6*time.Second; got = out.take() {
			now += 25 * ms
			d.Timer(now, 0, out)
		}
		if len(got) != 1 || got[0].kind != "reject" || now < c.from || now > c.end || got[0].in <= 0 || got[0].in > s.Attempts.MaxRetryAfter {
			t.Errorf("%s: at %v got %+v, want one rejection with a retry delay, between %v and %v", c.name, now, got, c.from, c.end)
		}
	}
}

// A valueless request that a worker rejects is answered while that outcome is handled.
func TestValuelessRequestIsAnsweredOnRejection(t *testing.T) {
	s := testSettings()
	s.Classes[2].LateValueShare = 0
	d, out := mustNew(t, s, 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, Class: 2, TimeLeft: 5 * time.Second}, out)
	if got := out.take(); len(got) != 1 || got[0].kind != "send" {
		t.Fatalf("got %v, want one send", got)
	}
	d.AttemptEnded(3*time.Second, Outcome{ID: 7, Worker: 1, Code: Rejected}, out)
	if got := out.take(); len(got) != 1 || got[0].kind != "reject" {
		t.Errorf("got %v, want one rejection", got)
	}
}
