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
	words  = claims.MostTasks       // in one call
	spread = 30 * time.Millisecond  // over which dispatchers ask after the same news
	pause  = 100 * time.Millisecond // after a call that brought nothing
)

// Hooks are what a runner stands on.
type Hooks struct {
	Name  string
	Life  uint64
	Call  func(ctx context.Context, c statemachine.Command) (statemachine.Result, error) // one call of one keeper, bounded
	Gate  httpfront.Gate                                                                 // whether new work is admitted now
	Now   func() time.Duration                                                           // the clock that stays are told by
	Log   func(line string)
	Live  *config.Live
	Lines *httpfront.WorkerConns
}

// Runner is one dispatcher's.
type Runner struct {
	h Hooks
	b *broker.Broker

	mu      sync.Mutex
	hand    *claimant.Hand
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
func New(b *broker.Broker, h Hooks) *Runner {
	r := &Runner{h: h, b: b, hand: claimant.New(h.Name, h.Life), out: map[uint64]*run{}, changed: make(chan struct{}), poke: make(chan struct{}, 1), want: make(chan struct{}, 1)}
	r.lapse = time.AfterFunc(time.Hour, r.lapsed)
	return r
}

// Bind goes by a policy's pools from here on; claims only where it has workflows.
func (r *Runner) Bind(workflows bool, pools *pool.Set) {
	r.mu.Lock()
	r.bound, r.pools = workflows, pools
	r.mu.Unlock()
	r.b.Pools(pools)
	signal(r.want)
}

// Stay takes up a stay that was asked for at a moment, and whether steps are ready.
func (r *Runner) Stay(asked, length time.Duration, era uint64, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hand.Renew(asked, r.h.Now(), length, era) {
		r.doubt()
	}
	r.lapse.Reset(timers.Ahead(r.hand.Until() - r.h.Now()))
	if r.ready = r.ready || ready; ready || r.hand.Doubts() {
		signal(r.want)
	}
}

// Ready notes that the keepers have steps.
func (r *Runner) Ready() {
	r.mu.Lock()
	r.ready = true
	r.mu.Unlock()
	time.AfterFunc(time.Duration(rand.Int64N(int64(spread))), func() { signal(r.want) })
}

// lapsed looks whether the stay is over.
func (r *Runner) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.out) > 0 && !r.hand.Look(r.h.Now()) {
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
	any, serving := r.b.Serving()
	_, _, admits := r.h.Gate()
	r.mu.Lock()
	held, doubts := r.hand.Held(), r.hand.Doubts()
	room := claimant.Room{Held: held, Running: max(len(r.out)-s.StepsWaiting, 0), Fresh: s.Open - s.Steps, Waiting: s.Waiting, Share: r.share}
	want := room.Want()
	if !r.bound || r.closing || !admits || !any {
		want = 0
	}
	if now := r.h.Now(); !r.hand.Look(now) || !doubts && (!r.ready || want <= held) {
		r.mu.Unlock()
		return false
	}
	if doubts {
		want = 0 // first it is to be known what is held
	}
	told := r.h.Now()
	c, asked := r.hand.Claim(told, want, append(r.pools.Names(serving), ""))
	r.mu.Unlock()
	a, ok := r.call(ctx, &claims.Command{Claim: c})
	if !ok {
		time.AfterFunc(pause, func() { signal(r.want) })
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	begin := r.hand.Took(asked, a.Tasks)
	if !doubts {
		r.ready = a.More
	}
	for _, t := range begin {
		if t.Share > 0 {
			r.share = t.Share
		}
		one, stop := context.WithCancel(context.WithoutCancel(ctx))
		o := &run{stop: stop}
		r.out[t.No] = o
		go r.step(one, o, t, told)
	}
	if doubts {
		signal(r.poke)
		return true
	}
	if r.empty++; len(begin) > 0 {
		r.empty = 0
	} else if a.More { // they are gone before they can be had
		time.AfterFunc(pause<<min(r.empty, 5), func() { signal(r.want) })
	}
	return len(begin) > 0
}

// call has one command carried out; false: it is not known to be.
func (r *Runner) call(ctx context.Context, c *claims.Command) (a claims.Answer, ok bool) {
	res, err := r.h.Call(ctx, statemachine.Command{Workflow: c})
	switch {
	case err != nil:
		return a, false // its lease's own calls say so
	case res.Workflow == nil:
		if res.Code == (&claims.LeaseError{}).Code() {
			r.mu.Lock()
			r.hand.Doubt()
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
		if r.hand.Look(r.h.Now()) {
			c = r.hand.Say(words)
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
		r.hand.Said(c, a)
		r.wake()
		r.mu.Unlock()
		signal(r.want)
		if c.Mark != nil && len(a.Written)+len(a.Refused) < len(c.Mark.All) {
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

// Settle waits until all that was claimed has ended and is told of, or a moment has come.
func (r *Runner) Settle(until time.Time) {
	end := time.NewTimer(timers.Ahead(time.Until(until)))
	defer end.Stop()
	for {
		r.mu.Lock()
		left, changed := r.hand.Held(), r.changed
		r.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-changed:
		case <-end.C:
			r.h.Log("flows: " + fault.Text(&LeftError{Steps: left}))
			return
		}
	}
}
