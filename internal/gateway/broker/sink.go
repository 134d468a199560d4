package broker

// This file owns the module's actions as they take effect. It runs in the owner's goroutine.

import (
	"fmt"
	"time"

	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

// moduleActions carries out the module's actions. It runs in the owner's goroutine.
type moduleActions struct {
	b   *Broker
	now time.Duration
}

// decide hands a session its next decision. A send for one that has ended
// crossed that end; leave finds it and reports it as never made.
func (k moduleActions) decide(id dispatch.RequestID, d decision) {
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

func (k moduleActions) Send(id dispatch.RequestID, w dispatch.WorkerID, within time.Duration) {
	k.decide(id, decision{send: true, worker: w, timeout: within, maxAttempts: k.b.moduleSettings.MaxAttempts})
}

func (k moduleActions) Reject(id dispatch.RequestID, comeBack time.Duration) {
	k.decide(id, decision{answer: Answer{Kind: AnswerRejected, RetryAfter: comeBack}})
}

func (k moduleActions) Fail(id dispatch.RequestID) {
	k.decide(id, decision{answer: Answer{Kind: AnswerFailed}})
}

func (k moduleActions) Cancel(id dispatch.RequestID, attempt int) {
	s := k.b.open[id]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil && s.out == attempt {
		if k.b.limiter != nil && !k.b.limiter.CanRetry(k.b.limiterClock(), s.ticket) {
			return // called off it could go nowhere
		}
		s.stop()
	}
}

func (k moduleActions) Wake(in time.Duration, tag uint64) {
	k.b.timer = append(k.b.timer, pendingTimer{k.now + in, tag})
}

func (k moduleActions) Subscribe() {
	select {
	case k.b.ask <- struct{}{}:
	default: // one is asked for already
	}
}

// Probe meets no wire here: the module sends none.
func (k moduleActions) Probe(dispatch.WorkerID) {}

func (k moduleActions) Broadcast(msg []byte) {
	if k.b.tell != nil {
		k.b.tell(msg)
	}
}

func (k moduleActions) Log(line string) { k.b.log(fmt.Sprint("module: ", line)) }
