package policylease

// This file owns the explorer: it runs the keepers' state and some holders through every order
// of asking, delivering, losing, doubling, proposing and waiting, to a stated depth, and checks
// after each step that no two holders admit work under different versions. A fault can be
// planted, so that a test can show that the explorer would find it. It must never be reached
// from a running program.

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
)

// Fault is a mistake planted on purpose.
type Fault string

// The faults that the explorer must find.
const (
	NoFault               Fault = ""
	AcceptsStaleMessages  Fault = "a late or doubled message is taken for a new one"
	LeaseCountsFromAnswer Fault = "a lease counts from its answer, not from when it was asked for"
	FastCoordinatorClock  Fault = "the keepers' time runs faster than any clock"
	ReportsNotServing     Fault = "a holder says that it serves under nothing, and serves"
	SkipsClosing          Fault = "a change comes into force without waiting for leases"
	AppliesEarly          Fault = "a holder goes over to a version when it is proposed"
	ServesAfterRelease    Fault = "a holder goes on after it has left"
	ActsOnOldCheck        Fault = "a holder that was stopped acts before it looks at its lease"
	CountsTimeBeforeGrant Fault = "time that passed before a lease was given counts for it"
	LeaderForgetsLeases   Fault = "a keeper that leads anew does not know what the one before gave"
)

// Faults are all of them.
var Faults = []Fault{AcceptsStaleMessages, LeaseCountsFromAnswer, FastCoordinatorClock, ReportsNotServing, SkipsClosing, AppliesEarly, ServesAfterRelease, ActsOnOldCheck, CountsTimeBeforeGrant, LeaderForgetsLeases}

const step = 500 * time.Millisecond // of time, half a lease

// call is a message on its way to the keepers, or the answer on its way back.
type call struct {
	to     int // the holder that waits for its answer
	cmd    statemachine.Command
	seq    uint64
	asked  time.Duration
	answer *statemachine.Result
	news   *statemachine.WatchUpdate // of a watch, in the place of both
}

type side struct {
	a     Holder
	out   uint64 // the call whose answer it waits for; 0: none
	admit statemachine.Policy
	sees  Admission // at its last look, for the fault of one that does not look again
	left  bool
	moved int // messages made, bounded
}

type world struct {
	k     *statemachine.State
	now   time.Duration      // real time
	owed  time.Duration      // real time that the leader has not read off its clock
	tick  *statemachine.Tick // read, and on its way
	sides []side
	wire  []call
	made  int // changes proposed
	told  int // watches that told something, bounded
}

func (w *world) clone() *world {
	text, err := w.k.Snapshot()
	if err != nil {
		panic(err)
	}
	k, err := statemachine.Restore(text)
	if err != nil {
		panic(err)
	}
	return &world{k: k, now: w.now, owed: w.owed, tick: w.tick, sides: append([]side(nil), w.sides...), wire: append([]call(nil), w.wire...), made: w.made, told: w.told}
}

func (w *world) key() [32]byte {
	text, _ := w.k.Snapshot()
	h := sha256.New()
	h.Write(text)
	fmt.Fprint(h, w.now, w.owed, w.tick, w.sides, w.made, w.told)
	for _, c := range w.wire {
		text, _ := statemachine.Encode(c.cmd)
		h.Write(text)
		text, _ = statemachine.Encode(c.answer)
		h.Write(text)
		text, _ = statemachine.Encode(c.news)
		h.Write(text)
		fmt.Fprint(h, c.to, c.seq, c.asked)
	}
	return [32]byte(h.Sum(nil))
}

// Exploration is what an exploration came to.
type Exploration struct {
	States    int
	Violation []string // the steps to the first state in which a promise is broken; nil: none is
}

func newWorld(holders int) *world {
	first := &world{k: statemachine.New(statemachine.Config{LeaseDuration: 2 * step, VoteTimeout: 4 * step, OnLeaseLoss: statemachine.RefuseWork, PolicyHistory: 4})}
	for i := range holders {
		first.sides = append(first.sides, side{a: *New(fmt.Sprint("n", i), uint64(i+1), "", statemachine.RefuseWork)})
	}
	// All hold a lease under version 0 to begin with: the ways there are the same as later ones.
	for i := range first.sides {
		s := &first.sides[i]
		h := s.a.NextRequest(0)
		s.a.HandleResult(0, first.k.Apply(statemachine.Command{LeaseRequest: &h}))
		s.sees = s.a.Admission(0)
	}
	return first
}

// Explore goes through every order of events with so many holders, to a depth in steps, or to
// so many states. It is breadth first: the steps that it prints are the fewest.
func Explore(holders, depth, most int, fault Fault) Exploration {
	type node struct {
		w     *world
		steps []string
	}
	first := newWorld(holders)
	seen := map[[32]byte]bool{first.key(): true}
	front := []node{{first, nil}}
	for range depth {
		var next []node
		for _, n := range front {
			for _, e := range n.w.events(fault) {
				w := n.w.clone()
				e.do(w)
				k := w.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				steps := append(append([]string(nil), n.steps...), e.name)
				if why := w.broken(fault); why != "" {
					return Exploration{len(seen), append(steps, why)}
				}
				if len(seen) >= most {
					return Exploration{States: len(seen)}
				}
				next = append(next, node{w, steps})
			}
		}
		front = next
	}
	return Exploration{States: len(seen)}
}

// RandomWalks takes so many walks of so many steps, each by a seed, where Explore does not reach:
// the same seeds take the same walks. The steps that it prints are of the shortest that it
// found to break a promise.
func RandomWalks(holders, walks, steps int, fault Fault) (got Exploration) {
	found := walks
	for seed := 0; seed < min(walks, found+500); seed++ { // some more walks, for a shorter one
		rnd := rand.New(rand.NewPCG(uint64(seed), 3))
		w := newWorld(holders)
		var names []string
		for range steps {
			if got.Violation != nil && len(names)+2 >= len(got.Violation) {
				break
			}
			all := w.events(fault)
			if len(all) == 0 {
				break
			}
			sum := 0
			for _, e := range all {
				sum += e.odds
			}
			draw, e := rnd.IntN(sum), all[0]
			for _, e = range all {
				if draw -= e.odds; draw < 0 {
					break
				}
			}
			e.do(w)
			got.States++
			names = append(names, e.name)
			if why := w.broken(fault); why != "" {
				got.Violation, found = append(names, why), min(found, seed)
				break
			}
		}
	}
	return got
}

type event struct {
	name string
	odds int // of being taken on a walk, against the others'
	do   func(w *world)
}

// broken names a promise that does not hold: two that admit under different versions.
func (w *world) broken(fault Fault) string {
	var at []string
	version, two := uint64(0), false
	for i := range w.sides {
		s := &w.sides[i]
		h := s.a.Admission(w.now)
		if fault == ActsOnOldCheck {
			h = s.sees
		}
		if fault == ServesAfterRelease && s.left {
			h.Allowed = true
		}
		if !h.Allowed {
			continue
		}
		if len(at) > 0 && h.Version != version {
			two = true
		}
		version = h.Version
		at = append(at, fmt.Sprintf("n%d admits under %d", i, h.Version))
	}
	if !two {
		return ""
	}
	return strings.Join(at, " and ")
}

// events are all that can happen next.
func (w *world) events(fault Fault) (out []event) {
	if w.now < 10*step {
		out = append(out, event{"time passes", 2, func(w *world) { w.now += step; w.owed += step }})
	}
	if w.owed > 0 && w.tick == nil {
		out = append(out, event{"the leader reads its clock", 4, func(w *world) {
			w.tick = &statemachine.Tick{Elapsed: w.owed, GrantsSeen: w.k.GrantCount}
			if fault == FastCoordinatorClock {
				w.tick.Elapsed *= 2
			}
			w.owed = 0
		}}, event{"a new leader counts anew", 1, func(w *world) {
			w.owed, w.tick = 0, nil
			if fault == LeaderForgetsLeases {
				for _, h := range w.k.Holders {
					h.LeaseExpiry, h.PendingGrant = 0, 0
				}
				w.k.Apply(statemachine.Command{Tick: &statemachine.Tick{}})
			}
		}})
	}
	if w.tick != nil {
		out = append(out, event{"its time is told", 4, func(w *world) {
			t := *w.tick
			if fault == CountsTimeBeforeGrant {
				t.GrantsSeen = w.k.GrantCount
			}
			w.k.Apply(statemachine.Command{Tick: &t})
			w.tick = nil
		}})
	}
	if w.made < 2 {
		out = append(out, event{"a change is proposed", 2, func(w *world) {
			w.made++
			w.k.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: fmt.Sprint("c", w.made), Text: []byte{byte(w.made)}, BaseVersion: w.k.CurrentPolicy().Version, Author: "me"}})
		}})
	}
	for i := range w.sides {
		if s := &w.sides[i]; s.out == 0 && s.moved < 8 && !s.left {
			out = append(out, event{fmt.Sprintf("n%d asks", i), 4, func(w *world) {
				s := &w.sides[i]
				h := s.a.NextRequest(w.now)
				if fault == ReportsNotServing {
					h.ServingVersion = 0
				}
				s.sees = s.a.Admission(w.now)
				s.moved++
				s.out = h.Seq
				w.wire = append(w.wire, call{to: i, cmd: statemachine.Command{LeaseRequest: &h}, seq: h.Seq, asked: w.now})
			}})
			if i == 0 {
				out = append(out, event{"n0 leaves", 1, func(w *world) {
					s := &w.sides[i]
					l := s.a.Release()
					s.left = true
					s.sees = s.a.Admission(w.now)
					w.k.Apply(statemachine.Command{LeaseRelease: &l})
				}})
			}
		} else if s.out != 0 {
			out = append(out, event{fmt.Sprintf("n%d gives up waiting", i), 1, func(w *world) { w.sides[i].out = 0 }})
		}
	}
	if w.told < 4 && w.k.Change != nil {
		for i := range w.sides {
			out = append(out, event{fmt.Sprintf("n%d's watch sees revision %d", i, w.k.Revision), 2, func(w *world) {
				text, _ := statemachine.Encode(w.k.UpdateFor(w.sides[i].a.policy.Version, 0, relay.Watermark{})) // as it is now, however late it comes
				n := &statemachine.WatchUpdate{}
				if err := statemachine.Decode(text, n); err != nil {
					panic(err)
				}
				w.told++
				w.wire = append(w.wire, call{to: i, news: n})
			}})
		}
	}
	for j, c := range w.wire {
		if c.news != nil {
			out = append(out, event{fmt.Sprintf("n%d is told of revision %d", c.to, c.news.Revision), 4, func(w *world) { w.tell(j, fault) }})
			continue
		}
		name := fmt.Sprintf("n%d's message %d arrives", c.to, c.seq)
		if c.cmd.Vote != nil {
			name = fmt.Sprintf("n%d's word on the change arrives", c.to)
		}
		if c.answer != nil {
			out = append(out, event{fmt.Sprintf("n%d hears the answer to message %d", c.to, c.seq), 6, func(w *world) { w.hear(j, fault) }})
			continue
		}
		out = append(out, event{name, 4, func(w *world) { w.deliver(j, false, fault) }})
		if c.cmd.LeaseRequest != nil {
			out = append(out, event{name + ", and stays to arrive again", 1, func(w *world) { w.deliver(j, true, fault) }})
		}
	}
	return out
}

func (w *world) deliver(j int, stays bool, fault Fault) {
	c := w.wire[j]
	if !stays {
		w.wire = append(append([]call(nil), w.wire[:j]...), w.wire[j+1:]...)
	}
	cmd := c.cmd
	if cmd.LeaseRequest != nil && fault == AcceptsStaleMessages {
		h := *cmd.LeaseRequest
		if known := w.k.Holders[fmt.Sprintf("%s/%d", h.Name, h.Incarnation)]; known != nil {
			h.Seq = max(h.Seq, known.Seq+1)
		}
		cmd.LeaseRequest = &h
	}
	r := w.k.Apply(cmd)
	if fault == SkipsClosing && w.k.Change != nil && w.k.Change.Stage == statemachine.Closing {
		for _, h := range w.k.Holders {
			h.LeaseExpiry, h.PendingGrant = 0, 0
		}
		w.k.Apply(statemachine.Command{Tick: &statemachine.Tick{}})
	}
	if cmd.LeaseRequest != nil && w.sides[c.to].out == c.seq { // else nobody waits for this answer
		// What is told stays as it was told.
		text, _ := statemachine.Encode(r)
		r = statemachine.Result{}
		if err := statemachine.Decode(text, &r); err != nil {
			panic(err)
		}
		w.wire = append(w.wire, call{to: c.to, seq: c.seq, asked: c.asked, answer: &r})
	}
}

func (w *world) hear(j int, fault Fault) {
	c := w.wire[j]
	w.wire = append(append([]call(nil), w.wire[:j]...), w.wire[j+1:]...)
	s := &w.sides[c.to]
	if s.out != c.seq {
		return // given up
	}
	s.out = 0
	asked := c.asked
	if fault == LeaseCountsFromAnswer {
		asked = w.now
	}
	w.act(c.to, s.a.HandleResult(asked, *c.answer), fault)
}

// tell is a watch's word coming in.
func (w *world) tell(j int, fault Fault) {
	c := w.wire[j]
	w.wire = append(append([]call(nil), w.wire[:j]...), w.wire[j+1:]...)
	s := &w.sides[c.to]
	if !s.left {
		w.act(c.to, s.a.HandleUpdate(*c.news), fault)
	}
}

// act does what a holder is left to do.
func (w *world) act(to int, t Actions, fault Fault) {
	s := &w.sides[to]
	if t.ApplyPolicy != nil {
		s.a.PolicyApplied(*t.ApplyPolicy)
		s.moved--
	}
	if t.CheckChange != nil {
		say := s.a.Vote(t.CheckChange, "")
		w.wire = append(w.wire, call{to: to, cmd: statemachine.Command{Vote: &say}, asked: w.now})
		if fault == AppliesEarly {
			s.a.policy = t.CheckChange.Policy
		}
	}
	s.sees = s.a.Admission(w.now)
	if t.RequestAgain {
		s.moved--
	}
}
