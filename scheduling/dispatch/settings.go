package dispatch

import (
	"errors"
	"fmt"
	"time"

	"yardflow/scheduling/backfill"
)

// Semantics states how a request that may have run may be treated.
type Semantics uint8

// The values of Semantics.
const (
	Retryable    Semantics = iota // idempotent: may be retried, and rejected as harmless to retry
	Deduplicated                  // the workers of one DedupScope drop repeats for DedupWindow
	AtMostOnce                    // must not run twice
)

// DedupScope is the group of workers within which repeats of a Deduplicated request are dropped.
type DedupScope uint8

// The values of DedupScope.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name           string
	LatencyTarget  time.Duration // a request is on time within LatencyTarget + Stretch x work
	Stretch        float64       // factor on the request's work; see LatencyTarget
	Deadline       time.Duration // time after which the client gives up
	Value          float64       // value of an answer on time, in the operators' unit
	LateValueShare float64       // share of Value for an answer after the target, 0 to 1
	Semantics      Semantics
	DedupScope     DedupScope
	DedupWindow    time.Duration // time for which workers drop repeats, for Deduplicated
	WorkerKind     int           // the only kind of worker that can run its requests; -1: any
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all dispatchers; 0: no quota
}

// LoadField identifies a value in a load report.
type LoadField uint8

// The fields of a load report. A dispatcher uses only LoadActive, LoadErrorRate, LoadFreeSlots and
// LoadFreeMemory.
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

// Settings is the configuration of a dispatcher, passed to New and Reconfigure.
type Settings struct {
	Classes     []Class
	Tenants     []Tenant
	MinEventGap time.Duration // least time between two events

	Values    ValueSettings
	Fleet     FleetSettings
	Workers   WorkerSettings
	List      ListSettings
	Attempts  AttemptSettings
	SlowStart SlowStartSettings
	Backfill  *backfill.Settings // bounds of reservations for large jobs; nil: no reservations
}

// ValueSettings holds values and prices beside the values of the classes.
type ValueSettings struct {
	OverQuotaShare float64 // share of its value that a request over quota has
	PerWork        bool    // a class's value is per unit of work, not per request
	CrossZoneCost  float64 // price of one attempt crossing zones, in mean values of a request
}

// FleetSettings describes this dispatcher's place among all dispatchers, and whether they broadcast.
type FleetSettings struct {
	Index           int     // index of this dispatcher, from 0
	Count           int     // number of dispatchers
	Zone            int     // zone of this dispatcher
	Peers           bool    // dispatchers may broadcast to each other
	PeerMessageCost float64 // price of a full message (256 bytes) at each receiver, in requests
}

// WorkerSettings describes how workers serve jobs and what they report.
type WorkerSettings struct {
	FIFO               bool          // workers serve their queues strictly first in, first out
	StartNotifications bool          // workers notify the dispatcher when a job starts
	ProgressInterval   time.Duration // time between progress notifications; 0: none
	LoadFields         []LoadField   // order of the values in load reports
	DrainGrace         time.Duration // time for which a draining worker may get jobs; bounds the list's age
}

// ListSettings describes how the worker list is obtained.
type ListSettings struct {
	MustSubscribe   bool          // the list service sends the list on request only
	RefreshInterval time.Duration // ask the list service at least this often
}

// AttemptSettings limits the attempts of one request and its answer.
type AttemptSettings struct {
	Max           int           // most attempts of one request, including the first
	Hedging       bool          // two attempts of one request may be outstanding at once
	Cancellation  bool          // attempts may be cancelled; their workers may still run them
	MaxRetryAfter time.Duration // longest retry time that clients are given; 0: they are given none
	AnswerSlack   time.Duration // time after the deadline by which an answer may still come
}

// SlowStartSettings describes the capacity of a worker that has just started.
type SlowStartSettings struct {
	Share           float64       // least share of its full capacity that the worker has at its start
	Time            time.Duration // time from the worker's start to full capacity
	CrashLoadFactor float64       // load, in multiples of its present capacity, above which it crashes
	CrashLoadTime   time.Duration // how long such a load has to last to crash it
}

// Validate returns an error if the settings are unusable: they have no classes, Fleet.Index is out of range
// for Fleet.Count, no attempt is allowed, a class has no deadline, or a value is negative or out of range.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("dispatch: no classes")
	}
	if s.Fleet.Count < 1 || s.Fleet.Index < 0 || s.Fleet.Index >= s.Fleet.Count {
		return fmt.Errorf("dispatch: index %d out of range for %d dispatchers", s.Fleet.Index, s.Fleet.Count)
	}
	if s.Attempts.Max < 1 {
		return fmt.Errorf("dispatch: at most %d attempts are allowed, want at least 1", s.Attempts.Max)
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.LatencyTarget < 0 || c.Stretch < 0 || c.Value < 0 || c.DedupWindow < 0 ||
			c.Semantics > AtMostOnce || c.DedupScope > ScopeCell {
			return fmt.Errorf("dispatch: class %d (%s) has a value out of range", i, c.Name)
		}
	}
	if s.MinEventGap < 0 || s.Attempts.AnswerSlack < 0 || s.List.RefreshInterval < 0 || !s.Workers.valid() || !s.SlowStart.valid() {
		return errors.New("dispatch: a setting is negative or out of range")
	}
	if s.Backfill != nil {
		if err := s.Backfill.Validate(); err != nil {
			return fmt.Errorf("dispatch: room: %w", err)
		}
	}
	return nil
}

func (w *WorkerSettings) valid() bool { return w.ProgressInterval >= 0 && w.DrainGrace >= 0 }

func (s *SlowStartSettings) valid() bool {
	return s.Share >= 0 && s.Share <= 1 && s.Time >= 0 && s.CrashLoadFactor >= 0 && s.CrashLoadTime >= 0
}
