// Package srv finds loan workers in DNS SRV records (RFC 2782) and keeps what it
// found fresh.
//
// This file owns one question's way over a list of servers: sockets, time-outs,
// which server comes first, and what is not taken for an answer. Messages are a
// library's. It must never take an answer that does not match its question, and
// never ask the system's own resolver.
package srv

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/miekg/dns"
)

// udpSize is what we tell servers that we take in one datagram: it passes any
// path without being cut up (DNS flag day 2020; RFC 6891).
const udpSize = 1232

// Counters are figures since the start.
type Counters struct {
	Questions, OverTCP                                            atomic.Int64
	MismatchedID, MismatchedQuestion, MismatchedServer, Malformed atomic.Int64 // datagrams dropped
	TimedOut, Refused, ServerFailed, BrokenChains                 atomic.Int64
	Unresolved                                                    atomic.Int64 // targets left out for want of an address
}

// Dropped counts what was not taken for an answer.
func (c *Counters) Dropped() int64 {
	return c.MismatchedID.Load() + c.MismatchedQuestion.Load() + c.MismatchedServer.Load() + c.Malformed.Load()
}

// server is one name server and how it has done.
type server struct {
	addr  netip.AddrPort
	pause *backoff.ExponentialBackOff
	until time.Time // in trouble; tried after the others
}

// client asks a list of servers.
type client struct {
	timeout time.Duration // of one try
	counts  *Counters

	mu      sync.Mutex
	servers []*server
}

// newPause makes a back-off with full jitter: each wait is drawn evenly from
// nothing to twice its step, and the steps double up to the ceiling.
func newPause(first, most time.Duration) *backoff.ExponentialBackOff {
	p := &backoff.ExponentialBackOff{InitialInterval: first, RandomizationFactor: 1, Multiplier: 2, MaxInterval: most / 2}
	p.Reset()
	return p
}

func newClient(addrs []netip.AddrPort, timeout time.Duration, counts *Counters) *client {
	c := &client{timeout: timeout, counts: counts}
	for _, a := range addrs {
		c.servers = append(c.servers, &server{addr: a, pause: newPause(time.Second, 30*time.Second)})
	}
	return c
}

// order gives the servers as they are to be tried: as listed, those in trouble
// last, the one whose trouble ends first before the others.
func (c *client) order(now time.Time) []*server {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.servers)
	slices.SortStableFunc(out, func(a, b *server) int {
		ta, tb := now.Before(a.until), now.Before(b.until)
		switch {
		case ta && tb:
			return a.until.Compare(b.until)
		case ta:
			return 1
		case tb:
			return -1
		}
		return 0
	})
	return out
}

func (c *client) mark(s *server, now time.Time, sound bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sound {
		s.pause.Reset()
		s.until = time.Time{}
		return
	}
	s.until = now.Add(s.pause.NextBackOff())
}

// ask puts one question to the servers in turn until one answers. NXDOMAIN and
// an answer without records are answers. The error tells what each server did.
func (c *client) ask(ctx context.Context, name string, kind uint16) (*dns.Msg, error) {
	var errs []error
	for _, s := range c.order(time.Now()) {
		m, err := c.try(ctx, s, name, kind, true)
		if err == nil && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented) {
			m, err = c.try(ctx, s, name, kind, false) // a server from before EDNS (RFC 6891, 7)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err == nil {
			switch m.Rcode {
			case dns.RcodeSuccess, dns.RcodeNameError:
				c.mark(s, time.Now(), true)
				return m, nil
			}
			c.counts.ServerFailed.Add(1)
			err = errors.New(dns.RcodeToString[m.Rcode])
		}
		c.mark(s, time.Now(), false)
		errs = append(errs, fmt.Errorf("%v: %w", s.addr, err))
	}
	return nil, fmt.Errorf("%s %s: %w", dns.TypeToString[kind], name, errors.Join(errs...))
}

func question(name string, kind uint16, edns bool) *dns.Msg {
	m := new(dns.Msg).SetQuestion(name, kind)
	if edns {
		m.SetEdns0(udpSize, false)
	}
	return m
}

// try asks one server over UDP, and the same again over TCP if that was cut.
func (c *client) try(ctx context.Context, s *server, name string, kind uint16, edns bool) (*dns.Msg, error) {
	q := question(name, kind, edns)
	c.counts.Questions.Add(1)
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	m, err := c.datagram(ctx, s.addr, q)
	if err != nil || !m.Truncated {
		return m, err
	}
	c.counts.OverTCP.Add(1)
	q = question(name, kind, edns)
	conn, err := (&net.Dialer{Timeout: c.timeout}).DialContext(ctx, "tcp", s.addr.String())
	if err != nil {
		return nil, fmt.Errorf("cut short, and no TCP: %w", c.told(err))
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.timeout))
	if m, err = exchange(conn, q); err != nil {
		return nil, fmt.Errorf("over TCP: %w", c.told(err))
	}
	if !c.answers(m, q) {
		return nil, errors.New("over TCP: the answer is not to this question")
	}
	if m.Truncated {
		return nil, errors.New("cut short over TCP too")
	}
	return m, nil
}

// exchange puts one message over TCP, where each has its length before it (RFC
// 1035, 4.2.2), and reads one.
func exchange(conn net.Conn, q *dns.Msg) (*dns.Msg, error) {
	text, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...)); err != nil {
		return nil, err
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	text = make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(conn, text); err != nil {
		return nil, err
	}
	m := new(dns.Msg)
	return m, m.Unpack(text)
}

func (c *client) told(err error) error {
	var slow net.Error
	switch {
	case errors.As(err, &slow) && slow.Timeout():
		c.counts.TimedOut.Add(1)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.counts.Refused.Add(1)
	}
	return err
}

// datagram sends one question from a socket of its own, whose port nobody can
// foresee, and waits for its answer. The socket takes datagrams from anywhere, so
// that those from elsewhere are counted, and is told when nobody listens.
func (c *client) datagram(ctx context.Context, to netip.AddrPort, q *dns.Msg) (*dns.Msg, error) {
	network, level, option := "udp4", syscall.IPPROTO_IP, syscall.IP_RECVERR
	if to.Addr().Is6() {
		network, level, option = "udp6", syscall.IPPROTO_IPV6, syscall.IPV6_RECVERR
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without it a server's port that is closed looks like one that is slow.
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), level, option, 1) })
	}}
	packets, err := config.ListenPacket(ctx, network, ":0")
	if err != nil {
		return nil, err
	}
	conn := packets.(*net.UDPConn)
	defer conn.Close()
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	text, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.WriteToUDPAddrPort(text, to); err != nil {
		return nil, c.told(err)
	}
	buf := make([]byte, 4096)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, c.told(err)
		}
		if from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port()); from != to {
			c.counts.MismatchedServer.Add(1)
			continue
		}
		// Whatever does not fit is dropped, not taken as this server's failure:
		// anyone may have sent it, and the answer may still come.
		if m := c.decode(buf[:n], q); m != nil {
			return m, nil
		}
	}
}

// decode reads one datagram; nil if it is no answer to q.
func (c *client) decode(text []byte, q *dns.Msg) *dns.Msg {
	m := new(dns.Msg)
	if err := m.Unpack(text); err != nil {
		// A cut datagram may end in the middle of a record; its head still says so.
		var head dns.Msg
		if len(text) >= 12 && text[2]&0x02 != 0 && head.Unpack(append(slices.Clone(text[:4]), make([]byte, 8)...)) == nil &&
			head.Id == q.Id && head.Response {
			head.Truncated = true
			return &head
		}
		c.counts.Malformed.Add(1)
		return nil
	}
	if !c.answers(m, q) {
		return nil
	}
	return m
}

// answers tells whether m is an answer to q, and counts it if not.
func (c *client) answers(m, q *dns.Msg) bool {
	switch {
	case m.Id != q.Id:
		c.counts.MismatchedID.Add(1)
	case !m.Response || m.Opcode != dns.OpcodeQuery:
		c.counts.Malformed.Add(1)
	case len(m.Question) == 1 && m.Question[0].Qtype == q.Question[0].Qtype &&
		m.Question[0].Qclass == q.Question[0].Qclass && strings.EqualFold(m.Question[0].Name, q.Question[0].Name):
		return true
	// A server that can't read a question need not repeat it.
	case len(m.Question) == 0 && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented):
		return true
	default:
		c.counts.MismatchedQuestion.Add(1)
	}
	return false
}
