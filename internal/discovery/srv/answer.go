package srv

// This file reads answers: chains of CNAMEs, lifetimes, negative answers and the
// addresses in the additional section. It does no I/O, and does not panic on any message
// that a server may send (FuzzDecode).

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// maxAliases bounds the length of a chain of CNAMEs, so that a loop ends. RFC 1034
// specifies no limit; widely used resolvers follow 8 to 16.
const maxAliases = 8

var errAliasLoop = errors.New("the chain of CNAMEs is a loop or too long")

// Record is one SRV record with the address of its target.
type Record struct {
	Target           string // in lower case, without the trailing dot
	Addr             netip.AddrPort
	Priority, Weight uint16
	ExpiresAt        time.Time // end of its lifetime
}

// rrset is the answer of one message to a name and type.
type rrset struct {
	records    []dns.RR
	ttl        time.Duration // the minimum of the chain's and the records' TTLs
	negative   bool          // the name does not exist, or has no records of the type
	continueAt string        // the name to look up next, if the chain leaves the message
	aliases    int           // CNAMEs followed so far
}

// noTTL is the initial value for a minimum of TTLs, greater than any TTL.
const noTTL time.Duration = 1 << 62

// ttlDuration converts a TTL. A TTL with the highest bit set counts as 0 (RFC 2181, 8).
func ttlDuration(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

// readAnswer reads a message's answer for name and qtype, following its chain of CNAMEs.
// aliases is the number of CNAMEs followed in earlier messages.
func readAnswer(m *dns.Msg, name string, qtype uint16, aliases int) (rrset, error) {
	out := rrset{ttl: noTTL, aliases: aliases}
	for {
		alias := out.addRecords(m, name, qtype)
		if len(out.records) > 0 {
			return out, nil
		}
		if alias == nil {
			break
		}
		if out.aliases++; out.aliases > maxAliases {
			return out, errAliasLoop
		}
		out.ttl = min(out.ttl, ttlDuration(alias.Hdr.Ttl))
		name = alias.Target
	}
	if out.aliases > aliases && m.Rcode == dns.RcodeSuccess && !hasSOA(m) {
		out.continueAt = name // another server has the rest of the chain
		return out, nil
	}
	out.negative = true
	out.ttl = min(out.ttl, negativeTTL(m))
	return out, nil
}

// addRecords adds the records of name and qtype from a message's answer section, and
// returns the name's CNAME, if it has one.
func (s *rrset) addRecords(m *dns.Msg, name string, qtype uint16) (alias *dns.CNAME) {
	for _, rr := range m.Answer {
		h := rr.Header()
		if h.Class != dns.ClassINET || !strings.EqualFold(h.Name, name) {
			continue
		}
		if h.Rrtype == qtype {
			s.records = append(s.records, rr)
			s.ttl = min(s.ttl, ttlDuration(h.Ttl))
		} else if c, ok := rr.(*dns.CNAME); ok {
			alias = c
		}
	}
	return alias
}

func hasSOA(m *dns.Msg) bool {
	return slices.ContainsFunc(m.Ns, func(rr dns.RR) bool { return rr.Header().Rrtype == dns.TypeSOA })
}

// negativeTTL returns the lifetime of a negative answer: the minimum of the SOA's own TTL and
// its MINIMUM field (RFC 2308, 5), or 0 without an SOA.
func negativeTTL(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return min(ttlDuration(soa.Hdr.Ttl), ttlDuration(soa.Minttl))
		}
	}
	return 0
}

// canonicalName returns a target in lower case and without the trailing dot.
func canonicalName(target string) string { return strings.ToLower(strings.TrimSuffix(target, ".")) }

// readServices returns the SRV records of a set without duplicates, which some servers
// send, or an error if there are more than limit. A single target "." means that the
// service does not exist (RFC 2782). Records with port 0, or with the target "." beside
// others, are skipped.
func readServices(s rrset, limit int) ([]*dns.SRV, error) {
	var out []*dns.SRV
	seen := map[dns.SRV]bool{}
	for _, rr := range s.records {
		r, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		key := dns.SRV{Priority: r.Priority, Weight: r.Weight, Port: r.Port, Target: canonicalName(r.Target)}
		if seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, r)
	}
	if len(out) == 1 && out[0].Target == "." {
		return nil, nil
	}
	out = slices.DeleteFunc(out, func(r *dns.SRV) bool { return r.Target == "." || r.Port == 0 })
	if len(out) > limit {
		return nil, fmt.Errorf("%d records exceed the limit of %d", len(out), limit)
	}
	return out, nil
}

// readAddresses returns the addresses of A or AAAA records in ascending order, without
// duplicates. It skips unspecified and multicast addresses, which cannot be those of a
// service.
func readAddresses(records []dns.RR) []netip.Addr {
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

// readGlue reads the address records of targets from the additional section. It ignores
// records of names that are not wanted, since they may be cache poisoning.
func readGlue(m *dns.Msg, wanted map[string]bool, qtype uint16) map[string]rrset {
	out := map[string]rrset{}
	for _, rr := range m.Extra {
		h := rr.Header()
		if name := canonicalName(h.Name); h.Rrtype == qtype && h.Class == dns.ClassINET && wanted[name] {
			s, ok := out[name]
			if !ok {
				s.ttl = noTTL
			}
			s.records, s.ttl = append(s.records, rr), min(s.ttl, ttlDuration(h.Ttl))
			out[name] = s
		}
	}
	return out
}
