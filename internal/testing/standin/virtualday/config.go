package virtualday

// This file has what a day is configured with, and what comes of it.

import (
	"time"

	"yardflow/scheduling/dispatch"
)

// Class is one class of jobs.
type Class struct {
	dispatch.Class
	Share float64       // of all jobs
	Slots int           // of one job
	Mean  time.Duration // of the work
	Sigma float64       // of its logarithm: sizes are log-normal
}

// Holder stands, as a fault's worker, for the one that holds a reservation at the moment; the fault
// waits until there is one.
const Holder = -1

// Fault is something that happens to a worker, or to a dispatcher.
type Fault struct {
	At     time.Duration
	Worker int    // or the dispatcher, for "die" and "upgrade"
	Do     string // "slow" (Factor), "drain", "restart", "hang", "errors" (Factor: share), "back" ends any;
	// "exclude" and "include", by operators' hands; "die" (Factor: seconds until it is up
	// again) and "upgrade", of a dispatcher
	Factor float64
}

// Burst is a stretch of the day with so many times the load.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Talk is the way of datagrams: each comes after a delay of its own, up to Delay, or twice,
// or with a bit flipped, or never.
type Talk struct {
	Delay                  time.Duration
	Lost, Doubled, Spoiled float64 // shares
	Deaf                   int     // dispatchers that hear nothing and are not heard
}

// Surge is a stretch in which one tenant sends so many times its usual.
type Surge struct {
	From, To time.Duration
	Tenant   int
	Factor   float64
}

// Config is one day.
type Config struct {
	Seed        uint64
	Length      time.Duration
	Dispatchers int
	Workers     int
	Slots       []int     // of each worker, in turn
	Speeds      []float64 // likewise
	Load        float64   // of the fleet's capacity
	Bursts      []Burst   // on top of it
	CellSize    int       // workers that drop each other's repeats; 0: each alone
	Uneven      float64   // sigma of the logarithm of what dispatchers get of the jobs; 0: all alike
	Classes     []Class
	Faults      []Fault
	Settings    func(*dispatch.Settings) // what is to be otherwise; may be nil
	Retunes     map[time.Duration]func(*dispatch.Settings)
	Delay       time.Duration // of the network, one way
	Zones       int           // workers and dispatchers are spread over; 0: one
	Cross       time.Duration // beside Delay, between zones
	ListLate    time.Duration // what the roster knows of is told so much later
	ReportLate  time.Duration // what reports say is so old, beside Report
	Tenants     []float64     // shares of the jobs; nil: one tenant
	Surges      []Surge
	Policy      Policy        // in place of the module; 0: the module
	Talk        *Talk         // how dispatchers' datagrams reach each other; nil: they may not talk
	Report      time.Duration // reports are refreshed so often
}

// Score is what came of one class.
type Score struct {
	Jobs, InTime, Late, Refused, Failed int
	Worth, Of                           float64
	Wait                                time.Duration // longest from arrival to first start
}

// Result is what came of a day.
type Result struct {
	Classes  []Score
	Tenants  []Score // Worth and Of alone
	Windows  []Score // likewise, of 10 s by the time of arrival
	Broken   []string
	Busiest  float64 // part of all slot time that was at work
	Modules  []dispatch.Dispatcher
	Decided  int           // calls of modules
	Hit      int           // faults that hit a holder of room
	IntoHung int           // sends to workers in the second after they began to answer nothing
	Told     int           // bytes that dispatchers told
	LateSend time.Duration // latest send to a worker after its drain was told
}

// Worth is the part of the worth asked for that was served in time.
func (r *Result) Worth() float64 {
	got, of := 0.0, 0.0
	for _, c := range r.Classes {
		got, of = got+c.Worth, of+c.Of
	}
	return got / max(of, 1e-9)
}
