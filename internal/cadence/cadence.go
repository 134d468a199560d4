// Package cadence says how long one of many dispatchers leaves the list service to
// the others before it calls again. They cannot talk, and the service handles calls
// in turn and fails those that have waited too long: past what it can do, nearly
// every call fails, and none is told anything (seen with 80 dispatchers: 393 calls
// failed in 15 s, none was answered in the last 13 of them). So what one leaves
// grows with how many there are, and doubles with each failure until calls are
// answered again.
//
// A call that has news to fetch is answered as soon as its turn comes, so the time it
// took is a bound on what one call costs the service. So many calls as there are
// dispatchers, each of that cost, are what the service can do in a while: that is how
// often each may call.
//
// It owns these figures. It has no clock and no randomness of its own, and it must
// never say whether to call at all: the module does.
package cadence

import "time"

const (
	// Few is how many dispatchers need not wait for each other.
	Few = 6
	// unknown is what a call is taken to cost before one was answered at once.
	unknown = 60 * time.Millisecond
	// spare is how much more than the cost of all calls is left: others come at any
	// time, and a queue that has built up has to go.
	spare = 1.25
	// prompt is the time within which an answer was not waiting for news.
	prompt = time.Second
	// shortest is the least pause between two calls, for each dispatcher there is.
	shortest = 20 * time.Millisecond
	// longest is the most that is left after a call that was answered: past
	// AskWithin (10 s) without a call, all that is listed counts as told.
	longest = 7200 * time.Millisecond
	// backedOff bounds doubling: what a failed call asked for counts as told 2 s
	// after the wait it named (20 s), whether it came or not.
	backedOff = 15 * time.Second
	// firstPart is the part of a dispatcher's cost that a start counts: an old list
	// is all that it knows.
	firstPart = 75 * time.Millisecond
)

// Cadence is the state of one dispatcher; the zero value is ready.
type Cadence struct {
	cost time.Duration // of one call, as far as known; 0: not
}

// others is how many more there are than need not wait.
func others(dispatchers int) time.Duration { return time.Duration(max(dispatchers-Few, 0)) }

func (c *Cadence) mean(dispatchers int) time.Duration {
	if c.cost == 0 {
		c.cost = unknown
	}
	return max(time.Duration(spare*float64(others(dispatchers)*c.cost)), others(dispatchers)*shortest)
}

// First is the pause before the first call after a start, draw being uniform in
// [0, 1): many may have started together.
func (c *Cadence) First(dispatchers int, draw float64) time.Duration {
	return time.Duration(draw * float64(min(others(dispatchers)*firstPart, longest)))
}

// Told is the pause after a call that was answered, and how long that took.
func (c *Cadence) Told(dispatchers int, took time.Duration, draw float64) time.Duration {
	if took < prompt {
		if c.cost == 0 || took < c.cost {
			c.cost = took
		}
		c.cost += (took - c.cost) / 4
	}
	return time.Duration((0.7 + 0.6*draw) * float64(min(c.mean(dispatchers), longest)))
}

// Failed is the pause after a call that was not. It is longer than any after an
// answer, so that a service which can't serve all comes to serve some.
func (c *Cadence) Failed(dispatchers int, draw float64) time.Duration {
	pause := min(2*c.mean(dispatchers), backedOff)
	c.cost = min(2*c.cost, backedOff/max(others(dispatchers), 1))
	return time.Duration((0.6 + 0.8*draw) * float64(pause))
}
