package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/scheduling/waitestimate"
)

const (
	// tickInterval is the time between two looks at the queue and at outstanding attempts. What only
	// time brings about (a deadline, a late start) is seen up to so much later, so nearDeadline
	// leaves two of them.
	tickInterval = 25 * time.Millisecond
	// refreshInterval is the time between two refreshes of estimates, shares and thresholds. Decays
	// are stated per refresh, so another value changes how fast all of them forget.
	refreshInterval = time.Second
	// logInterval is the least time between two log lines; lines within it are dropped. With less, a fault
	// that all workers share fills the operators' log.
	logInterval = 10 * time.Second
	// randomStream keeps this module's draws apart from others of the same seed.
	randomStream = 0x6c696e6e65746c69
)

// dispatcher implements Dispatcher. Each field is one concern, with its type in
// the file that is named for it.
type dispatcher struct {
	Settings
	random    *rand.Rand
	now       time.Duration // of the event at work, on the host's clock
	timerSet  bool          // one Wake is outstanding
	lastLogAt time.Duration
	refreshAt time.Duration // when estimates are due for a refresh

	requests map[RequestID]*request // until answered and without outstanding attempts
	queue    requestQueue
	attempts []*attempt // outstanding, of all requests

	fleet      fleetState
	list       listSubscription
	speeds     speedModel
	fleetWait  waitestimate.FleetWait // the usual wait at workers
	learner    actorCritic
	poolShares []float64 // of the classes' worker pools, in any unit
	overcommit overcommitPacer
	reclaims   reclaimBudget
	quotas     []tokenBucket // of the tenants, in the settings' order
	granted    grantedLimits
	peers      peerUsage
	large      largeJobs
}

// grantedLimits are what the fleet has granted this dispatcher of limits that all share.
type grantedLimits struct {
	jobsPerWorker int     // most jobs outstanding at one worker; 0: any number, under 0: none
	slowStartPart float64 // of what a warming worker bears, 0 to 1; under 0: the fleet grants no parts
}

func newDispatcher(s Settings, seed uint64) *dispatcher {
	d := &dispatcher{
		Settings:   s,
		random:     rand.New(rand.NewPCG(seed, randomStream)),
		requests:   map[RequestID]*request{},
		fleet:      fleetState{workers: map[WorkerID]*worker{}},
		speeds:     newSpeedModel(),
		poolShares: []float64{1},
		reclaims:   reclaimBudget{tokens: maxReclaims},
		quotas:     make([]tokenBucket, len(s.Tenants)),
		granted:    grantedLimits{slowStartPart: -1},
	}
	d.numberPools()
	d.configureReservations()
	return d
}

// beginEvent notes the time and keeps one timer running.
func (d *dispatcher) beginEvent(now time.Duration, out Actions) {
	d.now = now
	if !d.timerSet {
		d.timerSet = true
		out.Wake(tickInterval, 0)
	}
}

// decide takes what decisions can be taken, and broadcasts to the peers what came of it.
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
		if r.attemptCount >= d.Attempts.Max { // more than are allowed now
			d.answerUnserved(r, out)
		}
	}
}

// applySettings takes over new settings. What was counted of a tenant stays with it.
func (d *dispatcher) applySettings(s Settings) {
	quotas := make([]tokenBucket, len(s.Tenants))
	for i, t := range s.Tenants {
		if j := slices.Index(d.Tenants, t); j >= 0 {
			quotas[i] = d.quotas[j]
		}
	}
	d.Settings, d.quotas = s, quotas
	d.stopBroadcasts()
	d.numberPools()
	d.configureReservations()
}

func (d *dispatcher) SetWorkerLimits(
	now time.Duration, jobsPerWorker int, slowStartPart float64, out Actions,
) {
	d.beginEvent(now, out)
	d.granted = grantedLimits{jobsPerWorker: jobsPerWorker, slowStartPart: slowStartPart}
	d.decide(out)
}

// log writes at most one line in logInterval.
func (d *dispatcher) log(out Actions, what, text string) {
	if d.lastLogAt != 0 && d.now-d.lastLogAt < logInterval {
		return
	}
	d.lastLogAt = d.now
	out.Log(what + ": " + text)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
