package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// plantedFault is a fault that is let into a simulation, to see that it is found.
type plantedFault int

const (
	noFault         plantedFault = iota
	takesAnyEpoch                // members take messages of other views for ones of their own
	shortSnapshot                // a snapshot lacks its last entry
	answersTooEarly              // a member answers reads itself, before they have passed the chain
)

// incarnationSimulation is a network in which a new view reaches its members one by one, messages stay in flight over
// views and incarnations of their senders, come twice and out of order, and members are frozen with what they know.
type incarnationSimulation struct {
	*cluster
	random             *rand.Rand
	fault              plantedFault
	frozen             map[MemberID]bool
	knownEpoch         map[MemberID]uint64 // epoch of the newest view that the member knows
	completeEpoch      map[MemberID]uint64 // as the disk keeps it: the last view in which the member was complete
	eligible           map[MemberID]bool   // members of the newest view that have its complete log
	committedWhenAsked map[uint64]int      // by the tag of a read: entries that were committed when it was asked
	answeredReads      int
}

func newIncarnationSimulation(seed uint64, planted plantedFault) *incarnationSimulation {
	count := []int{3, 5, 9}[seed%3]
	s := &incarnationSimulation{cluster: newCluster(count, 2+count/5), random: rand.New(rand.NewPCG(seed, 8)), fault: planted,
		frozen: map[MemberID]bool{}, knownEpoch: map[MemberID]uint64{}, completeEpoch: map[MemberID]uint64{}, eligible: map[MemberID]bool{},
		committedWhenAsked: map[uint64]int{}}
	s.intercept = s.inspect
	if seed/3%2 == 1 {
		s.writers = s.minimum
	}
	s.view = View{1, s.ids[:s.minimum+1], s.writers}
	for _, id := range s.view.Members {
		s.eligible[id] = s.isWriter(id)
	}
	return s
}

// inspect checks what a member is about to do, and plants the fault.
func (s *incarnationSimulation) inspect(h *host, ready *Ready) {
	if s.fault == answersTooEarly {
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
			s.readsAreFresh(h, read)
		}
	}
	if ready.Snapshot != nil {
		s.snapshotsAreComplete(h, ready.Snapshot)
	}
}

// readsAreFresh is an invariant: a read shows all that was committed anywhere when it was asked.
func (s *incarnationSimulation) readsAreFresh(h *host, read Read) {
	if want := s.committedWhenAsked[read.Tag]; h.replica.CommitIndex() < uint64(want) {
		s.violated("member %d answers a read at %d, where %d was committed when it was asked", h.id, h.replica.CommitIndex(), want)
	}
}

// snapshotsAreComplete is an invariant: a snapshot has every committed entry up to its index.
func (s *incarnationSimulation) snapshotsAreComplete(h *host, snapshot *Snapshot) {
	if snapshot.Index > uint64(len(s.history)) {
		s.violated("member %d is given a snapshot of %d, where %d are committed", h.id, snapshot.Index, len(s.history))
		return
	}
	if want := texts(s.history[:snapshot.Index]); string(snapshot.Data) != want {
		s.violated("member %d is given a snapshot of %d that lacks entries", h.id, snapshot.Index)
	}
}

// deliverView brings the newest view to a member.
func (s *incarnationSimulation) deliverView(id MemberID) {
	h := s.hosts[id]
	if !h.up || s.frozen[id] || s.knownEpoch[id] >= s.view.Epoch {
		return
	}
	s.knownEpoch[id] = s.view.Epoch
	h.replica.SetView(s.view)
	s.handleReady(h)
}

// nextView makes another view as package view does: headed by a member of the present one that knows it and has its
// complete log, with whoever is up behind it.
func (s *incarnationSimulation) nextView() {
	for _, id := range s.view.Members {
		if s.completeEpoch[id] == s.view.Epoch { // also one that has lost power since: its disk says so
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

// deliverAny hands a message over: the oldest, or now and then any, or one that stays in flight as well.
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
	if s.fault == takesAnyEpoch {
		message = withEpoch(message, h.replica.Epoch())
	}
	h.replica.Receive(from, &message)
	s.handleReady(h)
	return true
}

// withEpoch returns a message as if it came from another view.
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

// ask sends a member's read to the member that it takes for the head.
func (s *incarnationSimulation) ask(id MemberID) {
	h := s.hosts[id]
	head := s.hosts[h.replica.Head()]
	if !h.up || s.frozen[id] || head == nil || !head.up || s.frozen[head.id] {
		return
	}
	tag := uint64(len(s.committedWhenAsked) + 1)
	s.committedWhenAsked[tag] = len(s.history)
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
	if s.fault == shortSnapshot {
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

// losePower takes a member down, or starts it again. What it has sent may still arrive.
func (s *incarnationSimulation) losePower(id MemberID) {
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
	s.knownEpoch[id] = s.view.Epoch // its next incarnation takes part in a later view only
}

func (s *incarnationSimulation) step(count int) {
	id := s.ids[s.random.IntN(len(s.ids))]
	h := s.hosts[id]
	awake := h.up && !s.frozen[id]
	switch dice := s.random.IntN(1000); {
	case dice < 40:
		if head := s.hosts[h.replica.Head()]; awake && head != nil && head.up && !s.frozen[head.id] {
			s.propose(head.id, fmt.Sprint(count))
		}
	case dice < 140:
		s.ask(id)
	case dice < 690:
		for range 2 * len(s.ids) { // most pairs have nothing to deliver
			if s.deliverAny(id, s.ids[s.random.IntN(len(s.ids))]) {
				break
			}
		}
	case dice < 860:
		if awake {
			s.sync(id)
		}
	case dice < 920:
		if awake {
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
		s.losePower(id)
	case dice < 990:
		s.nextView()
	default:
		if awake {
			h.replica.Reconnected(s.ids[s.random.IntN(len(s.ids))])
			s.handleReady(h)
		}
	}
}

func simulateIncarnations(seed uint64, planted plantedFault) (s *incarnationSimulation) {
	s = newIncarnationSimulation(seed, planted)
	if planted != noFault { // a fault may also show as a broken invariant, which stops the process
		defer func() {
			if stopped := recover(); stopped != nil {
				s.violated("a member stops: %v", stopped)
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

// TestIncarnationsAndViews plays 3, 5 and 9 members over many views, with late messages of earlier views and
// incarnations.
func TestIncarnationsAndViews(t *testing.T) {
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
		t.Error("the simulations show little")
	}
}

// TestPlantedFaultsInIncarnationsAndViews shows that the simulations find each planted fault, by the promise that it
// breaks.
func TestPlantedFaultsInIncarnationsAndViews(t *testing.T) {
	const most = 600
	for name, c := range map[string]struct {
		planted plantedFault
		breaks  []string // the promises by which it may be found
	}{
		"messages of other views are taken":            {takesAnyEpoch, []string{"commit", "a member stops"}},
		"a snapshot lacks an entry":                    {shortSnapshot, []string{"snapshot"}},
		"a member answers before its view confirms it": {answersTooEarly, []string{"answers a read"}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(most) {
				if s := simulateIncarnations(seed, c.planted); len(s.violations) > 0 {
					if !slices.ContainsFunc(c.breaks, func(text string) bool { return strings.Contains(s.violations[0], text) }) {
						t.Errorf("found as: %s", s.violations[0])
					}
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Errorf("not found in %d simulations", most)
		})
	}
}
