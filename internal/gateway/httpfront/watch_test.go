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
	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

// silentDiscovery is discovery whose open watches fall silent once, at a moment, and which may go on saying
// nothing for a while after, accept nothing, or not be there.
type silentDiscovery struct {
	began       time.Time
	silentFrom  time.Duration // watches open then hear nothing any more
	silentUntil time.Duration // calls made before that hear nothing either
	callCost    time.Duration // of a call, handled in turn
	refuse      bool          // where the silence ends nobody listens
	failAfter   time.Duration // where it would be silent it answers 503 after so long; 0: it does not
	response    string        // what it tells

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

// runTables runs so many tables at one discovery in virtual time, and shows each to look every 50 ms
// from its start on.
func runTables(t *testing.T, tables int, pushed bool, d *silentDiscovery, for_ time.Duration, look func(i int, at time.Duration, table *ServerTable, b *broker.Broker)) {
	defer func(f func() http.RoundTripper) { discoveryTransport = f }(discoveryTransport)
	synctest.Test(t, func(t *testing.T) {
		discoveryTransport = func() http.RoundTripper { return d }
		d.began = time.Now()
		cfg := testConfig()
		cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
		cfg.Dispatch.DispatcherCount, cfg.Dispatch.MustSubscribe, cfg.Dispatch.DrainGrace = tables, !pushed, 500*time.Millisecond
		var wg sync.WaitGroup
		for i := range tables {
			own := *cfg
			own.Dispatch.DispatcherIndex = i
			table, b := newTestTable(t, &own, func(string) {})
			table.draw = rand.New(rand.NewPCG(9, uint64(i))).Float64
			go table.Run(t.Context())
			wg.Go(func() {
				defer b.Close()
				for time.Since(d.began) < for_ {
					look(i, time.Since(d.began), table, b)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wg.Wait()
	})
}

// assertFreshOrIdle plays a discovery that has something new to tell from a moment on, and checks that each
// dispatcher has it by the time it counts as told, or sends nothing new; and that the share of time
// in which they send nothing, from 6 s on, when all first calls have ended, is small.
func assertFreshOrIdle(t *testing.T, d *silentDiscovery, from, play time.Duration, mostBlind float64) {
	t.Helper()
	d.response = strings.ReplaceAll(oneWorker, `"generation":1`, `"generation":2`)
	const told, slack, started = 6 * time.Second, 550 * time.Millisecond, 6 * time.Second
	for _, n := range []int{1, 300} {
		discovery := &silentDiscovery{silentFrom: d.silentFrom, silentUntil: d.silentUntil, callCost: d.callCost, failAfter: d.failAfter, response: d.response}
		var mu sync.Mutex
		late, blind := map[int]bool{}, 0
		runTables(t, n, false, discovery, play, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			table.mu.Lock()
			knows := table.latest.Generation != nil && *table.latest.Generation == 2 && table.freshness.due.IsZero()
			table.mu.Unlock()
			ready := b.Stats().Ready
			if at > from+told+slack && !knows && ready > 0 {
				late[i] = true
			}
			if ready == 0 && at > started {
				blind++
			}
		})
		if len(late) > 0 {
			t.Errorf("%d of %d dispatchers go by a list that counts as out of date", len(late), n)
		}
		if share := float64(blind) / float64(n) / (play.Seconds() * 20); share > mostBlind {
			t.Errorf("of %d dispatchers' time %.4f is blind", n, share)
		}
	}
}

// All open watches fall silent at one moment. What they miss counts as told 6 s after: each has
// the word by then, or sends nothing new until it has. Left for their 20 s and another pause, 52
// of 330 dispatchers of a join day went 32 s without it, and sent to workers long gone.
func TestTimedOutWatchesAreRenewedInTime(t *testing.T) {
	const fall = 9 * time.Second
	assertFreshOrIdle(t, &silentDiscovery{silentFrom: fall, silentUntil: fall, callCost: 5 * time.Millisecond}, fall, 25*time.Second, 0.002)
}

// Discovery is down for its first seconds: each call fails once it has waited for 2 s. From its
// return on a change counts as told 6 s after: each dispatcher has the word by then, or sends
// nothing new. Paused for up to 26 s after one failed call, 10 of 288 dispatchers of a herd day
// sent to workers long gone. Meanwhile the list of before serves on.
func TestFailedCallIsRetriedBeforeUpdateIsDue(t *testing.T) {
	const back = 8 * time.Second
	assertFreshOrIdle(t, &silentDiscovery{silentUntil: back, failAfter: 2 * time.Second, callCost: 4 * time.Millisecond}, back, 20*time.Second, 0.01)
}

// Discovery is down for long. Dispatchers that are many pause after some calls, and send nothing
// for a while; then it is taken to be down, and the list of before serves until it is back.
func TestLongOutageStopsDispatchersBriefly(t *testing.T) {
	for _, n := range []int{1, 300} {
		d := &silentDiscovery{silentUntil: 2 * time.Minute, failAfter: 2 * time.Second, response: oneWorker}
		var mu sync.Mutex
		blind := make([]int, n)
		runTables(t, n, false, d, 100*time.Second, func(i int, at time.Duration, _ *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			if b.Stats().Ready == 0 {
				blind[i]++
				if at > 45*time.Second {
					t.Errorf("dispatcher %d of %d sends to nobody at %v", i, n, at)
				}
			}
		})
		if most := time.Duration(slices.Max(blind)) * 50 * time.Millisecond; most > 25*time.Second {
			t.Errorf("one of %d dispatchers sends to nobody for %v", n, most)
		}
	}
}

// A process starts on the list of an earlier one. What changed while it was not there may count
// as told already, so nothing is sent until the first call has ended, and the health check says
// so: 26 dispatchers of a zone day sent to workers 10 s gone. Where nobody is there to tell
// anything the list of before serves.
func TestNothingIsSentUnderInheritedListBeforeFirstCall(t *testing.T) {
	for name, d := range map[string]*silentDiscovery{
		"told": {}, "refused": {silentUntil: time.Hour, refuse: true}, "failed": {silentUntil: time.Hour, failAfter: time.Second}, "silent": {silentUntil: time.Hour},
	} {
		d.callCost, d.response = 10*time.Millisecond, oneWorker
		var mu sync.Mutex
		starts := map[int]time.Duration{}
		runTables(t, 300, false, d, 8*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
			mu.Lock()
			defer mu.Unlock()
			started, ready := table.Ready(), b.Stats().Ready
			heard := false
			select {
			case <-table.Synced():
				heard = true
			default:
			}
			if ready > 0 && (!started || at == 0 || name == "told" && !heard) {
				t.Errorf("%s, at %v: dispatcher %d sends by the list of before", name, at, i)
			}
			if _, ok := starts[i]; started && !ok {
				starts[i] = at
				if ready != 1 {
					t.Errorf("%s: dispatcher %d has started, and sends to nobody", name, i)
				}
			}
		})
		if len(starts) != 300 {
			t.Errorf("%s: %d of 300 dispatchers have started", name, len(starts))
		}
	}
}

// Discovery accepts and says nothing for 20 s. What it missed to tell counts as told, so from
// then on nothing new is sent, until its word is there.
func TestLongSilenceExpiresList(t *testing.T) {
	d := &silentDiscovery{silentFrom: 2 * time.Second, silentUntil: 22 * time.Second, response: oneWorker}
	runTables(t, 1, false, d, 30*time.Second, func(_ int, at time.Duration, _ *ServerTable, b *broker.Broker) {
		ready := b.Stats().Ready
		if at > 2*time.Second+6550*time.Millisecond && at < d.silentUntil && ready != 0 || at > 0 && at < 5*time.Second && ready != 1 || at > 26*time.Second && ready != 1 {
			t.Errorf("at %v: %d workers may be sent to", at, ready)
		}
	})
}

// Where lists are pushed what the agent holds counts as told from the first moment: nothing is
// sent by the kept list before its word, unless nobody is there to tell any. Nobody asked it at
// all once: the module says when to ask only where it has to.
func TestPushedListIsWatchedFromStart(t *testing.T) {
	d := &silentDiscovery{silentFrom: 10 * time.Second, silentUntil: 14 * time.Second, refuse: true, response: strings.ReplaceAll(oneWorker, `"generation":1`, `"generation":2`)}
	runTables(t, 300, true, d, 16*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
		if at == 0 && b.Stats().Ready != 0 {
			t.Errorf("dispatcher %d sends by the kept list", i)
		}
		if at == time.Second && b.Stats().Ready != 1 {
			t.Error("told, and it may send to nobody")
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
					from = listCallTimeout // then the agent is silent, and has nothing to tell
				}
				if ready := b.Stats().Ready; at > from+50*time.Millisecond && ready != 1 || name == "silent" && at < from && ready != 0 {
					t.Errorf("%s, at %v: %d workers may be sent to", name, at, ready)
				}
			}
		})
		if limit := d.silentUntil + 1700*time.Millisecond; back == 0 || name == "refused" && back > d.silentUntil+250*time.Millisecond || back > limit {
			t.Errorf("%s until %v: heard at %v", name, d.silentUntil, back)
		}
	}
}

// Discovery is down for 8 s, and its agent silent: it learns nothing then, so nothing is missed and
// the list held serves on. What there is at the return is heard at once. With the clock of lists
// that are asked for, 288 dispatchers refused half of all requests from 5 to 10 s of a herd day.
func TestSilentAgentOfPushedListStopsNobody(t *testing.T) {
	d := &silentDiscovery{silentFrom: 3 * time.Second, silentUntil: 11 * time.Second, response: oneWorker}
	runTables(t, 300, true, d, 14*time.Second, func(i int, at time.Duration, table *ServerTable, b *broker.Broker) {
		if ready := b.Stats().Ready; at > 100*time.Millisecond && ready != 1 {
			t.Errorf("dispatcher %d at %v: %d workers may be sent to", i, at, ready)
		}
	})
}

// Each way that a call can fail says what an operator can do.
func TestListErrorsGiveAdvice(t *testing.T) {
	for _, err := range []error{&ListError{"d:1", syscall.ECONNREFUSED}, &ListError{"d:1", &BadResponseError{503, ""}}, &BadResponseError{200, "x"}, &CallTimeoutError{Addr: "d:1"}, &KnownListError{io.EOF}, &OutdatedListError{1, 2}} {
		var f interface {
			Advice() string
			Code() string
		}
		if !errors.As(err, &f) || f.Advice() == "" || !strings.HasPrefix(f.Code(), "list-") {
			t.Errorf("%T: %v says nothing to do", err, err)
		}
	}
}

// Lists may come indented.
func TestIndentedListIsParsed(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "d:1", config.DefaultMembership()
	table, _ := newTestTable(t, cfg, func(string) {})
	reply, err := table.parse([]byte("{\n  \"generation\": 3,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s1\",\n      \"hostPort\": \"h:1\",\n      \"lifecycle\": \"SERVING\"\n    }\n  ]\n}\n"), true)
	if err != nil || *reply.Generation != 3 || len(reply.Instances) != 1 || reply.Instances[0].HostPort != "h:1" {
		t.Errorf("%+v, %v", reply, err)
	}
}

// Where the fleet shares lists an older whole one is refused, and believed once it has gone on for
// a minute; by itself a dispatcher takes what it is told.
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
			t.Errorf("after a minute: %v, told afresh %t", err, table.applied.sourceChanged)
		}
	})
}

// A relayed list is taken in where it is no older than what is known, and never by one that was
// moved to another list service and waits for its word: generations there are others.
func TestRelayedListIsAppliedByGeneration(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "d:1", config.DefaultMembership()
	table, b := newTestTable(t, cfg, func(string) {})
	one := []membership.Worker{{ID: "s1", Addr: "h:1", Zone: "a", Kind: "m1", Weight: 1}}
	if !table.ApplyRelayed(5, true, one) || b.Stats().Workers != 1 || !strings.HasPrefix(table.DescribeList(), "relayed") {
		t.Error("the first relayed list is not served by")
	}
	if table.ApplyRelayed(4, true, nil) || !table.ApplyRelayed(6, false, []membership.Worker{{ID: "s1", State: membership.Removed}}) || b.Stats().Ready != 0 {
		t.Error("an older list is taken in, or a newer change is not")
	}
	table.requireAfterTimeout(time.Now().Add(-time.Second)) // a call of its own was silent, and what it missed is due
	for b.Stats().Ready > 0 || !awaitsUpdate(table) {
		time.Sleep(time.Millisecond)
	}
	if !table.ApplyRelayed(6, true, one) || awaitsUpdate(table) || b.Stats().Ready != 1 {
		t.Error("another was told all that there is, and it waits still for a word of its own")
	}
	table.applied.known, table.applied.sourceChanged = false, true
	if table.ApplyRelayed(7, true, one) {
		t.Error("it was moved, and goes by the list of the place that it has left")
	}
}

// unlimitedCalls is turns at a service that takes any number.
type unlimitedCalls struct{}

func (unlimitedCalls) MayCall(bool, bool) (bool, time.Duration, <-chan struct{}) { return true, 0, nil }
func (unlimitedCalls) CallFailed()                                               {}

func awaitsUpdate(t *ServerTable) bool {
	yes, _ := t.awaitsUpdate()
	return yes
}

// Beside another source of workers the list service's word is due all the same: what it has named
// may drain. Workers that only the other source names serve on.
func TestStaleListBindsBesideOtherSources(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
	table, b := newTestTable(t, cfg, func(string) {})
	cfg.SRV = []config.SRV{{Name: "loans"}}
	table.requireAfterFailure(syscall.ECONNRESET, time.Now(), 0) // the first call has ended, and the list of before serves
	b.UpdateWorkers(dispatch.ListOverride, []broker.Worker{{ID: "by name alone", Addr: "h:2"}})
	if ready := b.Stats().Ready; ready != 2 {
		t.Fatalf("%d workers may be sent to, want 2", ready)
	}
	table.requireAfterTimeout(time.Now().Add(-time.Second))
	for limit := time.Now().Add(4 * time.Second); b.Stats().Ready != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d workers may be sent to, want the one that the list service has not named", b.Stats().Ready)
		}
	}
}
