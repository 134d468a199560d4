package backfill

import (
	"math"
	"time"
)

// RunTime is what is known of a run time: its logarithm (ln of seconds) is taken as normal, which
// long-tailed sizes are nearer to than to any bounded law.
type RunTime struct {
	LogMean   float64
	LogStdDev float64 // 0: known exactly
}

// leastLogStdDev is up to which a run time counts as known exactly.
const leastLogStdDev = 1e-6

// Quantile is the time under which a run stays with probability q, over 0 and under 1.
func (r RunTime) Quantile(q float64) time.Duration {
	return durationOf(math.Exp(r.LogMean + r.LogStdDev*normalQuantile(q)))
}

// Remaining is the quantile of what is left of a run that has taken elapsed already. The longer it has
// run past what was expected, the longer it will: sizes have no memory of the estimate.
func (r RunTime) Remaining(elapsed time.Duration, q float64) time.Duration {
	if elapsed <= 0 {
		return r.Quantile(q)
	}
	if r.LogStdDev < leastLogStdDev {
		return max(r.Quantile(q)-elapsed, 0)
	}
	// The part of all runs that end before elapsed, by the normal law's distribution function.
	done := 0.5 * math.Erfc(-(math.Log(elapsed.Seconds())-r.LogMean)/r.LogStdDev/math.Sqrt2)
	if done > 1-1e-9 { // far past all that was seen
		return elapsed
	}
	return max(durationOf(math.Exp(r.LogMean+r.LogStdDev*normalQuantile(done+q*(1-done))))-elapsed, 0)
}

// normalQuantile is the standard normal law's quantile.
func normalQuantile(q float64) float64 { return math.Sqrt2 * math.Erfinv(2*q-1) }

// maxSeconds is the longest time that is told apart, some 30 years: an estimate must not overflow.
const maxSeconds = 1e9

func durationOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// leastCapacityShare is the least share of capacity that a worker is taken to start with.
const leastCapacityShare = 0.01

// SlowStart is how a worker warms up: it has Share of its capacity at Launched and all of it Time
// later, and rises evenly. The zero value is a warm worker.
type SlowStart struct {
	Launched time.Duration
	Share    float64 // over 0 to 1
	Time     time.Duration
}

// RunTimeFrom is how long a run that takes warm on a warm worker takes from now on.
func (s SlowStart) RunTimeFrom(now, warm time.Duration) time.Duration {
	age, full := (now - s.Launched).Seconds(), s.Time.Seconds()
	if s.Time <= 0 || age >= full || s.Share >= 1 {
		return warm
	}
	age = max(age, 0)
	share := max(s.Share, leastCapacityShare)
	slope := (1 - share) / full
	have := share + slope*age // capacity now
	work := warm.Seconds()
	if until := (have + 1) / 2 * (full - age); work > until { // done after the warm-up
		return durationOf(full - age + work - until)
	}
	// have*t + slope*t*t/2 = work
	return durationOf((math.Sqrt(have*have+2*slope*work) - have) / slope)
}
