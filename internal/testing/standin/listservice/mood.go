package listservice

// This file owns how a list service misbehaves: overloaded, silent, with an old list, or gone in
// the middle of an answer; and the count of its calls. It must never change the list itself.

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Mood is how it answers.
type Mood struct {
	Calls  int  // a second that it takes, those beyond are failed; 0: any number
	Silent bool // calls are accepted, and hear nothing
	Old    bool // whole lists are those of the first generation
	Cut    bool // answers end in the middle, and the connection with them
}

// carried is within what time after an answer a call carries the watch on: the platform's 200 ms.
const carried = 200 * time.Millisecond

// calls is what was asked, and how it is answered.
type calls struct {
	mu    sync.Mutex
	mood  Mood
	anew  []time.Time // calls that were no watch carried on
	moved chan struct{}
}

type lastKey struct{}

// last is when a connection was last answered.
type last struct {
	mu sync.Mutex
	at time.Time
}

func withLast(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, lastKey{}, &last{})
}

// Be has it answer so from now on.
func (r *Roster) Be(m Mood) {
	r.calls.mu.Lock()
	r.calls.mood = m
	if r.calls.moved != nil {
		close(r.calls.moved)
	}
	r.calls.moved = make(chan struct{})
	r.calls.mu.Unlock()
}

// Anew is when each call came that was not a watch carried on.
func (r *Roster) Anew() []time.Time {
	r.calls.mu.Lock()
	defer r.calls.mu.Unlock()
	return slices.Clone(r.calls.anew)
}

// Peak is the most of those in any second from a moment on.
func (r *Roster) Peak(from time.Time) (most int) {
	all := r.Anew()
	slices.SortFunc(all, time.Time.Compare)
	for i, at := range all {
		if at.Before(from) {
			continue
		}
		n, _ := slices.BinarySearchFunc(all[i:], at.Add(time.Second), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

// meet counts a call, and answers it by the mood where that is not by the list. It returns the
// mood, and whether the call is answered.
func (r *Roster) meet(w http.ResponseWriter, q *http.Request) (m Mood, done bool) {
	l, _ := q.Context().Value(lastKey{}).(*last)
	now := time.Now()
	anew := true
	if l != nil {
		l.mu.Lock()
		anew = q.FormValue("since") == "" || now.Sub(l.at) > carried
		l.mu.Unlock()
	}
	r.calls.mu.Lock()
	m = r.calls.mood
	moved := r.calls.moved
	over := false
	if anew {
		n := 0
		for i := len(r.calls.anew) - 1; i >= 0 && now.Sub(r.calls.anew[i]) < time.Second; i-- {
			n++
		}
		over = m.Calls > 0 && n >= m.Calls
		r.calls.anew = append(r.calls.anew, now)
	}
	r.calls.mu.Unlock()
	switch {
	case m.Silent:
		select {
		case <-q.Context().Done():
		case <-moved: // whoever waits still is reset
			panic(http.ErrAbortHandler)
		}
		return m, true
	case over:
		w.WriteHeader(http.StatusServiceUnavailable)
		return m, true
	}
	return m, false
}

// answered notes the end of an answer.
func answered(q *http.Request) {
	if l, _ := q.Context().Value(lastKey{}).(*last); l != nil {
		l.mu.Lock()
		l.at = time.Now()
		l.mu.Unlock()
	}
}
