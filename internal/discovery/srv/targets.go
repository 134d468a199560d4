package srv

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// cachedAddresses holds the addresses of one target; none after a negative answer.
type cachedAddresses struct {
	addrs     []netip.Addr
	expiresAt time.Time
	refreshAt time.Time // when to look the target up again
}

// cacheAddresses returns a cache entry of addresses that expire ttl after now.
func (r *Resolver) cacheAddresses(now time.Time, addrs []netip.Addr, ttl time.Duration) *cachedAddresses {
	ttl = r.clampTTL(ttl)
	return &cachedAddresses{addrs, now.Add(ttl), refreshTime(now, ttl)}
}

// maxConcurrentQueries bounds the number of targets that are looked up concurrently, and
// with it the number of sockets of a resolver.
const maxConcurrentQueries = 8

// resolveTargets refreshes the addresses of all targets whose refresh time has come.
// additional is the message that listed the targets; it is nil if they were cached. A
// target whose look-up fails keeps its stale addresses. resolveTargets returns an error if
// ctx ended or no look-up succeeded.
func (r *Resolver) resolveTargets(ctx context.Context, additional *dns.Msg) error {
	targets := map[string]bool{}
	for _, s := range r.services {
		targets[canonicalName(s.Target)] = true
	}
	r.forgetOtherTargets(targets)
	now := time.Now()
	if additional != nil {
		r.cacheGlue(now, additional, targets)
	}
	var toRefresh []string
	for name := range targets {
		if c := r.addresses[name]; c == nil || !now.Before(c.refreshAt) {
			toRefresh = append(toRefresh, name)
		}
	}
	l := &targetLookups{resolver: r, slots: make(chan struct{}, maxConcurrentQueries)}
	if additional != nil {
		l.succeeded++ // the look-up of the list itself
	}
	l.run(ctx, toRefresh)
	if ctx.Err() != nil || l.failed == 0 {
		return ctx.Err()
	}
	// If no look-up succeeded, the servers are at fault; the next round looks the list up
	// too. Otherwise the targets that could not be resolved are at fault themselves, and are
	// left out once their addresses are too old, until they resolve again.
	if l.succeeded == 0 {
		return l.lastErr
	}
	r.serveStale(time.Now(), targets)
	return nil
}

func (r *Resolver) forgetOtherTargets(targets map[string]bool) {
	for name := range r.addresses {
		if !targets[name] {
			delete(r.addresses, name)
			delete(r.addressInUse, name)
		}
	}
}

// cacheGlue caches the addresses that the answer with the list contains, which saves
// looking them up.
func (r *Resolver) cacheGlue(now time.Time, m *dns.Msg, targets map[string]bool) {
	for i := len(r.cfg.AddressTypes) - 1; i >= 0; i-- { // the first type overwrites the others
		for name, set := range readGlue(m, targets, r.cfg.AddressTypes[i]) {
			if addrs := readAddresses(set.records); len(addrs) > 0 {
				r.addresses[name] = r.cacheAddresses(now, addrs, set.ttl)
			}
		}
	}
}

// targetLookups looks targets up concurrently. While run is running, mu guards the counts,
// lastErr and the resolver's addresses.
type targetLookups struct {
	resolver *Resolver
	slots    chan struct{}

	mu                sync.Mutex
	succeeded, failed int
	lastErr           error
}

// run looks targets up and returns once all look-ups have ended. It starts no more of them
// after maxConcurrentQueries failures without any success, so that not every target waits
// for servers that do not answer.
func (l *targetLookups) run(ctx context.Context, names []string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, name := range names {
		l.slots <- struct{}{}
		l.mu.Lock()
		noAnswers := l.failed >= maxConcurrentQueries && l.succeeded == 0
		l.mu.Unlock()
		if noAnswers {
			return
		}
		wg.Go(func() {
			defer func() { <-l.slots }()
			l.lookup(ctx, name)
		})
	}
}

func (l *targetLookups) lookup(ctx context.Context, name string) {
	c, err := l.resolver.lookupAddresses(ctx, name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		l.lastErr = err
		return
	}
	l.succeeded++
	l.resolver.addresses[name] = c
}

// serveStale keeps the addresses of targets that could not be looked up until StaleTTL
// past their lifetime (RFC 8767), and schedules an early retry for these targets.
func (r *Resolver) serveStale(now time.Time, targets map[string]bool) {
	retryAt := now.Add(r.cfg.MinTTL / 2)
	for name := range targets {
		c := r.addresses[name]
		usable := c != nil && !now.After(c.expiresAt.Add(r.cfg.StaleTTL))
		switch {
		case !usable:
			r.Counters.Unresolved.Add(1)
			r.addresses[name] = &cachedAddresses{nil, now, retryAt}
		case !now.Before(c.refreshAt):
			c.refreshAt = retryAt
		}
	}
}

// lookupAddresses looks a target's addresses up, one type after another until one has any.
func (r *Resolver) lookupAddresses(ctx context.Context, name string) (*cachedAddresses, error) {
	ttl := noTTL
	for _, qtype := range r.cfg.AddressTypes {
		set, _, err := r.lookup(ctx, dns.Fqdn(name), qtype)
		if err != nil {
			return nil, err
		}
		if addrs := readAddresses(set.records); len(addrs) > 0 {
			return r.cacheAddresses(time.Now(), addrs, set.ttl), nil
		}
		ttl = min(ttl, set.ttl)
	}
	return r.cacheAddresses(time.Now(), nil, ttl), nil
}
