package statemachine

import "yardflow/scheduling/job"

// Code is the outcome of a command. Its values are sent as numbers, so new codes must be added at the end.
type Code uint8

// Outcomes of commands, and how their senders react.
const (
	// OK: the command was executed, now or by an earlier delivery. Operators and clients get 200, and a dispatcher
	// acknowledges a run's end to its worker.
	OK Code = iota
	// Conflict: the command is based on a version, owner, placement or clock tick that is no longer the present one.
	// Nothing has changed. An operator's configuration is answered 412. A dispatcher puts the tasks of a placement
	// back into its queue and decides again from the updates that it receives. A control machine resends OpenSession
	// with the latest session from the Result. Reports with this outcome are dropped.
	Conflict
	// NoCapacity: a worker of a placement lacks free capacity, and no alternative suits the task. The dispatcher reacts
	// as to Conflict.
	NoCapacity
	// NotFound: there is no such job, or no configuration yet. Clients get 410 and operators 404.
	NotFound
	// Invalid: the command can't be executed in any state, or can't be decoded. Clients and operators get 400.
	Invalid
	// Stale: the session that sent the command is closed, or no longer waits for its outcome. The dispatcher opens a
	// new session, and resends there the commands whose outcomes it still waits for.
	Stale
	// Unknown: the state does not show whether the command was ever executed. Operators get 503, which asks them to
	// resend the same request. A control machine that has lost the majority also answers them with this outcome.
	Unknown
	// Exhausted: the state has no space to remember what the command asks for. Clients get 503, which asks them to resend
	// the same request later. Only commands that earlier versions don't send have this outcome.
	Exhausted
)

// Result answers a command. Besides Code, only the fields that the command requests are set.
type Result struct {
	Code Code `cbor:"1,keyasint,omitempty"`
	// Session answers OpenSession: the open session, or with Conflict the latest session of the node.
	Session SessionID `cbor:"2,keyasint,omitempty"`
	// JobState answers ReadJob and CancelJob. It answers SubmitJob if the job was cancelled before it was submitted.
	JobState job.State `cbor:"3,keyasint,omitempty"`
	Count    int       `cbor:"4,keyasint,omitempty"` // answers ReadQueue: number of jobs
	Body     []byte    `cbor:"5,keyasint,omitempty"` // answers ReadConfig
}
