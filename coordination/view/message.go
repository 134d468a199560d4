package view

// Ballot is Paxos' proposal number: it orders the proposals of one epoch.
type Ballot struct {
	Round    uint64   `cbor:"1,keyasint,omitempty"`
	Proposer MemberID `cbor:"2,keyasint,omitempty"` // makes ballots of different proposers differ
}

func (b Ballot) less(other Ballot) bool {
	return b.Round < other.Round || b.Round == other.Round && b.Proposer < other.Proposer
}

// Prepare asks an elector for a promise: phase 1a of Paxos. It brings the view that it builds on.
type Prepare struct {
	BaseView View   `cbor:"1,keyasint"`
	Ballot   Ballot `cbor:"2,keyasint"`
}

// Promise answers a Prepare: phase 1b. Its sender accepts nothing under a lower ballot any more.
type Promise struct {
	BaseEpoch      uint64 `cbor:"1,keyasint"`
	Ballot         Ballot `cbor:"2,keyasint"`
	AcceptedBallot Ballot `cbor:"3,keyasint,omitempty"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"` // under AcceptedBallot; nil: none
	EligibleAsHead bool   `cbor:"5,keyasint,omitempty"` // the sender has everything that was ever acknowledged
	Rejected       bool   `cbor:"6,keyasint,omitempty"` // no promise: Ballot is the one promised to somebody else
}

// Accept asks an elector to accept a view: phase 2a.
type Accept struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
	View      View   `cbor:"3,keyasint"`
}

// Accepted answers an Accept: phase 2b.
type Accepted struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
}

// Message is exactly one of the messages of Paxos. Decided is a view in force.
type Message struct {
	Prepare  *Prepare  `cbor:"1,keyasint,omitempty"`
	Promise  *Promise  `cbor:"2,keyasint,omitempty"`
	Accept   *Accept   `cbor:"3,keyasint,omitempty"`
	Accepted *Accepted `cbor:"4,keyasint,omitempty"`
	Decided  *View     `cbor:"5,keyasint,omitempty"`
}

// Envelope is a message for another member, or for the sender itself.
type Envelope struct {
	To      MemberID
	Message Message
}
