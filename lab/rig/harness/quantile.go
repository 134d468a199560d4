package harness

import (
	"slices"
	"time"
)

// Quantile returns the time below which the share q of some times lies; 0 of none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	times = slices.Sorted(slices.Values(times))
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
