package chain

// Entry is one entry of the log. The head of Epoch gives it its index; the pair names it for good.
type Entry struct {
	Index  uint64   `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Origin MemberID `cbor:"3,keyasint"` // the replica at which it was submitted
	Tag    uint64   `cbor:"4,keyasint"` // by which the origin recognises it
	Data   []byte   `cbor:"5,keyasint"`
}

// Read is a read on its way through the chain. The head makes it; the last writer confirms it.
type Read struct {
	Origin MemberID `cbor:"1,keyasint"` // the replica that is to answer it
	Tag    uint64   `cbor:"2,keyasint"` // by which the origin recognises it
	Index  uint64   `cbor:"3,keyasint"` // it may be answered once this entry is applied
}

// Proposal is an entry or a read that a replica asks the head to order.
type Proposal struct {
	Origin MemberID `cbor:"1,keyasint"`
	Tag    uint64   `cbor:"2,keyasint"`
	Read   bool     `cbor:"3,keyasint,omitempty"`
	Data   []byte   `cbor:"4,keyasint,omitempty"`
}

// Append goes from a member to its successor.
type Append struct {
	Epoch        uint64  `cbor:"1,keyasint"`
	PrevIndex    uint64  `cbor:"2,keyasint"` // of the entry before Entries; the receiver must have it
	PrevEpoch    uint64  `cbor:"3,keyasint"`
	Entries      []Entry `cbor:"4,keyasint,omitempty"`
	DurableIndex uint64  `cbor:"5,keyasint"` // all members before the receiver have the log durable up to here
	ViewStart    uint64  `cbor:"6,keyasint"` // the head's last index when the view began
	// PendingReads have not passed all writers yet.
	PendingReads []Read `cbor:"7,keyasint,omitempty"`
	CommitIndex  uint64 `cbor:"8,keyasint,omitempty"` // from the tail and followers only
	// ConfirmedReads are reads of followers that have passed all writers.
	ConfirmedReads []Read `cbor:"9,keyasint,omitempty"`
}

// Ack goes from a member to its predecessor.
type Ack struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	ReceivedIndex uint64 `cbor:"2,keyasint"` // the sender's log is the receiver's up to here; if Rejected, it may be
	// Rejected says that the sender's log lacks the entry before those of an Append.
	Rejected      bool   `cbor:"3,keyasint,omitempty"`
	RejectedIndex uint64 `cbor:"6,keyasint,omitempty"` // PrevIndex of the rejected Append
	CommitIndex   uint64 `cbor:"4,keyasint"`
	// ConfirmedReads have passed all writers, and go back to their origins.
	ConfirmedReads []Read `cbor:"5,keyasint,omitempty"`
	Diverged       bool   `cbor:"7,keyasint,omitempty"` // the sender takes no part in the view, see Divergence
}

// Snapshot is the state after one entry. A member sends it where its own log lacks what its successor needs next.
type Snapshot struct {
	Epoch      uint64 `cbor:"1,keyasint"` // of the view
	Index      uint64 `cbor:"2,keyasint"` // of the last entry that it covers
	IndexEpoch uint64 `cbor:"3,keyasint"` // of that entry
	Data       []byte `cbor:"4,keyasint"`
}

// Message is exactly one of the messages between neighbours in the chain.
type Message struct {
	Append   *Append   `cbor:"1,keyasint,omitempty"`
	Ack      *Ack      `cbor:"2,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"3,keyasint,omitempty"`
}

// Envelope is a message for another member.
type Envelope struct {
	To      MemberID
	Message Message
}
