package broker

// This file carries out what the module decides. All of it runs in the goroutine that owns the module.

import (
	"fmt"
	"time"

	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

// moduleActions is the dispatch.Actions of one event, handled at the time now.
type moduleActions struct {
	b   *Broker
	now time.Duration
}

// decide hands a session its next decision. A send for a session that has ended crossed that end; session.end finds it
// and reports it as never sent.
func (m moduleActions) decide(id dispatch.RequestID, d decision) {
	s := m.b.loop.sessions[id]
	if s == nil || s.ended.Load() && !d.send {
		return
	}
	if !d.send {
		s.ended.Store(true)
	}
	select {
	case s.decisions <- d:
	default:
		invariant.Check(false, "a decision while another stands")
	}
}

func (m moduleActions) Send(id dispatch.RequestID, worker dispatch.WorkerID, timeout time.Duration) {
	m.decide(id, decision{send: true, worker: worker, timeout: timeout, maxAttempts: m.b.loop.settings.Attempts.Max})
}

func (m moduleActions) Reject(id dispatch.RequestID, retryAfter time.Duration) {
	m.decide(id, decision{answer: Answer{Kind: AnswerRejected, RetryAfter: retryAfter}})
}

func (m moduleActions) Fail(id dispatch.RequestID) {
	m.decide(id, decision{answer: Answer{Kind: AnswerFailed}})
}

func (m moduleActions) Cancel(id dispatch.RequestID, attempt int) {
	if s := m.b.loop.sessions[id]; s != nil {
		s.cancelAttempt(attempt)
	}
}

func (m moduleActions) Wake(after time.Duration, tag uint64) {
	m.b.loop.timers = append(m.b.loop.timers, pendingTimer{m.now + after, tag})
}

func (m moduleActions) Subscribe() {
	select {
	case m.b.subscribe <- struct{}{}:
	default: // a subscription is asked for already
	}
}

// Probe does nothing: workers of this deployment are probed by nobody, and the module sends none under its settings.
func (m moduleActions) Probe(dispatch.WorkerID) {}

func (m moduleActions) Broadcast(msg []byte) {
	if m.b.peers.broadcast != nil {
		m.b.peers.broadcast(msg)
	}
}

func (m moduleActions) Log(line string) { m.b.log(fmt.Sprint("module: ", line)) }
