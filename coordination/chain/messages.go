package chain

// Entry is one entry of the log. The head of the view with number Epoch assigns the index; Index and Epoch together
// identify the entry.
type Entry struct {
	Index  uint64   `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Origin MemberID `cbor:"3,keyasint"` // the replica at which the entry was submitted
	Tag    uint64   `cbor:"4,keyasint"` // identifies the entry to its origin
	Data   []byte   `cbor:"5,keyasint"`
}

// Read is a read request that is passed along the chain. The head creates it; the last writer confirms it.
type Read struct {
	Origin MemberID `cbor:"1,keyasint"` // the replica at which the read was submitted and which answers it
	Tag    uint64   `cbor:"2,keyasint"` // identifies the read to its origin
	Index  uint64   `cbor:"3,keyasint"` // the read may be answered once the entry at this index is applied
}

// Proposal is an entry or a read that a replica asks the head to order.
type Proposal struct {
	Origin MemberID `cbor:"1,keyasint"`
	Tag    uint64   `cbor:"2,keyasint"`
	Read   bool     `cbor:"3,keyasint,omitempty"`
	Data   []byte   `cbor:"4,keyasint,omitempty"`
}

// Append carries entries, indexes and reads from a member to its successor.
type Append struct {
	Epoch        uint64  `cbor:"1,keyasint"`
	PrevIndex    uint64  `cbor:"2,keyasint"` // of the entry before Entries; the receiver must have that entry
	PrevEpoch    uint64  `cbor:"3,keyasint"`
	Entries      []Entry `cbor:"4,keyasint,omitempty"`
	DurableIndex uint64  `cbor:"5,keyasint"` // the log is durable up to here at all members before the receiver
	ViewStart    uint64  `cbor:"6,keyasint"` // the head's last index when the view began
	// PendingReads are reads that have not passed all writers yet.
	PendingReads []Read `cbor:"7,keyasint,omitempty"`
	CommitIndex  uint64 `cbor:"8,keyasint,omitempty"` // set only by the tail and by followers
	// ConfirmedReads are reads of followers that have passed all writers.
	ConfirmedReads []Read `cbor:"9,keyasint,omitempty"`
}

// Ack carries progress and confirmed reads from a member to its predecessor.
type Ack struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	ReceivedIndex uint64 `cbor:"2,keyasint"` // both members' logs are equal up to here; if Rejected, they may be
	// Rejected is set if the sender's log lacks the entry that precedes the entries of an Append.
	Rejected      bool   `cbor:"3,keyasint,omitempty"`
	RejectedIndex uint64 `cbor:"6,keyasint,omitempty"` // PrevIndex of the rejected Append
	CommitIndex   uint64 `cbor:"4,keyasint"`
	// ConfirmedReads are reads that have passed all writers, on the way back to their origins.
	ConfirmedReads []Read `cbor:"5,keyasint,omitempty"`
	Diverged       bool   `cbor:"7,keyasint,omitempty"` // the sender does not take part in the view, see Divergence
	Installed      bool   `cbor:"8,keyasint,omitempty"` // the sender has just installed the view
}

// Snapshot is the state after the entry at Index. A member sends it if its own log no longer has the next entry that its
// successor needs.
type Snapshot struct {
	Epoch      uint64 `cbor:"1,keyasint"` // of the view
	Index      uint64 `cbor:"2,keyasint"` // of the last entry that the snapshot covers
	IndexEpoch uint64 `cbor:"3,keyasint"` // of that entry
	Data       []byte `cbor:"4,keyasint"`
}

// Message is a message between neighbours in the chain; exactly one field is set.
type Message struct {
	Append   *Append   `cbor:"1,keyasint,omitempty"`
	Ack      *Ack      `cbor:"2,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"3,keyasint,omitempty"`
}

// Envelope is a message with the member that it is addressed to.
type Envelope struct {
	To      MemberID
	Message Message
}
