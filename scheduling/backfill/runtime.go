package backfill

import (
	"math"
	"time"
)

// RunTime is the estimated distribution of a run time. The run time is assumed to be log-normal (ln of
// seconds), which fits long-tailed job sizes better than any bounded distribution.
type RunTime struct {
	LogMean   float64
	LogStdDev float64 // 0: the run time is known exactly
}

// minLogStdDev is the standard deviation below which a run time counts as known exactly.
const minLogStdDev = 1e-6

// Quantile returns the time within which a run ends with probability q, between 0 and 1 exclusively.
func (r RunTime) Quantile(q float64) time.Duration {
	return durationOf(math.Exp(r.LogMean + r.LogStdDev*normalQuantile(q)))
}

// Remaining returns the q-quantile of the remaining time of a run that has already taken elapsed. The further
// a run is past its expected time, the longer its expected remaining time is, since the distribution is
// long-tailed.
func (r RunTime) Remaining(elapsed time.Duration, q float64) time.Duration {
	if elapsed <= 0 {
		return r.Quantile(q)
	}
	if r.LogStdDev < minLogStdDev {
		return max(r.Quantile(q)-elapsed, 0)
	}
	// The probability that a run ends before elapsed, by the normal distribution function.
	done := 0.5 * math.Erfc(-(math.Log(elapsed.Seconds())-r.LogMean)/r.LogStdDev/math.Sqrt2)
	if done > 1-1e-9 { // far beyond the distribution
		return elapsed
	}
	return max(durationOf(math.Exp(r.LogMean+r.LogStdDev*normalQuantile(done+q*(1-done))))-elapsed, 0)
}

// normalQuantile returns the q-quantile of the standard normal distribution.
func normalQuantile(q float64) float64 { return math.Sqrt2 * math.Erfinv(2*q-1) }

// maxSeconds limits estimated times, to about 30 years, so that they do not overflow a Duration.
const maxSeconds = 1e9

func durationOf(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// minCapacityShare is the least share of its capacity that a worker is assumed to start with.
const minCapacityShare = 0.01

// SlowStart describes the warm-up of a worker: its capacity rises linearly from Share at Launched to full
// capacity after Time. The zero value is a warm worker.
type SlowStart struct {
	Launched time.Duration
	Share    float64 // share of full capacity, above 0 and up to 1
	Time     time.Duration
}

// RunTimeFrom returns how long a run takes that starts now, given the time (warm) that it takes on a warm
// worker.
func (s SlowStart) RunTimeFrom(now, warm time.Duration) time.Duration {
	age, full := (now - s.Launched).Seconds(), s.Time.Seconds()
	if s.Time <= 0 || age >= full || s.Share >= 1 {
		return warm
	}
	age = max(age, 0)
	share := max(s.Share, minCapacityShare)
	slope := (1 - share) / full
	capacity := share + slope*age // present capacity
	work := warm.Seconds()
	if warmUpWork := (capacity + 1) / 2 * (full - age); work > warmUpWork { // the run ends after the warm-up
		return durationOf(full - age + work - warmUpWork)
	}
	// The run time t solves capacity*t + slope*t*t/2 = work.
	return durationOf((math.Sqrt(capacity*capacity+2*slope*work) - capacity) / slope)
}
