package srv

import (
	"testing"

	"github.com/miekg/dns"
)

// An answer that ends in the middle of a record is used for its header alone, and only where it says so itself.
func TestHeaderOfATruncatedAnswer(t *testing.T) {
	q := new(dns.Msg)
	q.SetQuestion("_loans._tcp.example.", dns.TypeSRV)
	header := func(id uint16, response, truncated bool) []byte {
		text := []byte{byte(id >> 8), byte(id), 0, 0, 0, 1, 0, 9, 0, 0, 0, 0, 0xff}
		if response {
			text[2] |= 0x80
		}
		if truncated {
			text[2] |= 0x02
		}
		return text
	}
	for name, c := range map[string]struct {
		text []byte
		want bool
	}{
		"truncated, and says so":        {header(q.Id, true, true), true},
		"does not say so":               {header(q.Id, true, false), false},
		"answers another question":      {header(q.Id+1, true, true), false},
		"is a question itself":          {header(q.Id, false, true), false},
		"is shorter than a header":      {header(q.Id, true, true)[:headerSize-1], false},
		"is nothing at all but a start": {nil, false},
	} {
		got := truncatedHeader(c.text, q)
		if (got != nil) != c.want || got != nil && !got.Truncated {
			t.Errorf("an answer that is %s: %v", name, got)
		}
	}
}

// Only a negative answer with the zone's SOA says for how long it holds (RFC 2308).
func TestNegativeAnswersNeedAnSOA(t *testing.T) {
	m := new(dns.Msg)
	if hasSOA(m) || negativeTTL(m) != 0 {
		t.Error("an answer without records has an SOA")
	}
	m.Ns = []dns.RR{&dns.NS{Hdr: dns.RR_Header{Rrtype: dns.TypeNS}}}
	if hasSOA(m) {
		t.Error("a name server counts as an SOA")
	}
	m.Ns = append(m.Ns, &dns.SOA{Hdr: dns.RR_Header{Rrtype: dns.TypeSOA, Ttl: 60}, Minttl: 30})
	if !hasSOA(m) || negativeTTL(m).Seconds() != 30 {
		t.Errorf("SOA %t, holds for %v", hasSOA(m), negativeTTL(m))
	}
}
