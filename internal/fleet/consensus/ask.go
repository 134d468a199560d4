package consensus

// This file owns those that ask: commands with their answers, and reads of the newest state. It
// must never answer by a state that may be old, but where the caller says so (Look, Watch).

import (
	"context"
	"encoding/binary"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// Do has a command carried out, and returns its answer once a majority has it. Any keeper
// takes commands; an error tells nothing of whether it was carried out.
func (q *Node) Do(ctx context.Context, cmd statemachine.Command) (statemachine.Result, error) {
	got := make(chan statemachine.Result, 1)
	q.mu.Lock()
	if q.failed != nil {
		q.mu.Unlock()
		return statemachine.Result{}, q.failed
	}
	q.last++
	n := q.last
	q.waiting[n] = got
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.waiting, n)
		q.mu.Unlock()
	}()
	text, err := q.word(n, cmd)
	if err != nil {
		return statemachine.Result{}, err
	}
	if err := q.node.Propose(ctx, text); err != nil {
		return statemachine.Result{}, err
	}
	select {
	case r := <-got:
		return r, nil
	case <-ctx.Done():
		return statemachine.Result{}, ctx.Err()
	case <-q.ended:
		return statemachine.Result{}, q.err()
	}
}

// Read gives f the state as it is at this moment or later: a majority is asked whether this
// keeper knows the newest. f must not keep it.
func (q *Node) Read(ctx context.Context, f func(s *statemachine.State)) error {
	got := make(chan uint64, 1)
	q.mu.Lock()
	q.last++
	n := q.last
	q.reads[n] = got
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.reads, n)
		q.mu.Unlock()
	}()
	again := time.NewTicker(10 * q.cfg.TickInterval) // lost where nobody led yet
	defer again.Stop()
	var index uint64
	for index == 0 {
		if err := q.node.ReadIndex(ctx, binary.LittleEndian.AppendUint64(nil, n)); err != nil {
			return err
		}
		select {
		case index = <-got:
		case <-again.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-q.ended:
			return q.err()
		}
	}
	for {
		q.mu.Lock()
		if q.applied >= index {
			defer q.mu.Unlock()
			f(q.state)
			return nil
		}
		moved := q.moved
		if moved == nil {
			moved = make(chan struct{})
			q.moved = moved
		}
		q.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		case <-q.ended:
			return q.err()
		}
	}
}

// WaitForRevision blocks until this keeper's state is past a revision, or ctx ends.
func (q *Node) WaitForRevision(ctx context.Context, past uint64) uint64 {
	for {
		q.mu.Lock()
		now, changed := q.state.Revision, q.changed
		q.mu.Unlock()
		if now > past {
			return now
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return now
		case <-q.ended:
			return now
		}
	}
}

// ReadStale gives f the state as this keeper has it, which may be old. f must not keep it.
func (q *Node) ReadStale(f func(s *statemachine.State)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.state)
}
