package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// priorityLevel is the hysteresis state of one pool's priorities. Fail-over to a worse
// priority is immediate; fail-back waits for Config.FailbackDelay, so that a worker that
// repeatedly fails and recovers does not move the whole load each time.
type priorityLevel struct {
	worstListed     int       // the worst priority that is listed; worse ones are on standby
	betterAbleSince time.Time // since when a better priority can serve again; zero if none can
}

// applyPriorities puts on standby the workers that a better priority of the same pool
// makes unnecessary.
func (m *merge) applyPriorities() {
	canServe := m.prioritiesThatCanServe()
	maps.DeleteFunc(m.catalog.priorityLevels, func(pool string, _ *priorityLevel) bool { return canServe[pool] == nil })
	worstListed := map[string]int{}
	for pool, priorities := range canServe {
		if len(priorities) == 1 {
			delete(m.catalog.priorityLevels, pool)
			continue
		}
		worstListed[pool] = m.updatePriorityLevel(pool, worstNeeded(priorities))
	}
	for i := range m.list.Entries {
		e := &m.list.Entries[i]
		if worst, ok := worstListed[e.pool]; ok && e.Priority > worst && e.State == Serving {
			e.State, e.SourceState = Draining, Draining
			e.Reason = fmt.Sprintf("standby: priority %d, and one of %d can serve; %s", e.Priority, worst, e.Reason)
		}
	}
}

// prioritiesThatCanServe returns, by pool and priority, whether any worker of the priority
// can serve.
func (m *merge) prioritiesThatCanServe() map[string]map[int]bool {
	canServe := map[string]map[int]bool{}
	for _, e := range m.list.Entries {
		if canServe[e.pool] == nil {
			canServe[e.pool] = map[int]bool{}
		}
		able := e.State == Serving && !m.cannotServe(e.ID)
		canServe[e.pool][e.Priority] = canServe[e.pool][e.Priority] || able
	}
	return canServe
}

// worstNeeded returns the best priority that can serve. If none can, it returns the worst
// priority, so that all are listed.
func worstNeeded(canServe map[int]bool) int {
	priorities := slices.Sorted(maps.Keys(canServe))
	for _, p := range priorities {
		if canServe[p] {
			return p
		}
	}
	return priorities[len(priorities)-1]
}

// updatePriorityLevel updates the hysteresis of a pool with the priority needed now, and
// returns the worst priority that is listed.
func (m *merge) updatePriorityLevel(pool string, needed int) int {
	level := m.catalog.priorityLevels[pool]
	if level == nil {
		level = &priorityLevel{worstListed: needed}
		m.catalog.priorityLevels[pool] = level
	}
	switch {
	case needed >= level.worstListed:
		level.worstListed, level.betterAbleSince = needed, time.Time{}
	case level.betterAbleSince.IsZero():
		level.betterAbleSince = m.now
	}
	if !level.betterAbleSince.IsZero() {
		if end := level.betterAbleSince.Add(m.catalog.cfg.FailbackDelay); m.now.Before(end) {
			m.recheckAt(end)
		} else {
			level.worstListed, level.betterAbleSince = needed, time.Time{}
		}
	}
	return level.worstListed
}
