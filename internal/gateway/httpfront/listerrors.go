package httpfront

// This file has the errors of calls to the list service ("discovery" in the operators' texts), with advice for whoever is
// on call. What follows from an error is the watch's decision.

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"yardflow/internal/platform/fault"
)

// ListError is a call to the list service that brought no list.
type ListError struct {
	Addr string // of the list service
	Err  error
}

func (e *ListError) Error() string { return fmt.Sprintf("discovery at %s: %v", e.Addr, e.Err) }
func (e *ListError) Unwrap() error { return e.Err }

// Code is the error's word in the operators' table: that of its cause, where that has one.
func (e *ListError) Code() string {
	if f := fault.Of(e.Err); f != nil {
		return f.Code()
	}
	return "list-call"
}

// Advice is what an operator can do now.
func (e *ListError) Advice() string {
	if f := fault.Of(e.Err); f != nil {
		return f.Advice()
	}
	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		return "nobody listens there: start discovery, or correct discovery in the configuration and send SIGHUP"
	}
	return "the list held serves on: see whether discovery is overloaded or down"
}

// KnownListError is the configuration's list ("known") that can't be read.
type KnownListError struct{ Err error }

func (e *KnownListError) Error() string { return fmt.Sprintf("known: %v", e.Err) }
func (e *KnownListError) Unwrap() error { return e.Err }

// Code is the error's word in the operators' table.
func (e *KnownListError) Code() string { return "list-known" }

// Advice is what an operator can do now.
func (e *KnownListError) Advice() string {
	return "correct known in the configuration, or leave it out: the list is then awaited from discovery"
}

// CallTimeoutError is a call to the list service without a response in time. A change made just after it began may have
// been lost with it.
type CallTimeoutError struct {
	Addr       string
	Waited     time.Duration
	ChangesDue time.Time // when a change that the call missed counts as known, see freshness.go
	Connected  bool      // a connection stood: the call may have taken its turn at the service
	Watch      bool      // the call was to wait for changes; else it may have been in a queue there
}

func (e *CallTimeoutError) Error() string {
	return fmt.Sprintf("discovery at %s has given no sign for %v", e.Addr, e.Waited)
}

// Timeout reports true, as net.Error has it.
func (e *CallTimeoutError) Timeout() bool { return true }

// Code is the error's word in the operators' table.
func (e *CallTimeoutError) Code() string { return "list-silent" }

// Advice is what an operator can do now.
func (e *CallTimeoutError) Advice() string {
	return "it is asked again by itself, and nothing new is sent once a drain may have been missed: see whether this machine reaches discovery"
}

// BadResponseError is a response of the list service that is no list.
type BadResponseError struct {
	Status int // of HTTP; with 200 it is the list that is at fault
	Reason string
}

func (e *BadResponseError) Error() string {
	if e.Status != 200 {
		return fmt.Sprintf("it answers %d", e.Status)
	}
	return "its answer is no list: " + e.Reason
}

// Code is the error's word in the operators' table.
func (e *BadResponseError) Code() string { return "list-answer" }

// Advice is what an operator can do now.
func (e *BadResponseError) Advice() string {
	if e.Status != 200 {
		return "the list held serves on: discovery is overloaded or down, and is asked again after a pause"
	}
	return "the list held serves on: see what else answers at that address, or what discovery was told"
}

// OutdatedListError is a list that is older than the one that the fleet shares.
type OutdatedListError struct {
	Generation uint64 // of the list
	Known      uint64 // of the one that is shared
}

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("a list of generation %d, and %d is known", e.Generation, e.Known)
}

// Code is the error's word in the operators' table.
func (e *OutdatedListError) Code() string { return "list-older" }

// Advice is what an operator can do now.
func (e *OutdatedListError) Advice() string {
	return "the newer list serves on: see whether an old copy of the list service answers; one that was set back is believed after a minute"
}

// isDialTimeout reports whether no connection came up in time.
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}
