package membership

import "time"

// UnreachableAfter is how long after one failed connect without an answer since a
// worker counts as unable to serve, even below Config.FailureThreshold failures.
const UnreachableAfter = time.Second

// failureRun is a run of failed connects to one worker.
type failureRun struct {
	count int       // up to FailureThreshold + 1
	since time.Time // the first of them
}

// ObserveConnect records how a connect to a worker ended. It reports whether the
// list may change because of it, now or UnreachableAfter later.
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

// unreachable reports whether so many connects failed in a row that the worker
// counts as gone.
func (c *Catalog) unreachable(id string) bool {
	return c.connectFailures[id].count >= c.cfg.FailureThreshold
}

// cannotServe reports whether a worker is unreachable, or failed a connect
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
