package srv

// Reading of answers: chains of aliases, lifetimes, negative answers and additional
// addresses. Nothing here does I/O, and nothing panics on anything that a server may
// send (FuzzDecode).

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// maxAliases bounds a chain of CNAMEs, so that a loop ends. RFC 1034 names no figure;
// resolvers in wide use follow 8 to 16.
const maxAliases = 8

var errAliasLoop = errors.New("a chain of CNAMEs without end")

// Record is one SRV record with the address of its target.
type Record struct {
	Target           string // in lower case, without the last dot
	Addr             netip.AddrPort
	Priority, Weight uint16
	ExpiresAt        time.Time // the end of its lifetime
}

// rrset is what one message says of one name and type.
type rrset struct {
	records    []dns.RR
	ttl        time.Duration // the least of the chain's and the records'
	negative   bool          // the name, or the type at it, does not exist
	continueAt string        // the chain leaves the message: look this name up next
	aliases    int           // followed so far
}

// noTTL stands for no lifetime read yet: more than any that a TTL can have.
const noTTL time.Duration = 1 << 62

// ttlDuration converts a TTL: one with the highest bit set counts as 0 (RFC 2181, 8).
func ttlDuration(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

// readAnswer takes out of a message what it says of name and kind, along its chain of
// CNAMEs. aliases is how many were followed in messages before.
func readAnswer(m *dns.Msg, name string, kind uint16, aliases int) (rrset, error) {
	out := rrset{ttl: noTTL, aliases: aliases}
	for {
		alias := out.addRecords(m, name, kind)
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
		out.continueAt = name // the rest of the chain is another server's
		return out, nil
	}
	out.negative = true
	out.ttl = min(out.ttl, negativeTTL(m))
	return out, nil
}

// addRecords adds the records of name and kind in a message's answer section, and
// returns the name's CNAME, if it has one.
func (s *rrset) addRecords(m *dns.Msg, name string, kind uint16) (alias *dns.CNAME) {
	for _, rr := range m.Answer {
		h := rr.Header()
		if h.Class != dns.ClassINET || !strings.EqualFold(h.Name, name) {
			continue
		}
		if h.Rrtype == kind {
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

// negativeTTL is how long a negative answer holds: the lesser of the SOA's own lifetime and its
// last field (RFC 2308, 5); 0 without one.
func negativeTTL(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return min(ttlDuration(soa.Hdr.Ttl), ttlDuration(soa.Minttl))
		}
	}
	return 0
}

// canonicalName is a target in lower case and without the last dot.
func canonicalName(target string) string { return strings.ToLower(strings.TrimSuffix(target, ".")) }

// readServices reads the SRV records of a set, of which there may be at most limit.
// Some servers send a record twice; "." as the one target says that there is no such
// service (RFC 2782).
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
		return nil, fmt.Errorf("%d records are more than the %d that are taken", len(out), limit)
	}
	return out, nil
}

// readAddresses reads A or AAAA records, in ascending order and each once. Unspecified
// and multicast addresses are no address of a service.
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

// readGlue reads the addresses of targets out of the additional section. Records of
// names that are not wanted may be cache poisoning, and are not kept.
func readGlue(m *dns.Msg, wanted map[string]bool, kind uint16) map[string]rrset {
	out := map[string]rrset{}
	for _, rr := range m.Extra {
		h := rr.Header()
		if name := canonicalName(h.Name); h.Rrtype == kind && h.Class == dns.ClassINET && wanted[name] {
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
