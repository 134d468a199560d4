package backoff

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// listService simulates the list service as the platform's page describes it: it handles calls
// in turn, and a call that waits longer than the timeout fails but still uses its turn.
type listService struct{ callTime, timeout, freeAt time.Duration }

// updateDeadline is the time after a failed call was made at which its update counts as notified.
const updateDeadline = 6 * time.Second

// call returns when a call made at the given time ends, and whether it succeeds.
func (s *listService) call(at time.Duration) (time.Duration, bool) {
	s.freeAt = max(at, s.freeAt) + s.callTime
	if s.freeAt-s.callTime-at > s.timeout {
		return at + s.timeout, false
	}
	return s.freeAt, true
}

// simulateFleet starts all dispatchers at time 0. It returns when half of them and when all of
// them have their watch, and the number of failed calls. assumed is the number of dispatchers that
// each is configured with, and deadlineRetries the number of retries made by an update's deadline.
func simulateFleet(dispatchers, assumed, deadlineRetries int, s listService) (half, last time.Duration, failed int) {
	type call struct {
		at       time.Duration
		failures int
	}
	rnd := rand.New(rand.NewPCG(7, uint64(assumed)))
	var pending []call
	for range dispatchers {
		pending = append(pending, call{at: BeforeFirstCall(assumed, rnd.Float64())})
	}
	for done := 0; len(pending) > 0; {
		slices.SortFunc(pending, func(a, b call) int { return cmp.Compare(a.at, b.at) })
		end, ok := s.call(pending[0].at)
		if !ok {
			failed++
			pending[0].failures++
			if n := pending[0].failures; n <= deadlineRetries {
				pending[0].at = end + BeforeRetryWithin(assumed, n, updateDeadline-s.timeout, s.timeout, rnd.Float64())
			} else {
				pending[0].at = end + BeforeRetry(assumed, n-deadlineRetries, rnd.Float64())
			}
			continue
		}
		pending, last = pending[1:], max(last, end)
		if done++; done == dispatchers/2 {
			half = end
		}
	}
	return half, last, failed
}

// A release restarts most of 80 dispatchers, here 56, and each of them needs nearly the whole
// list. The service needs at least 10 s for all of them, and up to three times that because
// failed calls use their turns too. Every dispatcher gets its list, even if the configured
// number of dispatchers is wrong by a factor of two.
func TestFleetRecoversWithOverloadedService(t *testing.T) {
	for _, assumed := range []int{40, 80, 160} {
		half, last, failed := simulateFleet(56, assumed, 0,
			listService{callTime: 180 * time.Millisecond, timeout: 2 * time.Second})
		if half > 21*time.Second || last > 30*time.Second || failed > 100 {
			t.Errorf("configured with %d: half of 56 dispatchers have a watch after %v, the last after %v; %d calls failed",
				assumed, half, last, failed)
		}
	}
}

// Retries by the deadline of an update exceed the capacity of an overloaded service, and recovery
// takes longer, but it is bounded. Meanwhile the dispatchers use their previous lists.
func TestRetriesWithinDeadlineAreBounded(t *testing.T) {
	for _, assumed := range []int{40, 80, 160} {
		half, last, failed := simulateFleet(56, assumed, MaxDeadlineRetries,
			listService{callTime: 180 * time.Millisecond, timeout: 2 * time.Second})
		if half > 90*time.Second || last > 2*time.Minute || failed > 350 {
			t.Errorf("configured with %d: half of 56 dispatchers have a watch after %v, the last after %v; %d calls failed",
				assumed, half, last, failed)
		}
	}
}

// The calls of many dispatchers are spread enough for a service with sufficient capacity, their
// retries are not delayed without bound, and few dispatchers call without delay.
func TestDelayBounds(t *testing.T) {
	if _, last, failed := simulateFleet(80, 80, 0,
		listService{callTime: 34 * time.Millisecond, timeout: 3 * time.Second}); failed > 0 || last > 7*time.Second {
		t.Errorf("a service with sufficient capacity: the last dispatcher has its watch after %v, %d calls failed",
			last, failed)
	}
	if BeforeFirstCall(FewDispatchers, 0.9) != 0 || BeforeRetry(3, 5, 0.9) != 0 ||
		BeforeFirstCallWithin(FewDispatchers, 4*time.Second, 0, 0.9) != 0 {
		t.Error("few dispatchers delay their calls")
	}
	if delay := BeforeRetry(80, 2, 0.999); delay > 22*time.Second || BeforeRetry(80, 100, 0.999) > 3*time.Minute {
		t.Errorf("delay %v after two failed calls; the update counts as notified 2 s after the wait that the call requested",
			delay)
	}
}
