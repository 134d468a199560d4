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

// Counters count events since the resolver was created.
type Counters struct {
	Questions, OverTCP                                            atomic.Int64
	MismatchedID, MismatchedQuestion, MismatchedServer, Malformed atomic.Int64 // messages dropped
	TimedOut, Refused, ServerFailed, BrokenChains                 atomic.Int64
	Unresolved                                                    atomic.Int64 // targets left out: they have no address
}

// Dropped returns the number of messages over UDP or TCP that were not accepted as an answer.
func (c *Counters) Dropped() int64 {
	return c.MismatchedID.Load() + c.MismatchedQuestion.Load() + c.MismatchedServer.Load() + c.Malformed.Load()
}

// server is one name server and its health.
type server struct {
	addr           netip.AddrPort
	retryDelay     *backoff.ExponentialBackOff
	unhealthyUntil time.Time // until then it is queried after the healthy ones
}

// A server that failed is unhealthy for a random delay: from 0 to twice
// firstUnhealthyDelay after the first failure, and from 0 to maxUnhealthyDelay after many.
const (
	firstUnhealthyDelay = time.Second
	maxUnhealthyDelay   = 30 * time.Second
)

// client queries a list of name servers.
type client struct {
	timeout  time.Duration // of one query to one server: for UDP and the TCP connect together, and for the TCP exchange
	counters *Counters

	mu      sync.Mutex // guards the servers' health
	servers []*server
}

// newFullJitter returns a backoff with full jitter: each delay is drawn uniformly from 0
// to twice its step. The first step is first, and the steps double up to limit/2.
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

// serversByHealth returns the servers in the order in which to query them: the healthy
// ones as configured, then the unhealthy ones by the end of their delay.
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

// query sends one question to the servers in turn until one answers. NXDOMAIN and an
// answer without records count as answers. The error contains the failure of each server.
func (c *client) query(ctx context.Context, name string, qtype uint16) (*dns.Msg, error) {
	var errs []error
	for _, s := range c.serversByHealth(time.Now()) {
		m, err := c.queryServer(ctx, s, name, qtype, true)
		if err == nil && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented) {
			m, err = c.queryServer(ctx, s, name, qtype, false) // the server does not support EDNS (RFC 6891, 7)
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
	return nil, fmt.Errorf("%s %s: %w", dns.TypeToString[qtype], name, errors.Join(errs...))
}

// queryServer queries one server over UDP, and again over TCP if the answer is truncated.
func (c *client) queryServer(ctx context.Context, s *server, name string, qtype uint16, edns bool) (*dns.Msg, error) {
	q := newQuery(name, qtype, edns)
	c.counters.Questions.Add(1)
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	m, err := c.queryUDP(ctx, s.addr, q)
	if err != nil || !m.Truncated {
		return m, err
	}
	c.counters.OverTCP.Add(1)
	return c.queryTCP(ctx, s.addr, newQuery(name, qtype, edns))
}

// countError counts an error by its cause, and returns it.
func (c *client) countError(err error) error {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		c.counters.TimedOut.Add(1)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.counters.Refused.Add(1)
	}
	return err
}
