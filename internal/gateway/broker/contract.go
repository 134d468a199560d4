package broker

// This file rates what a team may ask for, before the module sees a request. It never holds a request back: one over its
// contract is rejected at once, with the time after which the next would be admitted.

import (
	"sync"
	"time"
)

// Contract bounds what one team may ask for.
type Contract struct {
	Team              string
	RequestsPerSecond float64 // over time; above 0
	Burst             int     // requests at once, after a pause
	MaxInFlight       int     // requests without a final answer
}

// tokenBucket admits a team's requests under its contract. A token is one request; the bucket holds at most Burst of them.
type tokenBucket struct {
	mu         sync.Mutex
	contract   Contract
	tokens     float64
	refilledAt time.Time // zero: never
	inFlight   int
}

func newTokenBucket(c Contract) *tokenBucket {
	return &tokenBucket{contract: c, tokens: float64(c.Burst)}
}

// SetContracts replaces all contracts. What a team has in flight, and the tokens it has left, count under its new one.
func (b *Broker) SetContracts(list []Contract) {
	next := map[string]*tokenBucket{}
	for _, contract := range list {
		bucket := (*b.contracts.Load())[contract.Team]
		if bucket == nil {
			next[contract.Team] = newTokenBucket(contract)
			continue
		}
		bucket.mu.Lock()
		bucket.contract = contract
		bucket.mu.Unlock()
		next[contract.Team] = bucket
	}
	b.contracts.Store(&next)
}

// take admits one request, or returns the time after which the next would be admitted.
func (t *tokenBucket) take(now time.Time) (retryAfter time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.refilledAt.IsZero() {
		t.tokens = min(t.tokens+t.contract.RequestsPerSecond*now.Sub(t.refilledAt).Seconds(), float64(t.contract.Burst))
	}
	t.refilledAt = now
	perToken := time.Duration(float64(time.Second) / t.contract.RequestsPerSecond)
	if t.tokens < 1 {
		return time.Duration((1 - t.tokens) * float64(perToken)), false
	}
	if t.inFlight >= t.contract.MaxInFlight {
		return perToken, false
	}
	t.tokens--
	t.inFlight++
	return 0, true
}

// release ends an admitted request.
func (t *tokenBucket) release() {
	t.mu.Lock()
	t.inFlight--
	t.mu.Unlock()
}
