package view

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// machine is one member with a disk; sends wait for its sync.
type machine struct {
	register *Consensus
	disk     HardState
	synced   bool // its disk holds something
	waiting  []Ready
	up       bool
}

// council is a set of machines under one test's control.
type council struct {
	machines map[MemberID]*machine
	order    []MemberID
	letters  []letter
	decided  map[uint64]string // what was ever in force, by epoch
	broken   []string
	votes    map[MemberID]bool // wiped members whose old votes are lost
	forget   bool              // planted fault: nothing is synced before it is told
}

type letter struct {
	from, to MemberID
	message  Message
}

func newCouncil(count int) *council {
	c := &council{machines: map[MemberID]*machine{}, decided: map[uint64]string{}, votes: map[MemberID]bool{}}
	var electors []Member
	for id := MemberID(1); id <= MemberID(count); id++ {
		electors = append(electors, Member{ID: id, Node: fmt.Sprint("n", id), Address: fmt.Sprint("a", id)})
	}
	for _, member := range electors {
		durable := HardState{Self: member, InitialMember: true, View: View{Electors: electors}}
		c.machines[member.ID] = &machine{register: NewConsensus(durable), disk: durable, up: true}
		c.order = append(c.order, member.ID)
	}
	return c
}

func (c *council) take(id MemberID) {
	m := c.machines[id]
	out := m.register.Ready()
	if out.HardState == nil && len(out.Messages) == 0 {
		return
	}
	if out.HardState == nil || c.forget {
		c.send(id, out)
		return
	}
	m.waiting = append(m.waiting, out)
}

// sync makes the oldest save durable, and lets go what waited for it.
func (c *council) sync(id MemberID) {
	m := c.machines[id]
	if len(m.waiting) == 0 {
		return
	}
	out := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.disk = *out.HardState
	c.send(id, out)
}

func (c *council) send(id MemberID, out Ready) {
	if out.Decided {
		view := out.HardState.View
		text := fmt.Sprint(view)
		if known, stands := c.decided[view.Epoch]; stands && known != text {
			c.broken = append(c.broken, fmt.Sprintf("epoch %d: %s and %s", view.Epoch, known, text))
		}
		c.decided[view.Epoch] = text
	}
	for _, send := range out.Messages {
		c.letters = append(c.letters, letter{id, send.To, send.Message})
	}
}

func (c *council) deliver(i int) {
	l := c.letters[i]
	c.letters = append(c.letters[:i], c.letters[i+1:]...)
	if m := c.machines[l.to]; m != nil && m.up {
		m.register.Receive(l.from, &l.message)
		c.take(l.to)
	}
}

// restart loses what was not synced.
func (c *council) restart(id MemberID) {
	m := c.machines[id]
	m.waiting = nil
	m.register = NewConsensus(m.disk)
}

// propose wishes for a random part of the electors as the chain.
func (c *council) propose(random *rand.Rand, id MemberID) {
	m := c.machines[id]
	wish := View{Electors: m.register.View().Electors}
	for _, elector := range wish.Electors {
		if random.IntN(4) > 0 {
			wish.Chain = append(wish.Chain, elector)
		}
	}
	if len(wish.Chain) == 0 {
		wish.Chain = wish.Electors
	}
	m.register.Propose(wish, nil, 2)
	c.take(id)
}

func viewStorm(seed uint64, forget bool) *council {
	random := rand.New(rand.NewPCG(seed, 9))
	c := newCouncil(3 + 2*int(seed%2))
	c.forget = forget
	for range 2000 {
		id := c.order[random.IntN(len(c.order))]
		switch dice := random.IntN(1000); {
		case dice < 15:
			c.propose(random, id)
		case dice < 550:
			if len(c.letters) > 0 {
				c.deliver(random.IntN(len(c.letters)))
			}
		case dice < 570: // lost
			if len(c.letters) > 0 {
				i := random.IntN(len(c.letters))
				c.letters = append(c.letters[:i], c.letters[i+1:]...)
			}
		case dice < 590: // doubled
			if len(c.letters) > 0 {
				c.letters = append(c.letters, c.letters[random.IntN(len(c.letters))])
			}
		case dice < 970:
			c.sync(id)
		case dice < 980:
			c.restart(id)
		case dice < 985:
			c.machines[id].register.Tick()
			c.take(id)
		default:
			c.machines[id].register.MarkComplete(c.machines[id].register.View().Epoch)
			c.take(id)
		}
	}
	return c
}

func TestOneViewAnEpoch(t *testing.T) {
	seeds, decided := 600, 0
	for seed := range seeds {
		c := viewStorm(uint64(seed), false)
		if len(c.broken) > 0 {
			t.Fatalf("seed %d: %s", seed, c.broken[0])
		}
		decided += len(c.decided)
	}
	if decided < 3*seeds {
		t.Errorf("only %d views in %d storms: they show little", decided, seeds)
	}
}

// TestPlantedForgetting shows that the storms find votes that were told before they were synced.
func TestPlantedForgetting(t *testing.T) {
	for seed := range 2000 {
		if c := viewStorm(uint64(seed), true); len(c.broken) > 0 {
			return
		}
	}
	t.Error("votes told before their sync were not found")
}

func pingOf(member Member, epoch uint64, hears ...MemberID) Heartbeat {
	return Heartbeat{From: member, Epoch: epoch, HeardFrom: hears}
}

// three returns three members and the view that all of them form.
func three() ([]Member, *View) {
	members := []Member{}
	for id := MemberID(1); id <= 3; id++ {
		members = append(members, Member{ID: id, Address: fmt.Sprint("a", id), Zone: fmt.Sprint("z", id), WriterSince: 1})
	}
	return members, &View{Epoch: 4, Chain: members, Electors: members}
}

func TestSilentMemberLeavesTheChain(t *testing.T) {
	members, view := three()
	d := NewDetector(members[0], 0, 2)
	at := time.Duration(0)
	for ; at < 2*time.Second; at += 100 * time.Millisecond {
		d.ReceiveHeartbeat(at, pingOf(members[1], 4, 1, 3))
		if at < time.Second {
			d.ReceiveHeartbeat(at, pingOf(members[2], 4, 1, 2))
		}
		wish, _ := d.DesiredView(at, view, false, false, 0)
		silent := at - 900*time.Millisecond
		if (wish != nil) != (silent > heartbeatTimeout) && at > 200*time.Millisecond {
			t.Fatalf("at %v a wish %v", at, wish)
		}
		if wish != nil && len(wish.Chain) != 2 {
			t.Fatalf("chain %v", wish.Chain)
		}
	}
}

func TestRefusedConnectionCountsAtOnce(t *testing.T) {
	members, view := three()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, pingOf(members[1], 4, 1, 3))
	d.ReceiveHeartbeat(time.Second, pingOf(members[2], 4, 1, 2))
	d.ConnectionRefused(time.Second, 3)
	if wish, _ := d.DesiredView(time.Second, view, false, false, 0); wish == nil || len(wish.Chain) != 2 {
		t.Errorf("wish %v", wish)
	}
}

func TestOneWayDeafMemberIsNotAlive(t *testing.T) {
	members, _ := three()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, pingOf(members[1], 4, 3))
	if d.IsAlive(time.Second, 2) {
		t.Error("a member that does not hear this one counts as alive")
	}
}

// newcomer lets a stranger and both other electors be heard, but for the silent one.
func newcomer(stranger Heartbeat, silent MemberID) *View {
	members, view := three()
	d := NewDetector(members[0], 0, 2)
	var wish *View
	for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
		for _, member := range members[1:] {
			if member.ID != silent || at < 500*time.Millisecond {
				d.ReceiveHeartbeat(at, pingOf(member, 4, 1, 2, 3))
			}
		}
		d.ReceiveHeartbeat(at, stranger)
		wish, _ = d.DesiredView(at, view, false, false, 0)
	}
	return wish
}

func electorIDs(view *View) string {
	text := ""
	for _, elector := range view.Electors {
		text += fmt.Sprint(elector.ID, " ")
	}
	return text
}

func TestNewcomers(t *testing.T) {
	cases := []struct {
		name     string
		stranger Heartbeat
		silent   MemberID
		want     string // electors wished for; "" for no wish
	}{
		{"a wiped machine takes its own place", pingOf(Member{ID: 9, Address: "a3", Zone: "z3"}, 0, 1, 2), 3, "1 2 9 "},
		{"one at another address takes the silent one's place", pingOf(Member{ID: 9, Address: "a9", Zone: "z9"}, 0, 1, 2), 2, "1 9 3 "},
		{"one at another address waits while all are heard", pingOf(Member{ID: 9, Address: "a9", Zone: "z9"}, 0, 1, 2), 0, ""},
		{"one of the first start extends the electors",
			Heartbeat{From: Member{ID: 9, Address: "a9", Zone: "z9"}, InitialMember: true, HeardFrom: []MemberID{1, 2}}, 0, "1 2 3 9 "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wish := newcomer(c.stranger, c.silent)
			switch {
			case c.want == "" && wish != nil:
				t.Errorf("wish %v", wish)
			case c.want != "" && (wish == nil || electorIDs(wish) != c.want):
				t.Errorf("wish %v, want electors %s", wish, c.want)
			}
		})
	}
}

// TestHeadHasEverything keeps that a newcomer that lacks entries never becomes the head.
func TestHeadHasEverything(t *testing.T) {
	members, view := three()
	members[0].WriterSince = 4 // joined in the present view, and is not complete
	view.Chain = members
	durable := HardState{Self: members[0], View: *view, CompleteEpoch: 3}
	r := NewConsensus(durable)
	if r.EligibleAsHead() {
		t.Error("a newcomer counts as complete")
	}
	r.Propose(View{Chain: members, Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: false}})
	r.Receive(2, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || next.Chain[0].ID == 1 {
		t.Errorf("next view %v", next)
	}
}

func TestNoHeadWithoutACompleteMember(t *testing.T) {
	members, view := three()
	r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 0})
	r.Propose(View{Chain: members, Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	for id := MemberID(1); id <= 2; id++ {
		r.Receive(id, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot}})
	}
	if r.proposal.view != nil {
		t.Errorf("view %v without anybody who has everything", r.proposal.view)
	}
}

// TestChainIsNotCutBelowItsLeast keeps a fault of the first sitting: the wish left a slow member out, another
// one did not answer in time, and a chain of one was made, which acknowledges nothing.
func TestChainIsNotCutBelowItsLeast(t *testing.T) {
	members, view := three()
	r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
	r.Propose(View{Chain: members[:2], Electors: members}, nil, 2)
	ballot := r.proposal.ballot
	r.Receive(1, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	r.Receive(3, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
	if next := r.proposal.view; next == nil || len(next.Chain) != 2 {
		t.Errorf("next view %v", next)
	}
}

// A proposal that leaves nobody out waits for a busy member; one that drops a silent member is urgent.
func TestPatienceForBusyMembers(t *testing.T) {
	members, view := three()
	for name, c := range map[string]struct {
		wish  []Member
		ticks int
	}{"all stay": {members, calmPatience}, "one is dropped": {members[:2], patience}} {
		r := NewConsensus(HardState{Self: members[0], View: *view, CompleteEpoch: 4})
		r.Propose(View{Chain: c.wish, Electors: members}, []MemberID{1, 2, 3}, 2)
		ballot := r.proposal.ballot
		for id := MemberID(1); id <= 2; id++ {
			r.Receive(id, &Message{Promise: &Promise{BaseEpoch: 4, Ballot: ballot, EligibleAsHead: true}})
		}
		for tick := 1; tick <= c.ticks; tick++ {
			if r.proposal.view != nil {
				t.Errorf("%s: goes on after %d ticks of %d without the third answer", name, tick-1, c.ticks)
			}
			r.Tick()
		}
		if r.proposal == nil || r.proposal.view == nil {
			t.Errorf("%s: still waits after %d ticks", name, c.ticks)
		}
	}
}

func TestTroubleIsNamed(t *testing.T) {
	members, _ := three()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, pingOf(members[1], 4, 1, 2))
	d.ReceiveHeartbeat(time.Second, pingOf(members[2], 4, 2, 3))
	for _, c := range []struct {
		now  time.Duration
		id   MemberID
		want string
	}{{time.Second, 1, ""}, {time.Second, 2, ""}, {time.Second, 3, "does not hear this member"},
		{time.Second + heartbeatTimeout + 1, 2, "silent"}, {time.Second, 9, "never heard"}} {
		if got := d.ExclusionReason(c.now, c.id); got != c.want {
			t.Errorf("member %d at %v: %q, want %q", c.id, c.now, got, c.want)
		}
	}
}
