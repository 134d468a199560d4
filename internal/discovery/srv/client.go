package srv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/miekg/dns"
)

// Counters are figures since the resolver was made.
type Counters struct {
	Questions, OverTCP                                            atomic.Int64
	MismatchedID, MismatchedQuestion, MismatchedServer, Malformed atomic.Int64 // datagrams dropped
	TimedOut, Refused, ServerFailed, BrokenChains                 atomic.Int64
	Unresolved                                                    atomic.Int64 // targets left out for want of an address
}

// Dropped counts datagrams that were not taken for an answer.
func (c *Counters) Dropped() int64 {
	return c.MismatchedID.Load() + c.MismatchedQuestion.Load() + c.MismatchedServer.Load() + c.Malformed.Load()
}

// server is one name server and its health.
type server struct {
	addr           netip.AddrPort
	retryDelay     *backoff.ExponentialBackOff
	unhealthyUntil time.Time // it is asked after the others until then
}

// An unhealthy server is asked first again after a delay that is drawn from 0 to 1 s
// after the first failure, and from 0 to 30 s after many.
const (
	firstUnhealthyDelay = time.Second
	maxUnhealthyDelay   = 30 * time.Second
)

// client puts questions to a list of servers.
type client struct {
	timeout  time.Duration // of one question to one server, over UDP and TCP each
	counters *Counters

	mu      sync.Mutex // guards the servers' health
	servers []*server
}

// newFullJitter makes a backoff with full jitter: each delay is drawn uniformly from
// nothing to twice its step, and the steps double up to limit/2.
func newFullJitter(first, limit time.Duration) *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{InitialInterval: first, RandomizationFactor: 1, Multiplier: 2, MaxInterval: limit / 2}
	b.Reset()
	return b
}

func newClient(addrs []netip.AddrPort, timeout time.Duration, counters *Counters) *client {
	c := &client{timeout: timeout, counters: counters}
	for _, a := range addrs {
		c.servers = append(c.servers, &server{addr: a, retryDelay: newFullJitter(firstUnhealthyDelay, maxUnhealthyDelay)})
	}
	return c
}

// serversByHealth returns the servers in the order in which they are to be asked: as
// configured, the unhealthy last, of these the one that is to be asked again soonest
// first.
func (c *client) serversByHealth(now time.Time) []*server {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.servers)
	slices.SortStableFunc(out, func(a, b *server) int {
		unhealthyA, unhealthyB := now.Before(a.unhealthyUntil), now.Before(b.unhealthyUntil)
		switch {
		case unhealthyA && unhealthyB:
			return a.unhealthyUntil.Compare(b.unhealthyUntil)
		case unhealthyA:
			return 1
		case unhealthyB:
			return -1
		}
		return 0
	})
	return out
}

func (c *client) recordResult(s *server, now time.Time, healthy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if healthy {
		s.retryDelay.Reset()
		s.unhealthyUntil = time.Time{}
		return
	}
	s.unhealthyUntil = now.Add(s.retryDelay.NextBackOff())
}

// query puts one question to the servers in turn until one answers. NXDOMAIN and
// an answer without records are answers. The error says what each server did.
func (c *client) query(ctx context.Context, name string, kind uint16) (*dns.Msg, error) {
	var errs []error
	for _, s := range c.serversByHealth(time.Now()) {
		m, err := c.queryServer(ctx, s, name, kind, true)
		if err == nil && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented) {
			m, err = c.queryServer(ctx, s, name, kind, false) // a server from before EDNS (RFC 6891, 7)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err == nil {
			switch m.Rcode {
			case dns.RcodeSuccess, dns.RcodeNameError:
				c.recordResult(s, time.Now(), true)
				return m, nil
			}
			c.counters.ServerFailed.Add(1)
			err = errors.New(dns.RcodeToString[m.Rcode])
		}
		c.recordResult(s, time.Now(), false)
		errs = append(errs, fmt.Errorf("%v: %w", s.addr, err))
	}
	return nil, fmt.Errorf("%s %s: %w", dns.TypeToString[kind], name, errors.Join(errs...))
}

// queryServer asks one server over UDP, and again over TCP if the answer was truncated.
func (c *client) queryServer(ctx context.Context, s *server, name string, kind uint16, edns bool) (*dns.Msg, error) {
	q := question(name, kind, edns)
	c.counters.Questions.Add(1)
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	m, err := c.queryUDP(ctx, s.addr, q)
	if err != nil || !m.Truncated {
		return m, err
	}
	c.counters.OverTCP.Add(1)
	return c.queryTCP(ctx, s.addr, question(name, kind, edns))
}

// countError counts a failure by its cause, and returns it.
func (c *client) countError(err error) error {
	var slow net.Error
	switch {
	case errors.As(err, &slow) && slow.Timeout():
		c.counters.TimedOut.Add(1)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.counters.Refused.Add(1)
	}
	return err
}
