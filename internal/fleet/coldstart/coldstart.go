// Package coldstart is how a fleet of dispatchers starts when none knows the list of workers, and spares the list service
// that it starts on: who may call it when (package admission), the list that one reader of a zone publishes for all
// others (package relay), and the speeds of workers for a newcomer that has learned none (package speeds). The Granter is
// the coordinators' half, the Client a dispatcher's. docs/START.md describes it for operators.
//
// Invariants:
//
//   - All that the coordinators grant here hangs on the lease, but for the slots in which a dispatcher that has lost them
//     calls the list service by itself. One that never had a lease calls by its own random pauses.
//   - One dispatcher of a zone reads at a time. Its fencing token grows with each reader, and an earlier one publishes
//     nothing.
//
// The package reads no clock of its own, draws no random numbers, does no input or output and makes nobody wait.
package coldstart

import (
	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
)

// Settings are a policy's [start].
type Settings struct {
	admission.Settings
	RelayList bool `cbor:"Relay" json:"Relay"` // one reader of a zone publishes the list for all others
}

// Request is what a dispatcher asks for with a request for its lease.
type Request struct {
	WantsAdmission       bool              `cbor:"1,keyasint,omitempty"` // it wants to call the list service
	Independent          bool              `cbor:"7,keyasint,omitempty"` // also where another reads for its zone: it was moved to another list service
	UsedAdmission        uint64            `cbor:"2,keyasint,omitempty"` // the number of the latest admission token that it has used
	Watermark            relay.Watermark   `cbor:"3,keyasint,omitempty"` // up to which it has the relayed list
	ResignedFencingToken uint64            `cbor:"4,keyasint,omitempty"` // under which it read, and reads no more: it can't reach the list service
	NeedsSpeeds          bool              `cbor:"5,keyasint,omitempty"` // it has learned no speeds of workers yet
	LearnedSpeeds        *speeds.Estimates `cbor:"6,keyasint,omitempty"`
}

// Response is what a dispatcher gets with its lease.
type Response struct {
	Admission    admission.Token   `cbor:"1,keyasint,omitempty"` // Number 0: none
	FencingToken uint64            `cbor:"2,keyasint,omitempty"` // under which it reads the list for its zone; 0: it does not
	RelayActive  bool              `cbor:"3,keyasint,omitempty"` // somebody reads for its zone, or will soon
	List         *relay.Update     `cbor:"4,keyasint,omitempty"` // what is new since the request's watermark; nil: nothing
	Speeds       *speeds.Estimates `cbor:"5,keyasint,omitempty"` // nil: none are wanted, or known
	Slot         *admission.Slot   `cbor:"6,keyasint,omitempty"` // for calls without a lease; nil: an earlier version granted the lease
}
