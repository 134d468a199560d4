package srv

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// cachedAddresses are the addresses of one target; none for a negative answer.
type cachedAddresses struct {
	addrs     []netip.Addr
	expiresAt time.Time
	refreshAt time.Time // when to look the target up again
}

// cacheAddresses makes a cache entry of addresses that hold for ttl from now on.
func (r *Resolver) cacheAddresses(now time.Time, addrs []netip.Addr, ttl time.Duration) *cachedAddresses {
	ttl = r.clampTTL(ttl)
	return &cachedAddresses{addrs, now.Add(ttl), refreshTime(now, ttl)}
}

// maxConcurrentQueries bounds how many targets are looked up at once, and so the
// sockets of a resolver.
const maxConcurrentQueries = 8

// resolveTargets makes sure that every target has addresses that are fresh, or as
// fresh as can be had. additional is the answer that listed the targets, nil if that
// was cached. An error means that no server answered.
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
	var due []string
	for name := range targets {
		if c := r.addresses[name]; c == nil || !now.Before(c.refreshAt) {
			due = append(due, name)
		}
	}
	l := &targetLookups{resolver: r, slots: make(chan struct{}, maxConcurrentQueries)}
	if additional != nil {
		l.succeeded++ // the list itself
	}
	l.run(ctx, due)
	if ctx.Err() != nil || l.failed == 0 {
		return ctx.Err()
	}
	// Where nobody answered, nothing is known; the next round looks the list up too.
	// Where somebody did, a target that could not be resolved is at fault itself, and is
	// left out until it has an address.
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

// cacheGlue caches the addresses that came with the list, which saves their look-ups.
func (r *Resolver) cacheGlue(now time.Time, m *dns.Msg, targets map[string]bool) {
	for i := len(r.cfg.AddressTypes) - 1; i >= 0; i-- { // the first type overwrites the others
		for name, set := range readGlue(m, targets, r.cfg.AddressTypes[i]) {
			if addrs := readAddresses(set.records); len(addrs) > 0 {
				r.addresses[name] = r.cacheAddresses(now, addrs, set.ttl)
			}
		}
	}
}

// targetLookups looks targets up side by side. mu guards its figures and the
// resolver's addresses while run runs.
type targetLookups struct {
	resolver *Resolver
	slots    chan struct{}

	mu                sync.Mutex
	succeeded, failed int
	lastErr           error
}

// run looks targets up and returns once all have ended. It begins no more of them
// once as many as run at once have failed and nothing was ever answered: the rest
// need not each wait for servers that do not answer.
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

// serveStale keeps the addresses of targets that could not be looked up in use until
// StaleTTL past their lifetime (RFC 8767), and tries such targets again soon.
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

// lookupAddresses looks a target's addresses up, one type after the other.
func (r *Resolver) lookupAddresses(ctx context.Context, name string) (*cachedAddresses, error) {
	ttl := noTTL
	for _, kind := range r.cfg.AddressTypes {
		set, _, err := r.lookup(ctx, dns.Fqdn(name), kind)
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
