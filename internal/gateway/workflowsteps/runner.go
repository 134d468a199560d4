// Package workflowsteps runs steps of workflows at a dispatcher: it claims ready steps of the coordinators, has the
// broker serve each like a client's request, and reports how each has ended.
//
// What may be sent, and when, is decided by package claimant; in which order steps are handed out by package claims;
// which worker a step goes to by the broker's decision module. This package connects them.
//
// Invariants:
//   - no byte of a step is sent before the coordinators have recorded the intent to dispatch it, and while the claim
//     lease is not valid;
//   - at most one attempt of a claim reaches a worker;
//   - no request of a client ever waits for a coordinator.
package workflowsteps

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/timers"
	"yardflow/internal/workflow/claimant"
	"yardflow/internal/workflow/pool"
)

// notifySpread is the time over which dispatchers spread their claim requests after the coordinators have told all of
// them that steps are ready, so that these are not asked by all at once.
const notifySpread = 30 * time.Millisecond

// Config is what a Runner works with.
type Config struct {
	Dispatcher      string
	Incarnation     uint64
	CallCoordinator func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) // one call to one coordinator; bounded in time by itself
	AdmissionGate   httpfront.AdmissionGate                                                        // whether new work is admitted now, and under which policy
	Now             func() time.Duration                                                           // the monotonic clock that leases are counted by
	Log             func(line string)
	Settings        *config.InForce
	Workers         *httpfront.WorkerConns
}

// Runner runs the steps that one dispatcher has claimed.
type Runner struct {
	config Config
	broker *broker.Broker

	mu           sync.Mutex
	claimant     *claimant.Claimant
	running      map[uint64]*runningStep // by claim number
	pools        *pool.Set               // of the policy in force
	hasWorkflows bool                    // the policy in force has workflows
	draining     bool
	stepsReady   bool          // as far as the coordinators have told
	emptyClaims  int           // claim requests in a row that brought nothing
	stepShare    float64       // of the template of the latest step that names one, for claimant.Load
	changed      chan struct{} // closed and replaced when an answer or a lapse has changed the claimant
	leaseTimer   *time.Timer   // fires when the claim lease expires unless it is renewed

	reportSignal chan struct{} // something may be to be reported
	claimSignal  chan struct{} // steps may be to be claimed
}

// runningStep is a claimed step at this dispatcher, until its end is noted.
type runningStep struct {
	cancel     context.CancelFunc
	atMostOnce bool // its class must never be repeated
	sent       bool // its bytes may have reached a worker
}

// New returns a runner that claims nothing until a policy with workflows is applied and its lease is renewed. [Runner.Run]
// has to be started.
func New(b *broker.Broker, c Config) *Runner {
	r := &Runner{
		config:       c,
		broker:       b,
		claimant:     claimant.New(c.Dispatcher, c.Incarnation),
		running:      map[uint64]*runningStep{},
		changed:      make(chan struct{}),
		reportSignal: make(chan struct{}, 1),
		claimSignal:  make(chan struct{}, 1),
	}
	r.leaseTimer = time.AfterFunc(time.Hour, r.checkLease) // reset by each renewal
	return r
}

// ApplyPolicy sets the pools of the policy in force, and whether it has workflows: without any nothing is claimed.
func (r *Runner) ApplyPolicy(hasWorkflows bool, pools *pool.Set) {
	r.mu.Lock()
	r.hasWorkflows, r.pools = hasWorkflows, pools
	r.mu.Unlock()
	r.broker.SetPools(pools)
	signal(r.claimSignal)
}

// RenewLease takes in a claim lease that was asked for at a moment of Config.Now, from coordinators of a generation, and
// whether they have steps ready.
func (r *Runner) RenewLease(asked, duration time.Duration, generation uint64, stepsReady bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimant.Renew(asked, r.config.Now(), duration, generation) {
		r.cancelRevoked()
	}
	r.leaseTimer.Reset(timers.Positive(r.claimant.LeaseExpiry() - r.config.Now()))
	r.stepsReady = r.stepsReady || stepsReady
	if stepsReady || r.claimant.NeedsResync() {
		signal(r.claimSignal)
	}
}

// NotifyReady takes in the coordinators' update that they have steps ready.
func (r *Runner) NotifyReady() {
	r.mu.Lock()
	r.stepsReady = true
	r.mu.Unlock()
	r.claimAfter(time.Duration(rand.Int64N(int64(notifySpread))))
}

// checkLease cancels steps where the claim lease has expired.
func (r *Runner) checkLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) > 0 && !r.claimant.CheckLease(r.config.Now()) {
		r.cancelRevoked()
	}
}

// cancelRevoked cancels the steps that may be another dispatcher's by now, after the claimant has revoked its claims.
// A step that must never be repeated and may have been sent goes on: no other dispatcher sends it. The caller holds mu.
func (r *Runner) cancelRevoked() {
	for _, s := range r.running {
		if !s.atMostOnce || !s.sent {
			s.cancel()
		}
	}
	r.broadcastChange()
}

// broadcastChange wakes all that wait for a change of the claimant. The caller holds mu.
func (r *Runner) broadcastChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// signal wakes the one receiver of a channel of capacity 1, which may not be receiving yet.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
