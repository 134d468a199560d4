//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how old what the list shows is (LagMs of the deployment).
const listLag = 800 * time.Millisecond

// platform is a stand-in of the platform's list of workers.
type platform struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	entries []entry
}

type entry struct {
	w       *worker
	from    time.Time
	until   time.Time // zero: it stays
	drainAt time.Time // zero: it does not drain
}

func startPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// add lists a worker.
func (p *platform) add(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, entry{w: w, from: time.Now()})
}

// removeAfter takes a worker from the list after a while.
func (p *platform) removeAfter(w *worker, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.entries {
		if p.entries[i].w == w {
			p.entries[i].until = time.Now().Add(wait)
		}
	}
}

func (p *platform) list(out http.ResponseWriter, _ *http.Request) {
	type instance struct {
		ID         string `json:"Id"`
		Service    string
		Address    string
		Zone       string
		Version    string
		Slots      int
		State      string
		ColdLeftMs int
		Capacity   resources
		Labels     []string
	}
	shown := time.Now().Add(-listLag)
	instances := []instance{}
	p.mu.Lock()
	for _, e := range p.entries {
		if e.from.After(shown) || !e.until.IsZero() && !e.until.After(shown) {
			continue
		}
		instances = append(instances, instance{ID: e.w.id, Service: e.w.service, Address: e.w.address, Zone: e.w.zone,
			Version: "v1", Slots: 8, State: "ready", Capacity: e.w.capacity, Labels: e.w.labels})
	}
	p.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"Instances": instances, "NextToken": nil})
}
