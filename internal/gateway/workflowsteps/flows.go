// Package workflowsteps carries steps of workflows at a dispatcher: it claims ready ones of the keepers, has
// the broker serve each as a job among others, and tells the keepers how each has ended. What may be
// sent, and when, is decided in packages hand and ledger; where it goes, in the module.
//
// It must never send a step before the keepers have written that it may have run, nor have a request
// of a client's wait for a keeper.
package workflowsteps

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/workflow/claimant"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/config"
	"yardflow/internal/platform/fault"
	"yardflow/internal/platform/timers"
)

const (
	words  = claims.MaxClaimsPerAnswer // in one call
	spread = 30 * time.Millisecond     // over which dispatchers ask after the same news
	pause  = 100 * time.Millisecond    // after a call that brought nothing
)

// Config are what a runner stands on.
type Config struct {
	Dispatcher      string
	Incarnation     uint64
	CallCoordinator func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) // one call of one keeper, bounded
	AdmissionGate   httpfront.AdmissionGate                                                        // whether new work is admitted now
	Now             func() time.Duration                                                           // the clock that stays are told by
	Log             func(line string)
	Settings        *config.InForce
	Workers         *httpfront.WorkerConns
}

// Runner is one dispatcher's.
type Runner struct {
	h Config
	b *broker.Broker

	mu      sync.Mutex
	hand    *claimant.Claimant
	out     map[uint64]*run
	pools   *pool.Set
	bound   bool // the policy in force has workflows
	closing bool
	ready   bool    // steps are, by what was heard last
	empty   int     // claims in a row that brought nothing
	share   float64 // of the last steps told of
	changed chan struct{}
	lapse   *time.Timer

	poke chan struct{} // there are words
	want chan struct{} // steps may be wanted
}

// run is one step that is out here.
type run struct {
	stop context.CancelFunc
	once bool // never to be repeated
	sent bool // its bytes may be out
}

// New makes a runner that claims nothing until a policy has workflows.
func New(b *broker.Broker, h Config) *Runner {
	r := &Runner{h: h, b: b, hand: claimant.New(h.Dispatcher, h.Incarnation), out: map[uint64]*run{}, changed: make(chan struct{}), poke: make(chan struct{}, 1), want: make(chan struct{}, 1)}
	r.lapse = time.AfterFunc(time.Hour, r.lapsed)
	return r
}

// ApplyPolicy goes by a policy's pools from here on; claims only where it has workflows.
func (r *Runner) ApplyPolicy(workflows bool, pools *pool.Set) {
	r.mu.Lock()
	r.bound, r.pools = workflows, pools
	r.mu.Unlock()
	r.b.SetPools(pools)
	signal(r.want)
}

// RenewLease takes up a stay that was asked for at a moment, and whether steps are ready.
func (r *Runner) RenewLease(asked, length time.Duration, era uint64, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hand.Renew(asked, r.h.Now(), length, era) {
		r.doubt()
	}
	r.lapse.Reset(timers.Positive(r.hand.LeaseExpiry() - r.h.Now()))
	if r.ready = r.ready || ready; ready || r.hand.NeedsResync() {
		signal(r.want)
	}
}

// NotifyReady notes that the keepers have steps.
func (r *Runner) NotifyReady() {
	r.mu.Lock()
	r.ready = true
	r.mu.Unlock()
	time.AfterFunc(time.Duration(rand.Int64N(int64(spread))), func() { signal(r.want) })
}

// lapsed looks whether the stay is over.
func (r *Runner) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.out) > 0 && !r.hand.CheckLease(r.h.Now()) {
		r.doubt()
	}
}

// doubt ends what may be another's by now, but for what is never to be repeated and is out: nobody
// sends that again. The caller holds mu.
func (r *Runner) doubt() {
	for _, o := range r.out {
		if !o.once || !o.sent {
			o.stop()
		}
	}
	r.wake()
}

// wake has all that wait for words look again. The caller holds mu.
func (r *Runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run carries steps until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	go r.say(ctx)
	for {
		select {
		case <-r.want:
		case <-ctx.Done():
			return
		}
		for r.claim(ctx) {
		}
	}
}

// claim asks for more steps once, and tells whether to ask on at once.
func (r *Runner) claim(ctx context.Context) bool {
	s := r.b.Stats()
	any, serving := r.b.ReadyPools()
	_, _, admits := r.h.AdmissionGate()
	r.mu.Lock()
	held, doubts := r.hand.HeldSteps(), r.hand.NeedsResync()
	room := claimant.Load{HeldSteps: held, RunningSteps: max(len(r.out)-s.StepsWaiting, 0), OpenRequests: s.Open - s.Steps, QueuedRequests: s.Waiting, StepShare: r.share}
	want := room.TargetSteps()
	if !r.bound || r.closing || !admits || !any {
		want = 0
	}
	if now := r.h.Now(); !r.hand.CheckLease(now) || !doubts && (!r.ready || want <= held) {
		r.mu.Unlock()
		return false
	}
	if doubts {
		want = 0 // first it is to be known what is held
	}
	told := r.h.Now()
	c, asked := r.hand.NextClaim(told, want, append(r.pools.Names(serving), ""))
	r.mu.Unlock()
	a, ok := r.call(ctx, &claims.Command{Claim: c})
	if !ok {
		time.AfterFunc(pause, func() { signal(r.want) })
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	begin := r.hand.AcceptClaimed(asked, a.Claimed)
	if !doubts {
		r.ready = a.MoreReady
	}
	for _, t := range begin {
		if t.DispatcherShare > 0 {
			r.share = t.DispatcherShare
		}
		one, stop := context.WithCancel(context.WithoutCancel(ctx))
		o := &run{stop: stop}
		r.out[t.ClaimNumber] = o
		go r.step(one, o, t, told)
	}
	if doubts {
		signal(r.poke)
		return true
	}
	if r.empty++; len(begin) > 0 {
		r.empty = 0
	} else if a.MoreReady { // they are gone before they can be had
		time.AfterFunc(pause<<min(r.empty, 5), func() { signal(r.want) })
	}
	return len(begin) > 0
}

// call has one command carried out; false: it is not known to be.
func (r *Runner) call(ctx context.Context, c *claims.Command) (a claims.Answer, ok bool) {
	res, err := r.h.CallCoordinator(ctx, statemachine.Command{Workflow: c})
	switch {
	case err != nil:
		return a, false // its lease's own calls say so
	case res.Workflow == nil:
		if res.Code == (&claims.LeaseError{}).Code() {
			r.mu.Lock()
			r.hand.Invalidate()
			r.doubt()
			r.mu.Unlock()
		} else {
			r.h.Log("flows: " + res.Err)
		}
		return a, false
	}
	return *res.Workflow, true
}

// say tells the keepers what there is to tell, one call after the other, each with all there is.
func (r *Runner) say(ctx context.Context) {
	for {
		r.mu.Lock()
		var c *claims.Command
		if r.hand.CheckLease(r.h.Now()) {
			c = r.hand.NextReport(words)
		}
		r.mu.Unlock()
		if c == nil {
			select {
			case <-r.poke:
				continue
			case <-ctx.Done():
				return
			}
		}
		a, ok := r.call(ctx, c)
		if !ok {
			select {
			case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
				continue
			case <-ctx.Done():
				return
			}
		}
		r.mu.Lock()
		r.hand.ReportAnswered(c, a)
		r.wake()
		r.mu.Unlock()
		signal(r.want)
		if c.RecordIntents != nil && len(a.Recorded)+len(a.Rejected) < len(c.RecordIntents.Intents) {
			select { // they wait for time to be told
			case <-time.After(pause / 5):
			case <-ctx.Done():
			}
		}
	}
}

// Drain claims nothing more, and gives back what is not out yet.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	for _, o := range r.out {
		if !o.sent {
			o.stop()
		}
	}
}

// WaitUntilIdle waits until all that was claimed has ended and is told of, or a moment has come.
func (r *Runner) WaitUntilIdle(until time.Time) {
	end := time.NewTimer(timers.Positive(time.Until(until)))
	defer end.Stop()
	for {
		r.mu.Lock()
		left, changed := r.hand.HeldSteps(), r.changed
		r.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-changed:
		case <-end.C:
			r.h.Log("flows: " + fault.Text(&AbandonedStepsError{Steps: left}))
			return
		}
	}
}
