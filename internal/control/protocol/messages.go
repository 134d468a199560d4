// Package protocol has the messages between dispatchers and control machines, and those among control machines. All
// travel as CBOR in frames.
//
// The CBOR numbers are the protocol: a rolling upgrade mixes versions, so a number never changes its meaning, and a
// field that an older version lacks must have a zero value that says what it meant before. The package decides
// nothing: what a message does is in internal/control/server, internal/dispatcher and the packages whose types it
// carries. It never trusts what it decodes to be complete or well-meant, only to be bounded in size and depth.
package protocol

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
)

// Paths at a control machine's address, on which connections are upgraded to frames.
const (
	PeerPath       = "/internal/core"       // for other control machines: PeerMessage
	DispatcherPath = "/internal/dispatcher" // for dispatchers: DispatcherMessage and ControlMessage
)

// SessionRequest opens a dispatcher's session, or resumes that of the same incarnation on another connection. It is
// the first message of a connection.
type SessionRequest struct {
	Node        string `cbor:"1,keyasint"` // the dispatcher's machine
	Zone        string `cbor:"2,keyasint"` // its failure domain
	Incarnation uint64 `cbor:"3,keyasint"` // of the dispatcher's process
	// ConfigVersion is the version of the configuration that the dispatcher has, so that it need not be sent again.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// AcknowledgesBytes says that the dispatcher reports how much it has received, so that what is not urgent may wait
	// for that.
	AcknowledgesBytes bool `cbor:"5,keyasint,omitempty"`
	// DelegatesInstanceList says that the dispatcher leaves reading the platform's list to its control machine, where that
	// says that it reads.
	DelegatesInstanceList bool `cbor:"6,keyasint,omitempty"`
}

// InstanceListDuty says who reads the platform's list of instances while a dispatcher is the InstanceReader.
type InstanceListDuty uint8

// Duties. A control machine that says nothing leaves the duty as it was; one of a former version never says anything.
const (
	DutyUnchanged   InstanceListDuty = iota
	ControlReads                     // the control machine, on behalf of the dispatcher
	DispatcherReads                  // the dispatcher itself: the control machine's readings fail
)

// TaggedCommand is a command with the dispatcher's name for it, which its Outcome repeats.
type TaggedCommand struct {
	Tag     uint64          `cbor:"1,keyasint"` // rises for as long as the dispatcher's process runs
	Command cbor.RawMessage `cbor:"3,keyasint"` // a statemachine.Command
}

// DispatcherMessage goes from a dispatcher to its control machine. An empty one is a heartbeat.
type DispatcherMessage struct {
	SessionRequest *SessionRequest `cbor:"1,keyasint,omitempty"`
	Commands       []TaggedCommand `cbor:"2,keyasint,omitempty"`
	ShuttingDown   bool            `cbor:"3,keyasint,omitempty"` // gracefully: the session may end at once
	// ConfigVersion acknowledges the configuration that is in force at the dispatcher.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// ReceivedBytes is how many bytes of messages the dispatcher has taken in on this connection.
	ReceivedBytes uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome answers a TaggedCommand once it is committed and applied, or refused.
type Outcome struct {
	Tag    uint64              `cbor:"1,keyasint"`
	Result statemachine.Result `cbor:"2,keyasint"`
}

// ControlMessage goes from a control machine to a dispatcher. An empty one is a heartbeat.
type ControlMessage struct {
	Session statemachine.SessionID `cbor:"1,keyasint,omitempty"` // set: the updates are a whole snapshot for this session
	// Updates are each a statemachine.Update, or a list of them from CompressUpdates.
	Updates          []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Outcomes         []Outcome         `cbor:"3,keyasint,omitempty"`
	ControlAddresses []string          `cbor:"4,keyasint,omitempty"` // of all control machines
	Rejected         bool              `cbor:"5,keyasint,omitempty"` // try another control machine
	InstanceListDuty InstanceListDuty  `cbor:"6,keyasint,omitempty"`
}

// PeerMessage goes from one control machine to another. It has a heartbeat with its sessions, or one of the others.
type PeerMessage struct {
	Heartbeat *view.Heartbeat `cbor:"1,keyasint,omitempty"`
	// ConnectedSessions are those of dispatchers that the sender hears, with a heartbeat.
	ConnectedSessions []statemachine.SessionID `cbor:"2,keyasint,omitempty"`
	// DisconnectedSessions are those of dispatchers whose connections to the sender ended all at once.
	DisconnectedSessions []statemachine.SessionID `cbor:"6,keyasint,omitempty"`
	View                 *view.Message            `cbor:"3,keyasint,omitempty"`
	Chain                *chain.Message           `cbor:"4,keyasint,omitempty"`
	CatchUpRequest       *chain.CatchUpRequest    `cbor:"7,keyasint,omitempty"`
	CatchUpResponse      *chain.CatchUpResponse   `cbor:"8,keyasint,omitempty"`
	// ForwardedProposals are for the head to order.
	ForwardedProposals []chain.Proposal `cbor:"5,keyasint,omitempty"`
}
