package broker

// This file owns the module's actions as they take effect. It runs in the owner's goroutine.

import (
	"fmt"
	"time"

	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

// sink carries out the module's actions. It runs in the owner's goroutine.
type sink struct {
	b   *Broker
	now time.Duration
}

// decide hands a session its next decision. A send for one that has ended
// crossed that end; leave finds it and reports it as never made.
func (k sink) decide(id dispatch.RequestID, d decision) {
	s := k.b.open[id]
	if s == nil || s.ended.Load() && !d.send {
		return
	}
	if !d.send {
		s.ended.Store(true)
	}
	select {
	case s.next <- d:
	default:
		invariant.Check(false, "a decision while another stands")
	}
}

func (k sink) Send(id dispatch.RequestID, w dispatch.WorkerID, within time.Duration) {
	k.decide(id, decision{send: true, worker: w, within: within, limit: k.b.heard.MaxAttempts})
}

func (k sink) Reject(id dispatch.RequestID, comeBack time.Duration) {
	k.decide(id, decision{answer: Answer{Kind: AnswerRejected, RetryAfter: comeBack}})
}

func (k sink) Fail(id dispatch.RequestID) {
	k.decide(id, decision{answer: Answer{Kind: AnswerFailed}})
}

func (k sink) Cancel(id dispatch.RequestID, attempt int) {
	s := k.b.open[id]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil && s.out == attempt {
		if k.b.desk != nil && !k.b.desk.CanRetry(k.b.deskNow(), s.ticket) {
			return // called off it could go nowhere
		}
		s.stop()
	}
}

func (k sink) Wake(in time.Duration, tag uint64) {
	k.b.timer = append(k.b.timer, wake{k.now + in, tag})
}

func (k sink) Subscribe() {
	select {
	case k.b.ask <- struct{}{}:
	default: // one is asked for already
	}
}

// Probe meets no wire here: the module sends none.
func (k sink) Probe(dispatch.WorkerID) {}

func (k sink) Broadcast(msg []byte) {
	if k.b.tell != nil {
		k.b.tell(msg)
	}
}

func (k sink) Log(line string) { k.b.log(fmt.Sprint("module: ", line)) }
