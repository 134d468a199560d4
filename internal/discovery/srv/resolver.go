// Package srv finds loan workers in DNS SRV records (RFC 2782) and keeps what it
// found fresh.
//
// A Resolver looks a service up, then the addresses of its targets, and looks each up
// again at a random moment before its lifetime ends, so that many dispatchers never
// ask in step. Messages are a library's (miekg/dns); sockets, time-outs, which server
// is asked first and what is not taken for an answer are this package's.
//
// The package never reports half a list as a whole one, never takes an answer that
// does not match its question, and never asks the system's own resolver.
package srv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/miekg/dns"

	"yardflow/internal/platform/timers"
)

// Config says which service to resolve, and how.
type Config struct {
	Service string           // the full name, such as _loans._tcp.example.cz.
	Servers []netip.AddrPort // name servers, in the order of preference
	Timeout time.Duration    // of one question to one server
	// MinTTL and MaxTTL bound lifetimes: a TTL of 0 would be asked for without end,
	// one of 68 years would never be asked for again.
	MinTTL, MaxTTL time.Duration
	StaleTTL       time.Duration // how long an address is used past its lifetime while none can be had (RFC 8767)
	AddressTypes   []uint16      // dns.TypeA, dns.TypeAAAA; the first that has an address counts
	MaxRecords     int           // a longer list is refused whole
}

// Update is the result of a round. Without Err it is the whole list; with it
// nothing new is known, and the list of the Update before still holds.
type Update struct {
	Records []Record
	Err     error
	At      time.Time
}

// Resolver resolves one service. Run owns all of it but Counters.
type Resolver struct {
	Counters Counters // may be read at any time

	cfg    Config
	client *client

	services          []*dns.SRV
	servicesExpireAt  time.Time
	servicesRefreshAt time.Time
	servicesKnown     bool
	addresses         map[string]*cachedAddresses // by target
	addressInUse      map[string]netip.Addr       // by target; kept while it is one of the target's
}

// New makes a resolver; Run runs it.
func New(cfg Config) *Resolver {
	r := &Resolver{cfg: cfg, addresses: map[string]*cachedAddresses{}, addressInUse: map[string]netip.Addr{}}
	r.client = newClient(cfg.Servers, cfg.Timeout, &r.Counters)
	return r
}

const (
	// After a failed round the next begins minRoundGap later, and up to
	// firstRetryDelay, doubled up to maxRetryDelay, beyond that.
	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
	// minRoundGap is the least time between two rounds, whatever the lifetimes.
	minRoundGap = 50 * time.Millisecond
)

// Run resolves until ctx ends, and calls notify after each round. Rounds after a
// success come before the first lifetime ends, at a moment drawn each time; rounds
// after a failure come after a backoff with full jitter.
func (r *Resolver) Run(ctx context.Context, notify func(Update)) {
	retryDelay := newFullJitter(firstRetryDelay, maxRetryDelay)
	for {
		records, next, err := r.refresh(ctx)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err != nil {
			next = now.Add(minRoundGap + retryDelay.NextBackOff())
		} else {
			retryDelay.Reset()
		}
		notify(Update{Records: records, Err: err, At: now})
		if !sleep(ctx, next.Sub(now)) {
			return
		}
	}
}

// sleep waits, and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(timers.Positive(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// clampTTL bounds a lifetime by MinTTL and MaxTTL.
func (r *Resolver) clampTTL(ttl time.Duration) time.Duration {
	return min(max(ttl, r.cfg.MinTTL), r.cfg.MaxTTL)
}

// refreshTime draws when to look up again what holds for ttl: after 60 to 85% of it.
// The rest leaves time for retries before the end.
func refreshTime(now time.Time, ttl time.Duration) time.Time {
	return now.Add(time.Duration(float64(ttl) * (0.6 + 0.25*rand.Float64())))
}

// refresh looks up whatever is due and makes the list. next is when the first thing
// cached is due again.
func (r *Resolver) refresh(ctx context.Context) (records []Record, next time.Time, err error) {
	additional, err := r.refreshServices(ctx)
	if err != nil {
		return nil, next, err
	}
	if err := r.resolveTargets(ctx, additional); err != nil {
		r.servicesRefreshAt = time.Time{} // no list was reported: look all of it up again
		return nil, next, err
	}
	now := time.Now()
	records, next = r.list()
	if least := now.Add(minRoundGap); next.Before(least) {
		next = least
	}
	return records, next, nil
}

// refreshServices looks the SRV records up if they are due. The message returned may
// have the targets' addresses as additional records; it is nil if nothing was due.
func (r *Resolver) refreshServices(ctx context.Context) (*dns.Msg, error) {
	if now := time.Now(); r.servicesKnown && now.Before(r.servicesRefreshAt) {
		return nil, nil
	}
	set, m, err := r.lookup(ctx, r.cfg.Service, dns.TypeSRV)
	if err != nil {
		return nil, err
	}
	services, err := readServices(set, r.cfg.MaxRecords)
	if err != nil {
		return nil, err
	}
	now, ttl := time.Now(), r.clampTTL(set.ttl)
	r.services, r.servicesKnown, r.servicesExpireAt, r.servicesRefreshAt = services, true, now.Add(ttl), refreshTime(now, ttl)
	return m, nil
}

// list makes the list of all targets that have an address, and says when the first
// of what it consists of is due again.
func (r *Resolver) list() (records []Record, next time.Time) {
	next = r.servicesRefreshAt
	for _, s := range r.services {
		name := canonicalName(s.Target)
		c := r.addresses[name]
		if c == nil {
			continue
		}
		if c.refreshAt.Before(next) {
			next = c.refreshAt
		}
		if len(c.addrs) == 0 {
			continue
		}
		addr := c.addrs[0]
		if inUse, ok := r.addressInUse[name]; ok && slices.Contains(c.addrs, inUse) {
			addr = inUse
		}
		r.addressInUse[name] = addr
		expiresAt := r.servicesExpireAt
		if c.expiresAt.Before(expiresAt) {
			expiresAt = c.expiresAt
		}
		records = append(records, Record{Target: name, Addr: netip.AddrPortFrom(addr, s.Port), Priority: s.Priority, Weight: s.Weight, ExpiresAt: expiresAt})
	}
	return records, next
}

// lookup asks for a name and follows its chain of aliases over as many messages as it
// takes. The set's lifetime is the least of the whole chain.
func (r *Resolver) lookup(ctx context.Context, name string, kind uint16) (rrset, *dns.Msg, error) {
	ttl := noTTL
	for aliases := 0; ; {
		m, err := r.client.query(ctx, name, kind)
		if err != nil {
			return rrset{}, nil, err
		}
		set, err := readAnswer(m, name, kind, aliases)
		if err == nil && set.continueAt != "" && set.aliases >= maxAliases {
			err = errAliasLoop
		}
		if err != nil {
			r.Counters.BrokenChains.Add(1)
			return rrset{}, nil, fmt.Errorf("%s %s: %w", dns.TypeToString[kind], name, err)
		}
		ttl = min(ttl, set.ttl)
		if set.ttl = ttl; set.continueAt == "" {
			return set, m, nil
		}
		name, aliases = set.continueAt, set.aliases
	}
}
