package broker

// This file holds one attempt at a worker, as the front that carries it sees it.

import (
	"time"

	"yardflow/scheduling/dispatch"
)

// Attempt is one attempt of a request at a worker. The session makes it and hands it to the front's AttemptFunc; it ends
// when that returns.
type Attempt struct {
	Worker           string // its id in the list
	Addr             string // opaque here
	Number           int    // within the request, from 0
	Zone, Kind, Cell int    // the worker's

	session  *session
	workerID dispatch.WorkerID
	counted  *workerState // the worker, where attempts are counted under the fleet's limits; otherwise nil
}

// ReportStarted notifies the module that the worker has begun.
func (a *Attempt) ReportStarted() { a.notify(dispatch.NotificationStarted, 0) }

// ReportProgress notifies the module how much of the job is done, from 0 to 1.
func (a *Attempt) ReportProgress(fraction float64) {
	a.notify(dispatch.NotificationProgress, fraction)
}

func (a *Attempt) notify(kind dispatch.NotificationKind, fraction float64) {
	b := a.session.b
	n := dispatch.Notification{ID: a.session.id, Attempt: a.Number, Worker: a.workerID, Kind: kind, FractionDone: fraction}
	if b.Tracing() {
		b.Tracef("note %d n=%d to=%s kind=%d share=%.2f", a.session.id, a.Number, a.Worker, kind, fraction)
	}
	b.post(func(now time.Duration, out dispatch.Actions) { b.loop.module.Notify(now, n, out) })
}

// MaySend reports whether the attempt may still be sent. A front asks once more when its connection is up, because
// connecting takes time in which any of this may end:
//   - the window in which workers drop a retry of the request (past it, a retry would run twice);
//   - the worker's right to be sent to: it may drain, be banned, or be reached at another address, where the old one may
//     answer as somebody else;
//   - the lease of this process's share of the concurrency at the worker, which others have been given since if this
//     process stood still.
func (a *Attempt) MaySend() bool {
	return a.session.inDedupWindow() && a.session.b.maySendTo(a.workerID, a.Addr) && a.session.b.withinWorkerLimit(a.counted)
}

// InPool reports whether the worker is in a pool now, by the pool's name; every worker is in the empty one.
func (a *Attempt) InPool(pool string) bool {
	workers := &a.session.b.workers
	workers.mu.Lock()
	defer workers.mu.Unlock()
	return pool == "" || workers.pools.Bit(pool)&workers.pools.PoolsOf(a.Worker, a.Zone, a.Kind, a.Cell) != 0
}
