package consensus

import "time"

// Timing of raft. An interval is Config.TickInterval, 100 ms as shipped; raft is given several of its ticks in each.
const (
	// electionIntervals is how long a follower that hears of no leader waits before it calls an election, at the least:
	// ten times the heartbeat, as the raft library advises, so that a lost heartbeat does not cost a leader. Raft draws
	// each time-out from this to twice this.
	electionIntervals  = 10
	heartbeatIntervals = 1
	// ticksPerInterval is how many of raft's ticks an interval has at the ordinary pace. With fewer of them all of raft's
	// time-outs last longer by the same factor, up to maxSlowdown.
	ticksPerInterval = 4
	maxSlowdown      = 4
	// calmSpan is after how long without a delay as long as the longest that one counts half.
	calmSpan = 30 * time.Second
)

// electionPace makes election time-outs follow the delays that are seen: a process that is stopped, starved of processor
// time or held up by its disk for as long as a time-out would lose or change the leader again and again, though nobody has
// failed. A time-out lasts twice the longest delay of late, but at most maxSlowdown times as long as at the ordinary pace:
// 4 to 8 s with the shipped interval, in place of 1 to 2. Safety does not rest on it. The zero value needs an interval.
type electionPace struct {
	interval   time.Duration
	longest    time.Duration // delay that was seen of late
	observedAt time.Time     // when it was, or was last halved
}

// observe takes in a delay: of this process's own loop, or of messages from the leader.
func (p *electionPace) observe(now time.Time, delay time.Duration) {
	p.decay(now)
	if delay >= p.longest {
		p.longest, p.observedAt = delay, now
	}
}

// decay halves the longest delay for each calmSpan that has passed without one as long.
func (p *electionPace) decay(now time.Time) {
	for p.longest > 0 && now.Sub(p.observedAt) >= calmSpan {
		p.longest /= 2
		p.observedAt = p.observedAt.Add(calmSpan)
	}
}

// slowdown returns by which factor time-outs last longer now: 1, 2 or 4.
func (p *electionPace) slowdown(now time.Time) int {
	p.decay(now)
	factor := 1
	for factor < maxSlowdown && 2*p.longest > time.Duration(factor)*electionIntervals*p.interval {
		factor *= 2
	}
	return factor
}

// ticks returns how many of raft's ticks are due in an interval that ends now.
func (p *electionPace) ticks(now time.Time) int { return ticksPerInterval / p.slowdown(now) }
