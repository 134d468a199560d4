package dispatch

import (
	"time"

	"yardflow/scheduling/backfill"
)

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// WorkerID names a worker. It carries no meaning beyond identity.
type WorkerID uint64

// WorkerState is what the list says of a worker.
type WorkerState uint8

// What a list says of a worker. Only a Ready one is sent anything new.
const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Health is what the dispatchers of a fleet have found together of a worker.
type Health uint8

// The states of outlier ejection.
const (
	Healthy     Health = iota // nothing is known against it
	OnProbation               // ejected, and one job that may be retried is to show whether it still fails
	Ejected                   // enough of the other dispatchers have seen it fail
)

// Worker is one entry of a worker list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	Weight           float64       // size relative to other workers; 0 or less counts as 1
	Launched         time.Duration // latest start on the host's clock; 0: long past
	Health           Health
	Pools            uint64 // that it is in, a bit each
}

// ListForm says how a list is to be read.
type ListForm uint8

// How a list is to be read.
const (
	ListDelta    ListForm = iota // changed entries only
	ListFailed                   // a call failed or the subscription broke; no entries
	ListFull                     // the complete list
	ListCached                   // the list as this dispatcher last held it, at start
	ListOverride                 // entries changed by the host's own knowledge; the list service said nothing
)

// Request is a job handed in by a client.
type Request struct {
	ID            RequestID
	Class         int    // index into Settings.Classes
	ResolvedClass *Class // the class, where settings may have changed since it was read; nil: Classes[Class]
	Tenant        int    // index into Settings.Tenants
	TimeLeft      time.Duration
	WorkHint      time.Duration // expected work on a standard core; 0: not stated
	Slots         float64       // under 1 counts as 1
	Memory        float64
	ClientRetry   bool          // marked by the client as a retry of an earlier request
	Pools         uint64        // of workers, a bit each, that it may be sent to; 0: to any
	EarlierWorker *Worker       // where it may have run for an earlier request; nil: nowhere
	EarlierRunAge time.Duration // since that attempt
	BestEffort    bool          // takes only capacity that nobody else needs, up to its deadline
}

// Code is how an attempt ended.
type Code uint8

// How an attempt ended.
const (
	OK              Code = iota
	Failed               // the worker returned an error; it may have run
	Rejected             // by the worker, unseen: it never ran
	TimedOut             // may have run or still be running
	ConnectFailed        // never reached the worker
	ConnectionLost       // while it was used; may have run
	Cancelled            // may have run
	NotSent              // the host did not send it
	Unknown              // anything else: taken as one that may have run
	StaleConnection      // a kept connection was closed before use: may have run, says nothing of the worker
)

// Outcome reports the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Worker       WorkerID
	Code         Code
	Latency      time.Duration
	Answered     bool      // the request has its final answer
	FinalAttempt bool      // no further attempt of it may be made
	Load         []float64 // load report, as in Settings.Workers.LoadFields; may be empty
}

// NotificationKind is the kind of a Notification.
type NotificationKind uint8

// What a worker notifies of while an attempt is outstanding.
const (
	NotificationOther NotificationKind = iota
	NotificationStarted
	NotificationProgress
)

// Notification is a worker's word on an attempt that is still outstanding.
type Notification struct {
	ID           RequestID
	Attempt      int
	Worker       WorkerID
	Kind         NotificationKind
	FractionDone float64 // 0 to 1, for NotificationProgress
}

// ReservationReport is what is reserved for large jobs now, and what came of it since the start.
type ReservationReport struct {
	Reservations []backfill.Reservation // by the time at which they were made
	IdleShare    float64                // part of the last minute's slot time left idle by them

	Created, Fulfilled, Expired int // reservations made, used by their job, and ended by age
	Backfilled, Delayed         int // small jobs started ahead of a reservation, and kept waiting by one
}
