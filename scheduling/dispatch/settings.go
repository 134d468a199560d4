package dispatch

import (
	"errors"
	"fmt"
	"time"

	"yardflow/scheduling/backfill"
)

// Semantics says what may be done with a request that may have run.
type Semantics uint8

// What may be done with a request that may have run.
const (
	Retryable    Semantics = iota // idempotent: safe to retry and to reject
	Deduplicated                  // workers of one DedupScope drop repeats for DedupWindow
	AtMostOnce                    // must never run twice
)

// DedupScope is the group of workers that drops repeats of a Deduplicated request.
type DedupScope uint8

// The groups of workers that can drop repeats.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name           string
	LatencyTarget  time.Duration // on time within LatencyTarget + Stretch x work
	Stretch        float64       // part of the target that grows with the request's work
	Deadline       time.Duration // after which the client gives up
	Value          float64       // of an answer on time, in the operators' unit
	LateValueShare float64       // part of Value that an answer after the target still has, 0 to 1
	Semantics      Semantics
	DedupScope     DedupScope
	DedupWindow    time.Duration // for how long workers drop repeats, for Deduplicated
	WorkerKind     int           // the one kind of worker that runs it, or -1 for any
	Priority       int           // as configured; no decision goes by it
	Stream         bool          // as configured; no decision goes by it
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all dispatchers; 0: none
}

// LoadField names one value of a load report.
type LoadField uint8

// The values of a load report that a dispatcher knows.
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

// Settings is what a dispatcher is configured with at its start, and anew by Reconfigure.
type Settings struct {
	DispatcherIndex, DispatcherCount int // this dispatcher's index, from 0, and how many there are
	Zone                             int
	Classes                          []Class
	Tenants                          []Tenant
	OverQuotaValueShare              float64     // part of its value that a request over quota has
	ValuePerWork                     bool        // a class's value counts per unit of work, not per request
	LoadFields                       []LoadField // order of the values in load reports

	MinEventGap        time.Duration // least time between two events
	StartNotifications bool          // workers notify when a job starts
	ProgressInterval   time.Duration // between progress notifications; 0: none
	FIFOWorkers        bool          // workers serve their queues strictly first in, first out
	MustSubscribe      bool          // the worker list comes only when asked for

	MaxAttempts   int           // of one request, the first among them
	Hedging       bool          // two attempts of one request may be outstanding at once
	Cancellation  bool          // attempts may be cancelled; their workers may still run them
	Probes        bool          // workers answer load probes; no decision sends any
	Peers         bool          // dispatchers may broadcast to each other
	MaxRetryAfter time.Duration // longest advice when to come back; 0: clients take none
	AnswerSlack   time.Duration // an answer may come so long after the deadline

	DrainGrace          time.Duration // for which a draining worker may be sent to; not used here
	ListRefreshInterval time.Duration // ask the list service at least this often
	SlowStartShare      float64       // a started worker has at least this share of its capacity
	SlowStartTime       time.Duration // and all of it after this time
	CrashLoadFactor     float64       // more than this multiple of a worker's present capacity
	CrashLoadTime       time.Duration // for this time makes it crash

	CrossZoneCost   float64            // price of one attempt crossing zones, in mean values of a request
	PeerMessageCost float64            // price of a whole message (256 bytes) at each receiver, in requests
	WastedWorkCost  float64            // price of work that served nothing, in values; no decision goes by it
	Backfill        *backfill.Settings // bounds of reservations for large jobs; nil: none are made

	LateCost float64 // price of ending unserved after the target, in values; no decision goes by it
}

// Validate reports settings no dispatcher can act on: no class, no dispatcher
// or an own index outside their range, a class without deadline, attempts
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
	if s.MinEventGap < 0 || s.ProgressInterval < 0 || s.AnswerSlack < 0 || s.DrainGrace < 0 ||
		s.ListRefreshInterval < 0 || s.SlowStartShare < 0 || s.SlowStartShare > 1 || s.SlowStartTime < 0 ||
		s.CrashLoadFactor < 0 || s.CrashLoadTime < 0 {
		return errors.New("dispatch: negative or impossible rule figures")
	}
	if s.Backfill != nil {
		if err := s.Backfill.Validate(); err != nil {
			return fmt.Errorf("dispatch: room: %w", err)
		}
	}
	return nil
}
