package main

// This file measures what becomes of the workers while DNS changes, is silent or fails.

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"yardflow/internal/discovery/srv"
	"yardflow/internal/testing/standin/deployment"
	"yardflow/internal/testing/standin/dnsserver"
)

// changingZone: the zone loses and gains a worker every 100 ms for 20 s, one of those it keeps naming drains by the roster.
func changingZone() ([]row, error) {
	s, zone, err := startDeployment(1, 6, 2, 1, operatorFile("floor = \"100ms\"\nceiling = \"100ms\"\nshrink_hold = \"0s\"\n"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	few := zone[:strings.LastIndex(strings.TrimSpace(zone[:strings.LastIndex(zone, service)]), "\n")+1]
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	var drained time.Time
	all, err := underLoad(ctx, s, 60, func() (err error) {
		for i := 0; ctx.Err() == nil; i++ {
			_ = s.Zone([]string{few, zone}[i%2])
			if i == 50 {
				if drained, err = drain(s, "w0"); err != nil {
					return err
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	text, err := s.Call("sources")
	if err != nil {
		return nil, err
	}
	notifications, _ := strconv.Atoi(between(text, "told ", " times"))
	late := s.Latest("w0", drained)
	return []row{
		{"zone flaps every 100 ms for 20 s: the module is told", fmt.Sprint(notifications, " times"), "105 at most (every 200 ms)", notifications > 20 && notifications <= 105},
		{"last first byte to the one that drains in it", late.Round(time.Millisecond).String(), "500ms at most", late <= 500*time.Millisecond},
		{fmt.Sprintf("jobs not served of %d in it", len(all)), strconv.Itoa(unserved(all)), "0", unserved(all) == 0},
	}, nil
}

// silence is what was seen while no name server answered, and after.
type silence struct {
	drained     time.Time // when a worker drained meanwhile
	kept, after string    // what the program says of a worker that it knows from DNS alone: meanwhile, and once answers have come
	recovery    time.Duration
}

// silentServers: no name server answers for longer than every lifetime, and a worker drains by the roster meanwhile; then
// they answer again.
func silentServers() ([]row, error) {
	s, _, err := startDeployment(2, 5, 2, 1, operatorFile("stale = \"30s\"\n"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	var seen silence
	all, err := underLoad(context.Background(), s, 60, func() (err error) {
		seen, err = silenceServers(s)
		return err
	})
	if err != nil {
		return nil, err
	}
	late := s.Latest("w0", seen.drained)
	return []row{
		{"resolver silent for 5 lifetimes: a worker known from DNS alone", workerState(seen.kept), "serving, kept", strings.Contains(seen.kept, "serving, by loans: lapsed")},
		{"last first byte to one that drains meanwhile", late.Round(time.Millisecond).String(), "500ms at most", late <= 500*time.Millisecond},
		{"from the first sound answer to its being taken", seen.recovery.Round(time.Millisecond).String(), "under 11s (the longest pause and a try)", seen.recovery < 11*time.Second},
		{"the worker after that", workerState(seen.after), "serving, not lapsed", strings.Contains(seen.after, "serving, by loans: serving")},
		{fmt.Sprintf("jobs not served of %d meanwhile", len(all)), strconv.Itoa(unserved(all)), "0", unserved(all) == 0},
	}, nil
}

// silenceServers has all name servers be silent for some seconds, and answer again.
func silenceServers(s *deployment.Shop) (seen silence, err error) {
	for _, d := range s.DNS {
		d.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	}
	if _, err := s.Log.Await("going on with what is known", 10*time.Second); err != nil {
		return seen, err
	}
	time.Sleep(4 * time.Second)
	if seen.drained, err = drain(s, "w0"); err != nil {
		return seen, err
	}
	time.Sleep(time.Second)
	if seen.kept, err = s.Call("worker w4"); err != nil {
		return seen, err
	}
	began := time.Now()
	for _, d := range s.DNS {
		d.Behave(nil)
	}
	if _, err := s.Log.Await("answers again", 15*time.Second); err != nil {
		return seen, err
	}
	seen.recovery = time.Since(began)
	time.Sleep(time.Second)
	seen.after, err = s.Call("worker w4")
	return seen, err
}

// workerState cuts what the console says of a worker down to its state.
func workerState(text string) string {
	const most = 70
	_, rest, _ := strings.Cut(text, ": ")
	if i := strings.Index(rest, "; said"); i > 0 {
		rest = rest[:i]
	}
	return rest[:min(len(rest), most)]
}

// queryRate: what 1, 8 and 48 dispatchers ask one server, each for itself.
func queryRate() ([]row, error) {
	const span = 4 * time.Second
	var out []row
	for _, dispatchers := range []int{1, 8, 48} {
		d, err := startNameServer(2)
		if err != nil {
			return nil, err
		}
		ctx, stop := context.WithTimeout(context.Background(), span)
		var wg sync.WaitGroup
		for range dispatchers {
			r := newResolver(time.Second, d)
			wg.Go(func() { r.Run(ctx, func(srv.Update) {}) })
		}
		wg.Wait()
		stop()
		each := float64(d.Questions.Load()) / float64(dispatchers) / span.Minutes()
		d.Close()
		// A lifetime of 2 s at 60 to 85% gives 35 to 50 rounds a minute, the first one
		// and a question for the address counted in: twice that and a little.
		out = append(out, row{fmt.Sprintf("questions a minute per dispatcher, %d of them, lifetime 2 s", dispatchers), fmt.Sprintf("%.0f", each), "120 at most", each <= 120})
	}
	return out, nil
}

// failover: the first name server dies; the next one's answer counts.
func failover() ([]row, error) {
	var out []row
	for _, how := range []string{"its port is closed", "it is silent"} {
		first, err := startNameServer(1)
		if err != nil {
			return nil, err
		}
		second, err := startNameServer(1)
		if err != nil {
			return nil, err
		}
		if how == "it is silent" {
			first.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
		} else {
			first.Close()
		}
		took := firstAnswer(newResolver(400*time.Millisecond, first, second))
		second.Close()
		if how == "it is silent" {
			first.Close()
		}
		out = append(out, row{"from a resolver's death to the next server's answer, " + how, took.Round(100 * time.Microsecond).String(),
			"450ms at most (one try)", took > 0 && took <= 450*time.Millisecond})
	}
	return out, nil
}

// firstAnswer runs a resolver until its first update without an error, and returns how long that took; 0: there was none.
func firstAnswer(r *srv.Resolver) (took time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	began := time.Now()
	r.Run(ctx, func(u srv.Update) {
		if u.Err == nil {
			took = time.Since(began)
			stop()
		}
	})
	return took
}

// startNameServer starts a name server whose zone has one worker, with a lifetime in seconds.
func startNameServer(ttl int) (*dnsserver.Server, error) {
	d, err := dnsserver.Start()
	if err != nil {
		return nil, err
	}
	return d, d.Zone(fmt.Sprintf("_l._tcp.z. %d IN SRV 0 0 1 w.z.\nw.z. %d IN A 127.0.0.1\n", ttl, ttl))
}

// newResolver makes a dispatcher's resolver of that worker, which asks some name servers.
func newResolver(timeout time.Duration, servers ...*dnsserver.Server) *srv.Resolver {
	var addresses []netip.AddrPort
	for _, d := range servers {
		addresses = append(addresses, d.Addr)
	}
	return srv.New(srv.Config{Service: "_l._tcp.z.", Servers: addresses, Timeout: timeout, MinTTL: time.Second, MaxTTL: time.Hour,
		AddressTypes: []uint16{dns.TypeA}, MaxRecords: 16})
}
