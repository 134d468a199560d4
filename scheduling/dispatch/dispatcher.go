package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/scheduling/waitestimate"
)

const (
	// tickInterval is the time between two checks of the queue and of outstanding attempts. A deadline or
	// a late start is noticed up to one interval after it occurs, so nearDeadline leaves a margin of two
	// intervals.
	tickInterval = 25 * time.Millisecond
	// refreshInterval is the time between two refreshes of estimates, shares and thresholds. All decay
	// factors apply once per refresh, so another interval changes every decay rate.
	refreshInterval = time.Second
	// logInterval is the minimum time between two log lines; the lines in between are dropped. With less,
	// a fault that affects all workers fills the operators' log.
	logInterval = 10 * time.Second
	// randomStream separates this package's random draws from those of other users of the same seed.
	randomStream = 0x6c696e6e65746c69
)

// dispatcher implements Dispatcher. Each field covers one concern, whose type is declared in the file named
// for that concern.
type dispatcher struct {
	Settings
	random    *rand.Rand
	now       time.Duration // time of the current event on the host's clock
	timerSet  bool          // a Wake is outstanding
	lastLogAt time.Duration
	refreshAt time.Duration // time of the next refresh of the estimates

	requests map[RequestID]*request // requests without final answer or with outstanding attempts
	queue    requestQueue
	attempts []*attempt // outstanding attempts of all requests

	fleet      fleetState
	list       listSubscription
	speeds     speedModel
	fleetWait  waitestimate.FleetWait // mean wait of the latest jobs at all workers
	learner    actorCritic
	poolShares []float64 // relative sizes of the classes' worker pools
	overcommit overcommitPacer
	reclaims   reclaimBudget
	quotas     []tokenBucket // one per tenant, in the order of the settings
	granted    grantedLimits
	peers      peerUsage
	large      largeJobs
}

// grantedLimits are this dispatcher's parts of the limits that all dispatchers of the fleet share.
type grantedLimits struct {
	jobsPerWorker int     // maximum of jobs outstanding at one worker; 0: no maximum, below 0: no jobs
	slowStartPart float64 // part of a warming worker's load limit, 0 to 1; below 0: no parts are granted
}

func newDispatcher(s Settings, seed uint64) *dispatcher {
	d := &dispatcher{
		Settings:   s,
		random:     rand.New(rand.NewPCG(seed, randomStream)),
		requests:   map[RequestID]*request{},
		fleet:      fleetState{workers: map[WorkerID]*worker{}},
		speeds:     newSpeedModel(),
		poolShares: []float64{1},
		reclaims:   reclaimBudget{tokens: maxReclaimBurst},
		quotas:     make([]tokenBucket, len(s.Tenants)),
		granted:    grantedLimits{slowStartPart: -1},
	}
	d.assignClassPools()
	d.configureReservations()
	return d
}

// beginEvent sets the current time and makes sure that one Wake is outstanding.
func (d *dispatcher) beginEvent(now time.Duration, out Actions) {
	d.now = now
	if !d.timerSet {
		d.timerSet = true
		out.Wake(tickInterval, 0)
	}
}

// decide sends the queued requests that can be sent now and broadcasts the changed usage to the peers.
func (d *dispatcher) decide(out Actions) {
	d.serveQueue(out)
	d.broadcastUsage(out)
}

func (d *dispatcher) Timer(now time.Duration, _ uint64, out Actions) {
	d.timerSet = false
	d.beginEvent(now, out)
	if d.list.retryAt != 0 && now >= d.list.retryAt {
		d.subscribe(out)
	}
	for _, a := range d.attempts {
		d.superviseAttempt(a, out)
	}
	if now >= d.refreshAt {
		d.speeds.decayRecentWork()
		d.refreshEstimates()
	}
	d.tickReservations()
	d.sweepQueue(out)
	d.broadcastUsage(out)
}

func (d *dispatcher) Reconfigure(now time.Duration, s Settings, out Actions) {
	d.beginEvent(now, out)
	d.applySettings(s)
	d.assignHomeShares()
	d.refreshEstimates()
	for _, r := range slices.Clone(d.queue) {
		if r.attemptCount >= d.Attempts.Max { // the new settings allow no further attempt
			d.answerUnserved(r, out)
		}
	}
}

// applySettings replaces the settings. A tenant whose settings have not changed keeps its token bucket.
func (d *dispatcher) applySettings(s Settings) {
	quotas := make([]tokenBucket, len(s.Tenants))
	for i, t := range s.Tenants {
		if j := slices.Index(d.Tenants, t); j >= 0 {
			quotas[i] = d.quotas[j]
		}
	}
	d.Settings, d.quotas = s, quotas
	d.stopBroadcasts()
	d.assignClassPools()
	d.configureReservations()
}

func (d *dispatcher) SetWorkerLimits(
	now time.Duration, jobsPerWorker int, slowStartPart float64, out Actions,
) {
	d.beginEvent(now, out)
	d.granted = grantedLimits{jobsPerWorker: jobsPerWorker, slowStartPart: slowStartPart}
	d.decide(out)
}

// log writes a line to the operators' log, at most one per logInterval.
func (d *dispatcher) log(out Actions, topic, text string) {
	if d.lastLogAt != 0 && d.now-d.lastLogAt < logInterval {
		return
	}
	d.lastLogAt = d.now
	out.Log(topic + ": " + text)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
