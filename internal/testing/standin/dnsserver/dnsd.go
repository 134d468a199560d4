// Package dnsserver is a stand-in DNS server on loopback: an authority for whatever
// records it is given, over UDP and TCP, which misbehaves as it is told to.
//
// It serves tests, proofs and the demonstration. It must never listen anywhere but
// on loopback, and never ask another server.
package dnsserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
)

// Fault is one way to misbehave. The zero value is none.
type Fault struct {
	Delay         time.Duration // before the answer
	Drop          bool          // no answer
	Truncate      bool          // over UDP: no records, and TC set
	RefuseTCP     bool          // a TCP connection is closed at once
	Rcode         int           // this code and no records
	OtherID       bool          // an answer with a wrong id comes first
	OtherQuestion bool          // an answer to another question comes first
	OtherAddr     bool          // an answer from another address comes first
	Garbage       bool          // bytes that are no message come first
	Cut           bool          // the answer breaks off in the middle, without TC
	Only          bool          // of MismatchedID to Garbage: the true answer never comes
	Chain         bool          // every name is an alias of another, without end
	NoGlue        bool          // nothing in the additional section
}

// Server is one stand-in server.
type Server struct {
	Addr      netip.AddrPort
	Questions atomic.Int64

	udp, tcp *dns.Server

	mu      sync.Mutex
	records map[string][]dns.RR // by name and type
	names   map[string]bool     // names that exist
	soa     dns.RR
	fault   func(q dns.Question, tcp bool) Fault
}

// Start listens on a loopback port, the same for UDP and TCP.
func Start() (*Server, error) {
	s := &Server{}
	_ = s.Zone("")
	for range 50 {
		packets, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp4", packets.LocalAddr().String())
		if err != nil { // another program has that TCP port
			_ = packets.Close()
			continue
		}
		s.Addr = packets.LocalAddr().(*net.UDPAddr).AddrPort()
		s.udp = &dns.Server{PacketConn: packets, Handler: dns.HandlerFunc(s.serve)}
		s.tcp = &dns.Server{Listener: l, Handler: dns.HandlerFunc(s.serve)}
		up := make(chan struct{}, 2)
		s.udp.NotifyStartedFunc, s.tcp.NotifyStartedFunc = func() { up <- struct{}{} }, func() { up <- struct{}{} }
		go func() { _ = s.udp.ActivateAndServe() }()
		go func() { _ = s.tcp.ActivateAndServe() }()
		<-up
		<-up
		return s, nil
	}
	return nil, errors.New("no port that is free for UDP and TCP")
}

// Close ends it; its port answers no more.
func (s *Server) Close() {
	_ = s.udp.Shutdown()
	_ = s.tcp.Shutdown()
}

// Zone puts exactly these records in force at this moment, in the format of a
// master file (RFC 1035, 5), one a line, with full names. The zone's SOA has a
// negative lifetime of 1 s.
func (s *Server) Zone(text string) error {
	records, names := map[string][]dns.RR{}, map[string]bool{}
	parser := dns.NewZoneParser(strings.NewReader(text), ".", "")
	for rr, ok := parser.Next(); ok; rr, ok = parser.Next() {
		h := rr.Header()
		h.Name = strings.ToLower(h.Name)
		k := key(h.Name, h.Rrtype)
		records[k] = append(records[k], rr)
		for name := h.Name; name != ""; { // what stands above a name exists as well
			names[name] = true
			_, name, _ = strings.Cut(name, ".")
		}
	}
	if err := parser.Err(); err != nil {
		return err
	}
	soa, err := dns.NewRR(". 1 IN SOA ns. hostmaster. 1 60 60 60 1")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.names, s.soa = records, names, soa
	return nil
}

// Behave sets how each question is answered; nil: soundly.
func (s *Server) Behave(f func(q dns.Question, tcp bool) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Always is a Behave function with one fault for all.
func Always(f Fault) func(dns.Question, bool) Fault {
	return func(dns.Question, bool) Fault { return f }
}

func key(name string, kind uint16) string { return fmt.Sprint(name, " ", kind) }

func (s *Server) serve(w dns.ResponseWriter, q *dns.Msg) {
	s.Questions.Add(1)
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	if len(q.Question) != 1 {
		return
	}
	s.mu.Lock()
	var f Fault
	if s.fault != nil {
		f = s.fault(q.Question[0], tcp)
	}
	m := s.answer(q, f)
	s.mu.Unlock()
	if f.Drop || tcp && f.RefuseTCP {
		_ = w.Close()
		return
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if !tcp {
		s.disturb(w, m, f)
		if f.Only {
			return
		}
		size := dns.MinMsgSize
		if opt := q.IsEdns0(); opt != nil {
			size = int(opt.UDPSize())
			m.SetEdns0(udpSize, false)
		}
		if m.Truncate(size); f.Truncate {
			m.Answer, m.Extra, m.Truncated = nil, nil, true
		}
	}
	if m.Len() > dns.MaxMsgSize { // what comes along gives way first
		m.Extra = nil
	}
	text, err := m.Pack()
	if err != nil {
		return
	}
	if f.Cut {
		text = text[:len(text)*2/3]
	}
	_, _ = w.Write(text)
}

const udpSize = 1232

// disturb sends what must not be taken for the answer, ahead of it.
func (s *Server) disturb(w dns.ResponseWriter, m *dns.Msg, f Fault) {
	if f.OtherID {
		other := m.Copy()
		other.Id++
		_ = w.WriteMsg(other)
	}
	if f.OtherQuestion {
		other := m.Copy()
		other.Question[0].Name = "other." + other.Question[0].Name
		_ = w.WriteMsg(other)
	}
	if f.Garbage {
		text := make([]byte, 40)
		binary.BigEndian.PutUint16(text, m.Id)
		for i := 2; i < len(text); i++ {
			text[i] = 0xff &^ 0x02 // not even cut short
		}
		_, _ = w.Write(text)
	}
	if f.OtherAddr {
		if conn, err := net.ListenPacket("udp4", "127.0.0.1:0"); err == nil {
			if text, err := m.Pack(); err == nil {
				_, _ = conn.WriteTo(text, w.RemoteAddr())
			}
			_ = conn.Close()
		}
	}
}

// answer makes the true answer. The caller holds mu.
func (s *Server) answer(q *dns.Msg, f Fault) *dns.Msg {
	m := new(dns.Msg).SetReply(q)
	m.Authoritative, m.Compress = true, true
	if f.Rcode != 0 {
		m.Rcode = f.Rcode
		return m
	}
	name, kind := strings.ToLower(q.Question[0].Name), q.Question[0].Qtype
	if f.Chain {
		for i := range 20 {
			m.Answer = append(m.Answer, &dns.CNAME{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeCNAME, Class: dns.ClassINET, Ttl: 5},
				Target: fmt.Sprintf("x%d.%s", i, name)})
			name = fmt.Sprintf("x%d.%s", i, name)
		}
		return m
	}
	for range 16 {
		alias := s.records[key(name, dns.TypeCNAME)]
		if len(alias) == 0 {
			break
		}
		m.Answer = append(m.Answer, alias[0])
		name = strings.ToLower(alias[0].(*dns.CNAME).Target)
	}
	found := s.records[key(name, kind)]
	m.Answer = append(m.Answer, found...)
	switch {
	case len(found) > 0:
	case !s.names[name]:
		m.Rcode, m.Ns = dns.RcodeNameError, []dns.RR{s.soa}
	default:
		m.Ns = []dns.RR{s.soa}
	}
	if !f.NoGlue {
		for _, rr := range found {
			if r, ok := rr.(*dns.SRV); ok {
				m.Extra = append(m.Extra, s.records[key(strings.ToLower(r.Target), dns.TypeA)]...)
				m.Extra = append(m.Extra, s.records[key(strings.ToLower(r.Target), dns.TypeAAAA)]...)
			}
		}
	}
	return m
}
