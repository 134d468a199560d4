// Package dispatch decides, for one of several dispatchers that push jobs to
// workers, which job goes to which worker and when. It follows ACHQ, the
// actor-critic for heterogeneous queues of Jali, Qu, Wang and Joshi (Efficient
// Reinforcement Learning for Routing Jobs in Heterogeneous Queueing Systems),
// with slot counts, speed estimates and a local queue in place of the paper's
// busy flags, known rates and central queue.
//
// A host creates one [Dispatcher] per process with [New], calls one method per
// event and carries out the calls that the dispatcher makes to its [Actions].
//
// The package starts no goroutine, reads no clock and opens no connection. The
// host passes in the time, all randomness comes from the seed, and the same
// events give the same actions. A Dispatcher is not safe for concurrent use.
//
// These invariants hold for any sequence of events:
//   - Every request gets exactly one final answer, and no attempt of it is sent
//     after that answer.
//   - An AtMostOnce request that may have run is never sent again.
//   - A Deduplicated request that may have run is sent again only to workers
//     that drop its repeats, and only during its deduplication window.
//   - Jobs are sent only to workers that the worker list reports as Ready.
//   - The jobs sent to a warming worker stay within its slow-start budget.
//
// The files of the package:
//
//	dispatch.go      the interfaces: events in, actions out
//	settings.go      the settings of a dispatcher
//	events.go        the values that events carry
//	dispatcher.go    the dispatcher's state, timer and reconfiguration
//	requests.go      requests: arrival, lifecycle, final answer
//	attempts.go      attempts: sending, notifications, outcome, retry rules
//	reclaim.go       cancelling attempts that do not start, to retry them elsewhere
//	queue.go         the queue of waiting requests and its deadlines
//	selection.go     choosing the worker for a request; capacity checks
//	overcommit.go    sends without known free capacity and their pacing
//	actorcritic.go   ACHQ's learner of the soft thresholds
//	lottery.go       weighted random choice where dispatchers outnumber workers
//	shares.go        each dispatcher's home share of the workers; pools of classes
//	fleet.go         the listed and ranked workers; updates of the worker list
//	speed.go         estimates of run times and speeds
//	ranking.go       ranking of workers by expected run time
//	loadreport.go    load reports of workers
//	slotlimit.go     the slot limit per worker, adjusted like TCP's congestion window
//	health.go        failures, late and lost attempts, probation
//	slowstart.go     the slow-start budget of a warming worker
//	overload.go      load shedding and the retry delay of rejected clients
//	quota.go         tenants' quotas
//	reservations.go  slots reserved for large jobs (package backfill)
//	peers.go         usage that dispatchers broadcast to each other
//	snapshot.go      the learned state, for the process that takes over
package dispatch

import "time"

// Actions receives the decisions of a [Dispatcher]. The host implements it and
// carries out the calls in order.
type Actions interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt
	// times out after timeout, or when the client gives up if timeout is 0.
	Send(id RequestID, w WorkerID, timeout time.Duration)
	// Reject gives the final answer that the client may safely retry, after retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives the final answer that the request has failed. It does not say whether a retry is safe.
	Fail(id RequestID)
	// Cancel stops waiting for one attempt.
	Cancel(id RequestID, attempt int)
	// Wake asks the host to call Timer with tag after the duration in.
	Wake(in time.Duration, tag uint64)
	// Subscribe asks the list service for all changes from now on.
	Subscribe()
	// Probe asks a worker for its load.
	Probe(w WorkerID)
	// Broadcast sends at most 256 bytes to all other dispatchers.
	Broadcast(msg []byte)
	// Log writes a line to the operators' log.
	Log(line string)
}

// Dispatcher handles events and answers them with calls to Actions. The now
// argument is the current time on the host's clock, which never runs backwards.
// An id that the dispatcher does not know, or no longer knows, is ignored.
type Dispatcher interface {
	// UpdateWorkers applies a worker list. The first call passes the cached list, which may be empty.
	UpdateWorkers(now time.Duration, form ListForm, workers []Worker, out Actions)
	// Arrive accepts a request, which gets exactly one final answer.
	Arrive(now time.Duration, r Request, out Actions)
	// AttemptEnded reports the outcome of an attempt.
	AttemptEnded(now time.Duration, o Outcome, out Actions)
	// Notify reports the start or the progress of an attempt.
	Notify(now time.Duration, n Notification, out Actions)
	// StreamStarted reports that the answer has begun to reach the client.
	StreamStarted(now time.Duration, id RequestID, attempt int, out Actions)
	// ClientDisconnected reports that the client no longer waits.
	ClientDisconnected(now time.Duration, id RequestID, out Actions)
	// ProbeAnswered reports the result of a Probe.
	ProbeAnswered(now time.Duration, w WorkerID, code Code, load []float64, out Actions)
	// PeerMessage delivers a broadcast of another dispatcher.
	PeerMessage(now time.Duration, from int, msg []byte, out Actions)
	// Reconfigure applies new settings, which must be valid for New. Open requests keep
	// their class; all other settings apply to them as to new requests.
	Reconfigure(now time.Duration, s Settings, out Actions)
	// Snapshot returns the learned state in a private format, for a dispatcher that
	// takes over with the same settings and clock.
	Snapshot() []byte
	// Restore applies a Snapshot. It must be called before the first list, except that a snapshot of
	// speeds alone (package speeds) may be restored at any time. An unreadable snapshot, or one of
	// another version, is ignored.
	Restore(snapshot []byte)
	// Reservations reports the reservations for large jobs, or nil if backfilling is off.
	Reservations() *ReservationReport
	// SetReservationShare limits reservations to a part (above 0, up to 1) of the bounds in the
	// settings, for several processes that make reservations at the same time.
	SetReservationShare(part float64)
	// SetWorkerLimits sets two limits. jobsPerWorker is the maximum number of jobs outstanding at one
	// worker; 0 means that only capacity limits them, and below 0 no job may be sent. slowStartPart is
	// the part, 0 to 1, of a warming worker's load limit that this dispatcher may use; below 0, the
	// fleet grants no parts, and this dispatcher's home share of the worker applies.
	SetWorkerLimits(now time.Duration, jobsPerWorker int, slowStartPart float64, out Actions)
	// Timer reports that the time of a Wake has come.
	Timer(now time.Duration, tag uint64, out Actions)
}

// New returns a dispatcher, or an error if [Settings.Validate] rejects the
// settings. All random draws come from the seed.
func New(s Settings, seed uint64) (Dispatcher, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return newDispatcher(s, seed), nil
}
