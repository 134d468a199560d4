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

const testTimeout = 10 * time.Second

// coordinatorStub is a coordinator without replication, whose clock the test advances.
type coordinatorStub struct {
	Coordinator // the methods that these tests do not call
	mu          sync.Mutex
	state       *statemachine.State
	changed     chan struct{}
	down        bool
}

func (stub *coordinatorStub) Do(_ context.Context, cmd statemachine.Command) (statemachine.Result, error) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	if stub.down {
		return statemachine.Result{}, errors.New("down")
	}
	before := stub.state.Revision
	r := stub.state.Apply(cmd)
	if stub.state.Revision != before {
		close(stub.changed)
		stub.changed = make(chan struct{})
	}
	return r, nil
}

func (stub *coordinatorStub) Read(_ context.Context, f func(*statemachine.State)) error {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	f(stub.state)
	return nil
}

func (stub *coordinatorStub) ReadStale(f func(*statemachine.State)) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	f(stub.state)
}

func (stub *coordinatorStub) WaitForRevision(ctx context.Context, past uint64) uint64 {
	for {
		stub.mu.Lock()
		now, changed := stub.state.Revision, stub.changed
		stub.mu.Unlock()
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

func (stub *coordinatorStub) Leader() uint64 { return 1 }

func startStub(t *testing.T) (*coordinatorStub, string) {
	stub := &coordinatorStub{state: statemachine.New(statemachine.Config{LeaseDuration: time.Minute, VoteTimeout: time.Minute, PolicyHistory: 5}), changed: make(chan struct{})}
	server := httptest.NewServer(NewHandler("f", stub, time.Second))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return stub, server.Listener.Addr().String()
}

// A call of another fleet, or one that callers may not make, is rejected and changes nothing.
func TestHandlerRejectsInvalidCalls(t *testing.T) {
	stub, addr := startStub(t)
	tick, err := statemachine.Encode(statemachine.Command{Tick: &statemachine.Tick{Elapsed: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		method, path, fleet string
		body                []byte
		want                int
	}{
		"another fleet's": {"POST", commandPath, "g", tick, 403},
		"a tick":          {"POST", commandPath, "f", tick, 503},
		"undecodable":     {"POST", commandPath, "f", []byte("hello"), 503},
		"too long":        {"POST", commandPath, "f", bytes.Repeat([]byte{0}, maxCommandBytes+1), 503},
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
	if stub.state.Now != 0 || stub.state.Revision != 0 {
		t.Errorf("the state has changed: %+v", stub.state)
	}
}

// A session gets its lease although the first coordinator is down, objects to a policy that it can't run, takes ended one
// that it can and serves under it, and releases its lease at its end.
func TestSessionFollowsPolicyChanges(t *testing.T) {
	stub, addr := startStub(t)
	dead, deadAddr := startStub(t)
	dead.down = true
	client := NewClient("f", []string{deadAddr, addr})
	client.current = 0
	var mu sync.Mutex
	var applied []string
	session := NewLeaseSession(client, policylease.New("n", 1, "", statemachine.RefuseWork), time.Now(), Hooks{
		CheckPolicy: func(p statemachine.Policy) error {
			if strings.HasPrefix(string(p.Text), "bad") {
				return errors.New("unknown")
			}
			return nil
		},
		ApplyPolicy: func(p statemachine.Policy) error {
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, string(p.Text))
			return nil
		},
		Log: func(string) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); session.Run(ctx) }()
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for limit := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("never: %s; %s", what, session.Describe())
			}
		}
	}
	servesUnder := func(version uint64) func() bool {
		return func() bool { held, _ := session.Admission(); return held.Allowed && held.Version == version }
	}
	eventually("a lease", servesUnder(0))
	stage := func(want statemachine.Stage) func() bool {
		return func() bool {
			stub.mu.Lock()
			defer stub.mu.Unlock()
			return stub.state.Change != nil && stub.state.Change.Stage == want
		}
	}
	propose := func(id, text string) {
		t.Helper()
		r, err := stub.Do(ctx, statemachine.Command{Proposal: &statemachine.Proposal{ID: id, Text: []byte(text), BaseVersion: 0}})
		if err != nil || r.Err != "" {
			t.Fatal(err, r.Err)
		}
	}
	propose("a", "bad")
	eventually("the first is withdrawn", stage(statemachine.Withdrawn))
	propose("b", "good")
	eventually("the second is in force", stage(statemachine.InForce))
	eventually("it serves under it", servesUnder(1))
	mu.Lock()
	if len(applied) != 1 || applied[0] != "good" {
		t.Errorf("applied %q", applied)
	}
	mu.Unlock()
	stop()
	<-ended
	if held, _ := session.Admission(); held.Allowed {
		t.Error("it admits after its end")
	}
	stub.mu.Lock()
	defer stub.mu.Unlock()
	if n := len(stub.state.ActiveHolders()); n != 0 {
		t.Errorf("%d leases are held after its end", n)
	}
}
