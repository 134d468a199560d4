// Package transport carries commands and their results between the coordinators and whoever calls them, dispatchers and
// operators, over HTTP/1.1 with CBOR bodies. Any coordinator answers any call. A call is never repeated by this package
// once it may have arrived: doubled and late messages are told apart by the state (package statemachine).
//
// LeaseSession keeps a dispatcher's lease. Whoever admits work asks LeaseSession.Admits, which waits for no call.
package transport

import "time"

// Paths that a coordinator serves, and the headers of calls. They are the same in all versions that run at once.
const (
	commandPath = "/v1/do"
	watchPath   = "/v1/watch"
	statePath   = "/v1/state"
	membersPath = "/v1/members"

	headerFleet  = "X-Fleet"  // of a call: the fleet that the caller means
	headerLeader = "X-Leader" // of the answer to statePath: the leader's number; 0: none is known
)

// Bounds of what is read and waited for.
const (
	maxCommandBytes = 1 << 20  // a command; a longer one is rejected
	maxAnswerBytes  = 16 << 20 // an answer, the largest being the whole state; a longer one can't be decoded
	maxWatchWait    = 30 * time.Second
)
