package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file owns the clients that ask dispatchers, and the count of their answers.

// Ask sends one job to a dispatcher, and returns the status; 0 where none came.
func (r *Rig) Ask(p *Process) int { return r.AskOf(p, "issue-loan") }

// AskOf sends one job of a class.
func (r *Rig) AskOf(p *Process, class string) int {
	r.mu.Lock()
	r.ids++
	id := fmt.Sprintf("r%d", r.ids)
	r.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+"/"+class, strings.NewReader("x"))
	if err != nil {
		return 0
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": class, "X-Tenant-Id": "univ-vltava", "X-Timeout": "2"} {
		q.Header.Set(k, v)
	}
	status := 0
	if resp, err := http.DefaultClient.Do(q); err == nil {
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		status = resp.StatusCode
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers[p.Name] == nil {
		r.answers[p.Name] = map[int]int{}
	}
	r.answers[p.Name][status]++
	return status
}

// History writes what each process said, in its own order.
func (r *Rig) History(to io.Writer) {
	for _, p := range slices.Concat(r.Coordinators, r.Dispatchers) {
		p.mu.Lock()
		for _, l := range p.log {
			fmt.Fprintf(to, "%s: %s\n", p.Name, l)
		}
		p.mu.Unlock()
	}
}

// Answers counts the answers of a dispatcher of a status; 0: none came.
func (r *Rig) Answers(name string, status int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[name][status]
}

// Load asks every dispatcher again and again until the returned function is called.
func (r *Rig) Load() (stop func()) { return r.Push(1, r.Dispatchers...) }

// Push asks some dispatchers again and again, each by so many clients.
func (r *Rig) Push(clients int, to ...*Process) (stop func()) {
	return r.PushOf("issue-loan", clients, to...)
}

// PushOf does so with jobs of a class.
func (r *Rig) PushOf(class string, clients int, to ...*Process) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range clients * len(to) {
		p := to[i%len(to)]
		wg.Go(func() {
			for ctx.Err() == nil {
				r.AskOf(p, class)
				select {
				case <-time.After(2 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}
