package httpfront

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/sources"

	"github.com/google/go-cmp/cmp"
)

// limitedDiscovery is a list service for many dispatchers: calls for the whole list are handled in turn, each at a cost,
// and fail once they have waited for its patience; one that failed has taken its turn all the same. Watches wait.
type limitedDiscovery struct {
	callCost, patience time.Duration
	refuses            bool // the address is refused

	mu     sync.Mutex
	freeAt time.Time
	failed int
}

const oneWorker = `{"generation":1,"reset":true,"instances":[{"instanceId":"s1","hostPort":"h:1","lifecycle":"SERVING","weight":1}]}`

func (d *limitedDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.refuses {
		return nil, syscall.ECONNREFUSED
	}
	wait, _ := time.ParseDuration(r.FormValue("timeout_ms") + "ms")
	ok := true
	if r.URL.RawQuery == "" {
		d.mu.Lock()
		now := time.Now()
		if d.freeAt.Before(now) {
			d.freeAt = now
		}
		d.freeAt = d.freeAt.Add(d.callCost)
		if wait = d.freeAt.Sub(now); wait-d.callCost > d.patience {
			d.failed++
			wait, ok = d.patience, false
		}
		d.mu.Unlock()
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		if r.URL.RawQuery == "" {
			d.mu.Lock()
			d.failed++
			d.mu.Unlock()
		}
		return nil, r.Context().Err()
	}
	out := &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(oneWorker))}
	if !ok {
		out.StatusCode = 503
	}
	return out, nil
}

// newTestTable makes a table that updates a broker of its own.
func newTestTable(t *testing.T, cfg *config.Config, log func(string)) (*ServerTable, *broker.Broker) {
	b, live := newTestBroker(t, cfg), config.NewInForce(cfg)
	merged, err := sources.New(live, b, sources.Hooks{Log: func(string) {}, AddressRetired: func(string) {}})
	if err != nil {
		t.Fatal(err)
	}
	table, err := NewServerTable(live, b, merged.UpdateRoster, log)
	if err != nil {
		t.Fatal(err)
	}
	return table, b
}

// A fleet of 300 switches to another list service, each dispatcher at any moment, before its first update or after, some
// of them twice. The new list counts as known 4 s later. A service that can answer them all by then has updated them all;
// one that can't leaves dispatchers without the update, and those send nothing until it comes. With pauses of 0 to 7 s a
// third had no update and served on by the old list.
func TestFleetSwitchesToAnotherDiscovery(t *testing.T) {
	for _, c := range []struct {
		name     string
		d        *limitedDiscovery
		late     int           // at most so many without the update in time
		last     time.Duration // by then the last has it
		servesOn bool
	}{
		{"150 calls a second", &limitedDiscovery{callCost: time.Second / 150, patience: 3 * time.Second}, 0, sourceChangeDue, false},
		{"24 calls a second", &limitedDiscovery{callCost: time.Second / 24, patience: 3 * time.Second}, 200, 30 * time.Second, false},
		{"nobody there", &limitedDiscovery{refuses: true}, 300, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer func(f func() http.RoundTripper) { discoveryTransport = f }(discoveryTransport)
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				discoveryTransport = func() http.RoundTripper { return c.d }
				cfg := testConfig()
				cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
				cfg.Dispatch.Fleet.Count = 300
				rnd := rand.New(rand.NewPCG(3, 5))
				var wg sync.WaitGroup
				var mu sync.Mutex
				late, last := 0, time.Duration(0)
				for i := range 300 {
					own := *cfg
					own.Dispatch.Fleet.Index = i
					table, b := newTestTable(t, &own, func(string) {})
					table.draw = rand.New(rand.NewPCG(7, uint64(i))).Float64 // the same pauses in every run
					go table.Run(t.Context())
					at, again := time.Duration(rnd.Float64()*9e9), time.Duration(rnd.Float64()*3e9)
					twice := rnd.IntN(3) == 0
					wg.Go(func() {
						defer b.Close() // the bubble must be empty at its end
						time.Sleep(at)
						table.SwitchSource("d:2")
						switched := time.Now()
						if twice {
							time.Sleep(again)
							table.SwitchSource("d:3")
						}
						due := func() time.Time { table.mu.Lock(); defer table.mu.Unlock(); return table.freshness.due }
						updated := func() bool { return due().IsZero() }
						if at := due(); !updated() { // the first switch's, unless its update had come before the second
							switched = at.Add(-sourceChangeDue)
						}
						time.Sleep(sourceChangeDue + time.Millisecond - time.Since(switched))
						for n := 0; !updated() && time.Since(switched) < 90*time.Second; n++ {
							if ready := b.Stats().Ready; (ready == 0) == c.servesOn {
								t.Errorf("dispatcher %d: %v after the switch, without an update, %d workers may be sent to", i, time.Since(switched), ready)
								return
							}
							if n == 0 {
								mu.Lock()
								late++
								mu.Unlock()
							}
							if c.servesOn {
								return
							}
							time.Sleep(50 * time.Millisecond)
						}
						if b.Stats().Ready != 1 {
							t.Errorf("dispatcher %d: updated, and no worker may be sent to", i)
						}
						mu.Lock()
						defer mu.Unlock()
						last = max(last, time.Since(switched))
					})
				}
				wg.Wait()
				t.Logf("%d of 300 without an update after %v; the last has it after %v, %d calls failed, %v in all", late, sourceChangeDue, last, c.d.failed, time.Since(began))
				if late > c.late || c.last > 0 && last > c.last+time.Millisecond {
					t.Errorf("%d without an update in time, want %d at most; the last has it %v after the switch, want %v", late, c.late, last, c.last)
				}
			})
		})
	}
}

// A list that comes once the list service was switched is the former one's.
func TestUpdateOfFormerSourceEndsNoWait(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "127.0.0.1:1", config.DefaultMembership()
	table, _ := newTestTable(t, cfg, func(string) {})
	old := table.source()
	table.SwitchSource("127.0.0.1:2")
	due := table.freshness.due
	if table.markFresh(old); table.freshness.due.IsZero() {
		t.Error("the former source's update ended the wait for the new one's")
	}
	if table.SwitchSource("127.0.0.1:3"); table.freshness.due != due {
		t.Errorf("a second switch put the update off by %v", table.freshness.due.Sub(due))
	}
	table.requireAfterFailure(fmt.Errorf("call: %w", syscall.ECONNREFUSED), time.Now(), 0)
	if table.markFresh(table.source()); !table.freshness.due.IsZero() {
		t.Error("the update has come, and is awaited still")
	}
}

// The table takes the known list, calls from its generation on, and continues its watches; after a failed call it calls
// again soon, for what there is now, because that update is due.
func TestServerTableFollowsDiscovery(t *testing.T) {
	calls := make(chan string)
	answers := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- r.URL.RawQuery:
		case <-r.Context().Done():
			return
		}
		select {
		case text := <-answers:
			if text == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprint(w, text)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	cfg := testConfig()
	cfg.Discovery = server.Listener.Addr().String()
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"h:1","zone":"b","machineType":"m2","cell":3,"lifecycle":%q,"weight":1,"startedAtMs":1700000000123.5}`, id, state)
	}
	cfg.KnownList = json.RawMessage(`{"generation":41,"reset":true,"instances":[` + entry("s1", "SERVING") + `]}`)
	cfg.Membership = config.DefaultMembership()
	var mu sync.Mutex
	var logged []string
	table, b := newTestTable(t, cfg, func(line string) {
		mu.Lock()
		defer mu.Unlock()
		logged = append(logged, line)
	})
	want := []membership.Worker{{ID: "s1", Addr: "h:1", Zone: "b", Kind: "m2", Cell: 3, Weight: 1, StartedAt: time.UnixMicro(1700000000123500)}}
	var known listResponse
	if err := json.Unmarshal(cfg.KnownList, &known); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, workersFrom(known.Instances)); diff != "" {
		t.Error(diff)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go table.Run(ctx)
	ready := func() [2]int { s := b.Stats(); return [2]int{s.Workers, s.Ready} }
	for i, step := range []struct {
		since int
		text  string
		ready [2]int // workers and ready ones, once the call is made
	}{
		{41, `{"generation":42,"reset":false,"instances":[` + entry("s2", "SERVING") + `]}`, [2]int{1, 0}},
		{42, `{"generation":43,"reset":false,"instances":[` + entry("s1", "DRAINING") + "," + entry("s3", "ODD") + `]}`, [2]int{2, 2}},
		{43, ``, [2]int{3, 1}},
		{43, `{"instances":[]}`, [2]int{3, 1}}, // a list without a generation is none
		{43, `{"generation":44,"reset":true,"instances":[` + entry("s1", "SERVING") + `]}`, [2]int{3, 1}},
		{44, `{"generation":45,"reset":false,"instances":[` + entry("s1", "DELETED") + `]}`, [2]int{3, 1}},
		{45, `{"generation":45,"reset":false,"instances":[]}`, [2]int{3, 0}},
		// An id comes twice: its last entry counts. Then an outage: a list cut off, one of no workers, none.
		{45, `{"generation":46,"reset":false,"instances":[` + entry("s4", "DRAINING") + "," + entry("s4", "SERVING") + `]}`, [2]int{3, 0}},
		{46, `{"generation":47,"reset":true,"instances":[` + entry("s4", "SERV")[:60], [2]int{4, 1}},
		{46, `{"generation":47,"reset":true,"instances":[]}`, [2]int{4, 1}},
		{46, ``, [2]int{4, 1}},
		{46, `{"generation":47,"reset":false,"instances":[` + strings.Replace(entry("s4", "SERVING"), "h:1", "h:2", 1) + `]}`, [2]int{4, 1}},
		{47, `{"generation":47,"reset":false,"instances":[]}`, [2]int{4, 1}},
	} {
		select {
		case got := <-calls:
			wait := backoff.LongPollTimeout(1, 0, 0)
			if slices.Contains([]int{0, 3, 4, 9, 10, 11}, i) { // the first one, or the call before failed
				wait = time.Millisecond
			}
			if want := fmt.Sprintf("since=%d&timeout_ms=%d", step.since, wait.Milliseconds()); got != want {
				t.Fatalf("call %d: got %s, want %s", i, got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("call %d never came", i)
		}
		if got := ready(); got != step.ready {
			t.Errorf("at call %d: workers and ready %v, want %v", i, got, step.ready)
		}
		answers <- step.text
	}
	mu.Lock()
	defer mu.Unlock()
	lines := []string{"first told", "it answers 503", "told again after 2 ", "unexpected end", "told again after 3 "}
	if !slices.EqualFunc(logged, lines, strings.Contains) {
		t.Errorf("logged %q, want lines with %q", logged, lines)
	}
}
