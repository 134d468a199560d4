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
	"syscall"
	"time"

	"github.com/miekg/dns"
)

// udpSize is the size of datagram in bytes that we say we take: it passes any path
// without being fragmented (DNS flag day 2020; RFC 6891). Longer answers come over TCP.
const udpSize = 1232

// readBuffer is for datagrams of servers that ignore udpSize, in bytes.
const readBuffer = 4096

func question(name string, kind uint16, edns bool) *dns.Msg {
	m := new(dns.Msg).SetQuestion(name, kind)
	if edns {
		m.SetEdns0(udpSize, false)
	}
	return m
}

// queryUDP sends one question from a socket of its own, whose port nobody can
// predict, and waits for its answer until the deadline of ctx. The socket is not
// connected, so that datagrams from elsewhere are counted.
func (c *client) queryUDP(ctx context.Context, to netip.AddrPort, q *dns.Msg) (*dns.Msg, error) {
	conn, err := listenUDP(ctx, to)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // nothing is pending in a UDP socket
	if at, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(at); err != nil {
			return nil, err
		}
	}
	// A deadline in the past ends a read at once; it fails only on a closed socket.
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	text, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.WriteToUDPAddrPort(text, to); err != nil {
		return nil, c.countError(err)
	}
	buf := make([]byte, readBuffer)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, c.countError(err)
		}
		if from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port()); from != to {
			c.counters.MismatchedServer.Add(1)
			continue
		}
		// Whatever does not fit is dropped, and not taken for a failure of this server:
		// anyone may have sent it, and the answer may still come.
		if m := c.decodeDatagram(buf[:n], q); m != nil {
			return m, nil
		}
	}
}

// listenUDP opens a socket on a port of the system's choice that reports ICMP errors.
// Without them a server's port that is closed looks like a server that is slow. A
// system that does not take the option works all the same, only slower.
func listenUDP(ctx context.Context, to netip.AddrPort) (*net.UDPConn, error) {
	network, level, option := "udp4", syscall.IPPROTO_IP, syscall.IP_RECVERR
	if to.Addr().Is6() {
		network, level, option = "udp6", syscall.IPPROTO_IPV6, syscall.IPV6_RECVERR
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), level, option, 1) })
	}}
	packets, err := config.ListenPacket(ctx, network, ":0")
	if err != nil {
		return nil, err
	}
	return packets.(*net.UDPConn), nil
}

// queryTCP asks one server over a connection of its own.
func (c *client) queryTCP(ctx context.Context, to netip.AddrPort, q *dns.Msg) (*dns.Msg, error) {
	conn, err := (&net.Dialer{Timeout: c.timeout}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("cut short, and no TCP: %w", c.countError(err))
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return nil, fmt.Errorf("over TCP: %w", err)
	}
	m, err := exchangeTCP(conn, q)
	if err != nil {
		return nil, fmt.Errorf("over TCP: %w", c.countError(err))
	}
	if !c.matches(m, q) {
		return nil, errors.New("over TCP: the answer is not to this question")
	}
	if m.Truncated {
		return nil, errors.New("cut short over TCP too")
	}
	return m, nil
}

// exchangeTCP writes one message, which over TCP has its length before it (RFC 1035,
// 4.2.2), and reads one.
func exchangeTCP(conn net.Conn, q *dns.Msg) (*dns.Msg, error) {
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

// headerSize is the size of a DNS message's header in bytes (RFC 1035, 4.1.1).
const headerSize = 12

// decodeDatagram reads one datagram; nil if it is no answer to q.
func (c *client) decodeDatagram(text []byte, q *dns.Msg) *dns.Msg {
	m := new(dns.Msg)
	if err := m.Unpack(text); err != nil {
		if head := truncatedHeader(text, q); head != nil {
			return head
		}
		c.counters.Malformed.Add(1)
		return nil
	}
	if !c.matches(m, q) {
		return nil
	}
	return m
}

// truncatedHeader reads the header of an answer to q that ends in the middle of a
// record and says so (the TC bit); nil if it is none. The counts of records are taken
// as 0, since the records can't be read.
func truncatedHeader(text []byte, q *dns.Msg) *dns.Msg {
	const truncatedBit = 0x02 // in the third byte
	if len(text) < headerSize || text[2]&truncatedBit == 0 {
		return nil
	}
	var head dns.Msg
	if head.Unpack(append(slices.Clone(text[:4]), make([]byte, headerSize-4)...)) != nil || head.Id != q.Id || !head.Response {
		return nil
	}
	head.Truncated = true
	return &head
}

// matches reports whether m is an answer to q, and counts it if not.
func (c *client) matches(m, q *dns.Msg) bool {
	switch {
	case m.Id != q.Id:
		c.counters.MismatchedID.Add(1)
	case !m.Response || m.Opcode != dns.OpcodeQuery:
		c.counters.Malformed.Add(1)
	case len(m.Question) == 1 && m.Question[0].Qtype == q.Question[0].Qtype &&
		m.Question[0].Qclass == q.Question[0].Qclass && strings.EqualFold(m.Question[0].Name, q.Question[0].Name):
		return true
	// A server that can't read a question need not repeat it.
	case len(m.Question) == 0 && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented):
		return true
	default:
		c.counters.MismatchedQuestion.Add(1)
	}
	return false
}
