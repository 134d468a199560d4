package statemachine

import "yardflow/scheduling/job"

// Code is the outcome of a command. Values are numbers on the wire: new ones go at the end.
type Code uint8

// Outcomes of commands, with what those who sent them do.
const (
	// OK: carried out, now or by an earlier delivery of the same command. Operators and clients get 200, and a
	// dispatcher acknowledges a run's end to its worker.
	OK Code = iota
	// Conflict: the command rests on a version, owner, placement or clock tick that is no longer the present one.
	// Nothing has changed. An operator's configuration is answered 412. A dispatcher puts the tasks of a placement
	// back into its queue and decides anew from the updates it gets. A control machine sends OpenSession again, with
	// the latest session that the Result names. Reports that are in conflict are dropped.
	Conflict
	// NoCapacity: a worker of a placement lacks free capacity, and no alternative can take the task. The dispatcher
	// goes on as with Conflict.
	NoCapacity
	// NotFound: there is no such job, or no configuration yet. Clients get 410 and operators 404.
	NotFound
	// Invalid: the command can't be carried out in any state, or can't be read. Clients and operators get 400.
	Invalid
	// Stale: the session that sent it is closed, or does not wait for its outcome any more. The dispatcher opens a
	// new session, and sends there again what it still waits for.
	Stale
	// Unknown: whether it was ever carried out can't be told. Operators get 503, which asks them to send the same
	// again. A control machine that has lost the majority gives this outcome to them, too.
	Unknown
)

// Result answers a command. Beside Code, only what the command asks for is set.
type Result struct {
	Code Code `cbor:"1,keyasint,omitempty"`
	// Session answers OpenSession: the session that is open, and with Conflict the latest one of the node.
	Session  SessionID `cbor:"2,keyasint,omitempty"`
	JobState job.State `cbor:"3,keyasint,omitempty"` // answers ReadJob and CancelJob
	Count    int       `cbor:"4,keyasint,omitempty"` // answers ReadQueue: jobs
	Body     []byte    `cbor:"5,keyasint,omitempty"` // answers ReadConfig
}
