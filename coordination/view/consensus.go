package view

// HardState is the state that a member must have on its disk. A machine that loses it starts again as another member. The
// host makes it durable before it sends any message that Ready returns with it.
type HardState struct {
	Self Member `cbor:"1,keyasint"`
	// InitialMember is true if the disk was formatted at the first start of the whole system and the member has not been
	// an elector yet.
	InitialMember  bool   `cbor:"2,keyasint,omitempty"`
	View           View   `cbor:"3,keyasint"` // the view in force
	PromisedBallot Ballot `cbor:"4,keyasint"` // for the epoch after View
	AcceptedBallot Ballot `cbor:"5,keyasint"`
	AcceptedView   *View  `cbor:"6,keyasint,omitempty"`
	CompleteEpoch  uint64 `cbor:"7,keyasint,omitempty"` // last epoch in which this member had the chain's complete log
	// LastRound is the highest round of this member's own ballots. It is durable before the ballot is sent, so that no
	// later incarnation of the member uses the same ballot for another view.
	LastRound uint64 `cbor:"8,keyasint,omitempty"`
	// SealedEpoch is the last epoch in which this member has promised never to become complete.
	SealedEpoch uint64 `cbor:"9,keyasint,omitempty"`
	// ExactSince is the first epoch for which CompleteEpoch is exact: in this and later epochs, the member has confirmed
	// nothing before its completeness was recorded. It is 0 on a disk that an earlier build has written.
	ExactSince uint64 `cbor:"10,keyasint,omitempty"`
}

// Ready lists the host's pending work: it makes HardState durable if that is set, and then sends Messages.
type Ready struct {
	HardState *HardState
	Messages  []Envelope
	Decided   bool // HardState.View is new and comes into force once HardState is durable
}

// Consensus implements the Paxos acceptor, proposer and learner of one member. It is not safe for concurrent use.
type Consensus struct {
	hardState HardState
	proposal  *proposal // this member's proposal in progress, or nil
	// rejectedRound is the highest round that a rejection has named. The next ballot uses a higher one, so that a member
	// that has missed rounds does not retry them one by one.
	rejectedRound uint64
	obstacle      *Obstacle // why the last proposal for the next view has failed, or nil
	activeEpoch   uint64    // a view of this or a later epoch is known to have been active
	ready         Ready
	changed       bool // hardState has changed since the last Ready
}

// NewConsensus returns the Paxos state of a member whose disk holds the given hard state.
func NewConsensus(hardState HardState) *Consensus {
	if hardState.ExactSince == 0 {
		hardState.ExactSince = hardState.View.Epoch + 1
	}
	return &Consensus{hardState: hardState}
}

// View returns the view in force.
func (c *Consensus) View() *View { return &c.hardState.View }

// HardState returns the state that this member must have on its disk.
func (c *Consensus) HardState() HardState { return c.hardState }

// Self returns the member that this Consensus belongs to.
func (c *Consensus) Self() Member { return c.hardState.Self }

// IsInitialMember reports whether this member was formatted at the system's first start and has not been an elector
// yet.
func (c *Consensus) IsInitialMember() bool { return c.hardState.InitialMember }

// EligibleAsHead reports whether this member certainly has every acknowledged entry: it is a writer, and had the complete
// log in some epoch since it became one.
func (c *Consensus) EligibleAsHead() bool {
	view := c.View()
	position := view.ChainPosition(c.hardState.Self.ID)
	return position >= 0 && position < view.WriterCount() && c.hardState.CompleteEpoch >= view.Chain[position].WriterSince
}

// MarkComplete records that this member has the complete log of the view of the given epoch, and reports whether that is
// recorded. It is not if another view is in force or this member is sealed: the member must not confirm anything then.
func (c *Consensus) MarkComplete(epoch uint64) bool {
	if epoch == c.hardState.View.Epoch && epoch > c.hardState.CompleteEpoch && !c.IsSealed() {
		c.hardState.CompleteEpoch = epoch
		c.changed = true
	}
	return epoch == c.hardState.CompleteEpoch
}

// IsSealed reports whether this member has promised to take no further part in the view in force, in which it was not
// complete. The host must keep its replica out of that view before it sends the promise.
func (c *Consensus) IsSealed() bool {
	return c.hardState.SealedEpoch > 0 && c.hardState.SealedEpoch == c.hardState.View.Epoch
}

// RecordActive records that a view of an epoch, or a later view, is known to have been active.
func (c *Consensus) RecordActive(epoch uint64) { c.activeEpoch = max(c.activeEpoch, epoch) }

// Obstacle returns why the last proposal of this member for the next view has failed, or nil.
func (c *Consensus) Obstacle() *Obstacle { return c.obstacle }

// Bootstrap sets the electors that decide the first view. It has no effect once a view has been decided or electors are
// set, nor on a disk that was not formatted at the system's first start: a machine with an empty disk must not found a
// second system.
func (c *Consensus) Bootstrap(electors []Member) {
	if c.hardState.InitialMember && c.hardState.View.Epoch == 0 && len(c.hardState.View.Electors) == 0 {
		c.hardState.View.Electors = electors
		c.changed = true
	}
}

// Tick must be called at a regular interval. It abandons a proposal after proposalTicks calls; before that, it starts
// phase 2 once the proposal has waited long enough for expected promises.
func (c *Consensus) Tick() {
	if c.proposal == nil {
		return
	}
	c.proposal.ticks++
	if c.proposal.ticks >= proposalTicks {
		c.obstacle = c.proposal.obstacle(c.View())
		c.proposal = nil
		return
	}
	c.maybeAccept()
}

// Receive handles a message from another member or from this member itself.
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

// DecidedMessage returns the message that informs another member of the view in force.
func (c *Consensus) DecidedMessage() Message {
	view := c.hardState.View
	return Message{Decided: &view}
}

// Ready returns the work that has become pending since the last call.
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

// decide puts a decided view in force unless the present one is the same or newer.
func (c *Consensus) decide(view *View) {
	if view.Epoch <= c.hardState.View.Epoch {
		return
	}
	c.hardState.View = *view
	c.hardState.PromisedBallot, c.hardState.AcceptedBallot, c.hardState.AcceptedView = Ballot{}, Ballot{}, nil
	if view.Epoch == 1 && view.ChainPosition(c.hardState.Self.ID) >= 0 {
		c.hardState.CompleteEpoch = 1 // the first view starts with an empty log, which is complete
	}
	if view.IsElector(c.hardState.Self.ID) {
		c.hardState.InitialMember = false
	}
	c.proposal, c.obstacle = nil, nil
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
