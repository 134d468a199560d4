package broker

// This file holds the values that fronts and the broker hand each other: requests, attempts, outcomes and answers.

import (
	"context"
	"time"

	"yardflow/scheduling/dispatch"
)

// Request is a job as the broker knows it. A front makes it; it does not change afterwards.
type Request struct {
	Settings      *dispatch.Settings // under which it was read; nil: those in force
	Class, Tenant int                // indices into these settings; a negative Tenant: none
	Deadline      time.Time          // when the client gives up
	Slots, Memory float64            // as the class's workers count them
	ClientRetry   bool               // marked by the client as a retry of an earlier request
	Team          string             // under whose contract it comes; empty: none
	PolicyVersion uint64             // of the policy under which it was admitted, and which it keeps; 0: none
	AdmittedAt    time.Time          // when that policy was asked
	WorkflowStep  bool               // a step of a workflow, counted apart from clients' requests
	BestEffort    bool               // takes only capacity that nobody else needs
	Pools         uint64             // worker pools that it may be sent to, a bit each in the set in force; 0: any worker
	EarlierWorker *dispatch.Worker   // where it may have run for an earlier request; nil: nowhere
	EarlierRunAge time.Duration      // the time since then, at most
}

// Code is how an attempt ended.
type Code = dispatch.Code

// How an attempt ended. All but BadRequest are the module's codes.
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

	// BadRequest is a worker's statement that the request itself is at fault: no worker can do better with it, and this
	// one is not the worse for having said so. The module never hears this code.
	BadRequest Code = 255
)

// Outcome is the end of one attempt.
type Outcome struct {
	Code   Code
	Load   []float64 // the worker's load report, in the order of the settings' columns; may be empty
	Result []byte    // the answer, for OK
}

// MayHaveRun reports whether the worker may have run the request.
func (o *Outcome) MayHaveRun() bool {
	return o.Code != Rejected && o.Code != ConnectFailed && o.Code != NotSent
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of final answers.
const (
	AnswerServed     AnswerKind = iota // with the worker's result
	AnswerRejected                     // a retry by the client is harmless
	AnswerFailed                       // promises nothing: it may have run
	AnswerClientGone                   // nobody waits any longer
)

// Answer is the one final answer of a request.
type Answer struct {
	Kind           AnswerKind
	Result         []byte
	RetryAfter     time.Duration // with AnswerRejected: advice to the client; 0: none
	OverBudget     bool          // with AnswerRejected: a contract or a limit of the fleet was exceeded
	DeadlineMissed bool          // with AnswerFailed: the deadline passed
	BadRequest     bool          // with AnswerFailed: a worker found the request itself at fault
}

// AttemptFunc carries one attempt to its end and reports it. When ctx ends it must give the attempt up, and return only
// once the worker can no longer see it as outstanding: the next attempt begins when it has returned.
type AttemptFunc func(ctx context.Context, a *Attempt) Outcome
