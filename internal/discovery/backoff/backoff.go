// Package backoff computes how long a dispatcher waits before a call to the list service,
// and how long such a call may wait at the service, which many dispatchers share.
//
// Dispatchers can't coordinate their calls. The service handles calls in turn and fails
// those that have waited too long, and a call that fails has used its turn all the same.
// Above the service's capacity nearly every call fails: with 80 dispatchers that called
// without delays, 393 calls failed in 15 s, and none succeeded in the last 13 s of them. So
// the delay before a call grows with the number of dispatchers, is random, and doubles with
// each failure.
//
// An open watch is continued without a delay: that is not a new call and costs the service
// only the lines that it sends (80 dispatchers and a list that changes every 0.5 s: 162
// answers in a second, none failed). With a delay in between, each change would cost one
// call per dispatcher, and changes in the 200 ms after an answer would count as notified
// although no dispatcher was listening.
//
// If an update has a deadline, the delay is drawn from the time left until the deadline.
// After the service has moved, for example, what it has to report counts as notified some
// seconds after the move.
//
// All functions are pure: the caller passes a random draw, uniform in [0, 1), and the time
// left. That is why the backoff library of package srv is not used here. The decision module
// has delays of its own; the caller waits for the later of both. The module decides whether
// to call at all, never this package.
package backoff

import "time"

// Parameters of the time over which the dispatchers' calls are spread.
const (
	// FewDispatchers is the number up to which dispatchers need not spread their calls.
	FewDispatchers = 6
	// timePerDispatcher is the service time reserved for one dispatcher's first call. It is
	// short because a dispatcher has only an old list until that call is answered.
	timePerDispatcher = 75 * time.Millisecond
	// maxSpread bounds the time over which calls are spread.
	maxSpread = 7 * time.Second
	// maxFirstSpread bounds it for first calls. It is shorter because no new work is dispatched
	// until they end.
	maxFirstSpread = 3 * time.Second
)

// spreadTime returns the time over which the dispatchers' calls are spread.
func spreadTime(dispatchers int) time.Duration {
	return min(time.Duration(max(dispatchers-FewDispatchers, 0))*timePerDispatcher, maxSpread)
}

// BeforeFirstCall returns the delay before the first call after a start: 0 to 3 s, as many
// dispatchers may have started together; none for few dispatchers.
func BeforeFirstCall(dispatchers int, draw float64) time.Duration {
	return time.Duration(draw * float64(min(spreadTime(dispatchers), maxFirstSpread)))
}

// assumedCallTime is the minimum time that is reserved for a call before the deadline of its
// update, also while no call has been measured.
const assumedCallTime = 1500 * time.Millisecond

// BeforeFirstCallWithin returns the delay before the first call if its update has a deadline,
// for example after the service has moved. left is the time until the deadline. The delay
// reserves time for the call itself, so that a slow service is called sooner: twice callTime,
// the duration of a recent call (0 if none was measured), but at least assumedCallTime.
func BeforeFirstCallWithin(dispatchers int, left, callTime time.Duration, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return 0
	}
	return time.Duration(draw * float64(min(spreadTime(dispatchers), max(left-max(assumedCallTime, 2*callTime), 0))))
}

// MaxDeadlineRetries is the number of retries that one of many dispatchers makes by the
// deadline of its update. After that many failures the service is not slow but overloaded,
// and the longer delays of BeforeRetry apply.
const MaxDeadlineRetries = 4

// RetriesWithinDeadline reports whether the n-th retry (1 or more) is made by the deadline
// of its update.
func RetriesWithinDeadline(dispatchers, n int) bool {
	return dispatchers <= FewDispatchers || n <= MaxDeadlineRetries
}

// firstRetryStep is half of the mean delay before the first retry of few dispatchers. It
// doubles with each retry, up to four times.
const firstRetryStep = 50 * time.Millisecond

// BeforeRetryWithin returns the delay before the n-th consecutive retry (1 or more) if its
// update has a deadline. left is the time until the deadline. The delay leaves enough time for
// the retry to fail too, if that takes as long as the last call, lastCallTime; but it may
// always take an eighth of left. Few dispatchers wait for 50 ms to 1.2 s; for many the delay is
// drawn from the whole time that remains, up to the spread of their calls.
func BeforeRetryWithin(dispatchers, n int, left, lastCallTime time.Duration, draw float64) time.Duration {
	limit := max(left-lastCallTime*5/4, left/8)
	if dispatchers <= FewDispatchers {
		return min(time.Duration((0.5+draw)*float64(firstRetryStep<<min(n, 4))), limit)
	}
	return time.Duration(draw * float64(min(spreadTime(dispatchers), limit)))
}

// Bounds of the doubling in BeforeRetry, before jitter.
const (
	// earlyRetryLimit is the bound after one and two failures. It doubles with each further
	// failure.
	earlyRetryLimit = 15 * time.Second
	// retryLimit is the bound after any number of failures. A service that still fails after
	// two is not slow but overloaded: with 300 dispatchers and a capacity of 5 calls a second,
	// delays of 15 s kept it overloaded permanently (288 dispatchers without a list after a
	// minute).
	retryLimit = 2 * time.Minute
)

// BeforeRetry returns the delay after the given number of consecutive failures (1 or more)
// if no update has a deadline: up to 21 s after one and two failures, up to 168 s after more.
// Few dispatchers don't wait, since the decision module's own delay has passed by then.
func BeforeRetry(dispatchers, failures int, draw float64) time.Duration {
	limit := min(earlyRetryLimit<<min(max(failures-2, 0), 8), retryLimit)
	return time.Duration((0.6 + 0.8*draw) * float64(min(spreadTime(dispatchers)<<min(failures, 8), limit)))
}

const (
	// minPollTimeout is the shortest wait of a long poll. A change that a lost poll misses
	// counts as notified 6 s after the change or 2 s after the poll's wait, whichever is
	// later, so a shorter wait would gain no time.
	minPollTimeout = 4 * time.Second
	// MaxStrain bounds the doubling in LongPollTimeout, to 16 s, so that a lost poll has ended
	// by the time at which everything listed counts as notified in any case.
	MaxStrain = 2
)

// LongPollTimeout returns how long a watch may wait at the service for a change before the
// service ends it with an empty answer. A watch that is lost without an error is noticed only
// after that wait, so a short wait is better. But each wait that ends costs the service a
// call, so for many dispatchers the wait doubles with strain (0 or more: the caller raises it
// with each failed call, and lowers it with each wait that the service ends in time). It is
// shortened by a random part of up to a quarter, so that watches lost together are not
// replaced together.
func LongPollTimeout(dispatchers, strain int, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return minPollTimeout
	}
	timeout := minPollTimeout << min(max(strain, 0), MaxStrain)
	return timeout - time.Duration(draw*float64(timeout)/4)
}

// BeforeReplacingWatch returns the delay before the call that replaces a watch which was
// lost without an error. left is the time until the deadline of the changes that the watch
// missed. The delay is at most half of it, since the call must be answered by the deadline.
func BeforeReplacingWatch(dispatchers int, left time.Duration, draw float64) time.Duration {
	return time.Duration(draw * float64(min(spreadTime(dispatchers), left/2)))
}
