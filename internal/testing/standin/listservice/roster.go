// Package listservice is a stand-in for discovery on loopback: the list of loan workers
// over HTTP, whole or as a watch on changes, as the platform's protocol has it.
//
// It serves tests, proofs and the demonstration. It must never listen anywhere but
// on loopback, and says when it has told what, so that nobody need sleep.
package listservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	"yardflow/internal/platform/timers"
)

// Entry is one loan worker as discovery words it.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"` // SERVING, DRAINING; in changes DELETED
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// Roster is one stand-in.
type Roster struct {
	Addr string

	server *httptest.Server
	calls  calls
	first  []Entry // the first list that was told, for one that tells an old one

	mu         sync.Mutex
	generation int
	list       []Entry
	told       map[int]time.Time // when a generation was first written to somebody
	asked      int               // the newest generation that a watch has asked from
	changed    chan struct{}     // closed at every change of the above
}

// Start begins with an empty list, which nobody is told of.
func Start() *Roster {
	r := &Roster{told: map[int]time.Time{}, changed: make(chan struct{})}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	r.server.Config.ConnContext = withLast
	r.server.Start()
	r.Addr = r.server.Listener.Addr().String()
	return r
}

// Close ends it, with whatever watch is out.
func (r *Roster) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// change makes one change under the lock and wakes whoever waits.
func (r *Roster) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Set makes this the list, and returns its generation.
func (r *Roster) Set(list ...Entry) (generation int) {
	r.change(func() {
		r.generation++
		r.list, generation = slices.Clone(list), r.generation
		if r.first == nil {
			r.first = r.list
		}
	})
	return generation
}

// Mark gives one worker another lifecycle, DELETED to take it off the list, and
// returns the generation.
func (r *Roster) Mark(id, lifecycle string) (generation int) {
	r.change(func() {
		r.generation++
		generation = r.generation
		r.list = slices.Clone(r.list)
		for i := range r.list {
			if r.list[i].ID == id {
				r.list[i].Lifecycle = lifecycle
			}
		}
		r.list = slices.DeleteFunc(r.list, func(e Entry) bool { return e.Lifecycle == "DELETED" })
	})
	return generation
}

// await blocks until ok, which is asked under the lock.
func (r *Roster) await(within time.Duration, what string, ok func() bool) error {
	limit := time.After(within)
	for {
		r.mu.Lock()
		done, changed := ok(), r.changed
		r.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-limit:
			return fmt.Errorf("roster: %s within %v", what, within)
		}
	}
}

// Told waits until a generation, or a newer one, has been written to somebody, and
// returns when that was.
func (r *Roster) Told(generation int, within time.Duration) (at time.Time, err error) {
	err = r.await(within, fmt.Sprintf("generation %d is told to nobody", generation), func() bool {
		for g, t := range r.told {
			if g >= generation && (at.IsZero() || t.Before(at)) {
				at = t
			}
		}
		return !at.IsZero()
	})
	return at, err
}

// Taken waits until a watch asks for what comes after a generation: whoever asks
// has taken that one in.
func (r *Roster) Taken(generation int, within time.Duration) error {
	return r.await(within, fmt.Sprintf("nobody asks for what comes after generation %d", generation),
		func() bool { return r.asked >= generation })
}

func (r *Roster) serve(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.FormValue("since"))
	wait, _ := strconv.Atoi(q.FormValue("timeout_ms"))
	limit := time.After(timers.Positive(time.Duration(wait) * time.Millisecond))
	r.change(func() { r.asked = max(r.asked, since) })
	mood, done := r.meet(w, q)
	if done {
		return
	}
	defer answered(q)
	for {
		r.mu.Lock()
		generation, list, changed := r.generation, r.list, r.changed
		if mood.Old {
			generation, list = 1, r.first
		}
		r.mu.Unlock()
		if mood.Cut {
			w.Header().Set("Content-Length", "100000")
			io.WriteString(w, `{"generation":7,"reset":true,"instances":[{"instanceId":"s-1",`)
			panic(http.ErrAbortHandler)
		}
		if generation > since || q.FormValue("since") == "" {
			r.answer(w, generation, true, list)
			r.change(func() {
				if r.told[generation].IsZero() {
					r.told[generation] = time.Now()
				}
			})
			return
		}
		select {
		case <-changed:
		case <-limit:
			r.answer(w, generation, false, nil)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (r *Roster) answer(w http.ResponseWriter, generation int, reset bool, list []Entry) {
	if list == nil {
		list = []Entry{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": generation, "reset": reset, "instances": list})
}
