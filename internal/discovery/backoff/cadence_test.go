package backoff

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// service is a list service as the platform words it: calls wait in turn, and fail
// once they have waited for so long. One that failed takes its turn all the same.
type service struct{ cost, patience, free time.Duration }

// wordDue is how long after a failed call was made its word counts as told.
const wordDue = 6 * time.Second

// call gives when a call made at a time is answered, and whether with a list.
func (s *service) call(at time.Duration) (time.Duration, bool) {
	s.free = max(at, s.free) + s.cost
	if s.free-s.cost-at > s.patience {
		return at + s.patience, false
	}
	return s.free, true
}

// play lets a fleet come back at one moment, and gives when half of the dispatchers and
// when all have their watch, and how many calls failed. So many calls after failures are made by
// the time their word is due.
func play(dispatchers, told, hurried int, s service) (half, last time.Duration, failed int) {
	type call struct {
		at    time.Duration
		fails int
	}
	rnd := rand.New(rand.NewPCG(7, uint64(told)))
	var due []call
	for range dispatchers {
		due = append(due, call{at: BeforeFirstCall(told, rnd.Float64())})
	}
	for done := 0; len(due) > 0; {
		slices.SortFunc(due, func(a, b call) int { return cmp.Compare(a.at, b.at) })
		end, ok := s.call(due[0].at)
		if !ok {
			failed++
			due[0].fails++
			if n := due[0].fails; n <= hurried {
				due[0].at = end + BeforeRetryWithin(told, n, wordDue-s.patience, s.patience, rnd.Float64())
			} else {
				due[0].at = end + BeforeRetry(told, n-hurried, rnd.Float64())
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

// A release kills most of 80 dispatchers, and each of them has to be told nearly the
// whole list. The service needs 10 s for them all at the least; with calls that wait
// out their turns for nothing it takes up to three times that, and no dispatcher is
// left out, also where the number told is wrong by a factor of two.
func TestAFleetComesBackToAnOverbookedService(t *testing.T) {
	for _, told := range []int{40, 80, 160} {
		half, last, failed := play(56, told, 0, service{cost: 180 * time.Millisecond, patience: 2 * time.Second})
		if half > 21*time.Second || last > 30*time.Second || failed > 100 {
			t.Errorf("told of %d: half of 56 dispatchers have their watch after %v, the last after %v; %d calls failed", told, half, last, failed)
		}
	}
}

// Calls made again by the time their word is due cost such a service more than it can do, and
// it takes it longer: while they go on the dispatchers serve by the list of before.
func TestHurriedCallsEnd(t *testing.T) {
	for _, told := range []int{40, 80, 160} {
		half, last, failed := play(56, told, MaxDeadlineRetries, service{cost: 180 * time.Millisecond, patience: 2 * time.Second})
		if half > 90*time.Second || last > 2*time.Minute || failed > 350 {
			t.Errorf("told of %d: half of 56 dispatchers have their watch after %v, the last after %v; %d calls failed", told, half, last, failed)
		}
	}
}

func TestPauses(t *testing.T) {
	if _, last, failed := play(80, 80, 0, service{cost: 34 * time.Millisecond, patience: 3 * time.Second}); failed > 0 || last > 7*time.Second {
		t.Errorf("a service that can do it: the last watch stands after %v, %d calls failed", last, failed)
	}
	if BeforeFirstCall(FewDispatchers, 0.9) != 0 || BeforeRetry(3, 5, 0.9) != 0 || BeforeFirstCallWithin(FewDispatchers, 4*time.Second, 0, 0.9) != 0 {
		t.Error("few dispatchers wait for each other")
	}
	if p := BeforeRetry(80, 2, 0.999); p > 22*time.Second || BeforeRetry(80, 100, 0.999) > 3*time.Minute {
		t.Errorf("%v pass after a failed call: 2 s past the wait it asked for, its news counts as told", p)
	}
}
