package broker

// This file owns contracts: how much a team may ask for. It is a gate before
// the module and decides nothing about what it lets through. It must never
// hold a request back: one over its budget is refused at once, with the time
// after which the next would pass.

import (
	"sync"
	"time"

	"yardflow/internal/fleet/quota"
	"yardflow/scheduling/dispatch"
)

// Contract bounds what one team may ask for.
type Contract struct {
	Team              string
	RequestsPerSecond float64 // requests a second
	Burst             int     // requests at once
	MaxInFlight       int     // requests unanswered at once
}

type tokenBucket struct {
	Contract
	mu     sync.Mutex
	tokens float64
	at     time.Time
	open   int
}

// SetContracts puts these in the place of all that were. What a team has open, and what is left of
// its burst, goes on under its new one.
func (b *Broker) SetContracts(list []Contract) {
	next := map[string]*tokenBucket{}
	for _, c := range list {
		was := (*b.buckets.Load())[c.Team]
		if was == nil {
			next[c.Team] = newTokenBucket(c)
			continue
		}
		was.mu.Lock()
		was.Contract = c
		was.mu.Unlock()
		next[c.Team] = was
	}
	b.buckets.Store(&next)
}

func newTokenBucket(c Contract) *tokenBucket {
	return &tokenBucket{Contract: c, tokens: float64(c.Burst)}
}

// take lets one request in, or tells after what time to come back.
func (b *tokenBucket) take(now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+b.RequestsPerSecond*now.Sub(b.at).Seconds(), float64(b.Burst))
	}
	b.at = now
	each := time.Duration(float64(time.Second) / b.RequestsPerSecond)
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) * float64(each)), false
	}
	if b.open >= b.MaxInFlight {
		return each, false
	}
	b.tokens--
	b.open++
	return 0, true
}

func (b *tokenBucket) release() {
	b.mu.Lock()
	b.open--
	b.mu.Unlock()
}

// SetLimiter has all requests come under the limits of the whole fleet that a desk keeps, by its
// clock. Before any request.
func (b *Broker) SetLimiter(d *quota.Limiter, now func() time.Duration) {
	b.limiter, b.limiterClock = d, now
}

// admit takes a request in under the fleet's limits.
func (b *Broker) admit(q *Request) (t quota.Ticket, short string, wait time.Duration) {
	key := quota.Scope{Team: q.Team, Class: q.Settings.Classes[q.Class].Name}
	if q.Tenant >= 0 && q.Tenant < len(q.Settings.Tenants) {
		key.Tenant = q.Settings.Tenants[q.Tenant].Name
	}
	return b.limiter.Admit(b.limiterClock(), key, q.Slots)
}

// enter counts an attempt in at its worker, and tells whether the limit at each worker leaves
// room for it. It is asked at the moment of sending: the module hears of a part that has ended
// a little later.
func (b *Broker) enter(p *workerState) bool {
	b.mu.Lock()
	p.open++
	b.mu.Unlock()
	return b.hasRoom(p)
}

// hasRoom tells whether the limit at each worker leaves room now for the attempts that were counted in at one.
func (b *Broker) hasRoom(p *workerState) bool {
	if p == nil {
		return true
	}
	most, limited := b.RefreshWorkerLimits()
	b.mu.Lock()
	defer b.mu.Unlock()
	return !limited || p.open <= most
}

func (b *Broker) exit(p *workerState) {
	b.mu.Lock()
	p.open--
	b.mu.Unlock()
}

// BusiestWorkerInFlight is how many attempts are out at the worker that has the most.
func (b *Broker) BusiestWorkerInFlight() (most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.workersByID {
		most = max(most, p.open)
	}
	return most
}

// RefreshWorkerLimits tells the module what the limits at each worker and at cold ones are now, and returns the first.
func (b *Broker) RefreshWorkerLimits() (most int, limited bool) {
	most, limited = b.limiter.PerWorkerLimit(b.limiterClock())
	told := int64(most)
	if !limited {
		told = 0
	} else if most == 0 {
		told = -1
	}
	part, handed := b.limiter.WarmingShare(b.limiterClock())
	if !handed {
		part = -1
	}
	if cold := b.cold.Swap(part + 1); b.bound.Swap(told) != told || cold != part+1 {
		b.post(func(now time.Duration, out dispatch.Actions) {
			b.module.SetWorkerLimits(now, int(b.bound.Load()), float64(b.cold.Load()-1)/quota.Unit, out)
		})
	}
	return most, limited
}
