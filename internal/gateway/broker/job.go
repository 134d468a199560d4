package broker

// This file owns the small values that fronts and the core hand each other: requests, attempts,
// outcomes, answers. It must never decide.

import (
	"context"
	"fmt"
	"time"

	"yardflow/scheduling/dispatch"
)

// Request is a job as the core knows it.
type Request struct {
	Settings      *dispatch.Settings // under which it was read; nil: those in force
	Class, Tenant int                // their places in these settings
	Deadline      time.Time          // when the one who asked gives up
	Slots, Memory float64
	ClientRetry   bool
	Team          string           // whose contract it comes under; empty: none
	PolicyVersion uint64           // version under which it was admitted, which it keeps to its end; 0: none
	AdmittedAt    time.Time        // when that was asked
	WorkflowStep  bool             // of a workflow: nobody's fresh work
	BestEffort    bool             // it takes only room that nobody else needs
	Pools         uint64           // of workers that it may be sent to, by bits of the set in force; 0: to any
	EarlierWorker *dispatch.Worker // where it may have run before this request; nil: nowhere
	EarlierRunAge time.Duration    // and how long ago, at the most
}

// Code is how an attempt ended.
type Code = dispatch.Code

// The codes of outcomes, as the module words them.
const (
	OK              = dispatch.OK
	Failed          = dispatch.Failed
	Rejected        = dispatch.Rejected
	TimedOut        = dispatch.TimedOut
	ConnectFailed   = dispatch.ConnectFailed
	ConnectionLost  = dispatch.ConnectionLost
	Cancelled       = dispatch.Cancelled
	NotSent         = dispatch.NotSent
	StaleConnection = dispatch.StaleConnection

	// BadRequest is a worker's word that the request itself is at fault: no worker
	// can do better with it, and this one is not the worse for having said so.
	// The module never hears this code.
	BadRequest Code = 255
)

// Outcome is the end of one attempt.
type Outcome struct {
	Code   Code
	Load   []float64 // in the order of the settings' columns; may be empty
	Result []byte    // the answer, for OK
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

const (
	AnswerServed     AnswerKind = iota
	AnswerRejected              // trying again is harmless
	AnswerFailed                // promises nothing
	AnswerClientGone            // nobody waits any longer
)

// Answer is the one final answer of a request.
type Answer struct {
	Kind           AnswerKind
	Result         []byte
	RetryAfter     time.Duration // with Refused: advice; 0: none
	OverBudget     bool          // with Refused: a contract's budget was exceeded
	DeadlineMissed bool          // with Failure: the deadline passed
	BadRequest     bool          // with Failure: the worker found the request at fault
}

// Attempt is one try at a worker, handed to the front's attempt function.
type Attempt struct {
	Worker string // its id in the list
	Addr   string // opaque here
	Number int    // number within the request
	Zone   int    // that it is in
	Kind   int
	Cell   int
	s      *session
	id     dispatch.WorkerID
	place  *workerState // of the worker, where limits of the whole fleet are kept
}

// ReportStarted tells that the worker has begun.
func (a *Attempt) ReportStarted() { a.note(dispatch.NotificationStarted, 0) }

// ReportProgress tells the share done.
func (a *Attempt) ReportProgress(share float64) { a.note(dispatch.NotificationProgress, share) }

func (a *Attempt) note(kind dispatch.NotificationKind, share float64) {
	n := dispatch.Notification{ID: a.s.id, Attempt: a.Number, Worker: a.id, Kind: kind, FractionDone: share}
	if a.s.b.Tracing() {
		a.s.b.Tracef("note %d n=%d to=%s kind=%d share=%.2f", a.s.id, a.Number, a.Worker, kind, share)
	}
	a.s.b.post(func(now time.Duration, out dispatch.Actions) { a.s.b.module.Notify(now, n, out) })
}

// Tracing tells whether lines are wanted, as the broker's does.
func (a *Attempt) Tracing() bool { return a.s != nil && a.s.b.Tracing() }

// Tracef writes a line on this attempt where lines are wanted.
func (a *Attempt) Tracef(format string, args ...any) {
	if a.Tracing() {
		a.s.b.trace(fmt.Sprintf("try %d n=%d ", a.s.id, a.Number) + fmt.Sprintf(format, args...))
	}
}

// MaySend tells whether the attempt may still be sent. A front asks again once its
// connection is up: connecting takes time, what the list has told meanwhile counts, and the
// window in which a repeat is dropped may be over. A worker that is reached elsewhere now
// may not be sent to: at the old address another may answer. And the lease of this process's part of what may be out
// at the worker may be over: a process that stood still meanwhile would send what others have been given since.
func (a *Attempt) MaySend() bool {
	return a.s.inWindow() && a.s.b.maySendTo(a.id, a.Addr) && a.s.b.hasRoom(a.place)
}

// InPool tells whether the worker is in a pool now, by its name; the empty one has all.
func (a *Attempt) InPool(pool string) bool {
	b := a.s.b
	b.mu.Lock()
	defer b.mu.Unlock()
	return pool == "" || b.pools.Bit(pool)&b.pools.PoolsOf(a.Worker, a.Zone, a.Kind, a.Cell) != 0
}

// AttemptFunc carries one attempt to its end and reports it. When ctx ends it must give
// the attempt up, and return only once the worker can no longer see it as out.
type AttemptFunc func(ctx context.Context, a *Attempt) Outcome
