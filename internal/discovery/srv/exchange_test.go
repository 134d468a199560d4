package srv

import (
	"testing"

	"github.com/miekg/dns"
)

// Only the header of an answer that ends in the middle of a record is used, and only if the TC bit is set.
func TestTruncatedHeader(t *testing.T) {
	q := new(dns.Msg)
	q.SetQuestion("_loans._tcp.example.", dns.TypeSRV)
	header := func(id uint16, response, truncated bool) []byte {
		data := []byte{byte(id >> 8), byte(id), 0, 0, 0, 1, 0, 9, 0, 0, 0, 0, 0xff}
		if response {
			data[2] |= 0x80
		}
		if truncated {
			data[2] |= 0x02
		}
		return data
	}
	for name, c := range map[string]struct {
		data []byte
		want bool
	}{
		"truncated, with the TC bit":    {header(q.Id, true, true), true},
		"truncated, without the TC bit": {header(q.Id, true, false), false},
		"with another id":               {header(q.Id+1, true, true), false},
		"a query":                       {header(q.Id, false, true), false},
		"shorter than a header":         {header(q.Id, true, true)[:headerSize-1], false},
		"empty":                         {nil, false},
	} {
		got := truncatedHeader(c.data, q)
		if (got != nil) != c.want || got != nil && !got.Truncated {
			t.Errorf("message %s: got header %v", name, got)
		}
	}
}

// A negative answer has a lifetime only if it contains the zone's SOA (RFC 2308).
func TestNegativeTTLRequiresSOA(t *testing.T) {
	m := new(dns.Msg)
	if hasSOA(m) || negativeTTL(m) != 0 {
		t.Error("an empty answer has an SOA or a negative TTL")
	}
	m.Ns = []dns.RR{&dns.NS{Hdr: dns.RR_Header{Rrtype: dns.TypeNS}}}
	if hasSOA(m) {
		t.Error("an NS record counts as an SOA")
	}
	m.Ns = append(m.Ns, &dns.SOA{Hdr: dns.RR_Header{Rrtype: dns.TypeSOA, Ttl: 60}, Minttl: 30})
	if !hasSOA(m) || negativeTTL(m).Seconds() != 30 {
		t.Errorf("hasSOA %t, negative TTL %v; want true and 30 s", hasSOA(m), negativeTTL(m))
	}
}
