package sources

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/discovery/srv"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// testMerger is a merger over a real broker, with one list in DNS that the test words.
type testMerger struct {
	*Merger
	broker  *broker.Broker
	loans   *resolverRun
	lines   []string
	retired []string
}

func newTestMerger(t *testing.T) *testMerger {
	t.Helper()
	dir := t.TempDir()
	settings, err := os.ReadFile("../../../cmd/yardflow/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var in any
	if err := json.Unmarshal(settings, &in); err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": in})
	path := filepath.Join(dir, "config.json")
	operator := "[[source.srv]]\nname = \"loans\"\nservice = \"_l._tcp.z\"\nservers = [\"127.0.0.1:1\"]\nzone = \"praha-holesovice\"\nkind = \"dual-fast\"\nidentity = \"target-label\"\nstale = \"60s\"\n"
	if err := errors.Join(os.WriteFile(path, text, 0o600), os.WriteFile(filepath.Join(dir, "yardflow.toml"), []byte(operator), 0o600)); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, filepath.Join(dir, "yardflow.toml"))
	if err != nil {
		t.Fatal(err)
	}
	d := &testMerger{}
	if d.broker, err = broker.New(cfg.Dispatch, 1, nil, func(string) {}); err != nil {
		t.Fatal(err)
	}
	d.Merger, err = New(config.NewInForce(cfg), d.broker, Hooks{Log: func(s string) { d.lines = append(d.lines, s) }, AddressRetired: func(a string) { d.retired = append(d.retired, a) }})
	if err != nil {
		t.Fatal(err)
	}
	// Its resolver does not run: the test calls applyUpdate.
	d.loans = &resolverRun{cfg: cfg.SRV[0], resolver: srv.New(cfg.SRV[0].ResolverConfig()), stop: func() {}}
	d.resolvers["loans"] = d.loans
	t.Cleanup(func() {
		d.Close()
		d.broker.Close()
		time.Sleep(time.Second) // its goroutine ends with its round
	})
	return d
}

// locked reads what the merger's own goroutines write too.
func (d *testMerger) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *testMerger) logText() (text string) {
	d.locked(func() { text = strings.Join(d.lines, "\n") })
	return text
}

// answer is an answer of DNS with these workers.
func (d *testMerger) answer(life time.Duration, ids ...string) {
	var out []srv.Record
	for _, id := range ids {
		name, addr, other := strings.Cut(id, "=")
		if !other {
			addr = "10.0.0.1:7"
		}
		out = append(out, srv.Record{Target: name + ".z", Addr: netip.MustParseAddrPort(addr), Weight: 1, ExpiresAt: time.Now().Add(life)})
	}
	d.applyUpdate(d.loans, srv.Update{Records: out, At: time.Now()})
}

func roster(state membership.State, ids ...string) (out []membership.Worker) {
	for i, id := range ids {
		out = append(out, membership.Worker{ID: id, Addr: fmt.Sprint("10.0.1.", i, ":7"), State: state})
	}
	return out
}

// With a zone that flaps every 100 ms for 20 s the broker gets an update at most every
// 200 ms, and the roster's drain in the middle passes at once all the same.
func TestFlappingListIsPublishedAtMostOnceAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestMerger(t)
		d.UpdateRoster(dispatch.ListFull, roster(membership.Serving, "a", "b"))
		before, after := 0, 0
		d.locked(func() { before = d.publishCount })
		for i := range 200 {
			d.answer(time.Second, "a=10.0.0.1:1", "e=10.0.0.1:3", []string{"c=10.0.0.1:2", "d=10.0.0.1:4"}[i%2])
			time.Sleep(100 * time.Millisecond)
			if i == 101 { // between two publications
				d.UpdateRoster(dispatch.ListDelta, roster(membership.Draining, "a"))
				if text, err := d.DescribeWorker("a"); err != nil || !strings.Contains(text, "draining, by roster") {
					t.Error(text, err)
				}
				if got := d.broker.Stats().Ready; got != 3 { // b, e, and one that comes and goes
					t.Errorf("%d are ready", got)
				}
			}
		}
		d.locked(func() { after = d.publishCount })
		if n := after - before; n < 50 || n > 102 {
			t.Errorf("published %d times in 20 s", n)
		}
		if lines := strings.Count(d.logText(), "\n"); lines > 45 {
			t.Errorf("%d lines in the log", lines)
		}
	})
}

// A list whose servers do not respond holds up to StaleTTL past its lifetimes, without
// any report; then its workers drain by themselves. One that answers again has not
// started anew.
func TestListOfUnresponsiveServersDrainsAfterStaleTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestMerger(t)
		d.UpdateRoster(dispatch.ListCached, nil)
		d.answer(5*time.Second, "a", "b=10.0.0.2:7")
		ready := func(want int) {
			t.Helper()
			if got := d.broker.Stats().Ready; got != want {
				t.Errorf("%d are ready, want %d", got, want)
			}
		}
		time.Sleep(300 * time.Millisecond) // changes from DNS wait for their turn
		ready(2)
		for range 3 {
			d.applyUpdate(d.loans, srv.Update{Err: errors.New("nobody\nthere"), At: time.Now()})
		}
		time.Sleep(64 * time.Second)
		ready(2)
		d.SetBanned([]string{"b.z"}) // an operator's word still counts
		ready(1)
		d.SetBanned(nil)
		time.Sleep(2 * time.Second)
		ready(0)
		d.answer(5*time.Second, "a", "b=10.0.0.2:7")
		time.Sleep(300 * time.Millisecond)
		ready(2)
		d.locked(func() {
			for _, e := range d.merged.Entries {
				if !e.StartedAt.IsZero() {
					t.Errorf("%s counts as started at %v", e.ID, e.StartedAt)
				}
			}
		})
		said := d.logText()
		if strings.Count(said, "no answer") != 1 || strings.Count(said, "answers again") != 1 || strings.Contains(said, "nobody\n") {
			t.Error(said)
		}
		d.answer(5*time.Second, "a=10.0.0.9:7", "b=10.0.0.2:7")
		time.Sleep(300 * time.Millisecond)
		d.locked(func() {
			if !slices.Equal(d.retired, []string{"10.0.0.2:7", "10.0.0.1:7"}) { // banned, and moved
				t.Error(d.retired)
			}
		})
	})
}

// An empty answer takes no worker out while it answers connects; connects that fail do.
func TestWorkersMissingFromEmptyAnswerAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestMerger(t)
		d.UpdateRoster(dispatch.ListCached, nil)
		d.answer(5*time.Second, "a", "b=10.0.0.2:7")
		time.Sleep(time.Second)
		d.answer(0)
		for range 3 {
			d.observeOutcome("a", broker.ConnectFailed)
			d.observeOutcome("b", broker.TimedOut) // slow is not gone
		}
		time.Sleep(time.Second)
		if got := d.broker.Stats().Ready; got != 1 {
			t.Errorf("%d are ready", got)
		}
		time.Sleep(30 * time.Second)
		if got := d.broker.Stats().Ready; got != 0 {
			t.Errorf("%d are ready after the hold", got)
		}
		if said := d.logText(); !strings.Contains(said, "loans: the list shrank by 2 of 2 at once") {
			t.Error(said)
		}
		if _, err := d.DescribeWorker("nobody"); err == nil {
			t.Error("nobody is known")
		}
		if text := d.Describe(); !strings.Contains(text, "loans: 0 serving, 0 draining, 0 held, 0 tombstones") {
			t.Error(text)
		}
	})
}

// Weights are relative to the mean of their priority; a weight of 0 leaves a little.
func TestWeightsAreRelativeToTheMeanOfTheirPriority(t *testing.T) {
	var records []srv.Record
	for i, w := range []uint16{0, 10, 50, 0} {
		records = append(records, srv.Record{Target: "w", Addr: netip.MustParseAddrPort("10.0.0.1:7"), Weight: w, Priority: uint16(i / 3)})
	}
	var got []float64
	for _, w := range workersFromSRV(config.SRV{}, records) {
		got = append(got, w.Weight)
	}
	if !slices.Equal(got, []float64{0.05, 0.5, 2.5, 1}) {
		t.Error(got)
	}
}
