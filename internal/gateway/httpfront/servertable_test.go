package httpfront

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/discovery/sources"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
)

// limitedDiscovery is discovery for many dispatchers: calls for the whole list are handled in
// turn, each at a cost, and fail once they have waited for its patience; one that failed
// has taken its turn all the same. Watches wait.
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

// newTestTable makes a table that tells a broker of its own.
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

// A fleet of 300 is told to go over to another discovery, each dispatcher at any moment,
// before its first word or after, some of them twice. All that the new one has to tell
// counts as told 4 s later. A service that can take them all by then has told them all;
// one that can't leaves dispatchers without the word, and those send nothing until it
// comes. Paused for 0 to 7 s, a third had no word and went on by the old list.
func TestFleetSwitchesToAnotherDiscovery(t *testing.T) {
	for _, c := range []struct {
		name       string
		d          *limitedDiscovery
		late       int           // at most so many without a word in time
		last       time.Duration // by then the last has it
		blindFrees bool
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
				cfg.Dispatch.DispatcherCount = 300
				rnd := rand.New(rand.NewPCG(3, 5))
				var wg sync.WaitGroup
				var mu sync.Mutex
				late, last := 0, time.Duration(0)
				for i := range 300 {
					own := *cfg
					own.Dispatch.DispatcherIndex = i
					table, b := newTestTable(t, &own, func(string) {})
					table.draw = rand.New(rand.NewPCG(7, uint64(i))).Float64 // the same pauses in every play
					go table.Run(t.Context())
					at, again := time.Duration(rnd.Float64()*9e9), time.Duration(rnd.Float64()*3e9)
					twice := rnd.IntN(3) == 0
					wg.Go(func() {
						defer b.Close() // the bubble must be empty at its end
						time.Sleep(at)
						table.SwitchSource("d:2")
						moved := time.Now()
						if twice {
							time.Sleep(again)
							table.SwitchSource("d:3")
						}
						due := func() time.Time { table.mu.Lock(); defer table.mu.Unlock(); return table.freshness.due }
						heard := func() bool { return due().IsZero() }
						if at := due(); !heard() { // the first move's, unless its word had come before the second
							moved = at.Add(-sourceChangeDue)
						}
						time.Sleep(sourceChangeDue + time.Millisecond - time.Since(moved))
						for n := 0; !heard() && time.Since(moved) < 90*time.Second; n++ {
							if ready := b.Stats().Ready; (ready == 0) == c.blindFrees {
								t.Errorf("dispatcher %d: %v after the move, without a word, %d workers may be sent to", i, time.Since(moved), ready)
								return
							}
							if n == 0 {
								mu.Lock()
								late++
								mu.Unlock()
							}
							if c.blindFrees {
								return
							}
							time.Sleep(50 * time.Millisecond)
						}
						if b.Stats().Ready != 1 {
							t.Errorf("dispatcher %d: told, and no worker may be sent to", i)
						}
						mu.Lock()
						defer mu.Unlock()
						last = max(last, time.Since(moved))
					})
				}
				wg.Wait()
				t.Logf("%d of 300 without a word after %v; the last has it after %v, %d calls failed, %v in all", late, sourceChangeDue, last, c.d.failed, time.Since(began))
				if late > c.late || c.last > 0 && last > c.last+time.Millisecond {
					t.Errorf("%d without a word in time, want %d at most; the last has it %v after the move, want %v", late, c.late, last, c.last)
				}
			})
		})
	}
}

// A list that comes while discovery has moved on already is the old one's word.
func TestUpdateOfFormerSourceEndsNoWait(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery, cfg.Membership = "127.0.0.1:1", config.DefaultMembership()
	table, _ := newTestTable(t, cfg, func(string) {})
	old := table.source()
	table.SwitchSource("127.0.0.1:2")
	due := table.freshness.due
	if table.markFresh(old); table.freshness.due.IsZero() {
		t.Error("the old source's word ended the wait for the new one's")
	}
	if table.SwitchSource("127.0.0.1:3"); table.freshness.due != due {
		t.Errorf("a second move put the word off by %v", table.freshness.due.Sub(due))
	}
	table.requireAfterFailure(fmt.Errorf("call: %w", syscall.ECONNREFUSED), time.Now(), 0)
	if table.markFresh(table.source()); !table.freshness.due.IsZero() {
		t.Error("the word has come, and is awaited still")
	}
}
