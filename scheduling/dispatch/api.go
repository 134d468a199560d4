// Package dispatch decides, for a dispatcher that pushes jobs to workers,
// which job goes to which worker and when.
//
// A host makes one [Dispatcher] per scheduler with [New], calls one method
// per event and carries out what the dispatcher writes to the [Actions] sink.
// The dispatcher owns no goroutine, no clock and no connection: time is what
// the host passes in, randomness comes from the seed alone, and the same
// events give the same actions. A Dispatcher is not safe for concurrent use.
//
// This file is the whole interface. The decisions are in dispatcher.go.
package dispatch

import (
	"errors"
	"fmt"
	"time"

	"yardflow/scheduling/backfill"
)

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// WorkerID names a worker. It carries no meaning beyond identity.
type WorkerID uint64

// Semantics says what may be done with a request that may have run.
type Semantics uint8

const (
	Retryable    Semantics = iota // safe to repeat and to refuse
	Deduplicated                  // workers of one group drop repeats for a while
	AtMostOnce                    // must never run twice
)

// DedupScope is the group of workers that drops repeats of a Dedup request.
type DedupScope uint8

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name           string
	LatencyTarget  time.Duration // wanted within Aim + Stretch x work
	Stretch        float64
	Deadline       time.Duration
	Value          float64
	LateValueShare float64 // share of the worth earned after the aim
	Semantics      Semantics
	DedupScope     DedupScope
	DedupWindow    time.Duration // how long repeats are dropped, for Dedup
	WorkerKind     int           // the one worker kind that runs it, or -1
	Priority       int
	Stream         bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all dispatchers; 0: none
}

// LoadField names one value of a load report.
type LoadField uint8

const (
	LoadOther LoadField = iota
	LoadActive
	LoadWaiting
	LoadServiceMs
	LoadRate
	LoadErrorRate
	LoadFreeSlots
	LoadFreeMemory
)

// Settings is what a dispatcher is told at its start, and anew by Retune.
type Settings struct {
	DispatcherIndex, DispatcherCount int // own number and how many dispatchers there are
	Zone                             int
	Classes                          []Class
	Tenants                          []Tenant
	OverQuotaValueShare              float64     // worth of traffic beyond a tenant's quota, as a share
	ValuePerWork                     bool        // worth counts per unit of work, not per request
	LoadFields                       []LoadField // order of the values in load reports

	MinEventGap        time.Duration // least time between two events
	StartNotifications bool          // workers tell when a job starts
	ProgressInterval   time.Duration // interval of progress notes; 0: none
	FIFOWorkers        bool          // workers serve their queues strictly in order
	MustSubscribe      bool          // the worker list comes only when asked for

	MaxAttempts   int
	Hedging       bool // two attempts of one request may be out at once
	Cancellation  bool
	Probes        bool
	Peers         bool
	MaxRetryAfter time.Duration // 0: clients take no advice
	AnswerSlack   time.Duration

	DrainGrace          time.Duration // nothing new to a draining worker after this
	ListRefreshInterval time.Duration // ask the list service at least this often
	SlowStartShare      float64       // a started worker has at least this share of its capacity
	SlowStartTime       time.Duration // and all of it after this time
	CrashLoadFactor     float64       // more than this multiple of the present capacity
	CrashLoadTime       time.Duration // for this time makes it fall over

	CrossZoneCost   float64            // price of one attempt crossing zones, in mean worths
	PeerMessageCost float64            // price of a whole message (256 bytes) at each receiver, in requests
	WastedWorkCost  float64            // price of work that served nothing, in worths
	Backfill        *backfill.Settings // by which room is held for large jobs; nil: none is

	LateCost float64 // price of ending unserved after the aim, in worths
}

// Validate reports settings no dispatcher can act on: no class, no dispatcher
// or an own number outside their range, a class without deadline, attempts
// that can never be made, and negative figures.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("dispatch: no classes")
	}
	if s.DispatcherCount < 1 || s.DispatcherIndex < 0 || s.DispatcherIndex >= s.DispatcherCount {
		return fmt.Errorf("dispatch: dispatcher %d of %d", s.DispatcherIndex, s.DispatcherCount)
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("dispatch: at most %d attempts", s.MaxAttempts)
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.LatencyTarget < 0 || c.Stretch < 0 || c.Value < 0 || c.DedupWindow < 0 ||
			c.Semantics > AtMostOnce || c.DedupScope > ScopeCell {
			return fmt.Errorf("dispatch: class %d (%s) has impossible figures", i, c.Name)
		}
	}
	if s.MinEventGap < 0 || s.ProgressInterval < 0 || s.AnswerSlack < 0 || s.DrainGrace < 0 || s.ListRefreshInterval < 0 ||
		s.SlowStartShare < 0 || s.SlowStartShare > 1 || s.SlowStartTime < 0 || s.CrashLoadFactor < 0 || s.CrashLoadTime < 0 {
		return errors.New("dispatch: negative or impossible rule figures")
	}
	if s.Backfill != nil {
		if err := s.Backfill.Validate(); err != nil {
			return fmt.Errorf("dispatch: room: %w", err)
		}
	}
	return nil
}

// Reservations is what is held for large jobs now, and what came of it since the start.
type ReservationReport struct {
	Reservations                                     []backfill.Reservation // by the time at which they were made
	IdleShare                                        float64                // part of the last minute's slot time left idle by them
	Created, Fulfilled, Expired, Backfilled, Delayed int
}

// WorkerState is what the list says of a worker.
type WorkerState uint8

const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Health is what the dispatchers of a fleet have found together of a worker.
type Health uint8

const (
	Healthy     Health = iota // nothing is known against it
	OnProbation               // it is condemned, and one job that may be repeated is to show whether still
	Ejected                   // enough of the others have seen it fail
)

// Worker is one entry of a worker list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	Weight           float64       // relative size
	Launched         time.Duration // latest start on the host's clock; 0: long past
	Health           Health
	Pools            uint64 // that it is in, a bit each
}

// ListForm says how a list is to be read.
type ListForm uint8

const (
	ListDelta    ListForm = iota // changed entries only
	ListFailed                   // a call failed or the subscription broke; no entries
	ListFull                     // the complete list
	ListCached                   // the list as this dispatcher last held it, at start
	ListOverride                 // changed entries by the host's own knowledge; the list service said nothing
)

// Request is a job handed in by a client.
type Request struct {
	ID            RequestID
	Class         int
	ResolvedClass *Class // the class itself, where the settings may have changed since it was read; nil: Classes[Class]
	Tenant        int
	TimeLeft      time.Duration // until the client gives up
	WorkHint      time.Duration // expected work on a standard core; 0: not told
	Slots         float64
	Memory        float64
	ClientRetry   bool    // marked by the client as a repeat
	Pools         uint64  // of workers, a bit each, that it may be sent to; 0: to any
	EarlierWorker *Worker // where it may have run for an earlier request, for so long (EarlierRunAge); nil: nowhere
	EarlierRunAge time.Duration
	BestEffort    bool // it takes only room that nobody else needs, up to its end
}

// Code is how an attempt ended.
type Code uint8

const (
	OK              Code = iota
	Failed               // the worker returned an error; it may have run
	Rejected             // rejected unseen
	TimedOut             // may have run or still be running
	ConnectFailed        // never reached the worker
	ConnectionLost       // the connection broke; it may have run
	Cancelled            // may have run
	NotSent              // the host did not send it
	Unknown              // anything else: taken as one that may have run
	StaleConnection      // a kept connection was gone when it was used: may have run, and tells nothing of the worker
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
	Load         []float64 // load report, as in Settings.LoadFields; may be empty
}

// NotificationKind is the kind of a Note.
type NotificationKind uint8

const (
	NotificationOther NotificationKind = iota
	NotificationStarted
	NotificationProgress
)

// Notification is news of an attempt still out.
type Notification struct {
	ID           RequestID
	Attempt      int
	Worker       WorkerID
	Kind         NotificationKind
	FractionDone float64 // done so far, for NotificationProgress
}

// Actions is the sink a host implements; actions take effect in order.
type Actions interface {
	// Send starts the next attempt of a request; within 0 means until the client gives up.
	Send(id RequestID, w WorkerID, within time.Duration)
	// Reject is a final answer that tells the client a retry is harmless.
	Reject(id RequestID, comeBack time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for one attempt.
	Cancel(id RequestID, attempt int)
	// Wake asks for a call of Timer after a while.
	Wake(in time.Duration, tag uint64)
	// Subscribe asks the list service for changes from now on.
	Subscribe()
	// Probe asks a worker for its load.
	Probe(w WorkerID)
	// Broadcast sends at most 256 bytes to all other dispatchers.
	Broadcast(msg []byte)
	// Log writes a line for the staff.
	Log(line string)
}

// Dispatcher takes events and decides. Every method takes the present time on
// the host's clock, which never runs backwards, and writes to the sink.
// Events that name an id no longer held are passed over.
type Dispatcher interface {
	// UpdateWorkers brings the worker list. A cached list (it may be empty) comes first.
	UpdateWorkers(now time.Duration, form ListForm, workers []Worker, out Actions)
	// Arrive hands in a request, which gets exactly one final answer.
	Arrive(now time.Duration, r Request, out Actions)
	// AttemptEnded tells how an attempt ended.
	AttemptEnded(now time.Duration, o Outcome, out Actions)
	// Notification tells that an attempt has started or how far it is.
	Notify(now time.Duration, n Notification, out Actions)
	// StreamStarted tells that the answer has begun to reach the client.
	StreamStarted(now time.Duration, id RequestID, attempt int, out Actions)
	// ClientDisconnected tells that the client no longer waits.
	ClientDisconnected(now time.Duration, id RequestID, out Actions)
	// ProbeAnswered brings the result of a Probe.
	ProbeAnswered(now time.Duration, w WorkerID, code Code, load []float64, out Actions)
	// PeerMessage brings what another dispatcher told.
	PeerMessage(now time.Duration, from int, msg []byte, out Actions)
	// Reconfigure brings new settings, which New would take too. Open requests keep
	// their class; all else holds for them as for new ones.
	Reconfigure(now time.Duration, s Settings, out Actions)
	// Snapshot is what was learned so far, in a form of the module's own, for a
	// dispatcher that takes over under the same settings and clock.
	Snapshot() []byte
	// Restore takes in a Memory, before the first list; one of speeds alone (package memory) at any
	// time. One that can't be read, or of another version, counts as none.
	Restore(memory []byte)
	// Reservations tells what is held for large jobs; nil where none may be.
	Reservations() *ReservationReport
	// SetReservationShare bounds what may be held to a part, over 0 to 1, where several hold together.
	SetReservationShare(part float64)
	// SetWorkerLimits bounds the jobs that are out at any one worker (0: no more than room does, under 0: none
	// may be), and what a cold one is sent to a part of what it bears, 0 to 1 (under 0: to the own share).
	SetWorkerLimits(now time.Duration, most int, cold float64, out Actions)
	// Timer answers a Wake.
	Timer(now time.Duration, tag uint64, out Actions)
}

// New makes a dispatcher. It fails on settings no dispatcher can act on: no
// classes, an own number outside the dispatchers', fewer than one attempt, a
// class without a deadline, or negative figures.
func New(s Settings, seed uint64) (Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return newDispatcher(s, seed), nil
}
