// Package chain replicates an ordered log along a chain of replicas. The head
// gives entries their order and passes them on at once; every member writes them
// in parallel. The first members of the chain, as many as the view asks for, are
// its writers; the last of them is the chain's tail in the sense of the design:
// an entry is committed once it knows that all writers have it synced. Reads pass
// all writers too, so that a replica that was replaced can't answer one from an
// old state. The members behind the writers are followers: they learn of each
// entry and of each commit by the chain, and nothing waits for them.
//
// A Replica has no I/O, clock or randomness: the host hands it views, messages
// and finished writes, and carries out what Take returns.
package chain

import "slices"

// MemberID names a replica's disk; a replica that has lost its disk has another one.
type MemberID = uint64

// Entry is one entry of the log.
type Entry struct {
	Index  uint64   `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Origin MemberID `cbor:"3,keyasint"` // the replica at which it came in
	Tag    uint64   `cbor:"4,keyasint"` // the origin's name for it
	Data   []byte   `cbor:"5,keyasint"`
}

// Read is a read on its way through the chain.
type Read struct {
	Origin MemberID `cbor:"1,keyasint"`
	Tag    uint64   `cbor:"2,keyasint"`
	Index  uint64   `cbor:"3,keyasint"` // it may be answered once this entry is applied
}

// Proposal is what a replica wants the head to order.
type Proposal struct {
	Origin MemberID `cbor:"1,keyasint"`
	Tag    uint64   `cbor:"2,keyasint"`
	Read   bool     `cbor:"3,keyasint,omitempty"`
	Data   []byte   `cbor:"4,keyasint,omitempty"`
}

// Append goes from a member to its successor.
type Append struct {
	Epoch          uint64  `cbor:"1,keyasint"`
	PrevIndex      uint64  `cbor:"2,keyasint"`
	PrevEpoch      uint64  `cbor:"3,keyasint"`
	Entries        []Entry `cbor:"4,keyasint,omitempty"`
	Synced         uint64  `cbor:"5,keyasint"` // all members before the receiver have it durable up to here
	ViewStart      uint64  `cbor:"6,keyasint"` // the head's last entry when the view began
	PendingReads   []Read  `cbor:"7,keyasint,omitempty"`
	CommitIndex    uint64  `cbor:"8,keyasint,omitempty"` // to followers
	ConfirmedReads []Read  `cbor:"9,keyasint,omitempty"` // reads of followers that have passed all writers
}

// Ack goes from a member to its predecessor.
type Ack struct {
	Epoch          uint64 `cbor:"1,keyasint"`
	Received       uint64 `cbor:"2,keyasint"`
	Rejected       bool   `cbor:"3,keyasint,omitempty"` // the logs differ at Previous; go on behind Received
	RejectedIndex  uint64 `cbor:"6,keyasint,omitempty"` // of the Append that is rejected
	CommitIndex    uint64 `cbor:"4,keyasint"`
	ConfirmedReads []Read `cbor:"5,keyasint,omitempty"`
	Diverged       bool   `cbor:"7,keyasint,omitempty"` // the receiver's log contradicts what is committed here; no part is taken
}

// Snapshot brings a member up to an index that its predecessor's log has no more.
type Snapshot struct {
	Epoch      uint64 `cbor:"1,keyasint"`
	Index      uint64 `cbor:"2,keyasint"`
	IndexEpoch uint64 `cbor:"3,keyasint"`
	Data       []byte `cbor:"4,keyasint"`
}

// Message is one of the messages above.
type Message struct {
	Append   *Append   `cbor:"1,keyasint,omitempty"`
	Ack      *Ack      `cbor:"2,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"3,keyasint,omitempty"`
}

// View is the membership in force, as far as the chain needs it.
type View struct {
	Epoch       uint64
	Members     []MemberID
	WriterCount int // members at the front that must have an entry durable before it is committed; 0: all
}

// Envelope is a message for another member.
type Envelope struct {
	To      MemberID
	Message Message
}

// Write asks the host to make entries durable, in order, and to call Written then.
type Write struct {
	Entries    []Entry
	Generation uint64
}

// Ready is what the host has to carry out, in the order of the fields.
type Ready struct {
	Snapshot            *Snapshot // replace state and log by this, and call Restored once it is durable
	Writes              []Write
	Messages            []Envelope
	CommittedEntries    []Entry
	ConfirmedReads      []Read // of this replica's own, to be answered after Committed
	PersistCompleteness bool   // the view's log is here: persist that, and call CompletenessPersisted
}

// maxBatch bounds the bytes of entries in one Append, and maxFlight those without an acknowledgement.
const (
	maxBatch  = 256 << 10
	maxFlight = 1 << 20
)

// Replica is one member of the chain.
type Replica struct {
	me       MemberID
	minimum  int // members without which nothing is committed
	view     View
	position int // in the view; -1: no member

	base      uint64 // index that the snapshot covers
	baseEpoch uint64
	baseData  []byte
	log       []Entry

	generation uint64
	synced     uint64 // own durable part of the log
	received   uint64 // part that is known to be the predecessor's too
	before     uint64 // part that all members before have durable
	start      uint64
	started    bool
	complete   bool // the log of the view is here, and that is persisted
	completing bool
	committed  uint64
	diverged   *Divergence // this replica takes no part any more
	refused    bool        // the successor takes no part in the view

	compaction *compaction // that waits for the successor

	flight    flight
	next      uint64 // first entry not yet sent to the successor
	acked     uint64
	ackedAt   int // ticks since the successor's last progress
	rewound   bool
	rewoundTo uint64
	toldSync  uint64
	pending   []Read // reads to pass on
	held      []Read // reads that have passed all writers and wait for their entry
	confirmed []Read // of these, reads to pass on to followers
	out       Ready
	wantsSend bool
	ackDue    bool
	ackReads  []Read
}

// New returns a replica with the log that its disk held, and up to where that is known to be committed.
// It takes part in nothing before SetView.
func New(me MemberID, minimum int, base Snapshot, log []Entry, committed uint64) *Replica {
	r := &Replica{me: me, minimum: minimum, position: -1, base: base.Index, baseEpoch: base.IndexEpoch,
		baseData: base.Data, log: log}
	r.synced = r.LastIndex()
	r.committed = max(base.Index, min(committed, r.LastIndex()))
	return r
}

// LastIndex returns the index of the last entry.
func (r *Replica) LastIndex() uint64 { return r.base + uint64(len(r.log)) }

// CommitIndex returns the index up to which entries are committed as far as this replica knows.
func (r *Replica) CommitIndex() uint64 { return r.committed }

// Epoch returns the epoch of the view in force here.
func (r *Replica) Epoch() uint64 { return r.view.Epoch }

// IsHead reports whether this replica orders entries.
func (r *Replica) IsHead() bool { return r.position == 0 }

// IsMember reports whether this replica is part of the chain.
func (r *Replica) IsMember() bool { return r.position >= 0 }

// IsComplete reports whether all entries of the view's beginning are here.
func (r *Replica) IsComplete() bool { return r.complete }

// IsServing reports whether the replica's state follows what is committed.
func (r *Replica) IsServing() bool {
	return r.diverged == nil && r.position >= 0 && r.complete && len(r.view.Members) >= r.minimum && r.committed >= r.start
}

// Head returns the head of the view, or 0.
func (r *Replica) Head() MemberID {
	if len(r.view.Members) == 0 {
		return 0
	}
	return r.view.Members[0]
}

// writers returns how many members at the front must have an entry durable before it is committed.
func (r *Replica) writers() int {
	if r.view.WriterCount == 0 {
		return len(r.view.Members)
	}
	return min(r.view.WriterCount, len(r.view.Members))
}

// isTail reports whether this replica is the last of the writers, which commits.
func (r *Replica) isTail() bool { return r.position >= 0 && r.position == r.writers()-1 }

// isFollower reports whether nothing waits for this member.
func (r *Replica) isFollower() bool { return r.position >= r.writers() }

func (r *Replica) successor() MemberID {
	if r.position < 0 || r.position == len(r.view.Members)-1 {
		return 0
	}
	return r.view.Members[r.position+1]
}

func (r *Replica) predecessor() MemberID {
	if r.position <= 0 {
		return 0
	}
	return r.view.Members[r.position-1]
}

// epochOf returns the epoch of an entry that is here, or 0.
func (r *Replica) epochOf(index uint64) uint64 {
	switch {
	case index == r.base:
		return r.baseEpoch
	case index < r.base || index > r.LastIndex():
		return 0
	}
	return r.log[index-r.base-1].Epoch
}

// SetView puts a newer view in force.
func (r *Replica) SetView(view View) {
	if view.Epoch <= r.view.Epoch {
		return
	}
	r.view = View{view.Epoch, slices.Clone(view.Members), view.WriterCount}
	r.position = slices.Index(view.Members, r.me)
	r.received, r.before, r.acked, r.toldSync, r.ackedAt = 0, 0, 0, 0, 0
	r.started, r.complete, r.completing, r.start = false, false, false, 0
	r.rewound, r.refused = false, false
	r.flight = flight{}
	r.pending, r.held, r.confirmed, r.ackReads = nil, nil, nil, nil
	r.next = r.LastIndex() + 1
	if r.IsHead() {
		r.received, r.start, r.started = r.LastIndex(), r.LastIndex(), true
		r.wantsSend = true
	}
	r.advance()
}

// Propose orders new entries and reads at the head. It reports whether this replica is the head.
func (r *Replica) Propose(proposals []Proposal) bool {
	if !r.IsHead() || r.diverged != nil {
		return false
	}
	var entries []Entry
	for _, proposal := range proposals {
		if proposal.Read {
			r.pending = append(r.pending, Read{proposal.Origin, proposal.Tag, r.LastIndex()})
			continue
		}
		entry := Entry{r.LastIndex() + 1, r.view.Epoch, proposal.Origin, proposal.Tag, proposal.Data}
		r.log = append(r.log, entry)
		entries = append(entries, entry)
	}
	if len(entries) > 0 {
		r.received = r.LastIndex()
		r.out.Writes = append(r.out.Writes, Write{entries, r.generation})
	}
	r.wantsSend = true
	r.advance()
	return true
}

// EntriesPersisted tells that entries of a Write are durable up to the index.
func (r *Replica) EntriesPersisted(index, generation uint64) {
	if generation != r.generation || index <= r.synced {
		return
	}
	r.synced = min(index, r.LastIndex())
	r.advance()
}

// durable returns the index up to which this member and all before it have the log durable.
func (r *Replica) durable() uint64 {
	if !r.complete {
		return 0
	}
	own := min(r.synced, r.received)
	if r.IsHead() {
		return own
	}
	return min(own, r.before)
}

// advance draws what follows from the present figures.
func (r *Replica) advance() {
	if r.position < 0 || r.diverged != nil {
		return
	}
	if r.started && !r.completing && min(r.synced, r.received) >= r.start {
		r.completing, r.out.PersistCompleteness = true, true
	}
	if r.isTail() && len(r.view.Members) >= r.minimum {
		if durable := r.durable(); durable > r.committed {
			r.commit(durable)
		}
	}
	if r.isTail() {
		r.held = append(r.held, r.pending...)
		r.pending = nil
	}
	r.releaseReads()
	if r.durable() > r.toldSync && r.position < r.writers()-1 {
		r.wantsSend = true
	}
}

// releaseReads lets go the reads whose entry is committed, at the tail and behind it.
func (r *Replica) releaseReads() {
	if len(r.held) == 0 || !r.IsServing() {
		return
	}
	done := 0
	for done < len(r.held) && r.held[done].Index <= r.committed {
		done++
	}
	reads := r.held[:done]
	r.held = r.held[done:]
	r.finishReads(reads)
}

// finishReads answers the reads of this member, and passes the others on to where they came in.
func (r *Replica) finishReads(reads []Read) {
	for _, read := range reads {
		switch {
		case read.Origin == r.me:
			r.out.ConfirmedReads = append(r.out.ConfirmedReads, read)
		case slices.Index(r.view.Members, read.Origin) > r.position:
			r.confirmed = append(r.confirmed, read)
			r.wantsSend = true
		case r.predecessor() != 0 && !r.isFollower():
			r.ackReads = append(r.ackReads, read)
			r.ackDue = true
		}
	}
}

func (r *Replica) commit(index uint64) {
	if index <= r.committed {
		return
	}
	r.out.CommittedEntries = append(r.out.CommittedEntries, r.log[r.committed-r.base:index-r.base]...)
	r.committed = index
	if r.isTail() || r.isFollower() {
		r.wantsSend = true // its successor learns of commits by this member alone
	}
	if !r.isFollower() {
		r.ackDue = true
	}
}

// compaction is a durable snapshot that is to take the place of entries here.
type compaction struct {
	index uint64
	data  []byte
}

// Compact tells that a snapshot of the state after an entry is durable here. The entries that it covers are dropped
// once the successor has them: a follower may lack some that are committed, and these are less than a snapshot.
func (r *Replica) Compact(index uint64, data []byte) {
	r.compaction = &compaction{index, data}
	r.compact()
}

func (r *Replica) compact() {
	if r.compaction == nil || r.successor() != 0 && r.acked < r.compaction.index {
		return
	}
	index, data := r.compaction.index, r.compaction.data
	r.compaction = nil
	if index <= r.base || index > r.committed {
		return
	}
	r.baseEpoch = r.epochOf(index)
	r.log = slices.Clone(r.log[index-r.base:])
	r.base, r.baseData = index, data
}

// EpochAt returns the epoch of a committed entry, for its snapshot.
func (r *Replica) EpochAt(index uint64) uint64 { return r.epochOf(index) }
