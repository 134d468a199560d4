// Package backoff works out how long a dispatcher waits before a call at the list
// service, and how long such a call may last, where many dispatchers share the service.
//
// Dispatchers can't coordinate their calls. The service handles calls in turn and fails
// those that have waited too long, and a call that fails has taken its turn all the
// same. Beyond its capacity nearly every call fails: with 80 dispatchers that called at
// will 393 calls failed in 15 s, and none succeeded in the last 13 s of them. So the
// delay before a call grows with the number of dispatchers, is drawn over its whole
// length, and doubles with each failure.
//
// A watch that stands is continued at once, without a delay: that is no new call and
// costs the service only the lines that it sends (80 dispatchers and a list that changes
// every 0.5 s: 162 answers in a second, none failed). With a pause in between, each
// change would cost a call from each dispatcher, and changes in the 200 ms after an
// answer count as notified although nobody was listening.
//
// Where an update is due by a stated time (what a service that has moved has to report
// counts as notified some seconds after the move), the delay is drawn over what is left
// of that time.
//
// All functions are pure: the caller passes a draw, uniform in [0, 1), and the time that
// is left. That is why the backoff library of package srv does not serve here. The
// decision module has delays of its own; the caller waits for the later of both. Whether
// to call at all is the module's decision, never this package's.
package backoff

import "time"

// Spreading of calls over the dispatchers.
const (
	// FewDispatchers is the number up to which dispatchers need not spread their calls.
	FewDispatchers = 6
	// timePerDispatcher is the time of the service that one dispatcher's first call may
	// take. Until it is answered the dispatcher has only an old list, so it is short.
	timePerDispatcher = 75 * time.Millisecond
	// maxSpread bounds the time over which calls are spread.
	maxSpread = 7 * time.Second
	// maxFirstSpread bounds it for first calls: nothing new is dispatched until their end.
	maxFirstSpread = 3 * time.Second
)

// spreadTime is the time over which the dispatchers' calls are spread.
func spreadTime(dispatchers int) time.Duration {
	return min(time.Duration(max(dispatchers-FewDispatchers, 0))*timePerDispatcher, maxSpread)
}

// BeforeFirstCall is the delay before the first call after a start, as many dispatchers
// may have started together: 0 to 3 s; none for few.
func BeforeFirstCall(dispatchers int, draw float64) time.Duration {
	return time.Duration(draw * float64(min(spreadTime(dispatchers), maxFirstSpread)))
}

// assumedCallTime is what a call is assumed to take while none has been measured, and
// the least that is left for one before its update is due.
const assumedCallTime = 1500 * time.Millisecond

// BeforeFirstCallWithin is the delay before the first call whose update is due within
// left, as after the service has moved. It leaves time for the call itself: twice
// callTime, which is how long calls have lately taken (0: none was measured), so that a
// slow service is called sooner.
func BeforeFirstCallWithin(dispatchers int, left, callTime time.Duration, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return 0
	}
	return time.Duration(draw * float64(min(spreadTime(dispatchers), max(left-max(assumedCallTime, 2*callTime), 0))))
}

// MaxDeadlineRetries is how many retries of many dispatchers are made by the time their
// update is due. Beyond them the service is not slow but overloaded, and BeforeRetry
// spares it.
const MaxDeadlineRetries = 4

// RetriesWithinDeadline reports whether the n-th retry (1 or more) is made by the time
// its update is due.
func RetriesWithinDeadline(dispatchers, n int) bool {
	return dispatchers <= FewDispatchers || n <= MaxDeadlineRetries
}

// firstRetryStep is half of the mean delay before the first retry of few dispatchers;
// it doubles up to four times.
const firstRetryStep = 50 * time.Millisecond

// BeforeRetryWithin is the delay before the n-th retry in a row (1 or more) whose update
// is due within left. It leaves enough for the retry to fail as well, if it takes as
// long as the last call, which took took. Few dispatchers wait for 50 ms to 2 s, many
// draw over all that there is.
func BeforeRetryWithin(dispatchers, n int, left, took time.Duration, draw float64) time.Duration {
	limit := max(left-took*5/4, left/8)
	if dispatchers <= FewDispatchers {
		return min(time.Duration((0.5+draw)*float64(firstRetryStep<<min(n, 4))), limit)
	}
	return time.Duration(draw * float64(min(spreadTime(dispatchers), limit)))
}

// Bounds of the doubling in BeforeRetry.
const (
	// earlyRetryLimit bounds it after one and two failures.
	earlyRetryLimit = 15 * time.Second
	// retryLimit bounds it from the third on. A service that still fails is not slow but
	// overloaded: with 300 dispatchers and 5 calls a second delays of 15 s kept it so for
	// good (288 dispatchers without a list after a minute).
	retryLimit = 2 * time.Minute
)

// BeforeRetry is the delay after the given number of failed calls in a row (1 or more)
// where no update is due by a stated time: 0 to 21 s, from the third on up to 168 s;
// none for few dispatchers, since the decision module's own delay has passed by then.
func BeforeRetry(dispatchers, failed int, draw float64) time.Duration {
	limit := min(earlyRetryLimit<<min(max(failed-2, 0), 8), retryLimit)
	return time.Duration((0.6 + 0.8*draw) * float64(min(spreadTime(dispatchers)<<min(failed, 8), limit)))
}

const (
	// minPollTimeout is the shortest wait of a long poll. What a lost poll misses counts
	// as notified 6 s after the change at the soonest, and 2 s after the poll's wait where
	// that is later, so that a shorter wait would gain no time.
	minPollTimeout = 4 * time.Second
	// MaxStrain bounds the doubling in LongPollTimeout: 16 s, so that a lost poll is over
	// by the time at which everything listed counts as notified in any case.
	MaxStrain = 2
)

// LongPollTimeout is how long a watch may wait at the service for a change before the
// service ends it with nothing. A call lost without a sign is noticed only after that
// wait, so the shorter the better. For many dispatchers it doubles with strain (0
// or more: the caller raises it by each call that is lost, and lowers it by each wait that
// the service ends in time), as a wait that ends costs the service a call; and up to a
// quarter of it is drawn, so that watches lost together are not replaced together.
func LongPollTimeout(dispatchers, strain int, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return minPollTimeout
	}
	timeout := minPollTimeout << min(max(strain, 0), MaxStrain)
	return timeout - time.Duration(draw*float64(timeout)/4)
}

// BeforeReplacingWatch is the delay before the call that replaces a watch which was lost
// without a sign. left is the time until what it missed is due: the delay is within half
// of it, since the call has to be answered by then.
func BeforeReplacingWatch(dispatchers int, left time.Duration, draw float64) time.Duration {
	return time.Duration(draw * float64(min(spreadTime(dispatchers), left/2)))
}
