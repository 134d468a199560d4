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

// zoneRecords are the records of zone, as formatted by recordLines.
var zoneRecords = []string{"w1.shop.test 127.0.0.11:7001 0 10",
	"w2.shop.test 127.0.0.12:7002 0 30", "w3.shop.test [::1]:7003 5 0"}

func startServer(t *testing.T, zoneText string) *dnsserver.Server {
	t.Helper()
	s, err := dnsserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.Zone(zoneText); err != nil {
		t.Fatal(err)
	}
	return s
}

func newResolver(servers ...*dnsserver.Server) *Resolver {
	cfg := Config{Service: service, Timeout: 250 * time.Millisecond, MinTTL: time.Second, MaxTTL: time.Hour,
		StaleTTL: time.Hour, AddressTypes: []uint16{dns.TypeA, dns.TypeAAAA}, MaxRecords: 4096}
	for _, s := range servers {
		cfg.Servers = append(cfg.Servers, s.Addr)
	}
	return New(cfg)
}

func recordLines(records []Record) (out []string) {
	for _, r := range records {
		out = append(out, fmt.Sprint(r.Target, " ", r.Addr, " ", r.Priority, " ", r.Weight))
	}
	slices.Sort(out)
	return out
}

// If one server misbehaves, the complete list is still found: from a later answer of that
// server, over TCP, or from the next server. The fault is counted.
func TestListIsCompleteDespiteFaultyServer(t *testing.T) {
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
		"cut off, no TC":  {dnsserver.Fault{Cut: true}, func(c *Counters) int64 { return c.Malformed.Load() }},
		"no answer":       {dnsserver.Fault{Drop: true}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"too slow":        {dnsserver.Fault{Delay: 400 * time.Millisecond}, func(c *Counters) int64 { return c.TimedOut.Load() }},
		"SERVFAIL":        {dnsserver.Fault{Rcode: dns.RcodeServerFailure}, func(c *Counters) int64 { return c.ServerFailed.Load() }},
		"REFUSED":         {dnsserver.Fault{Rcode: dns.RcodeRefused}, func(c *Counters) int64 { return c.ServerFailed.Load() }},
		"TCP closed":      {dnsserver.Fault{Truncate: true, RefuseTCP: true}, func(c *Counters) int64 { return c.OverTCP.Load() }},
		"FORMERR to EDNS": {dnsserver.Fault{Rcode: dns.RcodeFormatError}, func(c *Counters) int64 { return c.Questions.Load() - 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, good := startServer(t, zone), startServer(t, zone)
			bad.Behave(dnsserver.Always(c.fault))
			r := newResolver(bad, good)
			records, next, err := r.refresh(t.Context())
			if diff := cmp.Diff(zoneRecords, recordLines(records)); diff != "" || err != nil {
				t.Fatal(err, diff)
			}
			if left := time.Until(next); left < 30*time.Second || left > 52*time.Second {
				t.Errorf("refreshes in %v; the shortest lifetime is 60 s", left)
			}
			if c.count != nil && c.count(&r.Counters) == 0 {
				t.Errorf("the fault is not counted: %+v", &r.Counters)
			}
		})
	}
}

// A server that does not answer is queried after the others from then on. A closed port is
// detected at once, not by a timeout.
func TestUnhealthyServersAreQueriedLast(t *testing.T) {
	silent, failing, good := startServer(t, zone), startServer(t, zone), startServer(t, zone)
	silent.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	failing.Behave(dnsserver.Always(dnsserver.Fault{Rcode: dns.RcodeServerFailure}))
	r := newResolver(silent, failing, good)
	// Without jitter a server that failed stays unhealthy for 1 s, longer than the other queries take.
	r.client.servers[0].retryDelay.RandomizationFactor, r.client.servers[1].retryDelay.RandomizationFactor = 0, 0
	for range 3 {
		if _, err := r.client.query(t.Context(), service, dns.TypeSRV); err != nil {
			t.Fatal(err)
		}
	}
	if s, f, g := silent.Questions.Load(), failing.Questions.Load(), good.Questions.Load(); s != 1 || f != 1 || g != 3 {
		t.Errorf("the silent, failing and good server got %d, %d and %d queries; want 1, 1 and 3", s, f, g)
	}
	closed := startServer(t, zone)
	closed.Close()
	r = newResolver(closed, good)
	began := time.Now()
	if _, err := r.client.query(t.Context(), service, dns.TypeSRV); err != nil || r.Counters.Refused.Load() != 1 {
		t.Error(err, r.Counters.Refused.Load())
	}
	if took := time.Since(began); took > r.client.timeout {
		t.Errorf("took %v to try the next server after a closed port", took)
	}
}

// Negative answers are cached for their lifetime, and unusable answers result in an error.
func TestNegativeAndUnusableAnswers(t *testing.T) {
	const alias = service + " 30 IN CNAME real.shop.test.\nreal.shop.test. 60 IN SRV 0 0 7001 w1.shop.test.\nw1.shop.test. 60 IN A 127.0.0.11\n"
	for name, c := range map[string]struct {
		zone    string
		fault   dnsserver.Fault
		want    []string
		wantErr bool
		ttl     time.Duration // lifetime of the list
	}{
		"unknown name":     {zone: "other.test. 1 IN A 127.0.0.1", ttl: time.Second},
		"no SRV records":   {zone: service + " 300 IN TXT x", ttl: time.Second},
		"no such service":  {zone: service + " 300 IN SRV 0 0 0 .", ttl: 300 * time.Second},
		"unknown target":   {zone: service + " 300 IN SRV 0 0 7001 w9.shop.test.", ttl: time.Second},
		"TTL of 0":         {zone: service + " 0 IN SRV 0 0 7001 w1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, ttl: time.Second},
		"TTL of 2^31":      {zone: service + " 2147483648 IN SRV 0 0 7001 w1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, ttl: time.Second},
		"TTL of 2^31-1":    {zone: service + " 2147483647 IN SRV 0 0 7001 w1.\nw1. 2147483647 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, ttl: time.Hour},
		"alias":            {zone: alias, want: []string{"w1.shop.test 127.0.0.11:7001 0 0"}, ttl: 30 * time.Second},
		"duplicate record": {zone: service + " 9 IN SRV 0 0 7001 w1.\n" + service + " 9 IN SRV 0 0 7001 W1.\nw1. 60 IN A 127.0.0.11", want: []string{"w1 127.0.0.11:7001 0 0"}, ttl: 9 * time.Second},
		"alias loop":       {zone: zone, fault: dnsserver.Fault{Chain: true}, wantErr: true},
		"server failure":   {zone: zone, fault: dnsserver.Fault{Rcode: dns.RcodeServerFailure}, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, c.zone)
			s.Behave(dnsserver.Always(c.fault))
			r := newResolver(s)
			records, next, err := r.refresh(t.Context())
			if diff := cmp.Diff(c.want, recordLines(records)); diff != "" || (err != nil) != c.wantErr {
				t.Fatal(err, diff)
			}
			if left := time.Until(next); !c.wantErr && (left > c.ttl*85/100 || left < c.ttl/2) {
				t.Errorf("refreshes in %v of a lifetime of %v", left, c.ttl)
			}
		})
	}
}

// A list of 2,000 records is read completely over TCP. A list that exceeds MaxRecords by one
// is rejected as a whole.
func TestLongListIsReadOverTCP(t *testing.T) {
	var zoneText strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&zoneText, "_l._tcp.z. 5 IN SRV 0 0 %d w%d.z.\nw%d.z. 5 IN A 127.0.%d.%d\n",
			10000+i, i, i, 1+i/250, 1+i%250)
	}
	s := startServer(t, zoneText.String())
	r := newResolver(s)
	r.cfg.Service, r.client.timeout = "_l._tcp.z.", 5*time.Second
	records, _, err := r.refresh(t.Context())
	if err != nil || len(records) != 2000 || r.Counters.OverTCP.Load() != 1 {
		t.Fatalf("%d records, error %v; want 2,000 over TCP", len(records), err)
	}
	r = newResolver(s)
	r.cfg.Service, r.client.timeout, r.cfg.MaxRecords = "_l._tcp.z.", 5*time.Second, 1999
	if records, _, err := r.refresh(t.Context()); err == nil || len(records) > 0 {
		t.Errorf("%d records, error %v; want only an error", len(records), err)
	}
}

// A target that cannot be resolved does not keep the others off the list. The address in
// use for a target is kept as long as the target still has it.
func TestOnlyUnresolvableTargetIsLeftOut(t *testing.T) {
	s := startServer(t, zone)
	s.Behave(func(q dns.Question, _ bool) dnsserver.Fault {
		if q.Name == "w1.shop.test." {
			return dnsserver.Fault{Rcode: dns.RcodeServerFailure}
		}
		return dnsserver.Fault{NoGlue: true}
	})
	r := newResolver(s)
	records, next, err := r.refresh(t.Context())
	if diff := cmp.Diff(zoneRecords[1:], recordLines(records)); diff != "" || err != nil {
		t.Fatal(err, diff)
	}
	if left := time.Until(next); left > r.cfg.MinTTL {
		t.Errorf("the unresolvable target is retried only in %v", left)
	}
	s.Behave(nil)
	if err := s.Zone(strings.Replace(zone, "127.0.0.12", "127.0.0.10", 1)); err != nil {
		t.Fatal(err)
	}
	// The target still has .13, but .10 sorts first.
	r.addressInUse["w2.shop.test"] = netip.MustParseAddr("127.0.0.13")
	clear(r.addresses)
	if records, _, err = r.refresh(t.Context()); err != nil ||
		recordLines(records)[1] != "w2.shop.test 127.0.0.13:7002 0 30" {
		t.Error(err, recordLines(records))
	}
}

// Go's own resolver and this package's resolver get the same records from the stand-in server.
func TestSameAnswersAsGoResolver(t *testing.T) {
	s := startServer(t, zone)
	goResolver := &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, s.Addr.String())
	}}
	_, list, err := goResolver.LookupSRV(t.Context(), "loans", "tcp", "shop.test.")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, r := range list {
		addrs, err := goResolver.LookupNetIP(t.Context(), "ip", r.Target)
		if err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(addrs, netip.Addr.Compare)
		want = append(want, fmt.Sprint(canonicalName(r.Target), " ", netip.AddrPortFrom(addrs[0].Unmap(), r.Port),
			" ", r.Priority, " ", r.Weight))
	}
	slices.Sort(want)
	records, _, err := newResolver(s).refresh(t.Context())
	if diff := cmp.Diff(want, recordLines(records)); diff != "" || err != nil {
		t.Error(err, diff)
	}
}

// Run looks up again before the lifetime ends. While no server answers, it continues and
// notifies with errors; once a server answers again, it notifies with the list.
func TestRunRefreshesAndRecovers(t *testing.T) {
	s := startServer(t, strings.ReplaceAll(zone, " 60 ", " 1 "))
	r := newResolver(s)
	r.cfg.MinTTL, r.client.timeout = 200*time.Millisecond, 100*time.Millisecond
	updates := make(chan Update, 64)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.Run(ctx, func(u Update) { updates <- u }); close(ended) }()
	awaitUpdate := func(what string, ok bool) Update {
		t.Helper()
		for limit := time.After(20 * time.Second); ; {
			select {
			case u := <-updates:
				if (u.Err == nil) == ok {
					return u
				}
			case <-limit:
				t.Fatal("timed out waiting for", what)
			}
		}
	}
	first := awaitUpdate("the first list", true)
	if second := awaitUpdate("the second list", true); second.At.After(first.Records[0].ExpiresAt) {
		t.Error("looked up again only after the lifetime ended")
	}
	s.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	awaitUpdate("an error while no server answers", false)
	s.Behave(nil)
	if u := awaitUpdate("the list after the server recovered", true); len(u.Records) != 3 {
		t.Error(recordLines(u.Records))
	}
	stop()
	<-ended
}

// The delays are drawn uniformly from 0 to a maximum that doubles up to the limit.
func TestBackoffHasFullJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sum, n := make([]time.Duration, 8), 2000
		for range n {
			b := newFullJitter(100*time.Millisecond, 2*time.Second)
			for i := range sum {
				d := b.NextBackOff()
				if maxDelay := min(200*time.Millisecond<<i, 2*time.Second); d < 0 || d > maxDelay {
					t.Fatalf("delay %d is %v, not between 0 and %v", i, d, maxDelay)
				}
				sum[i] += d
			}
		}
		for i, s := range sum {
			want := min(100*time.Millisecond<<i, time.Second)
			if mean := s / time.Duration(n); mean < want*9/10 || mean > want*11/10 {
				t.Errorf("the mean of delay %d is %v; want %v within 10%%", i, mean, want)
			}
		}
	})
}

// No datagram makes the decoder panic. Only an answer to the query is accepted, and only glue of wanted names.
func FuzzDecode(f *testing.F) {
	q := newQuery(service, dns.TypeSRV, true)
	q.Id = 7
	m := new(dns.Msg).SetReply(q)
	rr, _ := dns.NewRR(service + " 300 IN SRV 0 10 7001 w1.shop.test.")
	glue, _ := dns.NewRR("w1.shop.test. 60 IN A 127.0.0.11")
	alias, _ := dns.NewRR(service + " 300 IN CNAME " + service)
	for _, answer := range [][]dns.RR{{rr}, {alias}, nil} {
		m.Answer, m.Extra = answer, []dns.RR{glue}
		data, err := m.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var counters Counters
		c := newClient(nil, time.Second, &counters)
		m := c.decodeDatagram(data, q)
		if m == nil {
			if counters.Dropped() != 1 {
				t.Error("a dropped datagram is not counted exactly once")
			}
			return
		}
		if m.Id != q.Id {
			t.Error("an answer with another id is accepted")
		}
		s, err := readAnswer(m, service, dns.TypeSRV, 0)
		if err != nil {
			if !errors.Is(err, errAliasLoop) {
				t.Error(err)
			}
			return
		}
		list, err := readServices(s, 64)
		if err != nil {
			return
		}
		wanted := map[string]bool{}
		for _, r := range list {
			if r.Port == 0 || r.Target == "." {
				t.Error("a record without a port or target is accepted")
			}
			wanted[canonicalName(r.Target)] = true
		}
		for name, s := range readGlue(m, wanted, dns.TypeA) {
			if !wanted[name] {
				t.Error("glue of a name that is not wanted is accepted")
			}
			readAddresses(s.records)
		}
		if s.ttl < 0 {
			t.Error("a negative lifetime")
		}
	})
}
