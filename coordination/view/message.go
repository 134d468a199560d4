package view

// Ballot is the proposal number of Paxos. It orders the proposals of one epoch.
type Ballot struct {
	Round    uint64   `cbor:"1,keyasint,omitempty"`
	Proposer MemberID `cbor:"2,keyasint,omitempty"` // makes the ballots of different proposers distinct
}

func (b Ballot) less(other Ballot) bool {
	return b.Round < other.Round || b.Round == other.Round && b.Proposer < other.Proposer
}

// Prepare asks an elector for a promise: phase 1a of Paxos. It carries the view that the proposal is to follow.
type Prepare struct {
	BaseView View   `cbor:"1,keyasint"`
	Ballot   Ballot `cbor:"2,keyasint"`
	// Seal asks a member that is not complete in the base view never to become so, and to take no further part in that view.
	// A proposal asks for it once an earlier one has found no member that may head the next view.
	Seal bool `cbor:"3,keyasint,omitempty"`
}

// Promise answers a Prepare: phase 1b. Unless it is a rejection, its sender no longer accepts views under lower ballots.
type Promise struct {
	BaseEpoch      uint64 `cbor:"1,keyasint"`
	Ballot         Ballot `cbor:"2,keyasint"`
	AcceptedBallot Ballot `cbor:"3,keyasint,omitempty"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"` // accepted under AcceptedBallot, or nil
	EligibleAsHead bool   `cbor:"5,keyasint,omitempty"` // see Consensus.EligibleAsHead
	Rejected       bool   `cbor:"6,keyasint,omitempty"` // no promise: Ballot is the higher one already promised
	// Completeness is nil if the sender is of an earlier build, which neither seals nor records its completeness exactly.
	Completeness *Completeness `cbor:"7,keyasint,omitempty"`
}

// Accept asks an elector to accept a view: phase 2a.
type Accept struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
	View      View   `cbor:"3,keyasint"`
}

// Accepted answers an Accept that was accepted: phase 2b.
type Accepted struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
}

// Message holds exactly one of the messages of Paxos. Decided informs a learner of a decided view.
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
