// Package protocol has the messages between dispatchers and control machines, and
// those among control machines. All travel as CBOR in frames.
package protocol

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
)

// Paths at a control machine's address.
const (
	CorePath       = "/internal/core"
	DispatcherPath = "/internal/dispatcher"
)

// Hello opens or resumes a dispatcher's session.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	Life uint64 `cbor:"3,keyasint"`
	// Config is the version of the configuration that the dispatcher has, so that it need not be sent again.
	Config int64 `cbor:"4,keyasint,omitempty"`
	// Acknowledges says that the dispatcher tells how much it has received, so that what is not urgent may wait for that.
	Acknowledges bool `cbor:"5,keyasint,omitempty"`
}

// Tagged is a command with the dispatcher's name for it.
type Tagged struct {
	Tag     uint64          `cbor:"1,keyasint"`
	Command cbor.RawMessage `cbor:"3,keyasint"`
}

// Up goes from a dispatcher to its control machine. One without commands is a heartbeat.
type Up struct {
	Hello    *Hello   `cbor:"1,keyasint,omitempty"`
	Commands []Tagged `cbor:"2,keyasint,omitempty"`
	Goodbye  bool     `cbor:"3,keyasint,omitempty"` // the process ends in order
	// Config acknowledges the configuration that is in force at the dispatcher.
	Config int64 `cbor:"4,keyasint,omitempty"`
	// Received is how many bytes of messages the dispatcher has taken in on this connection.
	Received uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome answers a Tagged.
type Outcome struct {
	Tag    uint64              `cbor:"1,keyasint"`
	Result statemachine.Result `cbor:"2,keyasint"`
}

// Down goes from a control machine to a dispatcher. An empty one is a heartbeat.
type Down struct {
	Session  statemachine.SessionID `cbor:"1,keyasint,omitempty"` // the updates are a whole snapshot for this session
	Updates  []cbor.RawMessage      `cbor:"2,keyasint,omitempty"`
	Outcomes []Outcome              `cbor:"3,keyasint,omitempty"`
	Controls []string               `cbor:"4,keyasint,omitempty"` // addresses of all control machines
	Refused  bool                   `cbor:"5,keyasint,omitempty"` // try another control machine
}

// Peer goes from one control machine to another.
type Peer struct {
	Ping     *view.Ping               `cbor:"1,keyasint,omitempty"`
	Sessions []statemachine.SessionID `cbor:"2,keyasint,omitempty"` // dispatchers in touch with the sender, with a ping
	Broken   []statemachine.SessionID `cbor:"6,keyasint,omitempty"` // dispatchers whose connections ended all at once
	View     *view.Message            `cbor:"3,keyasint,omitempty"`
	Chain    *chain.Message           `cbor:"4,keyasint,omitempty"`
	Fetch    *chain.Fetch             `cbor:"7,keyasint,omitempty"`
	Lesson   *chain.Lesson            `cbor:"8,keyasint,omitempty"`
	Forward  []chain.Proposal         `cbor:"5,keyasint,omitempty"`
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // a constant of this program is wrong
	}
	return mode
}()

// Encode returns a message as CBOR.
func Encode(message any) []byte {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // only types of this program are encoded, and all of them can be
	}
	return data
}

// Decode reads a message and reports whether it could be read.
func Decode(data []byte, message any) bool { return decoding.Unmarshal(data, message) == nil }
