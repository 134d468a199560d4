// Package protocol defines the messages between dispatchers and control machines, and those between control machines. All
// messages are sent as CBOR in frames.
//
// The CBOR keys are the protocol. Versions are mixed during a rolling upgrade, so a key never changes its meaning, and the
// zero value of a new field must stand for the behaviour of versions that lack the field. The package makes no decisions:
// messages are handled in internal/control/server, internal/dispatcher and the packages whose types they contain. A decoded
// message is limited in size and depth, but it may be incomplete or malicious.
package protocol

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// HTTP paths of a control machine at which connections are upgraded to frames.
const (
	PeerPath       = "/internal/core"       // used by other control machines: PeerMessage
	DispatcherPath = "/internal/dispatcher" // used by dispatchers: DispatcherMessage and ControlMessage
)

// SessionRequest opens a dispatcher's session, or resumes the session of the same incarnation on another connection. It
// is in the first message of a connection.
type SessionRequest struct {
	Node        string `cbor:"1,keyasint"` // the dispatcher's machine
	Zone        string `cbor:"2,keyasint"` // its failure domain
	Incarnation uint64 `cbor:"3,keyasint"` // of the dispatcher's process
	// ConfigVersion is the version of the dispatcher's configuration, so that it need not be sent again.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// AcknowledgesBytes is set if the dispatcher reports ReceivedBytes, so that the control machine may delay updates that
	// are not urgent until the dispatcher has received the earlier ones.
	AcknowledgesBytes bool `cbor:"5,keyasint,omitempty"`
	// DelegatesInstanceList is set if the dispatcher does not read the platform's instance list itself while its control
	// machine reads it (see InstanceListDuty).
	DelegatesInstanceList bool `cbor:"6,keyasint,omitempty"`
}

// InstanceListDuty specifies which process reads the platform's instance list while a dispatcher is the InstanceReader.
type InstanceListDuty uint8

// Values of InstanceListDuty. Control machines of earlier versions send only DutyUnchanged, the zero value.
const (
	DutyUnchanged   InstanceListDuty = iota // as in the last message that assigned the duty
	ControlReads                            // the control machine, on behalf of the dispatcher
	DispatcherReads                         // the dispatcher itself, since the control machine can't read the list
)

// TaggedCommand is a command with a tag that its Outcome repeats.
type TaggedCommand struct {
	Tag     uint64          `cbor:"1,keyasint"` // unique and increasing within the dispatcher's process
	Command cbor.RawMessage `cbor:"3,keyasint"` // a statemachine.Command
}

// DispatcherMessage goes from a dispatcher to its control machine. An empty one is a heartbeat.
type DispatcherMessage struct {
	SessionRequest *SessionRequest `cbor:"1,keyasint,omitempty"`
	Commands       []TaggedCommand `cbor:"2,keyasint,omitempty"`
	ShuttingDown   bool            `cbor:"3,keyasint,omitempty"` // graceful shutdown: the session may be closed immediately
	// ConfigVersion acknowledges the configuration that the dispatcher has put in force.
	ConfigVersion int64 `cbor:"4,keyasint,omitempty"`
	// ReceivedBytes is the number of message bytes that the dispatcher has received on this connection.
	ReceivedBytes uint64 `cbor:"5,keyasint,omitempty"`
	// Abandoned contains the tags of commands of this connection whose outcomes the dispatcher no longer waits for. They
	// need not be proposed again.
	Abandoned []uint64 `cbor:"6,keyasint,omitempty"`
}

// Outcome answers a TaggedCommand once it is committed and applied, or rejected.
type Outcome struct {
	Tag    uint64              `cbor:"1,keyasint"`
	Result statemachine.Result `cbor:"2,keyasint"`
}

// ControlMessage goes from a control machine to a dispatcher. An empty one is a heartbeat.
type ControlMessage struct {
	Session statemachine.SessionID `cbor:"1,keyasint,omitempty"` // if set, the updates are a full snapshot for this session
	// Updates contains single statemachine.Update values, and lists of them that CompressUpdates has compressed.
	Updates          []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Outcomes         []Outcome         `cbor:"3,keyasint,omitempty"`
	ControlAddresses []string          `cbor:"4,keyasint,omitempty"` // of all control machines
	Rejected         bool              `cbor:"5,keyasint,omitempty"` // try another control machine
	InstanceListDuty InstanceListDuty  `cbor:"6,keyasint,omitempty"`
	// OpenJobs is the digest of the dispatcher's open jobs after all updates sent so far. A dispatcher whose own digest differs
	// has missed something, and connects again. Control machines of earlier versions don't send it.
	OpenJobs *job.Digest `cbor:"7,keyasint,omitempty"`
}

// PeerMessage goes from one control machine to another. It contains a heartbeat with sessions, or one of the other fields.
type PeerMessage struct {
	Heartbeat *view.Heartbeat `cbor:"1,keyasint,omitempty"`
	// ConnectedSessions contains the sessions of dispatchers whose heartbeats the sender receives. It is set in heartbeats.
	ConnectedSessions []statemachine.SessionID `cbor:"2,keyasint,omitempty"`
	// DisconnectedSessions contains the sessions of dispatchers whose connections to the sender have ended other than by a
	// timeout.
	DisconnectedSessions []statemachine.SessionID `cbor:"6,keyasint,omitempty"`
	View                 *view.Message            `cbor:"3,keyasint,omitempty"`
	Chain                *chain.Message           `cbor:"4,keyasint,omitempty"`
	CatchUpRequest       *chain.CatchUpRequest    `cbor:"7,keyasint,omitempty"`
	CatchUpResponse      *chain.CatchUpResponse   `cbor:"8,keyasint,omitempty"`
	// ForwardedProposals are sent to the head of the chain, which orders them.
	ForwardedProposals []chain.Proposal `cbor:"5,keyasint,omitempty"`
	// SupportedRules is the newest version of the state machine's rules that the sender supports. It is set in heartbeats.
	SupportedRules statemachine.RulesVersion `cbor:"9,keyasint,omitempty"`
}
