//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform's list of workers.
type platform struct {
	address string
	record  *record
	server  *http.Server

	mu      sync.Mutex
	workers []*worker
}

func startPlatform(record *record, workers []*worker) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String(), record: record, workers: workers}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// remove takes a worker off the list after a while: one that has crashed stays there for some seconds.
func (p *platform) remove(w *worker, after time.Duration) {
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		kept := []*worker{}
		for _, other := range p.workers {
			if other != w {
				kept = append(kept, other)
			}
		}
		p.workers = kept
		p.record.note("platform", "%s is off the list", w.id)
	})
}

func (p *platform) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	entries := []map[string]any{}
	for _, w := range p.workers {
		entries = append(entries, map[string]any{"Id": w.id, "Service": "rounds", "Address": w.address, "Zone": "hall",
			"Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Labels": w.labels,
			"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": w.memory, "Gpu": 0}})
	}
	p.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"Instances": entries, "NextToken": nil})
}

func (p *platform) close() {
	_ = p.server.Close()
	p.mu.Lock()
	workers := p.workers
	p.mu.Unlock()
	for _, w := range workers {
		_ = w.server.Close()
	}
}
