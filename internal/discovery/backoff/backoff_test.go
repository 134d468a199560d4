package backoff

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// listService is a list service as the platform's page describes it: calls wait in turn, and
// fail after a time-out. One that failed takes its turn all the same.
type listService struct{ callTime, timeout, freeAt time.Duration }

// updateDue is how long after a failed call was made its update counts as notified.
const updateDue = 6 * time.Second

// call returns when a call made at a time is answered, and whether with a list.
func (s *listService) call(at time.Duration) (time.Duration, bool) {
	s.freeAt = max(at, s.freeAt) + s.callTime
	if s.freeAt-s.callTime-at > s.timeout {
		return at + s.timeout, false
	}
	return s.freeAt, true
}

// simulateFleet starts a fleet at one moment, and returns when half of the dispatchers and when
// all have their watch, and how many calls failed. assumed is the number of dispatchers that each
// is configured with; so many deadlineRetries are made by the time their update is due.
func simulateFleet(dispatchers, assumed, deadlineRetries int, s listService) (half, last time.Duration, failed int) {
	type call struct {
		at    time.Duration
		fails int
	}
	rnd := rand.New(rand.NewPCG(7, uint64(assumed)))
	var due []call
	for range dispatchers {
		due = append(due, call{at: BeforeFirstCall(assumed, rnd.Float64())})
	}
	for done := 0; len(due) > 0; {
		slices.SortFunc(due, func(a, b call) int { return cmp.Compare(a.at, b.at) })
		end, ok := s.call(due[0].at)
		if !ok {
			failed++
			due[0].fails++
			if n := due[0].fails; n <= deadlineRetries {
				due[0].at = end + BeforeRetryWithin(assumed, n, updateDue-s.timeout, s.timeout, rnd.Float64())
			} else {
				due[0].at = end + BeforeRetry(assumed, n-deadlineRetries, rnd.Float64())
			}
			continue
		}
		due, last = due[1:], max(last, end)
		if done++; done == dispatchers/2 {
			half = end
		}
	}
	return half, last, failed
}

// A release kills most of 80 dispatchers, and each of them has to be assumed nearly the
// whole list. The service needs 10 s for them all at the least; with calls that wait
// out their turns for nothing it takes up to three times that, and no dispatcher is
// left out, also where the number assumed is wrong by a factor of two.
func TestFleetRecoversWithOverloadedService(t *testing.T) {
	for _, assumed := range []int{40, 80, 160} {
		half, last, failed := simulateFleet(56, assumed, 0, listService{callTime: 180 * time.Millisecond, timeout: 2 * time.Second})
		if half > 21*time.Second || last > 30*time.Second || failed > 100 {
			t.Errorf("configured with %d: half of 56 dispatchers have their watch after %v, the last after %v; %d calls failed", assumed, half, last, failed)
		}
	}
}

// Retries by the time their update is due cost such a service more than its capacity, and
// recovery takes longer: meanwhile the dispatchers serve by the list of before.
func TestRetriesWithinDeadlineEnd(t *testing.T) {
	for _, assumed := range []int{40, 80, 160} {
		half, last, failed := simulateFleet(56, assumed, MaxDeadlineRetries, listService{callTime: 180 * time.Millisecond, timeout: 2 * time.Second})
		if half > 90*time.Second || last > 2*time.Minute || failed > 350 {
			t.Errorf("configured with %d: half of 56 dispatchers have their watch after %v, the last after %v; %d calls failed", assumed, half, last, failed)
		}
	}
}

func TestDelays(t *testing.T) {
	if _, last, failed := simulateFleet(80, 80, 0, listService{callTime: 34 * time.Millisecond, timeout: 3 * time.Second}); failed > 0 || last > 7*time.Second {
		t.Errorf("a service that can do it: the last watch stands after %v, %d calls failed", last, failed)
	}
	if BeforeFirstCall(FewDispatchers, 0.9) != 0 || BeforeRetry(3, 5, 0.9) != 0 || BeforeFirstCallWithin(FewDispatchers, 4*time.Second, 0, 0.9) != 0 {
		t.Error("few dispatchers wait for each other")
	}
	if p := BeforeRetry(80, 2, 0.999); p > 22*time.Second || BeforeRetry(80, 100, 0.999) > 3*time.Minute {
		t.Errorf("%v pass after a failed call: its update counts as notified 2 s past the wait that it asked for", p)
	}
}
