package httpfront

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// silentDiscovery is a list service whose open watches fall silent once, and which may go on without a response for a
// while after, accept nothing, or not be there.
type silentDiscovery struct {
	began       time.Time
	silentFrom  time.Duration // watches that are open then get no response
	silentUntil time.Duration // nor do calls made before that
	callCost    time.Duration // of a call, handled in turn
	refuse      bool          // within the silence connections are refused
	failAfter   time.Duration // it answers 503 after so long where it would be silent; 0: it does not
	response    string        // the list

	mu     sync.Mutex
	freeAt time.Time
}

func (d *silentDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	at := time.Since(d.began)
	wait, _ := time.ParseDuration(r.FormValue("timeout_ms") + "ms")
	d.mu.Lock()
	if d.freeAt.Before(time.Now()) {
		d.freeAt = time.Now()
	}
	d.freeAt = d.freeAt.Add(d.callCost)
	wait = max(wait, time.Until(d.freeAt))
	d.mu.Unlock()
	if at < d.silentUntil && (at >= d.silentFrom || at+wait >= d.silentFrom) {
		if at >= d.silentFrom && d.refuse {
			return nil, syscall.ECONNREFUSED
		}
		if d.failAfter > 0 {
			select {
			case <-time.After(d.failAfter):
				return &http.Response{StatusCode: 503, Body: http.NoBody}, nil
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	text := d.response
	if wait > time.Second {
		text = `{"generation":1,"reset":false,"instances":[]}`
		if at > d.silentFrom {
			text = strings.ReplaceAll(text, `"generation":1`, `"generation":2`)
		}
	}
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// runTables runs so many tables at one list service in virtual time, and calls look for each of them every 50 ms.
func runTables(t *testing.T, tables int, pushed bool, d *silentDiscovery, length time.Duration, look func(i int, at time.Duration, table *ServerTable, b *broker.Broker)) {
	defer func(f func() http.RoundTripper) { discoveryTransport = f }(discoveryTransport)
	synctest.Test(t, func(t *testing.T) {
		discoveryTransport = func() http.RoundTripper { return d }
		d.began = time.Now()
		cfg := testConfig()
		cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
		cfg.Dispatch.Fleet.Count, cfg.Dispatch.List.MustSubscribe, cfg.Dispatch.Workers.DrainGrace = tables, !pushed, 500*time.Millisecond
		var wg sync.WaitGroup
		for i := range tables {
			own := *cfg
			own.Dispatch.Fleet.Index = i
			table, b := newTestTable(t, &own, func(string) {})
			table.draw = rand.New(rand.NewPCG(9, uint64(i))).Float64
			go table.Run(t.Context())
			wg.Go(func() {
				defer b.Close()
				for time.Since(d.began) < length {
					look(i, time.Since(d.began), table, b)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wg.Wait()
	})
}

// assertFreshOrIdle runs dispatchers at a list service that has a change from a time on, and checks that each has the
// update by the time it is due or sends nothing; and that the share of time in which they send nothing, from 6 s on, when
// all first calls have ended, is small.
func assertFreshOrIdle(t *testing.T, d *silentDiscovery, from, length time.Duration, maxIdleShare float64) {
	t.Helper()
	d.response = strings.ReplaceAll(oneWorker, `"generation":1`, `"generation":2`)
	const due, slack, started = 6 * time.Second, 550 * time.Millisecond, 6 * time.Second
	for _, n := range []int{1, 300} {
		discovery := &silentDiscovery{silentFrom: d.silentFrom, silentUntil: d.silentUntil, callCost: d.callCost, failAfter: d.failAfter, response: d.response}
		var mu sync.Mutex
		late, idle := map[int]bool{}, 0
		runTables(t, n, false, discovery, length, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			table.mu.Lock()
			knows := table.latest.Generation != nil && *table.latest.Generation == 2 && table.freshness.due.IsZero()
			table.mu.Unlock()
			ready := b.Stats().Ready
			if at > from+due+slack && !knows && ready > 0 {
				late[i] = true
			}
			if ready == 0 && at > started {
				idle++
			}
		})
		if len(late) > 0 {
			t.Errorf("%d of %d dispatchers serve by a list that counts as out of date", len(late), n)
		}
		if share := float64(idle) / float64(n) / (length.Seconds() * 20); share > maxIdleShare {
			t.Errorf("of %d dispatchers' time, in a share of %.4f nothing is sent", n, share)
		}
	}
}

// All open watches fall silent at once. What they miss counts as known 6 s after: each dispatcher has the update by then,
// or sends nothing until it has. Left for their 20 s and another pause, 52 of 330 dispatchers of a join day were 32 s
// without it, and sent to workers that had long been removed.
func TestTimedOutWatchesAreRenewedInTime(t *testing.T) {
	const fall = 9 * time.Second
	assertFreshOrIdle(t, &silentDiscovery{silentFrom: fall, silentUntil: fall, callCost: 5 * time.Millisecond}, fall, 25*time.Second, 0.002)
}

// The list service is down for its first seconds: each call fails once it has waited for 2 s. From its return on a change
// counts as known 6 s after: each dispatcher has the update by then, or sends nothing. With pauses of up to 26 s after one
// failed call, 10 of 288 dispatchers of a herd day sent to workers that had long been removed. The list is served by
// meanwhile.
func TestFailedCallIsRetriedBeforeUpdateIsDue(t *testing.T) {
	const back = 8 * time.Second
	assertFreshOrIdle(t, &silentDiscovery{silentUntil: back, failAfter: 2 * time.Second, callCost: 4 * time.Millisecond}, back, 20*time.Second, 0.01)
}

// The list service is down for long. Where dispatchers are many they pause after some calls, and send nothing for a while;
// then an outage is assumed, and the list is served by until the service is back.
func TestLongOutageStopsDispatchersBriefly(t *testing.T) {
	for _, n := range []int{1, 300} {
		d := &silentDiscovery{silentUntil: 2 * time.Minute, failAfter: 2 * time.Second, response: oneWorker}
		var mu sync.Mutex
		idle := make([]int, n)
		runTables(t, n, false, d, 100*time.Second, func(i int, at time.Duration, _ *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			if b.Stats().Ready == 0 {
				idle[i]++
				if at > 45*time.Second {
					t.Errorf("dispatcher %d of %d sends to nobody at %v", i, n, at)
				}
			}
		})
		if most := time.Duration(slices.Max(idle)) * 50 * time.Millisecond; most > 25*time.Second {
			t.Errorf("one of %d dispatchers sends to nobody for %v", n, most)
		}
	}
}

// A process starts on the list of an earlier one. What changed while it was not there may count as known already, so
// nothing is sent until the first call has ended, and the health check says so: without this, 26 dispatchers of a zone day
// sent to workers that had been removed for 10 s. Where no list service is there the inherited list is served by.
func TestNothingIsSentUnderInheritedListBeforeFirstCall(t *testing.T) {
	for name, d := range map[string]*silentDiscovery{
		"updated": {}, "refused": {silentUntil: time.Hour, refuse: true}, "failed": {silentUntil: time.Hour, failAfter: time.Second}, "silent": {silentUntil: time.Hour},
	} {
		d.callCost, d.response = 10*time.Millisecond, oneWorker
		var mu sync.Mutex
		starts := map[int]time.Duration{}
		runTables(t, 300, false, d, 8*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			started, ready := table.Ready(), b.Stats().Ready
			synced := false
			select {
			case <-table.Synced():
				synced = true
			default:
			}
			if ready > 0 && (!started || at == 0 || name == "updated" && !synced) {
				t.Errorf("%s, at %v: dispatcher %d sends under the inherited list", name, at, i)
			}
			if _, ok := starts[i]; started && !ok {
				starts[i] = at
				if ready != 1 {
					t.Errorf("%s: dispatcher %d is ready, and sends to nobody", name, i)
				}
			}
		})
		if len(starts) != 300 {
			t.Errorf("%s: %d of 300 dispatchers are ready", name, len(starts))
		}
	}
}

// The list service accepts calls and does not respond for 20 s. What may have changed counts as known after a while, and
// from then on nothing is sent until the update is there.
func TestLongSilenceExpiresList(t *testing.T) {
	d := &silentDiscovery{silentFrom: 2 * time.Second, silentUntil: 22 * time.Second, response: oneWorker}
	runTables(t, 1, false, d, 30*time.Second, func(_ int, at time.Duration, _ *ServerTable, b *broker.Broker) {
		ready := b.Stats().Ready
		if at > 2*time.Second+6550*time.Millisecond && at < d.silentUntil && ready != 0 || at > 0 && at < 5*time.Second && ready != 1 || at > 26*time.Second && ready != 1 {
			t.Errorf("at %v: %d workers may be sent to", at, ready)
		}
	})
}

// Where lists are pushed, what the agent holds counts as known from the start: nothing is sent under the inherited list
// before its update, unless the agent is not there. (The agent was not called at all once: the module asks for updates
// only where it has to.)
func TestPushedListIsWatchedFromStart(t *testing.T) {
	d := &silentDiscovery{silentFrom: 10 * time.Second, silentUntil: 14 * time.Second, refuse: true, response: strings.ReplaceAll(oneWorker, `"generation":1`, `"generation":2`)}
	runTables(t, 300, true, d, 16*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
		if at == 0 && b.Stats().Ready != 0 {
			t.Errorf("dispatcher %d sends under the inherited list", i)
		}
		if at == time.Second && b.Stats().Ready != 1 {
			t.Error("updated, and it may send to nobody")
		}
	})
	for name, until := range map[string]time.Duration{"refused": 5 * time.Second, "silent": 0} {
		d := &silentDiscovery{silentUntil: until, refuse: true, response: oneWorker}
		if name == "silent" {
			d.silentUntil, d.refuse = 3*time.Second, false
		}
		back := time.Duration(0)
		runTables(t, 1, true, d, 8*time.Second, func(_ int, at time.Duration, table *ServerTable, b *broker.Broker) {
			select {
			case <-table.Synced():
				if back == 0 {
					back = at
				}
			default:
				from := 200 * time.Millisecond
				if name == "silent" {
					from = listCallTimeout // then the agent is silent, and has no update
				}
				if ready := b.Stats().Ready; at > from+50*time.Millisecond && ready != 1 || name == "silent" && at < from && ready != 0 {
					t.Errorf("%s, at %v: %d workers may be sent to", name, at, ready)
				}
			}
		})
		if limit := d.silentUntil + 1700*time.Millisecond; back == 0 || name == "refused" && back > d.silentUntil+250*time.Millisecond || back > limit {
			t.Errorf("%s until %v: the update came at %v", name, d.silentUntil, back)
		}
	}
}

// The list service is down for 8 s and its agent silent: the agent learns nothing then, so nothing is missed and the list
// is served by. What there is at the return comes at once. With the deadlines of lists that are asked for, 288 dispatchers
// rejected half of all requests from 5 to 10 s of a herd day.
func TestSilentAgentOfPushedListStopsNobody(t *testing.T) {
	d := &silentDiscovery{silentFrom: 3 * time.Second, silentUntil: 11 * time.Second, response: oneWorker}
	runTables(t, 300, true, d, 14*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
		if ready := b.Stats().Ready; at > 100*time.Millisecond && ready != 1 {
			t.Errorf("dispatcher %d at %v: %d workers may be sent to", i, at, ready)
		}
	})
}

// Each error of a call says what an operator can do.
func TestListErrorsGiveAdvice(t *testing.T) {
	for _, err := range []error{&ListError{"d:1", syscall.ECONNREFUSED}, &ListError{"d:1", &BadResponseError{503, ""}}, &BadResponseError{200, "x"}, &CallTimeoutError{Addr: "d:1"}, &KnownListError{io.EOF}, &OutdatedListError{1, 2}} {
		var f interface {
			Advice() string
			Code() string
		}
		if !errors.As(err, &f) || f.Advice() == "" || !strings.HasPrefix(f.Code(), "list-") {
			t.Errorf("%T: %v has no advice", err, err)
		}
	}
}

// A list may be indented.
func TestIndentedListIsParsed(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "d:1", config.DefaultMembership()
	table, _ := newTestTable(t, cfg, func(string) {})
	reply, err := table.parse([]byte("{\n  \"generation\": 3,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s1\",\n      \"hostPort\": \"h:1\",\n      \"lifecycle\": \"SERVING\"\n    }\n  ]\n}\n"), true)
	if err != nil || *reply.Generation != 3 || len(reply.Instances) != 1 || reply.Instances[0].HostPort != "h:1" {
		t.Errorf("%+v, %v", reply, err)
	}
}

// Where the fleet shares its lists an older whole one is rejected, and accepted once that has gone on for a minute; by
// itself a dispatcher accepts any.
func TestOutdatedListIsRejectedWhenListsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.Discovery, cfg.Membership = "d:1", config.DefaultMembership()
		table, b := newTestTable(t, cfg, func(string) {})
		defer b.Close()
		table.applied.generation, table.applied.known = 9, true
		if _, err := table.parse([]byte(oneWorker), true); err != nil {
			t.Errorf("by itself: %v", err)
		}
		table.EnableSharing(unlimitedCalls{}, func(ListUpdate) {})
		var older *OutdatedListError
		for wait := time.Duration(0); wait < outdatedAcceptAfter; wait += 10 * time.Second {
			if _, err := table.parse([]byte(oneWorker), true); !errors.As(err, &older) {
				t.Errorf("after %v: %v", wait, err)
			}
			time.Sleep(10 * time.Second)
		}
		if _, err := table.parse([]byte(oneWorker), true); err != nil || !table.applied.sourceChanged {
			t.Errorf("after a minute: %v, from a new source %t", err, table.applied.sourceChanged)
		}
	})
}

// A relayed list is applied where it is no older than the present one, and never by a dispatcher that was switched to
// another list service and awaits its update: generations there are others.
func TestRelayedListIsAppliedByGeneration(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "d:1", config.DefaultMembership()
	table, b := newTestTable(t, cfg, func(string) {})
	one := []membership.Worker{{ID: "s1", Addr: "h:1", Zone: "a", Kind: "m1", Weight: 1}}
	if !table.ApplyRelayed(5, true, one) || b.Stats().Workers != 1 || !strings.HasPrefix(table.DescribeList(), "relayed") {
		t.Error("the first relayed list is not applied")
	}
	if table.ApplyRelayed(4, true, nil) || !table.ApplyRelayed(6, false, []membership.Worker{{ID: "s1", State: membership.Removed}}) || b.Stats().Ready != 0 {
		t.Error("an older list is applied, or a newer change is not")
	}
	table.requireAfterTimeout(time.Now().Add(-time.Second)) // a call of its own timed out, and what it missed is due
	for b.Stats().Ready > 0 || !awaitsUpdate(table) {
		time.Sleep(time.Millisecond)
	}
	if !table.ApplyRelayed(6, true, one) || awaitsUpdate(table) || b.Stats().Ready != 1 {
		t.Error("another dispatcher has the whole list, and this one still awaits an update")
	}
	table.applied.known, table.applied.sourceChanged = false, true
	if table.ApplyRelayed(7, true, one) {
		t.Error("it was switched, and applies the list of the former source")
	}
}

// unlimitedCalls is the scheduler of a list service that takes any number of calls.
type unlimitedCalls struct{}

func (unlimitedCalls) MayCall(bool, bool) (bool, time.Duration, <-chan struct{}) { return true, 0, nil }
func (unlimitedCalls) CallFailed()                                               {}

func awaitsUpdate(t *ServerTable) bool {
	yes, _ := t.awaitsUpdate()
	return yes
}

// Beside another source of workers the list service's update is due all the same: workers that it has listed may drain.
// Those that only the other source lists are sent to.
func TestStaleListBindsBesideOtherSources(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
	table, b := newTestTable(t, cfg, func(string) {})
	cfg.SRV = []config.SRV{{Name: "loans"}}
	table.requireAfterFailure(syscall.ECONNRESET, time.Now(), 0) // the first call has ended, and the list is served by
	b.UpdateWorkers(dispatch.ListOverride, []broker.Worker{{ID: "by name alone", Addr: "h:2"}})
	if ready := b.Stats().Ready; ready != 2 {
		t.Fatalf("%d workers may be sent to, want 2", ready)
	}
	table.requireAfterTimeout(time.Now().Add(-time.Second))
	for limit := time.Now().Add(4 * time.Second); b.Stats().Ready != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d workers may be sent to, want the one that the list service has not listed", b.Stats().Ready)
		}
	}
}
