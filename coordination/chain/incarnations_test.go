package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// plantedFault is a fault that a simulation deliberately contains, to check that the simulation finds it.
type plantedFault int

const (
	noFault                 plantedFault = iota
	acceptsAnyEpoch                      // members accept messages of other views as if they were of their own view
	incompleteSnapshot                   // a snapshot lacks its last entry
	answersUnconfirmedReads              // a member answers reads that have not passed all writers
)

// incarnationSimulation simulates a network in which a new view reaches its members one by one. Messages stay in flight
// across views and restarts of their senders, and may be delivered twice and out of order. Members may freeze: they keep
// their state, but neither process nor receive anything for some time.
type incarnationSimulation struct {
	*cluster
	random            *rand.Rand
	fault             plantedFault
	frozen            map[MemberID]bool
	knownEpoch        map[MemberID]uint64 // epoch of the newest view that the member has received
	completeEpoch     map[MemberID]uint64 // epoch of the last view in which the member was complete, as stored on its disk
	eligible          map[MemberID]bool   // members of the newest view that have its complete log
	committedAtSubmit map[uint64]int      // number of entries that were committed when a read was submitted, by its tag
	answeredReads     int
}

func newIncarnationSimulation(seed uint64, planted plantedFault) *incarnationSimulation {
	count := []int{3, 5, 9}[seed%3]
	s := &incarnationSimulation{cluster: newCluster(count, 2+count/5), random: rand.New(rand.NewPCG(seed, 8)),
		fault:  planted,
		frozen: map[MemberID]bool{}, knownEpoch: map[MemberID]uint64{}, completeEpoch: map[MemberID]uint64{},
		eligible:          map[MemberID]bool{},
		committedAtSubmit: map[uint64]int{}}
	s.intercept = s.inspect
	if seed/3%2 == 1 {
		s.writers = s.minMembers
	}
	s.view = View{1, s.ids[:s.minMembers+1], s.writers}
	for _, id := range s.view.Members {
		s.eligible[id] = s.isWriter(id)
	}
	return s
}

// inspect checks the Ready of a member before it is carried out, and applies the planted fault.
func (s *incarnationSimulation) inspect(h *host, ready *Ready) {
	if s.fault == answersUnconfirmedReads {
		for i := range ready.Messages {
			if m := ready.Messages[i].Message.Append; m != nil {
				ready.ConfirmedReads = append(ready.ConfirmedReads, m.PendingReads...)
			}
		}
	}
	if ready.PersistCompleteness {
		s.completeEpoch[h.id] = h.replica.Epoch()
	}
	for _, read := range ready.ConfirmedReads {
		s.answeredReads++
		if read.Origin == h.id {
			s.checkReadIsFresh(h, read)
		}
	}
	if ready.Snapshot != nil {
		s.checkSnapshotIsComplete(h, ready.Snapshot)
	}
}

// checkReadIsFresh checks an invariant: the state from which a read is answered contains all entries that were committed
// anywhere when the read was submitted.
func (s *incarnationSimulation) checkReadIsFresh(h *host, read Read) {
	if want := s.committedAtSubmit[read.Tag]; h.replica.CommitIndex() < uint64(want) {
		s.recordViolation("member %d answers a read at index %d, but %d entries were committed when it was submitted",
			h.id, h.replica.CommitIndex(), want)
	}
}

// checkSnapshotIsComplete checks an invariant: a snapshot contains every committed entry up to its index.
func (s *incarnationSimulation) checkSnapshotIsComplete(h *host, snapshot *Snapshot) {
	if snapshot.Index > uint64(len(s.history)) {
		s.recordViolation("member %d receives a snapshot with index %d, but only %d entries are committed",
			h.id, snapshot.Index, len(s.history))
		return
	}
	if want := texts(s.history[:snapshot.Index]); string(snapshot.Data) != want {
		s.recordViolation("member %d receives a snapshot with index %d that lacks entries", h.id, snapshot.Index)
	}
}

// deliverView delivers the newest view to a member.
func (s *incarnationSimulation) deliverView(id MemberID) {
	h := s.hosts[id]
	if !h.up || s.frozen[id] || s.knownEpoch[id] >= s.view.Epoch {
		return
	}
	s.knownEpoch[id] = s.view.Epoch
	h.replica.SetView(s.view)
	s.handleReady(h)
}

// nextView creates the next view as package view does: its head is a member of the current view that has received that view
// and has its complete log; some of the other running members follow.
func (s *incarnationSimulation) nextView() {
	for _, id := range s.view.Members {
		if s.completeEpoch[id] == s.view.Epoch { // also if the member has lost power since: its disk has stored the fact
			s.eligible[id] = s.isWriter(id)
		}
	}
	var heads, others []MemberID
	for _, id := range s.ids {
		h := s.hosts[id]
		switch inView := slices.Contains(s.view.Members, id); {
		case !h.up || s.frozen[id]:
		case inView && s.eligible[id] && s.knownEpoch[id] == s.view.Epoch:
			heads = append(heads, id)
		case s.random.IntN(3) > 0:
			others = append(others, id)
		}
	}
	if len(heads) == 0 {
		return
	}
	s.random.Shuffle(len(heads), func(i, j int) { heads[i], heads[j] = heads[j], heads[i] })
	kept := heads[:1+s.random.IntN(len(heads))]
	s.view = View{s.view.Epoch + 1, append(append([]MemberID{}, kept...), others...), s.writers}
	for _, id := range s.ids {
		if !slices.Contains(kept, id) || !s.isWriter(id) {
			s.eligible[id] = false
		}
	}
}

// deliverAny delivers a message: usually the oldest, sometimes a random one. Sometimes the message also stays in flight, so
// that it may be delivered again.
func (s *incarnationSimulation) deliverAny(from, to MemberID) bool {
	pair := link{from, to}
	queue := s.queues[pair]
	h := s.hosts[to]
	if len(queue) == 0 || !h.up || s.frozen[to] {
		return false
	}
	at := 0
	if s.random.IntN(20) == 0 {
		at = s.random.IntN(len(queue))
	}
	message := queue[at]
	if s.random.IntN(50) > 0 {
		s.queues[pair] = append(append([]Message{}, queue[:at]...), queue[at+1:]...)
	}
	if s.fault == acceptsAnyEpoch {
		message = withEpoch(message, h.replica.Epoch())
	}
	h.replica.Receive(from, &message)
	s.handleReady(h)
	return true
}

// withEpoch returns a copy of a message with another epoch.
func withEpoch(message Message, epoch uint64) Message {
	if message.Append != nil {
		copied := *message.Append
		copied.Epoch, message.Append = epoch, &copied
	}
	if message.Ack != nil {
		copied := *message.Ack
		copied.Epoch, message.Ack = epoch, &copied
	}
	if message.Snapshot != nil {
		copied := *message.Snapshot
		copied.Epoch, message.Snapshot = epoch, &copied
	}
	return message
}

// submitRead submits a read of a member to the head of the view that the member knows.
func (s *incarnationSimulation) submitRead(id MemberID) {
	h := s.hosts[id]
	head := s.hosts[h.replica.Head()]
	if !h.up || s.frozen[id] || head == nil || !head.up || s.frozen[head.id] {
		return
	}
	tag := uint64(len(s.committedAtSubmit) + 1)
	s.committedAtSubmit[tag] = len(s.history)
	head.replica.Propose([]Proposal{{Origin: id, Tag: tag, Read: true}})
	s.handleReady(head)
}

func (s *incarnationSimulation) compact(id MemberID) {
	h := s.hosts[id]
	index := h.replica.CommitIndex()
	if !h.up || s.frozen[id] || index == 0 || index > uint64(len(s.history)) || index <= h.base.Index {
		return
	}
	covered := index
	if s.fault == incompleteSnapshot {
		covered--
	}
	data := []byte(texts(s.history[:covered]))
	synced := h.base.Index + uint64(len(h.disk))
	if synced < index {
		return
	}
	epoch := h.replica.EpochAt(index)
	h.disk = append([]Entry(nil), h.disk[index-h.base.Index:]...)
	h.base = Snapshot{Index: index, IndexEpoch: epoch, Data: data}
	h.replica.Compact(index, data)
}

// stopOrRestart stops a running member or restarts a stopped one. Messages sent before the stop may still arrive.
func (s *incarnationSimulation) stopOrRestart(id MemberID) {
	if !s.hosts[id].up {
		s.powerOn(id)
		return
	}
	queues := map[link][]Message{}
	for pair, queue := range s.queues {
		queues[pair] = queue
	}
	s.powerLoss(id)
	if s.random.IntN(2) == 0 {
		for pair, queue := range queues {
			if pair.from == id {
				s.queues[pair] = queue
			}
		}
	}
	s.frozen[id] = false
	s.knownEpoch[id] = s.view.Epoch // after its restart, the member only takes part in later views
}

func (s *incarnationSimulation) step(count int) {
	id := s.ids[s.random.IntN(len(s.ids))]
	h := s.hosts[id]
	running := h.up && !s.frozen[id]
	switch dice := s.random.IntN(1000); {
	case dice < 40:
		if head := s.hosts[h.replica.Head()]; running && head != nil && head.up && !s.frozen[head.id] {
			s.propose(head.id, fmt.Sprint(count))
		}
	case dice < 140:
		s.submitRead(id)
	case dice < 690:
		for range 2 * len(s.ids) { // most pairs have nothing to deliver
			if s.deliverAny(id, s.ids[s.random.IntN(len(s.ids))]) {
				break
			}
		}
	case dice < 860:
		if running {
			s.sync(id)
		}
	case dice < 920:
		if running {
			h.replica.Tick(1)
			s.handleReady(h)
		}
	case dice < 976:
		s.deliverView(id)
	case dice < 981:
		s.compact(id)
	case dice < 985:
		s.frozen[id] = !s.frozen[id] && h.up && s.random.IntN(3) == 0
	case dice < 988:
		s.stopOrRestart(id)
	case dice < 990:
		s.nextView()
	default:
		if running {
			h.replica.Reconnected(s.ids[s.random.IntN(len(s.ids))])
			s.handleReady(h)
		}
	}
}

func simulateIncarnations(seed uint64, planted plantedFault) (s *incarnationSimulation) {
	s = newIncarnationSimulation(seed, planted)
	if planted != noFault { // a fault may also cause a panic, which would stop the process
		defer func() {
			if reason := recover(); reason != nil {
				s.recordViolation("a member panics: %v", reason)
			}
		}()
	}
	for count := range 9000 {
		s.step(count)
		s.timeline = s.timeline[:0]
		if len(s.violations) > 0 {
			break
		}
	}
	return s
}

// TestRestartsAndViewChangesKeepInvariants simulates 3, 5 and 9 members over many views, with late messages of
// earlier views and from before restarts.
func TestRestartsAndViewChangesKeepInvariants(t *testing.T) {
	const seeds = 150
	committed, answered, views := 0, 0, uint64(0)
	for seed := range uint64(seeds) {
		s := simulateIncarnations(seed, noFault)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, s.violations[0])
		}
		committed, answered, views = committed+len(s.history), answered+s.answeredReads, views+s.view.Epoch
	}
	t.Logf("%d entries committed, %d reads answered, %d views", committed, answered, views)
	if committed < 20*seeds || answered < 5*seeds || views < 5*seeds {
		t.Error("too few commits, reads or views to exercise the protocol")
	}
}

// TestSimulationsFindPlantedFaults checks that the simulations find each planted fault, and that they report a
// violation of an invariant which the fault breaks.
func TestSimulationsFindPlantedFaults(t *testing.T) {
	const maxSeeds = 600
	for name, c := range map[string]struct {
		planted plantedFault
		breaks  []string // texts of which the reported violation must contain one
	}{
		"messages of other views are accepted": {acceptsAnyEpoch, []string{"commit", "a member panics"}},
		"a snapshot lacks an entry":            {incompleteSnapshot, []string{"snapshot"}},
		"a member answers unconfirmed reads":   {answersUnconfirmedReads, []string{"answers a read"}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if s := simulateIncarnations(seed, c.planted); len(s.violations) > 0 {
					if !slices.ContainsFunc(c.breaks, func(text string) bool { return strings.Contains(s.violations[0], text) }) {
						t.Errorf("the violation is not of an expected kind: %s", s.violations[0])
					}
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Errorf("the fault was not found in %d simulations", maxSeeds)
		})
	}
}
