// Package backoff says how long one of many dispatchers leaves the list service to
// the others before it begins a watch there. They cannot talk, and the service handles
// calls in turn and fails those that have waited too long; one that fails has taken
// its turn all the same. Past what it can do, nearly every call fails and none is told
// anything: seen with 80 dispatchers, where 393 calls failed in 15 s and none was
// answered in the last 13 of them. So the pause before a watch grows with how many
// there are, is drawn over its whole length, and doubles with each failure.
//
// A watch that stands is carried on at once: that is not a call anew, and costs the
// service no more than the lines it tells (80 dispatchers, a list that changes every
// half second: 162 answers in a second, none failed). Left for a while instead, every
// change costs a call from each; and what changes in the 200 ms after an answer counts
// as told although nobody was there to hear it.
//
// Where the word is due by a stated time (all that a service which has moved has to tell
// counts as told some seconds after), the pause is drawn over what is left of that.
//
// It works out that one pause, which runs beside the module's own: the later of the two
// ends it. It has no state, clock or randomness (which is why the library for backing off
// that srv uses does not serve here), and it must never say whether to call at all: the
// module does.
package backoff

import "time"

const (
	// FewDispatchers is how many dispatchers need not wait for each other.
	FewDispatchers = 6
	// part is what one dispatcher's first call may take of the service. An old list is
	// all that a dispatcher knows until then, so it is not much.
	part = 75 * time.Millisecond
	// longest is the most that the dispatchers' calls are spread over.
	longest = 7 * time.Second
	// firstLongest is that for first calls: nothing new is sent until their end.
	firstLongest = 3 * time.Second
	// backedOff bounds doubling after one and two failures. From the third on the service is
	// not late but overbooked: at 300 dispatchers and 5 calls a second pauses of 15 s kept it so
	// for good (288 without a list after a minute), so they double up to givenUp.
	backedOff = 15 * time.Second
	givenUp   = 2 * time.Minute
)

// base is the pause that the dispatchers need to have their calls one after the other.
func base(dispatchers int) time.Duration {
	return min(time.Duration(max(dispatchers-FewDispatchers, 0))*part, longest)
}

// BeforeFirstCall is the pause before the first call after a start, draw being uniform in [0, 1):
// many may have started together. 0 to 3 s; none for few.
func BeforeFirstCall(dispatchers int, draw float64) time.Duration {
	return time.Duration(draw * float64(min(base(dispatchers), firstLongest)))
}

// turn is what a call is reckoned to take where nothing is known of the service, and the
// least that is left for one before its word is due.
const turn = 1500 * time.Millisecond

// BeforeFirstCallWithin is the pause before the first call where its word is due in so long, as after a
// move of the service: drawn over what a call's own time leaves of that. seen is how long
// calls have lately taken (0: none was seen); a service that was slow has to be asked sooner.
func BeforeFirstCallWithin(dispatchers int, left, seen time.Duration, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return 0
	}
	return time.Duration(draw * float64(min(base(dispatchers), max(left-max(turn, 2*seen), 0))))
}

// MaxDeadlineRetries is how many calls after a failure are made by the time their word is due, where
// dispatchers are many. From then on the service is not late but overbooked, and is spared as
// BeforeRetry says.
const MaxDeadlineRetries = 4

// RetriesWithinDeadline tells whether the n-th call after a failure (1 or more) is made by the time its word is due.
func RetriesWithinDeadline(dispatchers, n int) bool {
	return dispatchers <= FewDispatchers || n <= MaxDeadlineRetries
}

// BeforeRetryWithin is the pause after a call that failed, the n-th in a row (1 or more), where its word is
// due in left: the next call is made by then, and has failed again by then if it takes as long as
// the last one did. took is that, draw is uniform in [0, 1). Few dispatchers pause for 50 ms to 2 s,
// many draw over all that there is.
func BeforeRetryWithin(dispatchers, n int, left, took time.Duration, draw float64) time.Duration {
	most := max(left-took*5/4, left/8)
	if dispatchers <= FewDispatchers {
		return min(time.Duration((0.5+draw)*float64(firstAgain<<min(n, 4))), most)
	}
	return time.Duration(draw * float64(min(base(dispatchers), most)))
}

// firstAgain is half of the mean pause after the first failure where dispatchers are few.
const firstAgain = 50 * time.Millisecond

// BeforeRetry is the pause after so many failed calls in a row (1 or more), draw being
// uniform in [0, 1), where none is due by a stated time. 0 to 21 s, from the third on to 168 s;
// none for few, since the module has waited its own time then.
func BeforeRetry(dispatchers, failed int, draw float64) time.Duration {
	most := min(backedOff<<min(max(failed-2, 0), 8), givenUp)
	return time.Duration((0.6 + 0.8*draw) * float64(min(base(dispatchers)<<min(failed, 8), most)))
}

// LongPollTimeout is how long a watch may wait at the service before it is to end with nothing, draw being
// uniform in [0, 1). A call lost without a sign is known for one only once its wait is over, so
// the shorter the better; but what it misses counts as told 6 s after at the soonest, and 2 s
// after the wait where that is later, so less than shortest buys no time. Doubled for many by each strain,
// as one that ends costs the service a call; and drawn for them, so that those which fell silent
// together are not begun anew together.
func LongPollTimeout(dispatchers, strain int, draw float64) time.Duration {
	if dispatchers <= FewDispatchers {
		return shortest
	}
	wait := shortest << min(max(strain, 0), MaxStrain)
	return wait - time.Duration(draw*float64(wait)/4)
}

const (
	shortest = 4 * time.Second
	// MaxStrain bounds the doubling: 16 s, so that a silence is over by the time at which all
	// that is listed counts as told in any case.
	MaxStrain = 2
)

// BeforeReplacingWatch is the pause before the call in the place of a watch that fell silent, draw being uniform
// in [0, 1) and left the time until what it missed is due: within half of it, since the call has
// to be answered by then.
func BeforeReplacingWatch(dispatchers int, left time.Duration, draw float64) time.Duration {
	return time.Duration(draw * float64(min(base(dispatchers), left/2)))
}
