package srv

// This file owns one service's resolver: what it holds and for how long, when it
// asks again, and what it does while no server answers. It must never tell half a
// list as a whole one, and never ask in step with other dispatchers.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/miekg/dns"

	"yardflow/internal/platform/timers"
)

// Config is one service to follow.
type Config struct {
	Service string           // the full name, such as _loans._tcp.example.cz.
	Servers []netip.AddrPort // name servers, in the order of preference
	Timeout time.Duration    // of one try at one server
	// MinTTL and Ceiling bound lifetimes: one of 0 would be asked for without end,
	// one of 68 years would never be asked for again.
	MinTTL, MaxTTL time.Duration
	StaleTTL       time.Duration // how long an address is used past its lifetime while none can be had
	AddressTypes   []uint16      // dns.TypeA, dns.TypeAAAA; the first that has an address counts
	MaxRecords     int
}

// Update is what a round has found. Without Err it is the whole list; with it
// nothing new is known, and what was told before has not changed.
type Update struct {
	Records []Record
	Err     error
	At      time.Time
}

// cached is what is held of one name.
type cached struct {
	addrs   []netip.Addr
	until   time.Time // end of the lifetime
	refresh time.Time // when to ask again
}

// Resolver follows one service.
type Resolver struct {
	Counters Counters

	cfg    Config
	client *client

	// Follow's alone.
	services  []*dns.SRV
	until     time.Time
	refresh   time.Time
	known     bool
	addrs     map[string]*cached
	addrsHave map[string]netip.Addr // the address in use, which is kept while it is one of the target's
}

// New makes a resolver; Follow runs it.
func New(cfg Config) *Resolver {
	r := &Resolver{cfg: cfg, addrs: map[string]*cached{}, addrsHave: map[string]netip.Addr{}}
	r.client = newClient(cfg.Servers, cfg.Timeout, &r.Counters)
	return r
}

// Run asks until ctx ends, and tells each round's end. Rounds after a success
// come before the first lifetime ends, at a moment drawn anew each time; rounds
// after a failure after a back-off with full jitter.
func (r *Resolver) Run(ctx context.Context, tell func(Update)) {
	pause := newPause(250*time.Millisecond, 10*time.Second)
	for {
		records, next, err := r.round(ctx)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err != nil {
			next = now.Add(50*time.Millisecond + pause.NextBackOff())
		} else {
			pause.Reset()
		}
		tell(Update{Records: records, Err: err, At: now})
		if !wait(ctx, next.Sub(now)) {
			return
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(timers.Positive(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// span puts a lifetime between floor and ceiling.
func (r *Resolver) span(ttl time.Duration) time.Duration {
	return min(max(ttl, r.cfg.MinTTL), r.cfg.MaxTTL)
}

// ahead draws when to ask again for what holds for so long: after 60 to 85% of it.
func ahead(now time.Time, life time.Duration) time.Time {
	return now.Add(time.Duration(float64(life) * (0.6 + 0.25*rand.Float64())))
}

// round asks for whatever is due and makes the list. next is when the first thing
// held is due again.
func (r *Resolver) round(ctx context.Context) (out []Record, next time.Time, err error) {
	var extra *dns.Msg
	if now := time.Now(); !r.known || !now.Before(r.refresh) {
		s, m, err := r.lookUp(ctx, r.cfg.Service, dns.TypeSRV)
		if err != nil {
			return nil, next, err
		}
		services, err := services(s, r.cfg.MaxRecords)
		if err != nil {
			return nil, next, err
		}
		now = time.Now()
		life := r.span(s.ttl)
		r.services, r.known, r.until, r.refresh, extra = services, true, now.Add(life), ahead(now, life), m
	}
	if err := r.resolveTargets(ctx, extra); err != nil {
		r.refresh = time.Time{} // the list was not told: ask for all of it again
		return nil, next, err
	}
	now := time.Now()
	next = r.refresh
	for _, s := range r.services {
		name := plain(s.Target)
		c := r.addrs[name]
		if c == nil || len(c.addrs) == 0 {
			if c != nil && c.refresh.Before(next) {
				next = c.refresh
			}
			continue
		}
		addr := c.addrs[0]
		if have, ok := r.addrsHave[name]; ok && slices.Contains(c.addrs, have) {
			addr = have
		}
		r.addrsHave[name] = addr
		if c.refresh.Before(next) {
			next = c.refresh
		}
		until := r.until
		if c.until.Before(until) {
			until = c.until
		}
		out = append(out, Record{Target: name, Addr: netip.AddrPortFrom(addr, s.Port), Priority: s.Priority, Weight: s.Weight, ExpiresAt: until})
	}
	if least := now.Add(50 * time.Millisecond); next.Before(least) {
		next = least
	}
	return out, next, nil
}

// lookUp asks for a name and follows its chain over as many messages as it takes.
func (r *Resolver) lookUp(ctx context.Context, name string, kind uint16) (set, *dns.Msg, error) {
	least := time.Duration(1 << 62)
	for steps := 0; ; {
		m, err := r.client.ask(ctx, name, kind)
		if err != nil {
			return set{}, nil, err
		}
		s, err := read(m, name, kind, steps)
		if err == nil && s.next != "" && s.steps >= maxChain {
			err = errChain
		}
		if err != nil {
			r.Counters.BrokenChains.Add(1)
			return set{}, nil, fmt.Errorf("%s %s: %w", dns.TypeToString[kind], name, err)
		}
		least = min(least, s.ttl)
		if s.ttl = least; s.next == "" {
			return s, m, nil
		}
		name, steps = s.next, s.steps
	}
}

// atOnce bounds how many questions are out together.
const atOnce = 8

// resolveTargets makes sure that every target has addresses that are fresh, or
// as fresh as can be had. An error means that nobody answered.
func (r *Resolver) resolveTargets(ctx context.Context, m *dns.Msg) error {
	wanted := map[string]bool{}
	for _, s := range r.services {
		wanted[plain(s.Target)] = true
	}
	for name := range r.addrs {
		if !wanted[name] {
			delete(r.addrs, name)
			delete(r.addrsHave, name)
		}
	}
	now := time.Now()
	if m != nil {
		for i := len(r.cfg.AddressTypes) - 1; i >= 0; i-- { // the first family has the last word
			for name, s := range glue(m, wanted, r.cfg.AddressTypes[i]) {
				if addrs := addresses(s.records); len(addrs) > 0 {
					life := r.span(s.ttl)
					r.addrs[name] = &cached{addrs, now.Add(life), ahead(now, life)}
				}
			}
		}
	}
	var due []string
	for name := range wanted {
		if c := r.addrs[name]; c == nil || !now.Before(c.refresh) {
			due = append(due, name)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
	found, failed := 0, 0
	if m != nil {
		found++ // the list itself
	}
	room := make(chan struct{}, atOnce)
	for _, name := range due {
		room <- struct{}{}
		mu.Lock()
		dead := failed >= atOnce && found == 0
		mu.Unlock()
		if dead { // nobody answers: the rest need not each find that out
			break
		}
		wg.Go(func() {
			defer func() { <-room }()
			c, err := r.addressesOf(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				lastErr = err
				return
			}
			found++
			r.addrs[name] = c
		})
	}
	wg.Wait()
	if ctx.Err() != nil || failed == 0 {
		return ctx.Err()
	}
	// Where nobody was answered, nothing is known; the next round asks for the list
	// too. Where others were, a target without an address is at fault itself, and is
	// left out until it has one.
	if found == 0 {
		return lastErr
	}
	now = time.Now()
	for name := range wanted {
		c := r.addrs[name]
		usable := c != nil && !now.After(c.until.Add(r.cfg.StaleTTL))
		switch {
		case !usable:
			r.Counters.Unresolved.Add(1)
			r.addrs[name] = &cached{nil, now, now.Add(r.cfg.MinTTL / 2)}
		case !now.Before(c.refresh):
			c.refresh = now.Add(r.cfg.MinTTL / 2)
		}
	}
	return nil
}

// addressesOf asks for a target's addresses, one family after the other.
func (r *Resolver) addressesOf(ctx context.Context, name string) (*cached, error) {
	least := time.Duration(1 << 62)
	for _, kind := range r.cfg.AddressTypes {
		s, _, err := r.lookUp(ctx, dns.Fqdn(name), kind)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if addrs := addresses(s.records); len(addrs) > 0 {
			life := r.span(s.ttl)
			return &cached{addrs, now.Add(life), ahead(now, life)}, nil
		}
		least = min(least, s.ttl)
	}
	now, life := time.Now(), r.span(least)
	return &cached{nil, now.Add(life), ahead(now, life)}, nil
}
