package dispatcher

import (
	"net/http"
	"time"

	"yardflow/internal/control/statemachine"
)

// commandOutcome is the result of sending a command for a client's call.
type commandOutcome uint8

const (
	outcomeAnswered commandOutcome = iota
	outcomeNotSent                 // the command was never sent
	outcomeUnknown                 // the command may be carried out, now or later
)

var commandOutcomeNames = [...]string{"answered", "unsent", "unknown"}

// String returns the name of the outcome as it appears in logs.
func (o commandOutcome) String() string { return commandOutcomeNames[o] }

// execute sends a command to the control machines for a client's call, and waits for its outcome until the timeout. The
// event loop calls makeCommand, and only if a session is open.
func (d *Dispatcher) execute(r *http.Request, timeout time.Duration,
	makeCommand func() *statemachine.Command) (statemachine.Result, commandOutcome) {
	return d.executeWithCallback(r, timeout, makeCommand, func() {})
}

// executeWithCallback does the same as execute. In addition, if the command was submitted, the event loop calls done before
// the outcome is returned, or after the call has stopped waiting for it.
func (d *Dispatcher) executeWithCallback(r *http.Request, timeout time.Duration, makeCommand func() *statemachine.Command,
	done func()) (statemachine.Result, commandOutcome) {
	type reply struct {
		result statemachine.Result
		sent   bool
	}
	replies := make(chan reply, 1)
	tag := uint64(0) // belongs to the event loop
	d.post(func() {
		if !d.uplink.attached {
			replies <- reply{}
			return
		}
		tag = d.uplink.submit(makeCommand(), func(result statemachine.Result) {
			done()
			replies <- reply{result, true}
		})
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case got := <-replies:
		if !got.sent {
			return got.result, outcomeNotSent
		}
		return got.result, outcomeAnswered
	case <-timer.C:
	case <-d.answerNow:
	case <-d.loopEnded:
	case <-r.Context().Done():
	}
	// The client gets no answer, or the answer that the outcome is unknown, and retries. The command must not be resent much
	// later: the job might have been forgotten by then, and the command would start it a second time.
	d.post(func() {
		d.uplink.abandon(tag)
		done()
	})
	return statemachine.Result{}, outcomeUnknown
}
