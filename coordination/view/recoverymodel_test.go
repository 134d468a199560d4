package view

import (
	"encoding/binary"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"time"
)

// logEntry identifies an entry of the modelled log.
type logEntry struct {
	epoch  uint64
	number int
}

// replicaModel is a member's replica as package chain has it. Its log is durable at once; what is volatile belongs to the
// view in which the replica takes part.
type replicaModel struct {
	log       []logEntry
	known     int    // number of entries that it knows to be committed
	epoch     uint64 // of the view in which it takes part; 0: none
	received  bool   // its log contains the log with which the view began
	complete  bool   // that is recorded
	before    int    // entries that all members before it have confirmed
	confirmed int    // entries that it and all members before it have confirmed
}

// modelMember is a member with its disk.
type modelMember struct {
	consensus    *Consensus
	replica      replicaModel
	epochAtStart uint64
	installDue   bool // the replica does not take part in the view in force yet
	lost         bool // the disk is gone, and with it the member
}

// modelRead is a read on its way through the writers of a view.
type modelRead struct {
	epoch    uint64 // 0: no read is under way
	position int    // of the writer that it reaches next
	index    int    // entries that the answer must contain by the rule of package chain
	required int    // entries that were committed when it was submitted
}

// recoveryModel is a state of members, disks, views and the chain. A view change is one step: a proposer prepares at some
// members, and either nothing follows, or only it accepts the view, or all those members do. Members learn of a decided
// view in steps of their own.
type recoveryModel struct {
	minMembers int            // of a chain that commits anything
	members    []*modelMember // by ID, from 1
	committed  []logEntry
	views      []*View // decided, by epoch
	read       modelRead
	left       budget
	excluded   MemberID // no desired chain contains this member; 0: none
	violation  string
}

// budget is how many steps of a kind may still follow.
type budget struct{ changes, losses, restarts, appends, reads int }

// plants are faults that an exploration may plant.
type plants struct {
	sealedTakesPart bool // a sealed member goes on passing reads
	unrecorded      bool // a replica is complete although the consensus has not recorded it
	forgetViews     bool // a view's history leaves out the configurations before it, as though they were inactive
	noHistory       bool // views have no history
	snapshotCuts    bool // a snapshot takes away the entries after it
	anyMayLead      bool // any elector counts as covered by the history
	withholdSeal    bool // promises claim a seal that their senders do not keep
}

func newRecoveryModel(count, minMembers int, left budget) *recoveryModel {
	var all []Member
	for id := MemberID(1); id <= MemberID(count); id++ {
		all = append(all, Member{ID: id, Address: string(rune('a' + id)), WriterSince: 1})
	}
	first := &View{Epoch: 1, Chain: all, Electors: all, ReplicationFactor: replicationFactor(minMembers, count)}
	entry := logEntry{1, 0}
	m := &recoveryModel{minMembers: minMembers, views: []*View{first}, committed: []logEntry{entry}, left: left}
	for _, member := range all {
		consensus := NewConsensus(HardState{Self: member, View: *first, CompleteEpoch: 1, ExactSince: 1})
		m.members = append(m.members, &modelMember{consensus: consensus, replica: replicaModel{log: []logEntry{entry}, known: 1,
			epoch: 1, received: true, complete: true, before: 1, confirmed: 1}})
	}
	return m
}

func (m *recoveryModel) clone() *recoveryModel {
	copied := *m
	copied.members = slices.Clone(m.members)
	copied.views = slices.Clone(m.views)
	copied.committed = slices.Clone(m.committed)
	for i, member := range m.members {
		own := *member
		consensus := *member.consensus
		own.consensus = &consensus
		own.replica.log = slices.Clone(member.replica.log)
		copied.members[i] = &own
	}
	return &copied
}

// key identifies a state.
func (m *recoveryModel) key(seed maphash.Seed) uint64 {
	var text []byte
	number := func(values ...int) {
		for _, value := range values {
			text = binary.AppendVarint(text, int64(value))
		}
	}
	flag := func(values ...bool) {
		for _, value := range values {
			number(map[bool]int{true: 1}[value])
		}
	}
	entries := func(log []logEntry) {
		number(len(log))
		for _, entry := range log {
			number(int(entry.epoch), entry.number)
		}
	}
	for _, member := range m.members {
		text = appendConsensus(text, member.consensus)
		replica := &member.replica
		number(int(member.epochAtStart), int(replica.epoch), replica.known, replica.before, replica.confirmed)
		flag(member.lost, member.installDue, replica.received, replica.complete)
		entries(replica.log)
	}
	entries(m.committed)
	for _, view := range m.views {
		text = appendView(text, view)
	}
	number(int(m.read.epoch), m.read.position, m.read.index, m.read.required)
	number(m.left.changes, m.left.losses, m.left.restarts, m.left.appends, m.left.reads)
	return maphash.Bytes(seed, text)
}

func appendConsensus(text []byte, c *Consensus) []byte {
	h := &c.hardState
	for _, value := range []uint64{h.View.Epoch, h.PromisedBallot.Round, h.PromisedBallot.Proposer, h.AcceptedBallot.Round,
		h.AcceptedBallot.Proposer, h.CompleteEpoch, h.LastRound, h.SealedEpoch, c.activeEpoch} {
		text = binary.AppendUvarint(text, value)
	}
	if h.AcceptedView != nil {
		text = appendView(text, h.AcceptedView)
	}
	if c.obstacle != nil {
		text = append(text, c.obstacle.Reason[0])
	}
	return append(text, 0xff)
}

func appendView(text []byte, v *View) []byte {
	text = binary.AppendUvarint(text, v.Epoch)
	for _, member := range v.Chain {
		text = binary.AppendUvarint(text, member.ID)
		text = binary.AppendUvarint(text, member.WriterSince)
	}
	text = append(text, 0xfe)
	for _, member := range v.Electors {
		text = binary.AppendUvarint(text, member.ID)
	}
	if v.History != nil {
		text = binary.AppendUvarint(append(text, 0xfd), v.History.Since)
		for _, configuration := range v.History.Configurations {
			text = binary.AppendUvarint(text, configuration.First)
			text = binary.AppendUvarint(text, configuration.Last)
			for _, writer := range configuration.Writers {
				text = binary.AppendUvarint(text, writer)
			}
		}
	}
	return append(text, 0xfe)
}

func (m *recoveryModel) member(id MemberID) *modelMember { return m.members[id-1] }

// viewOf returns the view of an epoch.
func (m *recoveryModel) viewOf(epoch uint64) *View { return m.views[epoch-1] }

func (m *recoveryModel) newest() *View { return m.views[len(m.views)-1] }

// recoveryStep is a transition of the model. It returns false if nothing changes.
type recoveryStep func(m *recoveryModel, planted *plants) bool

// steps returns all transitions that may be possible.
func (m *recoveryModel) steps() []recoveryStep {
	var list []recoveryStep
	for i, member := range m.members {
		if !member.lost {
			list = append(list, m.stepsOf(MemberID(i+1))...)
			list = append(list, m.changes(MemberID(i+1))...)
		}
	}
	return append(list, func(m *recoveryModel, _ *plants) bool { return m.passRead() })
}

// stepsOf returns the transitions of one member but for view changes.
func (m *recoveryModel) stepsOf(id MemberID) []recoveryStep {
	list := []recoveryStep{
		func(m *recoveryModel, planted *plants) bool { return m.learn(id, planted) },
		func(m *recoveryModel, _ *plants) bool { return m.install(id) },
		func(m *recoveryModel, planted *plants) bool { return m.receive(id, false, planted) },
		func(m *recoveryModel, planted *plants) bool { return m.receive(id, true, planted) },
		func(m *recoveryModel, planted *plants) bool { return m.complete(id, planted) },
		func(m *recoveryModel, _ *plants) bool { return m.confirm(id) },
		func(m *recoveryModel, _ *plants) bool { return m.commit(id) },
		func(m *recoveryModel, _ *plants) bool { return m.append(id) },
		func(m *recoveryModel, _ *plants) bool { return m.submitRead(id) },
	}
	if m.left.restarts > 0 {
		list = append(list, func(m *recoveryModel, _ *plants) bool { return m.restart(id) })
	}
	if m.left.losses > 0 {
		list = append(list, func(m *recoveryModel, _ *plants) bool { return m.lose(id) })
	}
	return list
}

// outcome is how far a view change gets.
type outcome int

const (
	onlyPrepared outcome = iota // the promises are given, and nothing follows
	acceptedOnce                // the proposer alone accepts the view
	decided                     // all members that have promised accept it
)

// changes returns the view changes that a member may try, with each set of other electors.
func (m *recoveryModel) changes(proposer MemberID) []recoveryStep {
	var list []recoveryStep
	electors := m.member(proposer).consensus.View().Electors
	if m.left.changes == 0 || !m.member(proposer).consensus.View().IsElector(proposer) {
		return nil
	}
	for subset := range 1 << len(electors) {
		var promising []MemberID
		for i, elector := range electors {
			if subset>>i&1 == 1 && !m.member(elector.ID).lost {
				promising = append(promising, elector.ID)
			}
		}
		if !slices.Contains(promising, proposer) || 2*len(promising) <= len(electors) {
			continue
		}
		for _, result := range []outcome{onlyPrepared, acceptedOnce, decided} {
			for _, seal := range []bool{false, true} {
				list = append(list, func(m *recoveryModel, planted *plants) bool {
					return m.change(proposer, promising, result, seal, planted)
				})
			}
		}
	}
	return list
}

// desired returns the view that a proposer asks for: the members that promise, those of the present chain first, with the
// successors of lost electors in their places.
func (m *recoveryModel) desired(base *View, promising []MemberID) View {
	var wanted View
	for _, elector := range base.Electors {
		if m.member(elector.ID).lost {
			elector = m.successorOf(elector)
		}
		wanted.Electors = append(wanted.Electors, elector)
	}
	for _, list := range [][]Member{base.Chain, wanted.Electors} {
		for _, member := range list {
			isNew := !base.IsElector(member.ID)
			if member.ID != m.excluded && (isNew || slices.Contains(promising, member.ID)) && wanted.ChainPosition(member.ID) < 0 && !m.member(member.ID).lost {
				wanted.Chain = append(wanted.Chain, member)
			}
		}
	}
	return wanted
}

// successorOf returns the newest member at the address of a lost one.
func (m *recoveryModel) successorOf(lost Member) Member {
	successor := lost
	for _, member := range m.members {
		if self := member.consensus.Self(); self.Address == lost.Address {
			successor = self
		}
	}
	return successor
}

// change lets a member propose the next view. It may ask for a seal at any time, not only where package view does.
func (m *recoveryModel) change(proposer MemberID, promising []MemberID, result outcome, seal bool, planted *plants) bool {
	m.left.changes--
	c := m.member(proposer).consensus
	base := *c.View()
	if seal {
		c.obstacle = &Obstacle{Reason: NoEligibleHead}
	}
	c.Propose(m.desired(&base, promising), nil, m.minMembers)
	m.exchange(proposer, promising, planted, func(message *Message) bool { return message.Prepare != nil || message.Promise != nil })
	for range proposalTicks - 1 {
		c.Tick() // the view of phase 2 is chosen now if there can be one
	}
	if c.proposal == nil {
		return true // a newer view or a higher ballot has ended the proposal
	}
	if planted.anyMayLead && c.proposal.view == nil {
		m.leadAnyhow(c.proposal, &base)
	}
	m.plantInView(c.proposal.view, planted)
	if c.proposal.view != nil && result != onlyPrepared {
		accepting := promising
		if result == acceptedOnce {
			accepting = []MemberID{proposer}
		}
		c.sendToElectors(Message{Accept: &Accept{base.Epoch, c.proposal.ballot, *c.proposal.view}})
		m.exchange(proposer, accepting, planted, func(*Message) bool { return true })
	}
	c.proposal, c.obstacle = nil, nil
	c.Ready()
	return true
}

// leadAnyhow plants a view that the first member that has promised heads.
func (m *recoveryModel) leadAnyhow(p *proposal, base *View) {
	next := &View{Epoch: base.Epoch + 1, Chain: p.desired.Chain, Electors: p.desired.Electors, History: &History{Since: 1},
		ReplicationFactor: replicationFactor(m.minMembers, len(p.desired.Electors))}
	if len(next.Chain) > 0 {
		next.setWriterSince(base)
		p.view = next
	}
}

func (m *recoveryModel) plantInView(view *View, planted *plants) {
	if view == nil || view.History == nil {
		return
	}
	if planted.forgetViews {
		view.History = &History{Since: view.History.Since}
	}
	if planted.noHistory {
		view.History = nil
	}
}

// exchange delivers the messages between a proposer and some members that a filter lets through, until none is left.
func (m *recoveryModel) exchange(proposer MemberID, others []MemberID, planted *plants, passes func(*Message) bool) {
	for delivered := true; delivered; {
		delivered = false
		for _, id := range others {
			ready := m.member(id).consensus.Ready()
			m.applyReady(id, &ready, planted)
			m.install(id) // the messages are sent once the view is durable, which installs it
			for _, envelope := range ready.Messages {
				if envelope.Message.Decided != nil || !passes(&envelope.Message) ||
					!slices.Contains(others, envelope.To) || id != proposer && envelope.To != proposer {
					continue
				}
				delivered = true
				m.member(envelope.To).consensus.Receive(id, &envelope.Message)
			}
		}
	}
}

// applyReady does what the host of a member does: it withdraws a sealed replica and installs a decided view.
func (m *recoveryModel) applyReady(id MemberID, ready *Ready, planted *plants) {
	member := m.member(id)
	if ready.Decided {
		m.recordView(member.consensus.View())
		member.installDue = true
	}
	if planted.withholdSeal {
		member.consensus.hardState.SealedEpoch = 0
		return
	}
	if member.consensus.IsSealed() && member.replica.epoch == member.consensus.View().Epoch && !planted.sealedTakesPart {
		member.replica = replicaModel{log: member.replica.log, known: member.replica.known}
	}
}

// recordView records a decided view, and checks that its head has all that is committed.
func (m *recoveryModel) recordView(view *View) {
	if view.Epoch <= uint64(len(m.views)) {
		return
	}
	copied := *view
	m.views = append(m.views, &copied)
	if len(m.views) != int(view.Epoch) {
		m.violation = "a view was decided before its predecessor"
	}
	m.checkHead()
}

// checkHead checks that the head of the newest view has all that is committed.
func (m *recoveryModel) checkHead() {
	if head := m.member(m.newest().Chain[0].ID); !head.lost && !isPrefix(m.committed, head.replica.log) {
		m.violation = "the head of the newest view lacks a committed entry"
	}
}

func isPrefix(short, long []logEntry) bool {
	return len(short) <= len(long) && slices.Equal(short, long[:len(short)])
}

// install lets a replica take part in the view in force at its member. Before it is called, the replica goes on in the view
// before.
func (m *recoveryModel) install(id MemberID) bool {
	member := m.member(id)
	if !member.installDue {
		return false
	}
	member.installDue = false
	view := member.consensus.View()
	member.replica = replicaModel{log: member.replica.log, known: member.replica.known}
	if position := view.ChainPosition(id); position >= 0 && !member.consensus.IsSealed() {
		member.replica.epoch, member.replica.received = view.Epoch, position == 0
	}
	return true
}

// learn puts the newest decided view in force at a member.
func (m *recoveryModel) learn(id MemberID, planted *plants) bool {
	c := m.member(id).consensus
	if c.View().Epoch >= m.newest().Epoch {
		return false
	}
	c.Receive(id, &Message{Decided: m.newest()})
	ready := c.Ready()
	m.applyReady(id, &ready, planted)
	return true
}

// predecessor returns the replica before a member in the view in which the member's replica takes part, if it takes part in
// the same view.
func (m *recoveryModel) predecessor(id MemberID) *replicaModel {
	epoch := m.member(id).replica.epoch
	if epoch == 0 || m.viewOf(epoch).ChainPosition(id) == 0 {
		return nil
	}
	former := m.member(m.viewOf(epoch).Chain[m.viewOf(epoch).ChainPosition(id)-1].ID)
	if former.lost || former.replica.epoch != epoch || !former.replica.received {
		return nil
	}
	return &former.replica
}

// successor returns the replica after a member in the view in which the member's replica takes part, or nil.
func (m *recoveryModel) successor(id MemberID) *replicaModel {
	epoch := m.member(id).replica.epoch
	view := m.viewOf(epoch)
	if position := view.ChainPosition(id); position < len(view.Chain)-1 {
		if next := m.member(view.Chain[position+1].ID); !next.lost && next.replica.epoch == epoch {
			return &next.replica
		}
	}
	return nil
}

// receive lets a member take over its predecessor's log: all of it or, as a snapshot, what is known to be committed of it.
func (m *recoveryModel) receive(id MemberID, snapshot bool, planted *plants) bool {
	replica, former := &m.member(id).replica, m.predecessor(id)
	if former == nil {
		return false
	}
	log := former.log
	if snapshot {
		log = log[:former.known]
		if !planted.snapshotCuts && isPrefix(log, replica.log) || len(log) <= replica.known {
			return false
		}
		replica.log, replica.known = slices.Clone(log), len(log)
		return true
	}
	known := max(replica.known, min(former.known, len(log)))
	changed := !replica.received || !slices.Equal(log, replica.log) || known > replica.known
	replica.log, replica.received, replica.known = slices.Clone(log), true, known
	return changed
}

// complete lets a member record that it has the log with which its view began.
func (m *recoveryModel) complete(id MemberID, planted *plants) bool {
	member := m.member(id)
	replica := &member.replica
	if replica.epoch == 0 || replica.complete || !replica.received {
		return false
	}
	isRecorded := member.consensus.MarkComplete(replica.epoch)
	member.consensus.Ready()
	replica.complete = isRecorded || planted.unrecorded
	return replica.complete
}

// confirm lets a member confirm what it and all members before it have.
func (m *recoveryModel) confirm(id MemberID) bool {
	replica := &m.member(id).replica
	if replica.epoch == 0 || !replica.complete {
		return false
	}
	if m.viewOf(replica.epoch).ChainPosition(id) == 0 {
		replica.before = len(replica.log)
	} else if former := m.predecessor(id); former != nil {
		replica.before = max(replica.before, former.confirmed)
	}
	if successor := m.successor(id); successor != nil && successor.received {
		replica.known = max(replica.known, min(len(replica.log), successor.known))
	}
	confirmed := min(len(replica.log), replica.before)
	changed := confirmed > replica.confirmed
	replica.confirmed = max(replica.confirmed, confirmed)
	return changed
}

// commit lets the last writer commit what all writers have confirmed.
func (m *recoveryModel) commit(id MemberID) bool {
	replica := &m.member(id).replica
	if replica.epoch == 0 {
		return false
	}
	view := m.viewOf(replica.epoch)
	if view.ChainPosition(id) != view.WriterCount()-1 || len(view.Chain) < m.minMembers || replica.confirmed <= replica.known {
		return false
	}
	replica.known = replica.confirmed
	log := replica.log[:replica.known]
	if !isPrefix(log, m.committed) && !isPrefix(m.committed, log) {
		m.violation = "two different entries are committed at one index"
	}
	if len(log) > len(m.committed) {
		m.committed = slices.Clone(log)
	}
	m.checkHead()
	return true
}

// append lets the head of a view add an entry to its log.
func (m *recoveryModel) append(id MemberID) bool {
	replica := &m.member(id).replica
	if m.left.appends == 0 || replica.epoch == 0 || m.viewOf(replica.epoch).ChainPosition(id) != 0 {
		return false
	}
	m.left.appends--
	replica.log = append(replica.log, logEntry{replica.epoch, m.left.appends})
	return true
}

// submitRead lets the head of a view submit a read.
func (m *recoveryModel) submitRead(id MemberID) bool {
	replica := &m.member(id).replica
	if m.left.reads == 0 || m.read.epoch != 0 || replica.epoch == 0 || m.viewOf(replica.epoch).ChainPosition(id) != 0 {
		return false
	}
	m.left.reads--
	m.read = modelRead{epoch: replica.epoch, position: 0, index: len(replica.log), required: len(m.committed)}
	return true
}

// passRead lets the read pass the next writer; the last one answers it.
func (m *recoveryModel) passRead() bool {
	if m.read.epoch == 0 {
		return false
	}
	view := m.viewOf(m.read.epoch)
	member := m.member(view.Chain[m.read.position].ID)
	if member.lost || member.replica.epoch != view.Epoch {
		m.read = modelRead{} // it is dropped
		return true
	}
	if m.read.position < view.WriterCount()-1 {
		m.read.position++
		return true
	}
	if !member.replica.complete || member.replica.known < m.read.index {
		return false
	}
	if member.replica.known < m.read.required {
		m.violation = "a read is answered without an entry that was committed before it"
	}
	m.read = modelRead{}
	return true
}

// restart starts a new incarnation of a member from its disk.
func (m *recoveryModel) restart(id MemberID) bool {
	m.left.restarts--
	member := m.member(id)
	hardState := member.consensus.HardState()
	member.consensus = NewConsensus(hardState)
	member.epochAtStart, member.installDue = hardState.View.Epoch, false
	member.replica = replicaModel{log: member.replica.log} // what was known to be committed is on no disk
	return true
}

// lose takes a member's disk; its machine starts again at once as another member.
func (m *recoveryModel) lose(id MemberID) bool {
	m.left.losses--
	member := m.member(id)
	member.lost = true
	successor := Member{ID: MemberID(len(m.members) + 1), Address: member.consensus.Self().Address}
	m.members = append(m.members, &modelMember{consensus: NewConsensus(HardState{Self: successor})})
	return true
}

// timed returns a cluster in which all machines of the model are up. If restarted is set, all their processes have been
// killed and started again.
func (m *recoveryModel) timed(restarted bool) *timedCluster {
	c := &timedCluster{minMembers: m.minMembers, machines: map[MemberID]*timedMachine{}}
	for i, member := range m.members {
		if member.lost {
			continue
		}
		id := MemberID(i + 1)
		hardState := member.consensus.HardState()
		epochAtStart := member.epochAtStart
		if restarted {
			epochAtStart = hardState.View.Epoch
		}
		c.start(hardState, epochAtStart)
		if !restarted {
			consensus := *member.consensus
			c.machines[id].consensus = &consensus
		}
	}
	return c
}

// progressKey identifies what matters for progress.
func (m *recoveryModel) progressKey(seed maphash.Seed) uint64 {
	var text []byte
	for _, member := range m.members {
		if member.lost {
			text = append(text, 0xfc)
			continue
		}
		text = appendConsensus(text, member.consensus)
		text = appendView(text, member.consensus.View())
		text = binary.AppendUvarint(text, member.epochAtStart)
	}
	return maphash.Bytes(seed, text)
}

// recoveryExploration explores the model.
type recoveryExploration struct {
	count, minMembers int
	left              budget
	planted           plants
	maxStates         int
	checkProgress     bool
	// prepareProgress plants a fault into the cluster in which progress is checked; nil: none.
	prepareProgress func(c *timedCluster)

	seen     map[uint64]bool
	progress map[uint64]bool
	seed     maphash.Seed
}

// explore visits the reachable states, depth first. It returns the first violation, or "" if there is none, and whether all
// states were visited.
func (e *recoveryExploration) explore() (violation string, complete bool) {
	e.seen, e.progress, e.seed = map[uint64]bool{}, map[uint64]bool{}, maphash.MakeSeed()
	stack := []*recoveryModel{newRecoveryModel(e.count, e.minMembers, e.left)}
	for len(stack) > 0 {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := m.key(e.seed)
		if e.seen[key] {
			continue
		}
		e.seen[key] = true
		if m.violation == "" && e.checkProgress {
			m.violation = e.progressViolation(m)
		}
		if m.violation != "" {
			return m.violation, false
		}
		if len(e.seen) >= e.maxStates {
			return "", false
		}
		for _, next := range m.steps() {
			successor := m.clone()
			if next(successor, &e.planted) {
				stack = append(stack, successor)
			}
		}
	}
	return "", true
}

// walk takes random steps, and returns the first violation, or "" if there is none.
func (e *recoveryExploration) walk(seed uint64) string {
	if e.progress == nil {
		e.progress, e.seed = map[uint64]bool{}, maphash.MakeSeed()
	}
	w := &recoveryWalk{rand.New(rand.NewPCG(seed, 13)), newRecoveryModel(e.count, e.minMembers, e.left), &e.planted}
	for range walkSteps {
		w.step()
		if w.model.violation != "" {
			return w.model.violation
		}
	}
	if e.checkProgress {
		return e.progressViolation(w.model)
	}
	return ""
}

// walkSteps is the number of steps of a random walk, each of which may be many steps of the model.
const walkSteps = 40

// recoveryWalk takes random steps of the model. Most let some of the members make progress while the others stand still.
type recoveryWalk struct {
	random  *rand.Rand
	model   *recoveryModel
	planted *plants
}

func (w *recoveryWalk) step() {
	some := w.someMembers()
	if len(some) == 0 {
		return
	}
	any := some[w.random.IntN(len(some))]
	switch w.random.IntN(12) {
	case 0, 1, 2, 3:
		w.settle(some)
	case 4, 5:
		w.model.append(any)
	case 6, 7:
		if list := w.model.changes(any); len(list) > 0 {
			list[w.random.IntN(len(list))](w.model, w.planted)
		}
	case 8:
		w.model.submitRead(any)
	case 9:
		w.model.passRead()
	case 10:
		list := w.model.stepsOf(any)
		list[w.random.IntN(len(list))](w.model, w.planted)
	case 11:
		w.harm(any)
	}
}

// harm restarts a member or takes its disk.
func (w *recoveryWalk) harm(id MemberID) {
	switch left := w.model.left; {
	case left.restarts > 0 && w.random.IntN(2) == 0:
		w.model.restart(id)
	case left.losses > 0:
		w.model.lose(id)
	}
}

// someMembers returns a random part of the members whose disks are not lost.
func (w *recoveryWalk) someMembers() []MemberID {
	var some []MemberID
	for i, member := range w.model.members {
		if !member.lost && w.random.IntN(3) > 0 {
			some = append(some, MemberID(i+1))
		}
	}
	return some
}

// settle lets some members learn the newest view, and replicate and commit what they can.
func (w *recoveryWalk) settle(some []MemberID) {
	for range 1 + w.random.IntN(len(some)+1) {
		for _, id := range some {
			w.model.learn(id, w.planted)
			if w.random.IntN(3) > 0 {
				w.model.install(id)
			}
			w.model.receive(id, w.random.IntN(3) == 0, w.planted)
			w.model.complete(id, w.planted)
			w.model.confirm(id)
			w.model.commit(id)
		}
	}
}

// progressViolation checks that with all machines back, and without further losses, a view becomes active.
func (e *recoveryExploration) progressViolation(m *recoveryModel) string {
	key := m.progressKey(e.seed)
	if e.progress[key] {
		return ""
	}
	e.progress[key] = true
	for _, restarted := range []bool{false, true} {
		c := m.timed(restarted)
		if e.prepareProgress != nil {
			e.prepareProgress(c)
		}
		if !c.becomesActive(recoveryTime) {
			return map[bool]string{false: "with all machines back no view becomes active",
				true: "after a restart of all machines no view becomes active"}[restarted]
		}
	}
	return ""
}

// becomesActive runs the cluster until a view is active, for the given time at most.
func (c *timedCluster) becomesActive(span time.Duration) bool {
	for end := c.now + span; c.now < end; {
		c.step()
		if c.canAcknowledge() && c.isActive(c.newestView()) {
			return true
		}
	}
	return false
}

// isActive reports whether all writers of a view are complete in it.
func (c *timedCluster) isActive(view *View) bool {
	return !slices.ContainsFunc(view.Chain[:view.WriterCount()], func(writer Member) bool {
		return c.machines[writer.ID].consensus.HardState().CompleteEpoch < view.Epoch
	})
}
