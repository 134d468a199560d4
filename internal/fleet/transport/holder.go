package transport

// This file owns a dispatcher's lease over time: when it is asked for, and what an answer asks in
// turn. It must never be waited for by whoever admits work.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/platform/timers"
)

// Hooks are what a holder does with policies.
type Hooks struct {
	CheckPolicy func(p statemachine.Policy) error // whether it could run one
	ApplyPolicy func(p statemachine.Policy) error // runs it from here on; checked before
	Log         func(line string)

	QuotaRequests  func() []quota.Request                         // of the limits of the fleet; nil: nothing
	QuotaGranted   func(until time.Duration, parts []quota.Share) // takes in what may be used until then
	QuotaExhausted func() bool                                    // whether to ask for more soon

	AddReports         func(hold *statemachine.LeaseRequest) // words what was seen of workers; nil: nothing
	ReportsUndelivered func(reports []outlier.Report)        // they may not have arrived
	VerdictsReceived   func(until time.Duration, verdicts []outlier.EjectionNotice, accused []outlier.Incarnation, news bool)

	Zone             int                                                     // that the dispatcher is in
	ColdStartRequest func() *coldstart.Request                               // of turns and the relayed list; nil: nothing
	ColdStartGranted func(asked, until time.Duration, w *coldstart.Response) // takes in what came of it
	ListMark         func() relay.Watermark                                  // of the relayed list
	ListReceived     func(u *relay.Update)                                   // what a watch has told of it

	ClaimLeaseRenewed func(asked, length time.Duration, era uint64, ready bool) // of claims on workflows, and whether steps are ready
	StepsReady        func()                                                    // some are, by what a watch has told
}

// LeaseSession is a dispatcher's side: it keeps the lease, and tells at any moment what holds.
type LeaseSession struct {
	client *Client
	hooks  Hooks
	base   time.Time

	mu      sync.Mutex
	a       *policylease.Holder
	past    uint64 // the newest revision that was heard of
	rewatch func() // ends the watch that is out
}

// errVoid is of keepers whose word is void.
var errVoid = errors.New("keepers from before they were restored from a folder answer")

// callWithin bounds a call for a lease. One that takes longer is of little use.
const callWithin = time.Second

// NewLeaseSession makes the side of the accord a, which knows nothing yet. Its clock counts from base.
func NewLeaseSession(c *Client, a *policylease.Holder, base time.Time, h Hooks) *LeaseSession {
	return &LeaseSession{client: c, hooks: h, base: base, a: a}
}

// Admits is what holds now, and the moment of this process's clock that it was asked for. It
// waits for nobody.
func (h *LeaseSession) Admits() (policylease.Admission, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return h.a.Admission(now.Sub(h.base)), now
}

// Describe is a line for staff.
func (h *LeaseSession) Describe() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Since(h.base)
	held, p := h.a.Admission(now), h.a.Policy()
	switch {
	case h.a.HoldsLease(now):
		return fmt.Sprintf("version %d (%.12s) in force here, lease for %v more", held.Version, p.Digest, h.a.LeaseRemaining(now).Round(time.Millisecond))
	case held.Allowed:
		return fmt.Sprintf("version %d (%.12s), the last that was heard of: no lease; %s", held.Version, p.Digest, h.a.NoLeaseReason)
	}
	return fmt.Sprintf("version %d, admitting nothing: no lease; %s", held.Version, h.a.NoLeaseReason)
}

// Run keeps the lease until ctx ends, and gives it back then.
func (h *LeaseSession) Run(ctx context.Context) {
	news := make(chan statemachine.WatchUpdate)
	go h.watch(ctx, news)
	fails, warned := 0, false
	due := time.Now()
	for ctx.Err() == nil {
		next := due
		if h.hooks.QuotaExhausted != nil && fails == 0 { // looked at now and then: a call each time would be a rush
			if look := time.Now().Add(h.soon()); look.Before(next) {
				next = look
			}
		}
		wait := time.NewTimer(timers.Positive(time.Until(next)))
		select {
		case <-wait.C:
			if next != due && !h.hooks.QuotaExhausted() {
				continue
			}
		case n := <-news:
			wait.Stop()
			h.mu.Lock()
			h.past = max(h.past, n.Revision)
			todo := h.a.HandleUpdate(n)
			until := h.a.LeaseExpiry()
			h.mu.Unlock()
			if h.hooks.ListReceived != nil && n.RelayedList != nil && n.Generation >= h.era() {
				h.hooks.ListReceived(n.RelayedList)
			}
			if h.hooks.VerdictsReceived != nil && until > 0 {
				h.hooks.VerdictsReceived(until, n.Verdicts, nil, true)
			}
			if h.hooks.StepsReady != nil && n.StepsReady {
				h.hooks.StepsReady()
			}
			if again, err := h.do(ctx, todo); !again && err == nil {
				continue
			}
		case <-ctx.Done():
			wait.Stop()
			continue
		}
		r, again, err := h.once(ctx)
		switch {
		case err != nil:
			// Spread, since all that lost their keepers come back to them together.
			fails++
			due = time.Now().Add(time.Duration(float64(min(50*time.Millisecond<<min(fails, 4), 400*time.Millisecond)) * (0.5 + rand.Float64())))
			if void := errors.Is(err, errVoid); void && !warned {
				warned = true
				h.hooks.Log("policy: " + err.Error())
			} else if fails == 1 {
				h.hooks.Log(fmt.Sprintf("policy: no keeper answers: %v", err))
			}
			// The one that is watched may be the one that knows nothing: the next is another's.
			h.mu.Lock()
			if h.rewatch != nil {
				h.rewatch()
			}
			h.mu.Unlock()
			continue
		case again:
			due = time.Now()
		default:
			h.mu.Lock()
			due = time.Now().Add(time.Duration(float64(h.a.RenewalInterval()) * (0.8 + 0.2*rand.Float64())))
			h.mu.Unlock()
		}
		if fails > 0 {
			h.hooks.Log(fmt.Sprintf("policy: keepers answer again, after %d calls", fails))
		}
		fails = 0
		h.mu.Lock()
		h.past = max(h.past, r.Revision)
		h.mu.Unlock()
	}
	h.mu.Lock()
	leave := h.a.Release()
	h.mu.Unlock()
	last, stop := context.WithTimeout(context.Background(), callWithin)
	defer stop()
	h.client.Do(last, statemachine.Command{LeaseRelease: &leave})
	h.client.Close()
}

// Do carries a command of this dispatcher's to one keeper. After an error it may have been done.
func (h *LeaseSession) Do(ctx context.Context, cmd statemachine.Command) (statemachine.Result, error) {
	one, stop := context.WithTimeout(ctx, callWithin)
	defer stop()
	return h.client.Do(one, cmd)
}

// Incarnation is what tells this process from all others that ever bore its name.
func (h *LeaseSession) Incarnation() uint64 { return h.a.Incarnation() }

func (h *LeaseSession) era() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.a.Generation()
}

func (h *LeaseSession) until() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.a.LeaseExpiry()
}

// soon is how often it is looked whether more of a limit is wanted.
func (h *LeaseSession) soon() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.a.RenewalInterval()/4, 20*time.Millisecond)
}

// once asks for a lease, and does what the answer asks.
func (h *LeaseSession) once(ctx context.Context) (r statemachine.Result, again bool, err error) {
	h.mu.Lock()
	asked := time.Since(h.base) // before anything is sent
	hold := h.a.NextRequest(asked)
	h.mu.Unlock()
	if h.hooks.QuotaRequests != nil {
		hold.QuotaRequests = h.hooks.QuotaRequests()
	}
	hold.Zone = h.hooks.Zone
	if h.hooks.AddReports != nil {
		h.hooks.AddReports(&hold)
	}
	if h.hooks.ColdStartRequest != nil {
		hold.ColdStart = h.hooks.ColdStartRequest()
	}
	one, stop := context.WithTimeout(ctx, callWithin)
	defer stop()
	if r, err = h.client.Do(one, statemachine.Command{LeaseRequest: &hold}); err != nil {
		h.mu.Lock()
		h.a.RequestFailed()
		h.mu.Unlock()
		if len(hold.OutlierReports) > 0 {
			h.hooks.ReportsUndelivered(hold.OutlierReports)
		}
		return r, false, err
	}
	h.mu.Lock()
	void := h.a.FromOldGeneration(r)
	todo := h.a.HandleResult(asked, r)
	if r.LeaseDuration > 0 && h.hooks.QuotaGranted != nil && !void && todo.ApplyPolicy == nil {
		h.hooks.QuotaGranted(h.a.LeaseExpiry(), r.QuotaGrants) // before anything is admitted by the new lease
	}
	h.mu.Unlock()
	if r.LeaseDuration > 0 && h.hooks.ColdStartGranted != nil && !void && todo.ApplyPolicy == nil {
		h.hooks.ColdStartGranted(asked, h.until(), r.ColdStart)
	}
	if r.LeaseDuration > 0 && h.hooks.VerdictsReceived != nil && !void {
		h.hooks.VerdictsReceived(h.until(), r.Verdicts, r.ReportsWanted, false)
	}
	if r.ClaimLease > 0 && h.hooks.ClaimLeaseRenewed != nil && !void {
		h.hooks.ClaimLeaseRenewed(asked, r.ClaimLease, r.Generation, r.StepsReady)
	}
	if void {
		h.client.SwitchCoordinator()
		return r, false, errVoid
	}
	again, err = h.do(ctx, todo)
	return r, again, err
}

// do does what the accord leaves to it, and tells whether to ask for a lease at once.
func (h *LeaseSession) do(ctx context.Context, todo policylease.Actions) (again bool, err error) {
	again = todo.RequestAgain
	if todo.CheckChange != nil {
		why := ""
		if err := h.hooks.CheckPolicy(todo.CheckChange.Policy); err != nil {
			why = err.Error()
		} else if statemachine.Digest(todo.CheckChange.Policy.Text) != todo.CheckChange.Policy.Digest {
			why = "its text is not that of its digest"
		}
		h.mu.Lock()
		say := h.a.Vote(todo.CheckChange, why)
		h.mu.Unlock()
		one, stop := context.WithTimeout(ctx, callWithin)
		defer stop()
		if _, err := h.client.Do(one, statemachine.Command{Vote: &say}); err != nil {
			h.mu.Lock()
			h.a.VoteLost()
			h.mu.Unlock()
			return false, err
		}
		h.mu.Lock()
		again = again || !h.a.HoldsLease(time.Since(h.base)) // one that came in meanwhile gets its lease now
		h.mu.Unlock()
	}
	if todo.ApplyPolicy != nil {
		if err := h.hooks.ApplyPolicy(*todo.ApplyPolicy); err != nil {
			return false, fmt.Errorf("version %d can't be run: %w", todo.ApplyPolicy.Version, err)
		}
		h.mu.Lock()
		h.a.PolicyApplied(*todo.ApplyPolicy)
		h.mu.Unlock()
		h.hooks.Log(fmt.Sprintf("policy: version %d (%.12s) taken up", todo.ApplyPolicy.Version, todo.ApplyPolicy.Digest))
		again = true
	}
	return again, nil
}

// watch hands on what there is that is new.
func (h *LeaseSession) watch(ctx context.Context, news chan<- statemachine.WatchUpdate) {
	var last uint64
	for ctx.Err() == nil {
		one, stop := context.WithTimeout(ctx, 12*time.Second)
		h.mu.Lock()
		h.rewatch = stop
		last = max(last, h.past)
		knows := h.a.Policy().Version
		h.mu.Unlock()
		var has relay.Watermark
		if h.hooks.ListMark != nil {
			has = h.hooks.ListMark()
		}
		n, err := h.client.WatchList(one, last, knows, h.hooks.Zone, has, 10*time.Second)
		stop()
		if err != nil || n.Revision <= last {
			pause := 20 * time.Millisecond
			if err != nil {
				pause = time.Duration(200+rand.IntN(200)) * time.Millisecond
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
		}
		last = n.Revision
		select {
		case news <- n:
		case <-ctx.Done():
		}
	}
}
