package dispatch

import (
	"time"

	"yardflow/scheduling/backfill"
)

// RequestID identifies a request; the host never uses an id twice.
type RequestID uint64

// WorkerID identifies a worker; its value has no other meaning.
type WorkerID uint64

// WorkerState is the state of a worker in the worker list.
type WorkerState uint8

// The states of a worker in the worker list. New jobs are sent only to Ready workers.
const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Health is the state of a worker on which the fleet's dispatchers have agreed.
type Health uint8

// The states of outlier ejection.
const (
	Healthy     Health = iota // not ejected
	OnProbation               // ejected; one retryable job may be sent to test whether it still fails
	Ejected                   // enough of the other dispatchers have seen it fail
)

// Worker is one entry of a worker list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	Weight           float64       // size relative to other workers; 0 or less counts as 1
	Launched         time.Duration // time of the latest start on the host's clock; 0: long ago
	Health           Health
	Pools            uint64 // bit set of the pools that contain the worker
}

// ListForm is the form of a worker list.
type ListForm uint8

// The forms of a worker list.
const (
	ListDelta    ListForm = iota // only the changed entries
	ListFailed                   // no entries: the call failed or the subscription broke
	ListFull                     // the complete list
	ListCached                   // the last list held by this dispatcher before its restart, passed at start
	ListOverride                 // entries that the host itself changed; the list service sent nothing
)

// Request is a job submitted by a client.
type Request struct {
	ID            RequestID
	Class         int    // index into Settings.Classes
	ResolvedClass *Class // class, if resolved under earlier settings; nil: Classes[Class]
	Tenant        int    // index into Settings.Tenants
	TimeLeft      time.Duration
	WorkHint      time.Duration // expected work on a standard core; 0: not stated
	Slots         float64       // slots that the job needs; below 1 counts as 1
	Memory        float64       // memory that the job needs; a worker has 1 per slot
	ClientRetry   bool          // marked by the client as a retry of an earlier request
	Pools         uint64        // bit set of the worker pools that may run it; 0: any worker
	EarlierWorker *Worker       // worker that may have run it for an earlier request; nil: none
	EarlierRunAge time.Duration // time since that earlier attempt
	BestEffort    bool          // uses only capacity that no other request needs, until its deadline
}

// Code is the outcome of an attempt.
type Code uint8

// The outcomes of an attempt.
const (
	OK              Code = iota
	Failed               // the worker returned an error; the job may have run
	Rejected             // the worker rejected the job without starting it; it never ran
	TimedOut             // the job may have run or still be running
	ConnectFailed        // the job never reached the worker
	ConnectionLost       // the connection was lost while in use; the job may have run
	Cancelled            // the job may have run
	NotSent              // the host did not send the job
	Unknown              // any other outcome; the job is assumed to have possibly run
	StaleConnection      // idle connection closed before use: may have run, says nothing about the worker
)

// Outcome reports the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Worker       WorkerID
	Code         Code
	Latency      time.Duration
	Answered     bool      // the request has its final answer
	FinalAttempt bool      // the request must get no further attempt
	Load         []float64 // load report, in the order of Settings.Workers.LoadFields; may be empty
}

// NotificationKind is the kind of a Notification.
type NotificationKind uint8

// The kinds of notification that a worker sends during an attempt.
const (
	NotificationOther NotificationKind = iota
	NotificationStarted
	NotificationProgress
)

// Notification is a worker's message about an outstanding attempt.
type Notification struct {
	ID           RequestID
	Attempt      int
	Worker       WorkerID
	Kind         NotificationKind
	FractionDone float64 // completed part of the job, 0 to 1; only for NotificationProgress
}

// ReservationReport lists the current reservations for large jobs and counts events since the start.
type ReservationReport struct {
	Reservations []backfill.Reservation // ordered by creation time
	IdleShare    float64                // share of the last minute's slot time that they left idle

	Created, Fulfilled, Expired int // reservations created, used by their job, and expired
	Backfilled, Delayed         int // small jobs started ahead of a reservation, and delayed by one
}
