package view

// HardState is what a member must never forget. Whoever has lost it is another member. The host makes it durable
// before it sends any message that Ready returns with it.
type HardState struct {
	Self Member `cbor:"1,keyasint"`
	// InitialMember: the disk was formatted at the first start of the whole system, and its machine has not been an
	// elector yet.
	InitialMember  bool   `cbor:"2,keyasint,omitempty"`
	View           View   `cbor:"3,keyasint"` // in force
	PromisedBallot Ballot `cbor:"4,keyasint"` // for the epoch after View
	AcceptedBallot Ballot `cbor:"5,keyasint"`
	AcceptedView   *View  `cbor:"6,keyasint,omitempty"`
	CompleteEpoch  uint64 `cbor:"7,keyasint,omitempty"` // last epoch in which this member had the chain's complete log
	// LastRound is the newest round of an own ballot. It is durable before the ballot leaves, so that no later
	// incarnation of the member uses the ballot for another view.
	LastRound uint64 `cbor:"8,keyasint,omitempty"`
}

// Ready is what the host has to do: make HardState durable where it is set, then send.
type Ready struct {
	HardState *HardState
	Messages  []Envelope
	Decided   bool // HardState.View is new; it is in force once HardState is durable
}

// Consensus is one member's part in agreeing on views: acceptor, proposer and learner of Paxos. It is not safe for
// concurrent use.
type Consensus struct {
	hardState HardState
	proposal  *proposal // own, in progress; nil: none
	// rejectedRound is the highest round that an answer has named as promised to somebody else. A new ballot is above
	// it, so that a member that has missed rounds does not climb to them one by one.
	rejectedRound uint64
	ready         Ready
	changed       bool // hardState has changed since the last Ready
}

// NewConsensus returns a member's part in agreeing on views, with what its disk held.
func NewConsensus(hardState HardState) *Consensus { return &Consensus{hardState: hardState} }

// View returns the view in force.
func (c *Consensus) View() *View { return &c.hardState.View }

// HardState returns what this member must never forget.
func (c *Consensus) HardState() HardState { return c.hardState }

// Self returns this member.
func (c *Consensus) Self() Member { return c.hardState.Self }

// IsInitialMember reports whether this member was formatted at the system's first start and has not been an elector
// yet.
func (c *Consensus) IsInitialMember() bool { return c.hardState.InitialMember }

// EligibleAsHead reports whether this member has everything that was ever acknowledged: it is a writer, and has been
// complete in an epoch since it became one.
func (c *Consensus) EligibleAsHead() bool {
	view := c.View()
	position := view.ChainPosition(c.hardState.Self.ID)
	return position >= 0 && position < view.WriterCount() && c.hardState.CompleteEpoch >= view.Chain[position].WriterSince
}

// MarkComplete enters that this member has the complete log of the view in force.
func (c *Consensus) MarkComplete(epoch uint64) {
	if epoch == c.hardState.View.Epoch && epoch > c.hardState.CompleteEpoch {
		c.hardState.CompleteEpoch = epoch
		c.changed = true
	}
}

// Bootstrap sets the electors of the very first view. It has no effect once there is a view or there are electors, or
// on a disk that was not formatted at the system's first start: a machine with an empty disk must not make a second
// system.
func (c *Consensus) Bootstrap(electors []Member) {
	if c.hardState.InitialMember && c.hardState.View.Epoch == 0 && len(c.hardState.View.Electors) == 0 {
		c.hardState.View.Electors = electors
		c.changed = true
	}
}

// Tick is called at a steady pace; a proposal is given up after proposalTicks of them.
func (c *Consensus) Tick() {
	if c.proposal == nil {
		return
	}
	c.proposal.ticks++
	if c.proposal.ticks >= proposalTicks {
		c.proposal = nil
		return
	}
	c.maybeAccept()
}

// Receive takes in a message, also one from this member itself.
func (c *Consensus) Receive(from MemberID, message *Message) {
	switch {
	case message.Prepare != nil:
		c.receivePrepare(from, message.Prepare)
	case message.Promise != nil:
		c.receivePromise(from, message.Promise)
	case message.Accept != nil:
		c.receiveAccept(from, message.Accept)
	case message.Accepted != nil:
		c.receiveAccepted(from, message.Accepted)
	case message.Decided != nil:
		c.decide(message.Decided)
	}
}

// DecidedMessage returns the message that brings another member to the view in force.
func (c *Consensus) DecidedMessage() Message {
	view := c.hardState.View
	return Message{Decided: &view}
}

// Ready returns what is to be done since the last call.
func (c *Consensus) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	if c.changed {
		hardState := c.hardState
		ready.HardState = &hardState
		c.changed = false
	}
	return ready
}

// decide puts a decided view in force, unless it is older than the present one.
func (c *Consensus) decide(view *View) {
	if view.Epoch <= c.hardState.View.Epoch {
		return
	}
	c.hardState.View = *view
	c.hardState.PromisedBallot, c.hardState.AcceptedBallot, c.hardState.AcceptedView = Ballot{}, Ballot{}, nil
	if view.Epoch == 1 && view.ChainPosition(c.hardState.Self.ID) >= 0 {
		c.hardState.CompleteEpoch = 1 // nothing was written yet, so nothing is missing
	}
	if view.IsElector(c.hardState.Self.ID) {
		c.hardState.InitialMember = false
	}
	c.proposal = nil
	c.changed, c.ready.Decided = true, true
}

func (c *Consensus) send(to MemberID, message Message) {
	c.ready.Messages = append(c.ready.Messages, Envelope{to, message})
}

func (c *Consensus) sendToElectors(message Message) {
	for _, elector := range c.hardState.View.Electors {
		c.send(elector.ID, message)
	}
}
