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
	PeerPath       = "/internal/core"
	DispatcherPath = "/internal/dispatcher"
)

// SessionRequest opens or resumes a dispatcher's session.
type SessionRequest struct {
	Node        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// ConfigVersion is the version of the configuration that the dispatcher has, so that it need not be sent again.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// AcknowledgesBytes says that the dispatcher tells how much it has received, so that what is not urgent may wait for that.
	AcknowledgesBytes bool `cbor:"5,keyasint,omitempty"`
}

// TaggedCommand is a command with the dispatcher's name for it.
type TaggedCommand struct {
	Tag     uint64          `cbor:"1,keyasint"`
	Command cbor.RawMessage `cbor:"3,keyasint"`
}

// DispatcherMessage goes from a dispatcher to its control machine. One without commands is a heartbeat.
type DispatcherMessage struct {
	SessionRequest *SessionRequest `cbor:"1,keyasint,omitempty"`
	Commands       []TaggedCommand `cbor:"2,keyasint,omitempty"`
	ShuttingDown   bool            `cbor:"3,keyasint,omitempty"` // the process ends in order
	// ConfigVersion acknowledges the configuration that is in force at the dispatcher.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// ReceivedBytes is how many bytes of messages the dispatcher has taken in on this connection.
	ReceivedBytes uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome answers a Tagged.
type Outcome struct {
	Tag    uint64              `cbor:"1,keyasint"`
	Result statemachine.Result `cbor:"2,keyasint"`
}

// ControlMessage goes from a control machine to a dispatcher. An empty one is a heartbeat.
type ControlMessage struct {
	Session          statemachine.SessionID `cbor:"1,keyasint,omitempty"` // the updates are a whole snapshot for this session
	Updates          []cbor.RawMessage      `cbor:"2,keyasint,omitempty"`
	Outcomes         []Outcome              `cbor:"3,keyasint,omitempty"`
	ControlAddresses []string               `cbor:"4,keyasint,omitempty"` // addresses of all control machines
	Rejected         bool                   `cbor:"5,keyasint,omitempty"` // try another control machine
}

// PeerMessage goes from one control machine to another.
type PeerMessage struct {
	Heartbeat            *view.Heartbeat          `cbor:"1,keyasint,omitempty"`
	ConnectedSessions    []statemachine.SessionID `cbor:"2,keyasint,omitempty"` // dispatchers in touch with the sender, with a ping
	DisconnectedSessions []statemachine.SessionID `cbor:"6,keyasint,omitempty"` // dispatchers whose connections ended all at once
	View                 *view.Message            `cbor:"3,keyasint,omitempty"`
	Chain                *chain.Message           `cbor:"4,keyasint,omitempty"`
	CatchUpRequest       *chain.CatchUpRequest    `cbor:"7,keyasint,omitempty"`
	CatchUpResponse      *chain.CatchUpResponse   `cbor:"8,keyasint,omitempty"`
	ForwardedProposals   []chain.Proposal         `cbor:"5,keyasint,omitempty"`
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
