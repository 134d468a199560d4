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

// udpPayloadSize is the EDNS UDP payload size in bytes that queries announce. Datagrams of
// this size are not fragmented on any path (DNS flag day 2020; RFC 6891). Longer answers
// come over TCP.
const udpPayloadSize = 1232

// readBufferSize is the size of the receive buffer in bytes. It is larger than
// udpPayloadSize because some servers ignore that size.
const readBufferSize = 4096

func newQuery(name string, qtype uint16, edns bool) *dns.Msg {
	m := new(dns.Msg).SetQuestion(name, qtype)
	if edns {
		m.SetEdns0(udpPayloadSize, false)
	}
	return m
}

// queryUDP sends one question from a new socket, so that its port is unpredictable, and
// waits for the answer until the deadline of ctx. The socket is not connected, so that
// datagrams from other addresses can be counted.
func (c *client) queryUDP(ctx context.Context, to netip.AddrPort, q *dns.Msg) (*dns.Msg, error) {
	conn, err := listenUDP(ctx, to)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // nothing is pending in a UDP socket
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	// A deadline in the past ends a read at once; it fails only on a closed socket.
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	data, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		return nil, c.countError(err)
	}
	buf := make([]byte, readBufferSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, c.countError(err)
		}
		if from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port()); from != to {
			c.counters.MismatchedServer.Add(1)
			continue
		}
		// A datagram that does not match is dropped and does not count as a failure of the
		// server: anyone may have sent it, and the answer may still come.
		if m := c.decodeDatagram(buf[:n], q); m != nil {
			return m, nil
		}
	}
}

// listenUDP opens a socket on a port chosen by the system, with reporting of ICMP errors
// enabled. Without them a closed port cannot be distinguished from a slow server. If the
// system does not support the option, a closed port is detected only by the timeout.
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

// queryTCP queries one server over a new TCP connection.
func (c *client) queryTCP(ctx context.Context, to netip.AddrPort, q *dns.Msg) (*dns.Msg, error) {
	conn, err := (&net.Dialer{Timeout: c.timeout}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("truncated over UDP, and TCP failed: %w", c.countError(err))
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
		return nil, errors.New("over TCP: the answer does not match the question")
	}
	if m.Truncated {
		return nil, errors.New("truncated over TCP too")
	}
	return m, nil
}

// exchangeTCP writes one message and reads one. Over TCP, a message is preceded by its
// length (RFC 1035, 4.2.2).
func exchangeTCP(conn net.Conn, q *dns.Msg) (*dns.Msg, error) {
	data, err := q.Pack()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...)); err != nil {
		return nil, err
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	data = make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(conn, data); err != nil {
		return nil, err
	}
	m := new(dns.Msg)
	return m, m.Unpack(data)
}

// headerSize is the size of a DNS message's header in bytes (RFC 1035, 4.1.1).
const headerSize = 12

// decodeDatagram decodes one datagram. It returns nil, and counts the datagram, if it is
// not an answer to q.
func (c *client) decodeDatagram(data []byte, q *dns.Msg) *dns.Msg {
	m := new(dns.Msg)
	if err := m.Unpack(data); err != nil {
		if head := truncatedHeader(data, q); head != nil {
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

// truncatedHeader reads the header of an answer to q that ends in the middle of a record
// and has the TC bit set; it returns nil if data is no such answer. The header's record
// counts are set to 0, since the records can't be read.
func truncatedHeader(data []byte, q *dns.Msg) *dns.Msg {
	const truncatedBit = 0x02 // of the third byte
	if len(data) < headerSize || data[2]&truncatedBit == 0 {
		return nil
	}
	var head dns.Msg
	if head.Unpack(append(slices.Clone(data[:4]), make([]byte, headerSize-4)...)) != nil ||
		head.Id != q.Id || !head.Response {
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
	// A server that can't parse a question need not repeat it.
	case len(m.Question) == 0 && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented):
		return true
	default:
		c.counters.MismatchedQuestion.Add(1)
	}
	return false
}
