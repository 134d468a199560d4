package membership

import "time"

// UnreachableAfter is the time after a failed connect at which a worker that has not
// answered since counts as unable to serve, even below Config.FailureThreshold failures.
const UnreachableAfter = time.Second

// failureRun is a run of failed connects to one worker.
type failureRun struct {
	count int       // up to FailureThreshold + 1
	since time.Time // time of the first failure
}

// ObserveConnect records the result of a connect to a worker. It reports whether the list
// may change as a result, now or UnreachableAfter later.
func (c *Catalog) ObserveConnect(now time.Time, id string, answered bool) (changed bool) {
	f := c.connectFailures[id]
	switch {
	case !answered:
		if f.count++; f.count == 1 {
			f.since = now
		}
		f.count = min(f.count, c.cfg.FailureThreshold+1)
		c.connectFailures[id] = f
		return f.count == 1 || f.count == c.cfg.FailureThreshold
	case f.count > 0:
		delete(c.connectFailures, id)
		return true
	}
	return false
}

// unreachable reports whether the last Config.FailureThreshold connects to a worker failed.
func (c *Catalog) unreachable(id string) bool {
	return c.connectFailures[id].count >= c.cfg.FailureThreshold
}

// cannotServe reports whether a worker is unreachable, or failed a connect at least
// UnreachableAfter ago and has not answered since.
func (m *merge) cannotServe(id string) bool {
	f := m.catalog.connectFailures[id]
	if f.count == 0 || m.catalog.unreachable(id) {
		return f.count > 0
	}
	end := f.since.Add(UnreachableAfter)
	m.recheckAt(end)
	return !m.now.Before(end)
}
