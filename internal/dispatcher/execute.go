package dispatcher

import (
	"net/http"
	"time"

	"yardflow/internal/control/statemachine"
)

// commandOutcome is what is known of a command that a client's call has caused.
type commandOutcome uint8

const (
	answered commandOutcome = iota
	notSent                 // it never left this process
	unknown                 // it may be carried out
)

var commandOutcomeNames = [...]string{"answered", "unsent", "unknown"}

// String returns the outcome's name in logs.
func (o commandOutcome) String() string { return commandOutcomeNames[o] }

// execute sends a command to the control machines for a client's call, and waits for its outcome at most for the time-out.
// The event loop calls command, and only where a session is open.
func (d *Dispatcher) execute(r *http.Request, timeout time.Duration, command func() *statemachine.Command) (statemachine.Result, commandOutcome) {
	return d.executeThen(r, timeout, command, func() {})
}

// executeThen is execute; besides, the event loop calls done before the outcome is returned, or once nobody waits for it
// any more.
func (d *Dispatcher) executeThen(r *http.Request, timeout time.Duration, command func() *statemachine.Command,
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
		tag = d.uplink.submit(command(), func(result statemachine.Result) {
			done()
			replies <- reply{result, true}
		})
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case got := <-replies:
		if !got.sent {
			return got.result, notSent
		}
		return got.result, answered
	case <-timer.C:
	case <-d.answerNow:
	case <-d.loopEnded:
	case <-r.Context().Done():
	}
	// The client gets no answer, or that the outcome is unknown, and sends the same again. The command must not be sent
	// again much later: it could find the job forgotten, and start it anew.
	d.post(func() {
		d.uplink.abandon(tag)
		done()
	})
	return statemachine.Result{}, unknown
}
