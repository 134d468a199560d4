package main

// This file translates values of the wire into those of package dispatch. A value that is not known becomes the one that
// promises least.

import (
	"time"

	"yardflow/internal/gateway/simwire"
	"yardflow/scheduling/dispatch"
)

func duration(ms float64) time.Duration    { return time.Duration(ms * float64(time.Millisecond)) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func requestOf(e *simwire.Event) dispatch.Request {
	r := dispatch.Request{ID: dispatch.RequestID(e.RequestID), Class: int(e.Class), Tenant: int(e.Tenant), TimeLeft: duration(e.TimeLeftMs),
		Slots: float64(e.Slots), Memory: float64(e.Memory), ClientRetry: e.Flags&simwire.FlagRetry != 0}
	if e.Flags&simwire.FlagHint != 0 {
		r.WorkHint = duration(e.WorkHintMs)
	}
	return r
}

func workerState(status uint8) dispatch.WorkerState {
	switch status {
	case simwire.StatusReady:
		return dispatch.Ready
	case simwire.StatusGone:
		return dispatch.Removed
	}
	return dispatch.Draining // nothing is sent to a worker in a state that is not known
}

func listForm(form uint8) dispatch.ListForm {
	switch form {
	case simwire.ListDelta:
		return dispatch.ListDelta
	case simwire.ListFull:
		return dispatch.ListFull
	case simwire.ListCached:
		return dispatch.ListCached
	}
	return dispatch.ListFailed
}

func notificationKind(topic uint8) dispatch.NotificationKind {
	switch topic {
	case simwire.TopicStarted:
		return dispatch.NotificationStarted
	case simwire.TopicProgress:
		return dispatch.NotificationProgress
	}
	return dispatch.NotificationOther
}

func attemptCode(outcome uint16) dispatch.Code {
	switch outcome {
	case simwire.OutcomeOK:
		return dispatch.OK
	case simwire.OutcomeCancelled:
		return dispatch.Cancelled
	case simwire.OutcomeTimedOut:
		return dispatch.TimedOut
	case simwire.OutcomeRejected:
		return dispatch.Rejected
	case simwire.OutcomeNotSent:
		return dispatch.NotSent
	case simwire.OutcomeConnectionLost:
		return dispatch.ConnectionLost
	case simwire.OutcomeFailed:
		return dispatch.Failed
	case simwire.OutcomeConnectFailed:
		return dispatch.ConnectFailed
	}
	return dispatch.Unknown // may have run
}
