// Package dispatch decides, for one of several dispatchers that push jobs to
// workers, which job goes to which worker and when. It follows ACHQ, the
// actor-critic for heterogeneous queues of Jali, Qu, Wang and Joshi (Efficient
// Reinforcement Learning for Routing Jobs in Heterogeneous Queueing Systems),
// with slot counts, speed estimates and a local queue in place of the paper's
// busy flags, known rates and central queue.
//
// A host makes one [Dispatcher] per process with [New], calls one method per
// event and carries out what the dispatcher writes to the [Actions] sink.
//
// The package owns no goroutine, no clock and no connection: time is what the
// host passes in, randomness comes from the seed alone, and the same events give
// the same actions. A Dispatcher is not safe for concurrent use.
//
// Invariants, whatever the events: every request gets exactly one final answer;
// nothing is sent for an answered one; an AtMostOnce request that may have run is
// never sent again, a Deduplicated one only where and while its repeats are
// dropped; only workers that the list calls Ready are sent to; and what a warming
// worker is sent stays within its slow-start budget.
//
// One concern a file:
//
//	dispatch.go      the interface: events in, actions out
//	settings.go      what a dispatcher is configured with
//	events.go        the values that events carry
//	dispatcher.go    the state, timer, reconfiguration
//	requests.go      requests: arrival, lifecycle, final answer
//	attempts.go      attempts: sending, notifications, end; what may be retried
//	reclaim.go       attempts that stand still, reclaimed and sent elsewhere
//	queue.go         the queue of requests that wait, and its deadlines
//	selection.go     which worker a request goes to; capacity
//	overcommit.go    sends beyond known capacity, and their pacing
//	actorcritic.go   ACHQ's learner of the soft thresholds
//	lottery.go       weighted random choice where dispatchers outnumber workers
//	shares.go        each dispatcher's own share of the workers; pools of classes
//	fleet.go         workers, as listed and ranked; following the worker list
//	speed.go         estimates of run times and speeds
//	ranking.go       workers ranked by expected time
//	loadreport.go    workers' load reports; slots per worker
//	slotlimit.go     the slot limit per worker, in the manner of TCP's window
//	health.go        failures, late and lost attempts, probation
//	slowstart.go     the budget of a worker that warms up
//	overload.go      load shedding, and when rejected clients are to come back
//	quota.go         tenants' quotas
//	reservations.go  slots reserved for large jobs (package backfill)
//	peers.go         usage that dispatchers broadcast to each other
//	snapshot.go      what was learned, for the process that takes over
package dispatch

import "time"

// Actions is the sink a host implements; actions take effect in order.
type Actions interface {
	// Send starts the next attempt of a request, numbered from 0; within 0 means until the client gives up.
	Send(id RequestID, w WorkerID, within time.Duration)
	// Reject is a final answer that tells the client a retry is harmless, after comeBack.
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
	// Log writes a line for the operators.
	Log(line string)
}

// Dispatcher takes events and decides. Every method takes the present time on
// the host's clock, which never runs backwards, and writes to the sink.
// Events that name an id no longer held are skipped.
type Dispatcher interface {
	// UpdateWorkers brings the worker list. A cached list (it may be empty) comes first.
	UpdateWorkers(now time.Duration, form ListForm, workers []Worker, out Actions)
	// Arrive hands in a request, which gets exactly one final answer.
	Arrive(now time.Duration, r Request, out Actions)
	// AttemptEnded reports how an attempt ended.
	AttemptEnded(now time.Duration, o Outcome, out Actions)
	// Notify reports that an attempt has started or how far it is.
	Notify(now time.Duration, n Notification, out Actions)
	// StreamStarted reports that the answer has begun to reach the client.
	StreamStarted(now time.Duration, id RequestID, attempt int, out Actions)
	// ClientDisconnected reports that the client no longer waits.
	ClientDisconnected(now time.Duration, id RequestID, out Actions)
	// ProbeAnswered brings the result of a Probe.
	ProbeAnswered(now time.Duration, w WorkerID, code Code, load []float64, out Actions)
	// PeerMessage brings what another dispatcher broadcast.
	PeerMessage(now time.Duration, from int, msg []byte, out Actions)
	// Reconfigure brings new settings, which New would accept too. Open requests keep
	// their class; all else holds for them as for new ones.
	Reconfigure(now time.Duration, s Settings, out Actions)
	// Snapshot is what was learned so far, in a form of the module's own, for a
	// dispatcher that takes over under the same settings and clock.
	Snapshot() []byte
	// Restore takes in a Snapshot, before the first list; one of speeds alone (package speeds) at
	// any time. One that cannot be read, or of another version, is ignored.
	Restore(snapshot []byte)
	// Reservations reports what is reserved for large jobs; nil where backfilling is off.
	Reservations() *ReservationReport
	// SetReservationShare limits what may be reserved to a part of the settings' bounds, over 0
	// to 1, where several processes reserve side by side.
	SetReservationShare(part float64)
	// SetWorkerLimits limits the jobs outstanding at any one worker (jobsPerWorker; 0: by capacity alone;
	// under 0: none may be sent), and what a warming one is sent to a part of what it bears, 0 to 1
	// (slowStartPart; under 0: the fleet grants no parts, and the own share of the worker counts).
	SetWorkerLimits(now time.Duration, jobsPerWorker int, slowStartPart float64, out Actions)
	// Timer answers a Wake.
	Timer(now time.Duration, tag uint64, out Actions)
}

// New makes a dispatcher. It fails on settings no dispatcher can act on, as
// [Settings.Validate] names them. All random draws come from the seed.
func New(s Settings, seed uint64) (Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return newDispatcher(s, seed), nil
}
