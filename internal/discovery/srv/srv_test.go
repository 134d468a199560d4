package srv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"

	"yardflow/internal/testing/standin/dnsserver"
)

const service = "_loans._tcp.shop.test."

const zone = `
_loans._tcp.shop.test. 300 IN SRV 0 10 7001 w1.shop.test.
_loans._tcp.shop.test. 300 IN SRV 0 30 7002 w2.shop.test.
_loans._tcp.shop.test. 300 IN SRV 5 0 7003 W3.shop.test.
w1.shop.test. 60 IN A 127.0.0.11
w2.shop.test. 60 IN A 127.0.0.13
w2.shop.test. 60 IN A 127.0.0.12
w3.shop.test. 60 IN AAAA ::1
`

// known is what zone says, as host:port by target.
var known = []string{"w1.shop.test 127.0.0.11:7001 0 10", "w2.shop.test 127.0.0.12:7002 0 30", "w3.shop.test [::1]:7003 5 0"}

func start(t *testing.T, text string) *dnsserver.Server {
	t.Helper()
	s, err := dnsserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.Zone(text); err != nil {
		t.Fatal(err)
	}
	return s
}

func resolver(servers ...*dnsserver.Server) *Resolver {
	cfg := Config{Service: service, Timeout: 250 * time.Millisecond, MinTTL: time.Second, MaxTTL: time.Hour, StaleTTL: time.Hour,
		AddressTypes: []uint16{dns.TypeA, dns.TypeAAAA}, MaxRecords: 4096}
	for _, s := range servers {
		cfg.Servers = append(cfg.Servers, s.Addr)
	}
	return New(cfg)
}

func lines(records []Record) (out []string) {
	for _, r := range records {
		out = append(out, fmt.Sprint(r.Target, " ", r.Addr, " ", r.Priority, " ", r.Weight))
	}
	slices.Sort(out)
	return out
}

// Whatever one server does wrong, the list comes: from its own later answer, over
// TCP, or from the next server. What was not an answer is counted.
func TestAnswersInSpiteOfFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault dnsserver.Fault
		count func(*Counters) int64
	}{
		"none":            {dnsserver.Fault{}, nil},
		"no glue":         {dnsserver.Fault{NoGlue: true}, nil},
		"truncated":       {dnsserver.Fault{Truncate: true}, func(c *Counters) int64 { return c.OverTCP.Load() }},
		"other id":        {dnsserver.Fault{OtherID: true}, func(c *Counters) int64 { return c.MismatchedID.Load() }},
		"other question":  {dnsserver.Fault{OtherQuestion: true}, func(c *Counters) int64 { return c.MismatchedQuestion.Load() }},
		"other address":   {dnsserver.Fault{OtherAddr: true}, func(c *Counters) int64 { return c.MismatchedServer.Load() }},
		"garbage":         {dnsserver.Fault{Garbage: true}, func(c *Counters) int64 { return c.Malformed.Load() }},
		"only other ids":  {dnsserver.Fault{OtherID: true, Only: true}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"only garbage":    {dnsserver.Fault{Garbage: true, Only: true}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"cut short":       {dnsserver.Fault{Cut: true}, func(c *Counters) int64 { return c.Malformed.Load() }},
		"black hole":      {dnsserver.Fault{Drop: true}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"too slow":        {dnsserver.Fault{Delay: 400 * time.Millisecond}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"SERVFAIL":        {dnsserver.Fault{Rcode: dns.RcodeServerFailure}, func(c *Counters) int64 { return c.ServerFailed.Load() }},
		"REFUSED":         {dnsserver.Fault{Rcode: dns.RcodeRefused}, func(c *Counters) int64 { return c.ServerFailed.Load() }},
		"TCP closed":      {dnsserver.Fault{Truncate: true, RefuseTCP: true}, func(c *Counters) int64 { return c.OverTCP.Load() }},
		"FORMERR to EDNS": {dnsserver.Fault{Rcode: dns.RcodeFormatError}, func(c *Counters) int64 { return c.Questions.Load() - 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, good := start(t, zone), start(t, zone)
			bad.Behave(dnsserver.Always(c.fault))
			r := resolver(bad, good)
			records, next, err := r.round(t.Context())
			if diff := cmp.Diff(known, lines(records)); diff != "" || err != nil {
				t.Fatal(err, diff)
			}
			if left := time.Until(next); left < 30*time.Second || left > 52*time.Second {
				t.Errorf("asks again in %v; the least lifetime is 60 s", left)
			}
			if c.count != nil && c.count(&r.Counters) == 0 {
				t.Errorf("not counted: %+v", &r.Counters)
			}
		})
	}
}

// A server that holes up is tried after the others from then on; a port that is
// closed is found out at once, not by a time-out.
func TestServersInTroubleComeLast(t *testing.T) {
	hole, failing, good := start(t, zone), start(t, zone), start(t, zone)
	hole.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	failing.Behave(dnsserver.Always(dnsserver.Fault{Rcode: dns.RcodeServerFailure}))
	r := resolver(hole, failing, good)
	r.client.servers[0].pause.RandomizationFactor, r.client.servers[1].pause.RandomizationFactor = 0, 0 // no luck in it
	for range 3 {
		if _, err := r.client.ask(t.Context(), service, dns.TypeSRV); err != nil {
			t.Fatal(err)
		}
	}
	if h, f, g := hole.Questions.Load(), failing.Questions.Load(), good.Questions.Load(); h != 1 || f != 1 || g != 3 {
		t.Errorf("asked %d, %d and %d times", h, f, g)
	}
	dead := start(t, zone)
	dead.Close()
	r = resolver(dead, good)
	began := time.Now()
	if _, err := r.client.ask(t.Context(), service, dns.TypeSRV); err != nil || r.Counters.Refused.Load() != 1 {
		t.Error(err, r.Counters.Refused.Load())
	}
	if took := time.Since(began); took > r.client.timeout {
		t.Errorf("took %v to go on from a closed port", took)
	}
}

// The answers that say "nobody", each with how long it holds; and those that say
// nothing that can be used.
func TestNobodyAndNonsense(t *testing.T) {
	const alias = service + " 30 IN CNAME real.shop.test.\nreal.shop.test. 60 IN SRV 0 0 7001 w1.shop.test.\nw1.shop.test. 60 IN A 127.0.0.11\n"
	for name, c := range map[string]struct {
		zone  string
		fault dnsserver.Fault
		want  []string
		fails bool
		life  time.Duration // at most, of what holds
	}{
		"no such name":       {zone: "other.test. 1 IN A 127.0.0.1", life: time.Second},
		"no such type":       {zone: service + " 300 IN TXT x", life: time.Second},
		"no service":         {zone: service + " 300 IN SRV 0 0 0 .", life: 300 * time.Second},
		"target unknown":     {zone: service + " 300 IN SRV 0 0 7001 w9.shop.test.", life: time.Second},
		"lifetime of 0":      {zone: service + " 0 IN SRV 0 0 7001 w1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, life: time.Second},
		"lifetime of 2^31":   {zone: service + " 2147483648 IN SRV 0 0 7001 w1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, life: time.Second},
		"lifetime of 2^31-1": {zone: service + " 2147483647 IN SRV 0 0 7001 w1.\nw1. 2147483647 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, life: time.Hour},
		"alias":              {zone: alias, want: []string{"w1.shop.test 127.0.0.11:7001 0 0"}, life: 30 * time.Second},
		"same record twice":  {zone: service + " 9 IN SRV 0 0 7001 w1.\n" + service + " 9 IN SRV 0 0 7001 W1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, life: 9 * time.Second},
		"endless aliases":    {zone: zone, fault: dnsserver.Fault{Chain: true}, fails: true},
		"nobody answers":     {zone: zone, fault: dnsserver.Fault{Rcode: dns.RcodeServerFailure}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, c.zone)
			s.Behave(dnsserver.Always(c.fault))
			r := resolver(s)
			records, next, err := r.round(t.Context())
			if diff := cmp.Diff(c.want, lines(records)); diff != "" || (err != nil) != c.fails {
				t.Fatal(err, diff)
			}
			if left := time.Until(next); !c.fails && (left > c.life*85/100 || left < c.life/2) {
				t.Errorf("asks again in %v of %v", left, c.life)
			}
		})
	}
}

// 2,000 records come whole, over TCP; one more than may be taken is refused whole.
func TestLongAnswer(t *testing.T) {
	var text strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&text, "_l._tcp.z. 5 IN SRV 0 0 %d w%d.z.\nw%d.z. 5 IN A 127.0.%d.%d\n", 10000+i, i, i, 1+i/250, 1+i%250)
	}
	s := start(t, text.String())
	r := resolver(s)
	r.cfg.Service, r.client.timeout = "_l._tcp.z.", 5*time.Second
	records, _, err := r.round(t.Context())
	if err != nil || len(records) != 2000 || r.Counters.OverTCP.Load() != 1 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	r = resolver(s)
	r.cfg.Service, r.client.timeout, r.cfg.MaxRecords = "_l._tcp.z.", 5*time.Second, 1999
	if records, _, err := r.round(t.Context()); err == nil || len(records) > 0 {
		t.Errorf("%d records, %v", len(records), err)
	}
}

// One target that can't be resolved does not keep the others from the list; a
// target's address stays in use while it is one of its addresses.
func TestTargetsOfTheirOwn(t *testing.T) {
	s := start(t, zone)
	s.Behave(func(q dns.Question, _ bool) dnsserver.Fault {
		if q.Name == "w1.shop.test." {
			return dnsserver.Fault{Rcode: dns.RcodeServerFailure}
		}
		return dnsserver.Fault{NoGlue: true}
	})
	r := resolver(s)
	records, next, err := r.round(t.Context())
	if diff := cmp.Diff(known[1:], lines(records)); diff != "" || err != nil {
		t.Fatal(err, diff)
	}
	if left := time.Until(next); left > r.cfg.MinTTL {
		t.Errorf("the target left out is asked for again in %v", left)
	}
	s.Behave(nil)
	s.Zone(strings.Replace(zone, "127.0.0.12", "127.0.0.10", 1)) // .13 is still there, but .10 comes first
	r.addrsHave["w2.shop.test"] = netip.MustParseAddr("127.0.0.13")
	clear(r.addrs)
	if records, _, err = r.round(t.Context()); err != nil || lines(records)[1] != "w2.shop.test 127.0.0.13:7002 0 30" {
		t.Error(err, lines(records))
	}
}

// Go's own resolver gets the same from the stand-in as ours does.
func TestSameAsGo(t *testing.T) {
	s := start(t, zone)
	theirs := &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, s.Addr.String())
	}}
	_, list, err := theirs.LookupSRV(t.Context(), "loans", "tcp", "shop.test.")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, r := range list {
		addrs, err := theirs.LookupNetIP(t.Context(), "ip", r.Target)
		if err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(addrs, netip.Addr.Compare)
		want = append(want, fmt.Sprint(plain(r.Target), " ", netip.AddrPortFrom(addrs[0].Unmap(), r.Port), " ", r.Priority, " ", r.Weight))
	}
	slices.Sort(want)
	records, _, err := resolver(s).round(t.Context())
	if diff := cmp.Diff(want, lines(records)); diff != "" || err != nil {
		t.Error(err, diff)
	}
}

// Follow asks again ahead of the lifetime's end; told once that nobody answers,
// it goes on asking, and tells when there is an answer again.
func TestFollow(t *testing.T) {
	s := start(t, strings.ReplaceAll(zone, " 60 ", " 1 "))
	r := resolver(s)
	r.cfg.MinTTL, r.client.timeout = 200*time.Millisecond, 100*time.Millisecond
	told := make(chan Update, 64)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.Run(ctx, func(u Update) { told <- u }); close(ended) }()
	until := func(what string, sound bool) Update {
		t.Helper()
		for limit := time.After(20 * time.Second); ; {
			select {
			case u := <-told:
				if (u.Err == nil) == sound {
					return u
				}
			case <-limit:
				t.Fatal("never", what)
			}
		}
	}
	first := until("told", true)
	if second := until("told again", true); second.At.After(first.Records[0].ExpiresAt) {
		t.Error("asked only after the end of the lifetime")
	}
	s.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	until("told of the silence", false)
	s.Behave(nil)
	if u := until("told of the answer", true); len(u.Records) != 3 {
		t.Error(lines(u.Records))
	}
	stop()
	<-ended
}

// The pauses double up to their ceiling, drawn evenly from nothing to the step.
func TestPauseHasFullJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sum, n := make([]time.Duration, 8), 2000
		for range n {
			p := newPause(100*time.Millisecond, 2*time.Second)
			for i := range sum {
				d := p.NextBackOff()
				if most := min(200*time.Millisecond<<i, 2*time.Second); d < 0 || d > most {
					t.Fatalf("pause %d is %v, over %v", i, d, most)
				}
				sum[i] += d
			}
		}
		for i, s := range sum {
			want := min(100*time.Millisecond<<i, time.Second)
			if mean := s / time.Duration(n); mean < want*9/10 || mean > want*11/10 {
				t.Errorf("mean of pause %d is %v, not about %v", i, mean, want)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	q := question(service, dns.TypeSRV, true)
	q.Id = 7
	m := new(dns.Msg).SetReply(q)
	rr, _ := dns.NewRR(service + " 300 IN SRV 0 10 7001 w1.shop.test.")
	glued, _ := dns.NewRR("w1.shop.test. 60 IN A 127.0.0.11")
	alias, _ := dns.NewRR(service + " 300 IN CNAME " + service)
	for _, answer := range [][]dns.RR{{rr}, {alias}, nil} {
		m.Answer, m.Extra = answer, []dns.RR{glued}
		text, err := m.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var counts Counters
		c := newClient(nil, time.Second, &counts)
		m := c.decode(text, q)
		if m == nil {
			if counts.Dropped() != 1 {
				t.Error("dropped, and not counted once")
			}
			return
		}
		if m.Id != q.Id {
			t.Error("an answer with another id is taken")
		}
		s, err := read(m, service, dns.TypeSRV, 0)
		if err != nil {
			if !errors.Is(err, errChain) {
				t.Error(err)
			}
			return
		}
		list, err := services(s, 64)
		if err != nil {
			return
		}
		wanted := map[string]bool{}
		for _, r := range list {
			if r.Port == 0 || r.Target == "." {
				t.Error("a record that is no service")
			}
			wanted[plain(r.Target)] = true
		}
		for name, s := range glue(m, wanted, dns.TypeA) {
			if !wanted[name] {
				t.Error("glue of another's")
			}
			addresses(s.records)
		}
		if s.ttl < 0 {
			t.Error("a lifetime under 0")
		}
	})
}
