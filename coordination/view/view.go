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
	ID      MemberID `cbor:"1,keyasint"`
	Node    string   `cbor:"2,keyasint"`
	Address string   `cbor:"3,keyasint"`
	Zone    string   `cbor:"4,keyasint"`
	Joined  uint64   `cbor:"5,keyasint,omitempty"` // epoch since which it has been among the chain's writers without a break
}

// View is one membership view.
type View struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Chain    []Member `cbor:"2,keyasint,omitempty"` // head first
	Electors []Member `cbor:"3,keyasint,omitempty"` // those who agree on the next view
	// Copies is how many members at the front of the chain must have an entry durable before it is committed. Those
	// behind them follow: they take part in everything else. 0 stands for all.
	Copies int `cbor:"4,keyasint,omitempty"`
}

// Writers returns how many members at the front of the chain must have an entry before it is committed.
func (v *View) Writers() int {
	if v.Copies == 0 {
		return len(v.Chain)
	}
	return min(v.Copies, len(v.Chain))
}

// IsWriter reports whether each entry that is committed in this view must be durable at the member.
func (v *View) IsWriter(id MemberID) bool {
	at := v.InChain(id)
	return at >= 0 && at < v.Writers()
}

// copies returns how many copies of each entry there have to be: as many as a chain needs at least, and so many that
// every majority of the electors has one of them.
func copies(least, electors int) int { return max(least, electors-electors/2) }

// InChain returns the member's place in the chain, or -1.
func (v *View) InChain(id MemberID) int {
	return slices.IndexFunc(v.Chain, func(m Member) bool { return m.ID == id })
}

// IsElector reports whether the member may agree on the next view.
func (v *View) IsElector(id MemberID) bool {
	return slices.ContainsFunc(v.Electors, func(m Member) bool { return m.ID == id })
}

// Ballot orders the attempts to decide one epoch.
type Ballot struct {
	Round uint64   `cbor:"1,keyasint,omitempty"`
	By    MemberID `cbor:"2,keyasint,omitempty"`
}

func (b Ballot) less(o Ballot) bool {
	return b.Round < o.Round || b.Round == o.Round && b.By < o.By
}

// Durable is what a member must never forget. Whoever has lost it is another member.
type Durable struct {
	Me         Member `cbor:"1,keyasint"`
	First      bool   `cbor:"2,keyasint,omitempty"` // formatted at the first start of the whole system, and no elector yet
	View       View   `cbor:"3,keyasint"`
	Promised   Ballot `cbor:"4,keyasint"` // for the epoch behind View
	AcceptedAt Ballot `cbor:"5,keyasint"`
	Accepted   *View  `cbor:"6,keyasint,omitempty"`
	Complete   uint64 `cbor:"7,keyasint,omitempty"` // last epoch in which this member had the chain's whole log
	// Round is the newest round of an own ballot. It is durable before the ballot leaves, so that no later life of
	// the member uses the ballot for another view.
	Round uint64 `cbor:"8,keyasint,omitempty"`
}

// Prepare asks for a promise. It brings the view that it builds on.
type Prepare struct {
	Base   View   `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Promise answers a Prepare.
type Promise struct {
	Base       uint64 `cbor:"1,keyasint"`
	Ballot     Ballot `cbor:"2,keyasint"`
	AcceptedAt Ballot `cbor:"3,keyasint,omitempty"`
	Accepted   *View  `cbor:"4,keyasint,omitempty"`
	Valid      bool   `cbor:"5,keyasint,omitempty"` // has everything that was ever acknowledged
	Refused    bool   `cbor:"6,keyasint,omitempty"` // Ballot is the one promised to somebody else
}

// Accept asks to accept a view.
type Accept struct {
	Base   uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	View   View   `cbor:"3,keyasint"`
}

// Accepted answers an Accept.
type Accepted struct {
	Base   uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
}

// Message is one of the register's messages; Decided is a view in force.
type Message struct {
	Prepare  *Prepare  `cbor:"1,keyasint,omitempty"`
	Promise  *Promise  `cbor:"2,keyasint,omitempty"`
	Accept   *Accept   `cbor:"3,keyasint,omitempty"`
	Accepted *Accepted `cbor:"4,keyasint,omitempty"`
	Decided  *View     `cbor:"5,keyasint,omitempty"`
}

// Send is a message for another member, or for the register itself.
type Send struct {
	To      MemberID
	Message Message
}

// Output says what to do: persist Save where it is set, then send.
type Output struct {
	Save    *Durable
	Sends   []Send
	Decided bool // Durable.View is new; in force once Save is durable
}

// Register is one member's part in agreeing on views.
type Register struct {
	durable  Durable
	proposal *proposal
	refused  uint64 // highest round that an answer has named as promised to somebody else
	out      Output
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

// NewRegister returns a register with what the disk held.
func NewRegister(durable Durable) *Register { return &Register{durable: durable} }

// View returns the view in force.
func (r *Register) View() *View { return &r.durable.View }

// Durable returns what this member must never forget.
func (r *Register) Durable() Durable { return r.durable }

// Me returns this member.
func (r *Register) Me() Member { return r.durable.Me }

// First reports whether this member was formatted at the system's first start and has not been an elector yet.
func (r *Register) First() bool { return r.durable.First }

// Valid reports whether this member has everything that was ever acknowledged.
func (r *Register) Valid() bool {
	view := &r.durable.View
	at := view.InChain(r.durable.Me.ID)
	return at >= 0 && at < view.Writers() && r.durable.Complete >= view.Chain[at].Joined
}

// MarkComplete enters that this member has the whole log of the view in force.
func (r *Register) MarkComplete(epoch uint64) {
	if epoch == r.durable.View.Epoch && epoch > r.durable.Complete {
		r.durable.Complete = epoch
		r.changed = true
	}
}

// Found sets the electors of the very first view; it has no effect once there is a view.
func (r *Register) Found(electors []Member) {
	if r.durable.First && r.durable.View.Epoch == 0 && len(r.durable.View.Electors) == 0 {
		r.durable.View.Electors = electors
		r.changed = true
	}
}

// Proposing reports whether a proposal is under way.
func (r *Register) Proposing() bool { return r.proposal != nil }

// Propose begins to agree on a next view. The wish names the chain and the electors;
// members of the present chain that do not answer are left out, and expected are
// those whose answers are worth waiting for. Where fewer than least are left,
// members of the present chain that answer are kept though the wish lacks them.
func (r *Register) Propose(wish View, expected []MemberID, least int) {
	r.durable.Round = max(r.durable.Round, r.refused, r.durable.Promised.Round) + 1
	r.changed = true
	r.proposal = &proposal{
		ballot:   Ballot{r.durable.Round, r.durable.Me.ID},
		wish:     wish,
		least:    least,
		expected: expected,
		promises: map[MemberID]*Promise{},
		accepts:  map[MemberID]bool{},
	}
	r.toElectors(Message{Prepare: &Prepare{r.durable.View, r.proposal.ballot}})
}

func (r *Register) toElectors(message Message) {
	for _, elector := range r.durable.View.Electors {
		r.out.Sends = append(r.out.Sends, Send{elector.ID, message})
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
func (r *Register) Tick() {
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
func (r *Register) Receive(from MemberID, message *Message) {
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
func (r *Register) adopt(from MemberID, base *View) bool {
	if base.Epoch > r.durable.View.Epoch {
		r.decide(base)
	}
	if base.Epoch == 0 && r.durable.View.Epoch == 0 {
		r.Found(base.Electors)
	}
	if base.Epoch < r.durable.View.Epoch {
		r.out.Sends = append(r.out.Sends, Send{from, Message{Decided: r.viewCopy()}})
	}
	return base.Epoch == r.durable.View.Epoch
}

func (r *Register) viewCopy() *View {
	copied := r.durable.View
	return &copied
}

func (r *Register) prepare(from MemberID, m *Prepare) {
	if !r.adopt(from, &m.Base) || !r.durable.View.IsElector(r.durable.Me.ID) {
		return
	}
	answer := &Promise{Base: m.Base.Epoch, Ballot: m.Ballot}
	if m.Ballot.less(r.durable.Promised) {
		answer.Refused, answer.Ballot = true, r.durable.Promised
	} else {
		r.durable.Promised, r.changed = m.Ballot, true
		answer.AcceptedAt, answer.Accepted, answer.Valid = r.durable.AcceptedAt, r.durable.Accepted, r.Valid()
	}
	r.out.Sends = append(r.out.Sends, Send{from, Message{Promise: answer}})
}

func (r *Register) promise(from MemberID, m *Promise) {
	if r.proposal == nil || m.Base != r.durable.View.Epoch {
		return
	}
	if m.Refused {
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
func (r *Register) tryAccept() {
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
func (r *Register) patience() int {
	for _, member := range r.durable.View.Chain {
		if r.proposal.wish.InChain(member.ID) < 0 {
			return patience
		}
	}
	return calmPatience
}

// choose returns the view to be accepted: one that may have been decided already, else the wish
// with whoever answered, headed by a member that has everything. It is nil where no such member answered.
func (r *Register) choose() *View {
	p := r.proposal
	var newest *Promise
	for _, id := range sortedIDs(p.promises) {
		m := p.promises[id]
		if m.Accepted != nil && (newest == nil || newest.AcceptedAt.less(m.AcceptedAt)) {
			newest = m
		}
	}
	if newest != nil {
		return newest.Accepted
	}
	base := &r.durable.View
	next := &View{Epoch: base.Epoch + 1, Electors: p.wish.Electors, Copies: copies(p.least, len(p.wish.Electors))}
	for _, member := range p.wish.Chain {
		if base.InChain(member.ID) >= 0 && p.promises[member.ID] == nil {
			continue
		}
		next.Chain = append(next.Chain, member)
	}
	if base.Epoch == 0 {
		next.enterJoined(base)
		return next
	}
	for _, member := range base.Chain {
		if len(next.Chain) < p.least && next.InChain(member.ID) < 0 && p.promises[member.ID] != nil {
			next.Chain = append(next.Chain, member)
		}
	}
	head := slices.IndexFunc(next.Chain, func(m Member) bool {
		return p.promises[m.ID] != nil && p.promises[m.ID].Valid
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
		member.Joined = v.Epoch
		if before := base.InChain(member.ID); before >= 0 && before < base.Writers() && i < v.Writers() {
			member.Joined = base.Chain[before].Joined
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

func (r *Register) accept(from MemberID, m *Accept) {
	if m.Base != r.durable.View.Epoch || m.Ballot.less(r.durable.Promised) ||
		!r.durable.View.IsElector(r.durable.Me.ID) {
		return
	}
	view := m.View
	r.durable.Promised, r.durable.AcceptedAt, r.durable.Accepted = m.Ballot, m.Ballot, &view
	r.changed = true
	r.out.Sends = append(r.out.Sends, Send{from, Message{Accepted: &Accepted{m.Base, m.Ballot}}})
}

func (r *Register) accepted(from MemberID, m *Accepted) {
	p := r.proposal
	if p == nil || p.view == nil || m.Base != r.durable.View.Epoch || m.Ballot != p.ballot ||
		!r.durable.View.IsElector(from) {
		return
	}
	p.accepts[from] = true
	if 2*len(p.accepts) <= len(r.durable.View.Electors) {
		return
	}
	decided := *p.view
	known := map[MemberID]bool{r.durable.Me.ID: true}
	for _, list := range [][]Member{r.durable.View.Electors, decided.Electors, decided.Chain} {
		for _, member := range list {
			if !known[member.ID] {
				known[member.ID] = true
				r.out.Sends = append(r.out.Sends, Send{member.ID, Message{Decided: &decided}})
			}
		}
	}
	r.decide(&decided)
}

func (r *Register) decide(view *View) {
	if view.Epoch <= r.durable.View.Epoch {
		return
	}
	r.durable.View = *view
	r.durable.Promised, r.durable.AcceptedAt, r.durable.Accepted = Ballot{}, Ballot{}, nil
	if view.Epoch == 1 && view.InChain(r.durable.Me.ID) >= 0 {
		r.durable.Complete = 1 // nothing was written yet, so nothing is missing
	}
	if view.IsElector(r.durable.Me.ID) {
		r.durable.First = false
	}
	r.proposal = nil
	r.changed, r.out.Decided = true, true
}

// Tell returns the message that brings another member to the view in force.
func (r *Register) Tell() Message { return Message{Decided: r.viewCopy()} }

// Take returns what is to be done since the last call.
func (r *Register) Take() Output {
	out := r.out
	r.out = Output{}
	if r.changed {
		saved := r.durable
		out.Save = &saved
		r.changed = false
	}
	return out
}
