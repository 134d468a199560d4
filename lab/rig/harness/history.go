package harness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
	"yardflow/internal/fleet/quota"
)

// This file owns what is judged of the history of admissions. It must never start or end anything.

// Overlap judges the history: the longest time for which requests were admitted under a
// version after others were under a later one; 0: never.
func (r *Rig) Overlap() (longest time.Duration, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, late := range r.history {
		for _, early := range r.history {
			if early.Version > late.Version && early.At < late.At && time.Duration(late.At-early.At) > longest {
				longest = time.Duration(late.At - early.At)
				what = fmt.Sprintf("%s admits under %d, %v after %s did under %d", late.Dispatcher, late.Version, longest, early.Dispatcher, early.Version)
			}
		}
	}
	return longest, what
}

// Beyond judges the history against limits on requests a second, by version of the policy that
// they were admitted under: by how many requests at once the fleet was beyond its rate, at the
// worst moment, less the burst. Over 0, the limit was exceeded.
func (r *Rig) Beyond(limits map[uint64]quota.Limit) (worst float64, what string) {
	r.mu.Lock()
	all := slices.Clone(r.history)
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b Admission) int { return cmp.Compare(a.In, b.In) })
	level, last := 0.0, int64(0)
	worst = math.Inf(-1)
	for _, a := range all {
		l, limited := limits[a.Version]
		if !limited || a.In <= 0 {
			continue
		}
		level = max(level-float64(l.Amount)/quota.Unit*float64(a.In-last)/1e9, 0) + 1
		last = a.In
		if over := level - float64(l.Burst)/quota.Unit; over > worst {
			worst, what = over, fmt.Sprintf("%s under version %d", a.Dispatcher, a.Version)
		}
	}
	return worst, what
}

// AdmittedWithin counts the requests that all dispatchers let in within so long before now.
func (r *Rig) AdmittedWithin(d time.Duration) (n int) {
	since := time.Now().Add(-d).UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.history) - 1; i >= 0 && i > len(r.history)-20000; i-- {
		if r.history[i].At > since {
			n++
		}
	}
	return n
}

// Admitted counts the requests that a dispatcher has let in under a version.
func (r *Rig) Admitted(name string, version uint64) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.history {
		if a.Dispatcher == name && a.Version == version {
			n++
		}
	}
	return n
}
