package transport

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
)

const patience = 10 * time.Second

// coordinatorStub is a keeper alone, in this process; its time is told by the test.
type coordinatorStub struct {
	Coordinator // what is not asked here
	mu          sync.Mutex
	s           *statemachine.State
	changed     chan struct{}
	down        bool
}

func (o *coordinatorStub) Do(_ context.Context, cmd statemachine.Command) (statemachine.Result, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return statemachine.Result{}, errors.New("down")
	}
	before := o.s.Revision
	r := o.s.Apply(cmd)
	if o.s.Revision != before {
		close(o.changed)
		o.changed = make(chan struct{})
	}
	return r, nil
}

func (o *coordinatorStub) Read(_ context.Context, f func(*statemachine.State)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.s)
	return nil
}

func (o *coordinatorStub) ReadStale(f func(*statemachine.State)) { o.Read(context.Background(), f) }

func (o *coordinatorStub) WaitForRevision(ctx context.Context, past uint64) uint64 {
	for {
		o.mu.Lock()
		now, changed := o.s.Revision, o.changed
		o.mu.Unlock()
		if now > past {
			return now
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return now
		}
	}
}

func (o *coordinatorStub) Leader() uint64 { return 1 }

func serve(t *testing.T) (*coordinatorStub, string) {
	o := &coordinatorStub{s: statemachine.New(statemachine.Config{LeaseDuration: time.Minute, VoteTimeout: time.Minute, PolicyHistory: 5}), changed: make(chan struct{})}
	server := httptest.NewServer(NewHandler("f", o, time.Second))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return o, server.Listener.Addr().String()
}

// What is not a call of this fleet's, or not one that callers may make, changes nothing.
func TestHandlerRefuses(t *testing.T) {
	o, addr := serve(t)
	tick, err := statemachine.Encode(statemachine.Command{Tick: &statemachine.Tick{Elapsed: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		method, path, fleet string
		body                []byte
		want                int
	}{
		"another fleet's": {"POST", doPath, "g", tick, 403},
		"told time":       {"POST", doPath, "f", tick, 503},
		"no command":      {"POST", doPath, "f", []byte("hello"), 503},
		"too long":        {"POST", doPath, "f", bytes.Repeat([]byte{0}, maxCall+1), 503},
		"no revision":     {"GET", watchPath + "?past=x&wait_ms=1", "f", nil, 503},
		"no such path":    {"GET", "/v2", "f", nil, 404},
	} {
		r, err := http.NewRequest(c.method, "http://"+addr+c.path, bytes.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Fleet", c.fleet)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s: %d, want %d", name, resp.StatusCode, c.want)
		}
	}
	if o.s.Now != 0 || o.s.Revision != 0 {
		t.Errorf("the state has changed: %+v", o.s)
	}
}

// A holder gets its lease past a keeper that is down, weighs a change, stops, takes it up and
// serves under it; what it can't run it says so; at its end it gives the lease back.
func TestHolder(t *testing.T) {
	o, addr := serve(t)
	dead, deadAddr := serve(t)
	dead.down = true
	client := NewClient("f", []string{deadAddr, addr})
	client.at = 0
	var mu sync.Mutex
	var ran []string
	h := NewLeaseSession(client, policylease.New("n", 1, "", statemachine.RefuseWork), time.Now(), Hooks{
		CheckPolicy: func(p statemachine.Policy) error {
			if strings.HasPrefix(string(p.Text), "bad") {
				return errors.New("unknown")
			}
			return nil
		},
		ApplyPolicy: func(p statemachine.Policy) error {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, string(p.Text))
			return nil
		},
		Log: func(string) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan struct{})
	go func() { defer close(over); h.Run(ctx) }()
	until := func(what string, ok func() bool) {
		t.Helper()
		for limit := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("never: %s; %s", what, h.Describe())
			}
		}
	}
	under := func(version uint64) func() bool {
		return func() bool { held, _ := h.Admission(); return held.Allowed && held.Version == version }
	}
	until("a lease", under(0))
	stage := func(want statemachine.Stage) func() bool {
		return func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.s.Change != nil && o.s.Change.Stage == want
		}
	}
	o.Do(ctx, statemachine.Command{Proposal: &statemachine.Proposal{ID: "a", Text: []byte("bad"), BaseVersion: 0}})
	until("the first is withdrawn", stage(statemachine.Withdrawn))
	o.Do(ctx, statemachine.Command{Proposal: &statemachine.Proposal{ID: "b", Text: []byte("good"), BaseVersion: 0}})
	until("the second is in force", stage(statemachine.InForce))
	until("it serves under it", under(1))
	mu.Lock()
	if len(ran) != 1 || ran[0] != "good" {
		t.Errorf("ran %q", ran)
	}
	mu.Unlock()
	stop()
	<-over
	if held, _ := h.Admission(); held.Allowed {
		t.Error("it admits after its end")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.s.ActiveHolders()); n != 0 {
		t.Errorf("%d leases are held after its end", n)
	}
}
