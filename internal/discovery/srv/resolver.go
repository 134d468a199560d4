// Package srv finds loan workers in DNS SRV records (RFC 2782) and refreshes the records
// before they expire.
//
// A Resolver looks a service up, then the addresses of its targets, and looks each up
// again at a random time before its lifetime ends, so that many dispatchers do not query
// in lockstep. The library miekg/dns encodes and decodes messages; this package handles
// sockets, timeouts, the order of the servers and the validation of answers.
//
// The package never reports a partial answer as a complete list, never accepts an answer
// that does not match its question, and never uses the system's own resolver.
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

// Config is the configuration of a Resolver.
type Config struct {
	Service string           // the full name, such as _loans._tcp.example.cz.
	Servers []netip.AddrPort // name servers, in the order of preference
	Timeout time.Duration    // of one query to one server
	// MinTTL and MaxTTL bound lifetimes: a record with a TTL of 0 would be looked up
	// continuously, one with a TTL of 68 years never again.
	MinTTL, MaxTTL time.Duration
	StaleTTL       time.Duration // how long an expired address is used while look-ups fail (RFC 8767)
	AddressTypes   []uint16      // dns.TypeA or dns.TypeAAAA; the first type that has an address is used
	MaxRecords     int           // a longer list is rejected as a whole
}

// Update is the result of a round of look-ups. If Err is nil, Records is the complete list
// of targets that have an address. Otherwise the previous Update's list remains in effect.
type Update struct {
	Records []Record
	Err     error
	At      time.Time
}

// Resolver resolves one service. Only Run may access its fields, except for Counters.
type Resolver struct {
	Counters Counters // may be read at any time

	cfg    Config
	client *client

	services          []*dns.SRV
	servicesExpireAt  time.Time
	servicesRefreshAt time.Time
	servicesKnown     bool
	addresses         map[string]*cachedAddresses // by target
	addressInUse      map[string]netip.Addr       // by target; kept while the target still has this address
}

// New returns a resolver, which Run runs.
func New(cfg Config) *Resolver {
	r := &Resolver{cfg: cfg, addresses: map[string]*cachedAddresses{}, addressInUse: map[string]netip.Addr{}}
	r.client = newClient(cfg.Servers, cfg.Timeout, &r.Counters)
	return r
}

const (
	// After a failed round the next begins after minRoundGap plus a random delay: from 0 to
	// twice firstRetryDelay at first, doubled with each failure up to maxRetryDelay.
	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
	// minRoundGap is the minimum time between two rounds, regardless of the lifetimes.
	minRoundGap = 50 * time.Millisecond
)

// Run resolves until ctx ends, and calls notify after each round. After a successful round
// the next begins at a random time before the first lifetime ends; after a failed one it
// begins after a backoff with full jitter.
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

// sleep waits for d, and reports false if ctx ends first.
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

// clampTTL limits a lifetime to the range from MinTTL to MaxTTL.
func (r *Resolver) clampTTL(ttl time.Duration) time.Duration {
	return min(max(ttl, r.cfg.MinTTL), r.cfg.MaxTTL)
}

// refreshTime returns a random time at which to look up again a record whose lifetime is
// ttl: after 60 to 85% of it. The rest leaves time for retries before the lifetime ends.
func refreshTime(now time.Time, ttl time.Duration) time.Time {
	return now.Add(time.Duration(float64(ttl) * (0.6 + 0.25*rand.Float64())))
}

// refresh looks up all records whose refresh time has come, and returns the list. next is
// the time of the earliest next refresh.
func (r *Resolver) refresh(ctx context.Context) (records []Record, next time.Time, err error) {
	additional, err := r.refreshServices(ctx)
	if err != nil {
		return nil, next, err
	}
	if err := r.resolveTargets(ctx, additional); err != nil {
		r.servicesRefreshAt = time.Time{} // no list is reported, so look the services up again
		return nil, next, err
	}
	now := time.Now()
	records, next = r.currentRecords()
	if earliest := now.Add(minRoundGap); next.Before(earliest) {
		next = earliest
	}
	return records, next, nil
}

// refreshServices looks the SRV records up if their refresh time has come. The message
// returned may have the targets' addresses as additional records; it is nil if there was
// no look-up.
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
	r.services, r.servicesKnown, r.servicesExpireAt, r.servicesRefreshAt =
		services, true, now.Add(ttl), refreshTime(now, ttl)
	return m, nil
}

// currentRecords returns the records of all targets that have an address, and the time of
// the earliest next refresh.
func (r *Resolver) currentRecords() (records []Record, next time.Time) {
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
		records = append(records, Record{Target: name, Addr: netip.AddrPortFrom(addr, s.Port),
			Priority: s.Priority, Weight: s.Weight, ExpiresAt: expiresAt})
	}
	return records, next
}

// lookup looks a name up and follows its chain of CNAMEs, over several messages if
// necessary. The set's lifetime is the minimum over the whole chain.
func (r *Resolver) lookup(ctx context.Context, name string, qtype uint16) (rrset, *dns.Msg, error) {
	ttl := noTTL
	for aliases := 0; ; {
		m, err := r.client.query(ctx, name, qtype)
		if err != nil {
			return rrset{}, nil, err
		}
		set, err := readAnswer(m, name, qtype, aliases)
		if err == nil && set.continueAt != "" && set.aliases >= maxAliases {
			err = errAliasLoop
		}
		if err != nil {
			r.Counters.BrokenChains.Add(1)
			return rrset{}, nil, fmt.Errorf("%s %s: %w", dns.TypeToString[qtype], name, err)
		}
		ttl = min(ttl, set.ttl)
		if set.ttl = ttl; set.continueAt == "" {
			return set, m, nil
		}
		name, aliases = set.continueAt, set.aliases
	}
}
