package srv

// This file owns what an answer means: chains, lifetimes, "no such name", and the
// addresses that came along. It does no I/O and must never fail on anything that a
// server may send.

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// maxChain bounds a chain of CNAMEs. RFC 1034 names no figure; resolvers in
// wide use follow 8 to 16.
const maxChain = 8

var errChain = errors.New("a chain of CNAMEs without end")

// Record is one SRV record with the address of its target.
type Record struct {
	Target           string // as the zone has it, in lower case, without the last dot
	Addr             netip.AddrPort
	Priority, Weight uint16
	ExpiresAt        time.Time // the end of its lifetime
}

// set is what one message says of one name and type.
type set struct {
	records []dns.RR
	ttl     time.Duration // the least of the chain's and the records'
	missing bool          // the name, or the type at it, does not exist
	next    string        // the chain leaves the message: ask for this name
	steps   int           // of the chain
}

// lifetime reads a TTL: the highest bit makes it 0 (RFC 2181, 8).
func lifetime(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

func sameName(a, b string) bool { return strings.EqualFold(a, b) }

// read takes out of a message what it says of name and kind, along its chain.
func read(m *dns.Msg, name string, kind uint16, steps int) (set, error) {
	out := set{ttl: 1 << 62, steps: steps}
	for {
		var alias *dns.CNAME
		for _, rr := range m.Answer {
			h := rr.Header()
			if h.Class != dns.ClassINET || !sameName(h.Name, name) {
				continue
			}
			if h.Rrtype == kind {
				out.records = append(out.records, rr)
				out.ttl = min(out.ttl, lifetime(h.Ttl))
			} else if c, ok := rr.(*dns.CNAME); ok {
				alias = c
			}
		}
		if len(out.records) > 0 {
			return out, nil
		}
		if alias == nil {
			break
		}
		if out.steps++; out.steps > maxChain {
			return out, errChain
		}
		out.ttl = min(out.ttl, lifetime(alias.Hdr.Ttl))
		name = alias.Target
	}
	if out.steps > steps && m.Rcode == dns.RcodeSuccess && !hasSOA(m) {
		out.next = name // the rest of the chain is another server's
		return out, nil
	}
	out.missing = true
	out.ttl = min(out.ttl, negative(m))
	return out, nil
}

func hasSOA(m *dns.Msg) bool {
	return slices.ContainsFunc(m.Ns, func(rr dns.RR) bool { return rr.Header().Rrtype == dns.TypeSOA })
}

// negative is how long a "no" holds: the lesser of the SOA's own lifetime and its
// last field (RFC 2308, 5); 0 without one.
func negative(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return min(lifetime(soa.Hdr.Ttl), lifetime(soa.Minttl))
		}
	}
	return 0
}

// name writes a target as the rest of the program knows it.
func plain(target string) string { return strings.ToLower(strings.TrimSuffix(target, ".")) }

// services reads the SRV records of a set. Some servers send a record twice; "."
// as the one target says that there is no such service (RFC 2782).
func services(s set, most int) ([]*dns.SRV, error) {
	var out []*dns.SRV
	seen := map[dns.SRV]bool{}
	for _, rr := range s.records {
		r, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		k := dns.SRV{Priority: r.Priority, Weight: r.Weight, Port: r.Port, Target: plain(r.Target)}
		if seen[k] {
			continue
		}
		seen[k] = true
		out = append(out, r)
	}
	if len(out) == 1 && out[0].Target == "." {
		return nil, nil
	}
	out = slices.DeleteFunc(out, func(r *dns.SRV) bool { return r.Target == "." || r.Port == 0 })
	if len(out) > most {
		return nil, fmt.Errorf("%d records are more than the %d that are taken", len(out), most)
	}
	return out, nil
}

// addresses reads A or AAAA records, in a fixed order.
func addresses(records []dns.RR) []netip.Addr {
	var out []netip.Addr
	for _, rr := range records {
		var a netip.Addr
		var ok bool
		switch rr := rr.(type) {
		case *dns.A:
			a, ok = netip.AddrFromSlice(rr.A)
		case *dns.AAAA:
			a, ok = netip.AddrFromSlice(rr.AAAA)
		}
		if a = a.Unmap(); ok && !a.IsUnspecified() && !a.IsMulticast() {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return slices.Compact(out)
}

// glue reads the addresses of targets out of the additional section. Records of
// other names are nobody's business here, and are not kept.
func glue(m *dns.Msg, wanted map[string]bool, kind uint16) map[string]set {
	out := map[string]set{}
	for _, rr := range m.Extra {
		h := rr.Header()
		if name := plain(h.Name); h.Rrtype == kind && h.Class == dns.ClassINET && wanted[name] {
			s, ok := out[name]
			if !ok {
				s.ttl = 1 << 62
			}
			s.records, s.ttl = append(s.records, rr), min(s.ttl, lifetime(h.Ttl))
			out[name] = s
		}
	}
	return out
}
