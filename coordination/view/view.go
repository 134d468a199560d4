// Package view keeps the agreed membership view of a cluster: which machines
// form the chain, in which order, and which machines may agree on the next view.
// Views are numbered by epoch, and each is decided by a majority of the machines
// that the view before names, one round of Paxos for each epoch.
//
// The package has no I/O, clock or randomness. A Register is handed messages and
// returns what to persist and, after that, what to send.
package view

import "slices"

// MemberID names a machine's disk. A machine that has lost its disk is another member.
type MemberID = uint64

// Member is one machine.
type Member struct {
	ID          MemberID `cbor:"1,keyasint"`
	Node        string   `cbor:"2,keyasint"`
	Address     string   `cbor:"3,keyasint"`
	Zone        string   `cbor:"4,keyasint"`
	WriterSince uint64   `cbor:"5,keyasint,omitempty"` // epoch since which it has been among the chain's writers without a break
}

// View is one membership view.
type View struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Chain    []Member `cbor:"2,keyasint,omitempty"` // head first
	Electors []Member `cbor:"3,keyasint,omitempty"` // those who agree on the next view
	// ReplicationFactor is how many members at the front of the chain must have an entry durable before it is committed. Those
	// behind them follow: they take part in everything else. 0 stands for all.
	ReplicationFactor int `cbor:"4,keyasint,omitempty"`
}

// WriterCount returns how many members at the front of the chain must have an entry before it is committed.
func (v *View) WriterCount() int {
	if v.ReplicationFactor == 0 {
		return len(v.Chain)
	}
	return min(v.ReplicationFactor, len(v.Chain))
}

// IsWriter reports whether each entry that is committed in this view must be durable at the member.
func (v *View) IsWriter(id MemberID) bool {
	at := v.ChainPosition(id)
	return at >= 0 && at < v.WriterCount()
}

// copies returns how many copies of each entry there have to be: as many as a chain needs at least, and so many that
// every majority of the electors has one of them.
func copies(least, electors int) int { return max(least, electors-electors/2) }

// ChainPosition returns the member's place in the chain, or -1.
func (v *View) ChainPosition(id MemberID) int {
	return slices.IndexFunc(v.Chain, func(m Member) bool { return m.ID == id })
}

// IsElector reports whether the member may agree on the next view.
func (v *View) IsElector(id MemberID) bool {
	return slices.ContainsFunc(v.Electors, func(m Member) bool { return m.ID == id })
}

// Ballot orders the attempts to decide one epoch.
type Ballot struct {
	Round    uint64   `cbor:"1,keyasint,omitempty"`
	Proposer MemberID `cbor:"2,keyasint,omitempty"`
}

func (b Ballot) less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Proposer < o.Proposer
}

// HardState is what a member must never forget. Whoever has lost it is another member.
type HardState struct {
	Self           Member `cbor:"1,keyasint"`
	InitialMember  bool   `cbor:"2,keyasint,omitempty"` // formatted at the first start of the whole system, and no elector yet
	View           View   `cbor:"3,keyasint"`
	PromisedBallot Ballot `cbor:"4,keyasint"` // for the epoch behind View
	AcceptedBallot Ballot `cbor:"5,keyasint"`
	AcceptedView   *View  `cbor:"6,keyasint,omitempty"`
	CompleteEpoch  uint64 `cbor:"7,keyasint,omitempty"` // last epoch in which this member had the chain's whole log
	// LastRound is the newest round of an own ballot. It is durable before the ballot leaves, so that no later life of
	// the member uses the ballot for another view.
	LastRound uint64 `cbor:"8,keyasint,omitempty"`
}

// Prepare asks for a promise. It brings the view that it builds on.
type Prepare struct {
	BaseView View   `cbor:"1,keyasint"`
	Ballot   Ballot `cbor:"2,keyasint"`
}

// Promise answers a Prepare.
type Promise struct {
	BaseEpoch      uint64 `cbor:"1,keyasint"`
	Ballot         Ballot `cbor:"2,keyasint"`
	AcceptedBallot Ballot `cbor:"3,keyasint,omitempty"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"`
	EligibleAsHead bool   `cbor:"5,keyasint,omitempty"` // has everything that was ever acknowledged
	Rejected       bool   `cbor:"6,keyasint,omitempty"` // Ballot is the one promised to somebody else
}

// Accept asks to accept a view.
type Accept struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
	View      View   `cbor:"3,keyasint"`
}

// Accepted answers an Accept.
type Accepted struct {
	BaseEpoch uint64 `cbor:"1,keyasint"`
	Ballot    Ballot `cbor:"2,keyasint"`
}

// Message is one of the register's messages; Decided is a view in force.
type Message struct {
	Prepare  *Prepare  `cbor:"1,keyasint,omitempty"`
	Promise  *Promise  `cbor:"2,keyasint,omitempty"`
	Accept   *Accept   `cbor:"3,keyasint,omitempty"`
	Accepted *Accepted `cbor:"4,keyasint,omitempty"`
	Decided  *View     `cbor:"5,keyasint,omitempty"`
}

// Envelope is a message for another member, or for the register itself.
type Envelope struct {
	To      MemberID
	Message Message
}

// Ready says what to do: persist Save where it is set, then send.
type Ready struct {
	HardState *HardState
	Messages  []Envelope
	Decided   bool // Durable.View is new; in force once Save is durable
}

// Consensus is one member's part in agreeing on views.
type Consensus struct {
	durable  HardState
	proposal *proposal
	refused  uint64 // highest round that an answer has named as promised to somebody else
	out      Ready
	changed  bool
}

type proposal struct {
	ballot   Ballot
	wish     View
	least    int
	expected []MemberID
	promises map[MemberID]*Promise
	accepts  map[MemberID]bool
	view     *View // set once it is asked to be accepted
	waited   int
}

// NewConsensus returns a register with what the disk held.
func NewConsensus(durable HardState) *Consensus { return &Consensus{durable: durable} }

// View returns the view in force.
func (r *Consensus) View() *View { return &r.durable.View }

// HardState returns what this member must never forget.
func (r *Consensus) HardState() HardState { return r.durable }

// Self returns this member.
func (r *Consensus) Self() Member { return r.durable.Self }

// IsInitialMember reports whether this member was formatted at the system's first start and has not been an elector yet.
func (r *Consensus) IsInitialMember() bool { return r.durable.InitialMember }

// EligibleAsHead reports whether this member has everything that was ever acknowledged.
func (r *Consensus) EligibleAsHead() bool {
	view := &r.durable.View
	at := view.ChainPosition(r.durable.Self.ID)
	return at >= 0 && at < view.WriterCount() && r.durable.CompleteEpoch >= view.Chain[at].WriterSince
}

// MarkComplete enters that this member has the whole log of the view in force.
func (r *Consensus) MarkComplete(epoch uint64) {
	if epoch == r.durable.View.Epoch && epoch > r.durable.CompleteEpoch {
		r.durable.CompleteEpoch = epoch
		r.changed = true
	}
}

// Bootstrap sets the electors of the very first view; it has no effect once there is a view.
func (r *Consensus) Bootstrap(electors []Member) {
	if r.durable.InitialMember && r.durable.View.Epoch == 0 && len(r.durable.View.Electors) == 0 {
		r.durable.View.Electors = electors
		r.changed = true
	}
}

// IsProposing reports whether a proposal is under way.
func (r *Consensus) IsProposing() bool { return r.proposal != nil }

// Propose begins to agree on a next view. The wish names the chain and the electors;
// members of the present chain that do not answer are left out, and expected are
// those whose answers are worth waiting for. Where fewer than least are left,
// members of the present chain that answer are kept though the wish lacks them.
func (r *Consensus) Propose(wish View, expected []MemberID, least int) {
	r.durable.LastRound = max(r.durable.LastRound, r.refused, r.durable.PromisedBallot.Round) + 1
	r.changed = true
	r.proposal = &proposal{
		ballot:   Ballot{r.durable.LastRound, r.durable.Self.ID},
		wish:     wish,
		least:    least,
		expected: expected,
		promises: map[MemberID]*Promise{},
		accepts:  map[MemberID]bool{},
	}
	r.toElectors(Message{Prepare: &Prepare{r.durable.View, r.proposal.ballot}})
}

func (r *Consensus) toElectors(message Message) {
	for _, elector := range r.durable.View.Electors {
		r.out.Messages = append(r.out.Messages, Envelope{elector.ID, message})
	}
}

// proposalTicks bounds how long a proposal may take before it is given up, and
// patience how long it waits for expected answers beyond a majority. One that leaves
// nobody out is not urgent, and a member that is only busy must not fall out by it.
const (
	proposalTicks = 8
	patience      = 1
	calmPatience  = 4
)

// Tick is called at a steady pace.
func (r *Consensus) Tick() {
	if r.proposal == nil {
		return
	}
	r.proposal.waited++
	if r.proposal.waited >= proposalTicks {
		r.proposal = nil
		return
	}
	r.tryAccept()
}

// Receive takes in a message, also one from this member itself.
func (r *Consensus) Receive(from MemberID, message *Message) {
	switch {
	case message.Prepare != nil:
		r.prepare(from, message.Prepare)
	case message.Promise != nil:
		r.promise(from, message.Promise)
	case message.Accept != nil:
		r.accept(from, message.Accept)
	case message.Accepted != nil:
		r.accepted(from, message.Accepted)
	case message.Decided != nil:
		r.decide(message.Decided)
	}
}

// adopt takes over a newer view that a message brings, and reports whether the
// sender's view is the one in force here.
func (r *Consensus) adopt(from MemberID, base *View) bool {
	if base.Epoch > r.durable.View.Epoch {
		r.decide(base)
	}
	if base.Epoch == 0 && r.durable.View.Epoch == 0 {
		r.Bootstrap(base.Electors)
	}
	if base.Epoch < r.durable.View.Epoch {
		r.out.Messages = append(r.out.Messages, Envelope{from, Message{Decided: r.viewCopy()}})
	}
	return base.Epoch == r.durable.View.Epoch
}

func (r *Consensus) viewCopy() *View {
	copied := r.durable.View
	return &copied
}

func (r *Consensus) prepare(from MemberID, m *Prepare) {
	if !r.adopt(from, &m.BaseView) || !r.durable.View.IsElector(r.durable.Self.ID) {
		return
	}
	answer := &Promise{BaseEpoch: m.BaseView.Epoch, Ballot: m.Ballot}
	if m.Ballot.less(r.durable.PromisedBallot) {
		answer.Rejected, answer.Ballot = true, r.durable.PromisedBallot
	} else {
		r.durable.PromisedBallot, r.changed = m.Ballot, true
		answer.AcceptedBallot, answer.AcceptedView, answer.EligibleAsHead = r.durable.AcceptedBallot, r.durable.AcceptedView, r.EligibleAsHead()
	}
	r.out.Messages = append(r.out.Messages, Envelope{from, Message{Promise: answer}})
}

func (r *Consensus) promise(from MemberID, m *Promise) {
	if r.proposal == nil || m.BaseEpoch != r.durable.View.Epoch {
		return
	}
	if m.Rejected {
		r.refused = max(r.refused, m.Ballot.Round)
		if r.proposal.ballot.less(m.Ballot) {
			r.proposal = nil
		}
		return
	}
	if m.Ballot != r.proposal.ballot || !r.durable.View.IsElector(from) {
		return
	}
	r.proposal.promises[from] = m
	r.tryAccept()
}

// tryAccept goes on to the second phase once enough have promised.
func (r *Consensus) tryAccept() {
	p := r.proposal
	if p == nil || p.view != nil || 2*len(p.promises) <= len(r.durable.View.Electors) {
		return
	}
	patience := r.patience()
	for _, id := range p.expected {
		if p.promises[id] == nil && r.durable.View.IsElector(id) && p.waited < patience {
			return
		}
	}
	view := r.choose()
	if view == nil {
		return
	}
	p.view = view
	r.toElectors(Message{Accept: &Accept{r.durable.View.Epoch, p.ballot, *view}})
}

// patience returns how many ticks the proposal waits for answers.
func (r *Consensus) patience() int {
	for _, member := range r.durable.View.Chain {
		if r.proposal.wish.ChainPosition(member.ID) < 0 {
			return patience
		}
	}
	return calmPatience
}

// choose returns the view to be accepted: one that may have been decided already, else the wish
// with whoever answered, headed by a member that has everything. It is nil where no such member answered.
func (r *Consensus) choose() *View {
	p := r.proposal
	var newest *Promise
	for _, id := range sortedIDs(p.promises) {
		m := p.promises[id]
		if m.AcceptedView != nil && (newest == nil || newest.AcceptedBallot.less(m.AcceptedBallot)) {
			newest = m
		}
	}
	if newest != nil {
		return newest.AcceptedView
	}
	base := &r.durable.View
	next := &View{Epoch: base.Epoch + 1, Electors: p.wish.Electors, ReplicationFactor: copies(p.least, len(p.wish.Electors))}
	for _, member := range p.wish.Chain {
		if base.ChainPosition(member.ID) >= 0 && p.promises[member.ID] == nil {
			continue
		}
		next.Chain = append(next.Chain, member)
	}
	if base.Epoch == 0 {
		next.enterJoined(base)
		return next
	}
	for _, member := range base.Chain {
		if len(next.Chain) < p.least && next.ChainPosition(member.ID) < 0 && p.promises[member.ID] != nil {
			next.Chain = append(next.Chain, member)
		}
	}
	head := slices.IndexFunc(next.Chain, func(m Member) bool {
		return p.promises[m.ID] != nil && p.promises[m.ID].EligibleAsHead
	})
	if head < 0 {
		return nil
	}
	first := next.Chain[head]
	next.Chain = slices.Insert(slices.Delete(next.Chain, head, head+1), 0, first)
	next.enterJoined(base)
	return next
}

// enterJoined enters for each member since when it has been a writer without a break, which the view before tells.
func (v *View) enterJoined(base *View) {
	for i := range v.Chain {
		member := &v.Chain[i]
		member.WriterSince = v.Epoch
		if before := base.ChainPosition(member.ID); before >= 0 && before < base.WriterCount() && i < v.WriterCount() {
			member.WriterSince = base.Chain[before].WriterSince
		}
	}
}

func sortedIDs[V any](m map[MemberID]V) []MemberID {
	ids := make([]MemberID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Consensus) accept(from MemberID, m *Accept) {
	if m.BaseEpoch != r.durable.View.Epoch || m.Ballot.less(r.durable.PromisedBallot) ||
		!r.durable.View.IsElector(r.durable.Self.ID) {
		return
	}
	view := m.View
	r.durable.PromisedBallot, r.durable.AcceptedBallot, r.durable.AcceptedView = m.Ballot, m.Ballot, &view
	r.changed = true
	r.out.Messages = append(r.out.Messages, Envelope{from, Message{Accepted: &Accepted{m.BaseEpoch, m.Ballot}}})
}

func (r *Consensus) accepted(from MemberID, m *Accepted) {
	p := r.proposal
	if p == nil || p.view == nil || m.BaseEpoch != r.durable.View.Epoch || m.Ballot != p.ballot ||
		!r.durable.View.IsElector(from) {
		return
	}
	p.accepts[from] = true
	if 2*len(p.accepts) <= len(r.durable.View.Electors) {
		return
	}
	decided := *p.view
	known := map[MemberID]bool{r.durable.Self.ID: true}
	for _, list := range [][]Member{r.durable.View.Electors, decided.Electors, decided.Chain} {
		for _, member := range list {
			if !known[member.ID] {
				known[member.ID] = true
				r.out.Messages = append(r.out.Messages, Envelope{member.ID, Message{Decided: &decided}})
			}
		}
	}
	r.decide(&decided)
}

func (r *Consensus) decide(view *View) {
	if view.Epoch <= r.durable.View.Epoch {
		return
	}
	r.durable.View = *view
	r.durable.PromisedBallot, r.durable.AcceptedBallot, r.durable.AcceptedView = Ballot{}, Ballot{}, nil
	if view.Epoch == 1 && view.ChainPosition(r.durable.Self.ID) >= 0 {
		r.durable.CompleteEpoch = 1 // nothing was written yet, so nothing is missing
	}
	if view.IsElector(r.durable.Self.ID) {
		r.durable.InitialMember = false
	}
	r.proposal = nil
	r.changed, r.out.Decided = true, true
}

// DecidedMessage returns the message that brings another member to the view in force.
func (r *Consensus) DecidedMessage() Message { return Message{Decided: r.viewCopy()} }

// Ready returns what is to be done since the last call.
func (r *Consensus) Ready() Ready {
	out := r.out
	r.out = Ready{}
	if r.changed {
		saved := r.durable
		out.HardState = &saved
		r.changed = false
	}
	return out
}
