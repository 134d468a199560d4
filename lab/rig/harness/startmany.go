package harness

// This file owns the cold start of 300 dispatchers' lease sessions, without the dispatchers.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/discovery/membership"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/gateway/relayedlist"
	"yardflow/internal/testing/standin/listservice"
)

// listCounter stands for a dispatcher's server table: it counts the workers of the list that is relayed to it.
type listCounter struct {
	mu      sync.Mutex
	workers int
}

func (c *listCounter) ApplyRelayed(_ uint64, whole bool, list []membership.Worker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers += len(list); whole {
		c.workers = len(list)
	}
	return true
}

func (c *listCounter) hasList() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers > 0
}

// 300 holders in six zones begin at one moment, with real coordinators and a real list service.
func startManyHolders(t T, r *Rig) {
	const holders, zones, workers = 300, 6, 200
	enforcePolicy(t, r, startPolicy)
	r.List.Set(loanWorkers(workers)...)
	r.List.Be(listservice.Mood{Calls: startCalls})
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	addrs, err := r.fronts()
	check(t, err)
	began := time.Now()
	all := make([]*listCounter, holders)
	for i := range all {
		all[i] = &listCounter{}
		start := startingHolder{number: i, zone: i % zones, coordinators: addrs, list: r.List.Addr, fleetSize: holders, began: began}
		start.run(ctx, &wg, all[i])
	}
	having := func() (n int) {
		for _, p := range all {
			if p.hasList() {
				n++
			}
		}
		return n
	}
	var half time.Duration
	check(t, Until("all have the list", func() bool {
		n := having()
		if half == 0 && n >= holders/2 {
			half = time.Since(began)
		}
		return n == holders
	}))
	last := time.Since(began)
	t.Logf("half of 300 have the list after %v, the last after %v", half.Round(time.Millisecond), last.Round(time.Millisecond))
	r.Most("300 holders start at once: the last has the list after, s", last.Seconds(), 5)
	r.Most("the same: calls at the list service", float64(len(r.List.Anew())), 2*zones)
	if !r.Most("the same: calls in the fullest second", float64(r.List.Peak(began)), startCalls) {
		t.Errorf("%d calls in a second", r.List.Peak(began))
	}
}

// loanWorkers returns a list of so many workers that nobody calls.
func loanWorkers(n int) (list []listservice.Entry) {
	for i := range n {
		list = append(list, listservice.Entry{ID: fmt.Sprintf("s-%08x", i*7919), Addr: fmt.Sprintf("10.1.%d.%d:7070", i/250, i%250), Zone: "praha-holesovice", Kind: "dual-fast", Lifecycle: "SERVING", Weight: 1})
	}
	return list
}

// startingHolder is the part of a dispatcher that a cold start needs: its lease session, its relay of
// the list, and its reader of the list service.
type startingHolder struct {
	number, zone int
	coordinators []string // their addresses
	list         string   // the list service's address
	fleetSize    int
	began        time.Time
}

// run starts the holder's goroutines, which end with ctx; the list that it gets goes to table.
func (s startingHolder) run(ctx context.Context, wg *sync.WaitGroup, table *listCounter) {
	now := func() time.Duration { return time.Since(s.began) }
	client := coldstart.NewClient(now, Patience)
	name := fmt.Sprint("h", s.number)
	var listRelay *relayedlist.Relay
	h := transport.NewLeaseSession(transport.NewClient(fleet, s.coordinators), policylease.New(name, uint64(s.number+1), "", statemachine.RefuseWork), s.began, transport.Hooks{
		CheckPolicy: func(statemachine.Policy) error { return nil }, Log: func(string) {},
		ApplyPolicy: func(p statemachine.Policy) error { client.SetEnabled(p.ColdStart != nil); return nil },
		Zone:        s.zone, ColdStartRequest: client.NextRequest, ListMark: client.Watermark, QuotaExhausted: client.Urgent,
		ColdStartGranted: func(asked, until time.Duration, w *coldstart.Response) {
			u, _ := client.HandleResponse(asked, until, w)
			listRelay.Apply(u)
		},
		ListReceived: func(u *relay.Update) { listRelay.Apply(client.HandleUpdate(u)) }})
	listRelay = relayedlist.New(name, s.zone, client, table, h, func(string) {})
	wg.Go(func() { h.Run(ctx) })
	wg.Go(func() { listRelay.Run(ctx) })
	wg.Go(func() { readList(ctx, s.list, s.fleetSize, client, listRelay, table) })
}

// readList asks for the list in its turn, and hands it on. After a call that failed it pauses as a dispatcher does.
func readList(ctx context.Context, addr string, holders int, client *coldstart.Client, listRelay *relayedlist.Relay, table *listCounter) {
	for failures := 0; ctx.Err() == nil; {
		if failures > 0 {
			select {
			case <-time.After(backoff.BeforeRetry(holders, failures, rand.Float64())):
			case <-ctx.Done():
				return
			}
		}
		ok, wait, changed := client.MayCall(true, false)
		if !ok {
			select {
			case <-time.After(wait + time.Millisecond):
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		resp, err := http.Get("http://" + addr + "/v1/servers")
		if err != nil {
			failures++
			client.CallFailed()
			continue
		}
		var reply struct {
			Generation uint64
			Instances  []listservice.Entry
		}
		err = json.NewDecoder(resp.Body).Decode(&reply)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			failures++
			client.CallFailed()
			continue
		}
		var list []membership.Worker
		for _, e := range reply.Instances {
			list = append(list, membership.Worker{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Weight: e.Weight})
		}
		table.ApplyRelayed(reply.Generation, true, list)
		listRelay.Publish(httpfront.ListUpdate{Generation: reply.Generation, Changed: list, WholeList: func() []membership.Worker { return list }})
		return
	}
}
