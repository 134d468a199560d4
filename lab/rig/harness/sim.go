package harness

// This file owns the simulation: keepers on the raft library and hundreds of dispatchers' halves
// in virtual time, with messages that are late, lost and doubled, keepers that crash and come
// back, and dispatchers that stand still. The same seed gives the same run to the letter. It must
// never look at a clock, and draws by its seed alone: the library's own draws of when to call
// an election are kept from mattering by never letting it come to one by itself.

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/consensus"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
)

// Sim is one schedule.
type Sim struct {
	Seed        uint64
	Keepers     int
	Dispatchers int
	Fence       statemachine.LeaseLossMode
	Length      time.Duration // with faults; half as much again without, to come to rest in
	Lost        float64       // share of messages
	Doubled     float64
	Slowest     time.Duration // of a message
	Calm        bool          // no crashes, stops or cuts
	Away        time.Duration // all keepers are down for so long, from a quarter of Length on
}

// Outcome is what came of it.
type Outcome struct {
	Digest  string // of all that happened
	Broken  []string
	InForce uint64          // versions that came into force
	Hanging bool            // a change is left under way after the calm
	Overlap time.Duration   // longest between two versions, under Last
	Took    []time.Duration // by changes from proposal to the last living dispatcher's lease under it
	Calls   int             // of dispatchers
	Bytes   int             // they sent
	Back    time.Duration   // from when the keepers are up again until every dispatcher holds a lease
	Rush    int             // most calls in 100 ms after that
	Before  float64         // share of looks at which one admits, before the keepers went, and
	Without float64         // while they were away
	Served  float64         // share of looks at which a dispatcher that is up admits
}

type simKeeper struct {
	id      uint64
	node    *raft.RawNode
	store   *raft.MemoryStorage
	state   *statemachine.State
	up      bool
	epoch   int // of this life, so that what was for another is void
	waiting map[uint64]func(statemachine.Result)
	term    uint64
	told    time.Duration
	heard   time.Duration // from a leader
	patient time.Duration // until it calls an election
}

type simHolder struct {
	a           *policylease.Holder
	name        string
	frozen      bool // stopped: it does nothing, and its clock runs on
	partitioned bool
	at          int
	calling     uint64
	drift       float64
	life        uint64
}

type simEvent struct {
	at time.Duration
	n  uint64
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type sim struct {
	Sim
	rnd      *rand.Rand
	now      time.Duration
	events   simQueue
	n        uint64
	keepers  []*simKeeper
	holders  []*simHolder
	out      Outcome
	record   hash.Hash
	settling bool // no faults any more
	proposed map[uint64]time.Duration
	last     map[uint64]time.Duration // admissions by version: the last, and the first
	first    map[uint64]time.Duration
	looks    [2]int
	phase    int // 0: before the keepers are away, 1: while, 2: after
	phases   [3][2]int
	since    time.Duration // they are up again
	calls    [2]int        // the slot of 100 ms that is counted, and its calls
	serial   uint64
}

const (
	simTick  = 50 * time.Millisecond
	simLease = 2 * time.Second
)

// Run plays the schedule.
func (c Sim) Run() Outcome {
	s := &sim{Sim: c, rnd: rand.New(rand.NewPCG(c.Seed, 29)), record: sha256.New(),
		proposed: map[uint64]time.Duration{}, last: map[uint64]time.Duration{}, first: map[uint64]time.Duration{}}
	s.startKeepers()
	s.startHolders()
	s.in(time.Second, s.changePolicy)
	if !c.Calm {
		s.in(time.Second, s.fault)
	}
	if c.Away > 0 {
		s.in(c.Length/4, s.stopAllKeepers)
	}
	s.in(c.Length, s.endFaults)
	for len(s.events) > 0 && s.now < c.Length*3/2 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.checkFinalPolicy()
	s.out.Before, s.out.Without = ratio(s.phases[0]), ratio(s.phases[1])
	s.out.Served = ratio(s.looks)
	s.out.Digest = hex.EncodeToString(s.record.Sum(nil))
	return s.out
}

// ratio returns the share of the first count in the second; 0 of none.
func ratio(n [2]int) float64 { return float64(n[0]) / float64(max(n[1], 1)) }

func (s *sim) startKeepers() {
	var peers []raft.Peer
	for i := range s.Keepers {
		peers = append(peers, raft.Peer{ID: uint64(i + 1)})
	}
	for i := range s.Keepers {
		k := &simKeeper{id: uint64(i + 1), store: raft.NewMemoryStorage()}
		s.keepers = append(s.keepers, k)
		s.boot(k, peers)
	}
}

func (s *sim) startHolders() {
	for i := range s.Dispatchers {
		h := &simHolder{name: fmt.Sprintf("d%d", i), at: s.rnd.IntN(s.Keepers), drift: 1 + policylease.MaxClockDrift*(s.rnd.Float64()-0.5)}
		s.holders = append(s.holders, h)
		s.restartHolder(h)
		s.in(s.between(0, simLease/4), func() { s.requestLease(h, h.life) })
		s.in(s.between(0, simTick), func() { s.observe(h) })
	}
}

// stopAllKeepers stops all keepers, and starts them again after Away.
func (s *sim) stopAllKeepers() {
	s.phase = 1
	for _, k := range s.keepers {
		k.up = false
	}
	s.in(s.Away, func() {
		s.phase, s.since = 2, s.now
		for _, k := range s.keepers {
			s.boot(k, nil)
		}
	})
}

// endFaults brings back everyone: from here on the system comes to rest.
func (s *sim) endFaults() {
	s.settling = true
	for _, k := range s.keepers {
		if !k.up {
			s.boot(k, nil)
		}
	}
	for _, h := range s.holders {
		h.frozen, h.partitioned = false, false
	}
}

// checkFinalPolicy requires that all keepers end with one policy, and notes a change that is left under way.
func (s *sim) checkFinalPolicy() {
	newest := s.keepers[0]
	for _, k := range s.keepers {
		if k.state.Revision > newest.state.Revision {
			newest = k
		}
	}
	if change := newest.state.Change; change != nil && change.Stage < statemachine.InForce {
		s.out.Hanging = true
	}
	want := newest.state.CurrentPolicy()
	s.out.InForce = want.Version
	for _, k := range s.keepers {
		if got := k.state.CurrentPolicy(); got.Version != want.Version || got.Digest != want.Digest {
			s.addViolation("keepers %d and %d are left with versions %d and %d", k.id, newest.id, got.Version, want.Version)
		}
	}
}

func (s *sim) addViolation(format string, args ...any) {
	if len(s.out.Broken) < 5 {
		s.out.Broken = append(s.out.Broken, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) in(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, simEvent{s.now + d, s.n, do})
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Float64()*float64(hi-lo))
}

// deliver delivers a message late, or not at all, or twice.
func (s *sim) deliver(do func()) {
	if !s.settling && s.rnd.Float64() < s.Lost {
		return
	}
	slowest := s.Slowest
	if s.settling {
		slowest = min(slowest, 10*time.Millisecond)
	}
	s.in(s.between(time.Millisecond, slowest), do)
	if !s.settling && s.rnd.Float64() < s.Doubled {
		s.in(s.between(time.Millisecond, 10*slowest), do)
	}
}

// ---- keepers

func (s *sim) boot(k *simKeeper, peers []raft.Peer) {
	k.epoch++
	k.up, k.waiting = true, map[uint64]func(statemachine.Result){}
	k.term, k.heard, k.patient = 0, s.now, s.between(10*simTick, 20*simTick)
	k.state = statemachine.New(statemachine.Config{LeaseDuration: simLease, VoteTimeout: 3 * time.Second, OnLeaseLoss: s.Fence, PolicyHistory: 8})
	node, err := raft.NewRawNode(&raft.Config{ID: k.id, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: k.store,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, PreVote: true, Logger: consensus.DiscardLogger{}})
	if err != nil {
		panic(err)
	}
	k.node = node
	if peers != nil {
		if err := node.Bootstrap(peers); err != nil {
			panic(err)
		}
	}
	epoch := k.epoch
	var tick func()
	tick = func() {
		if k.epoch != epoch || !k.up {
			return
		}
		k.node.Tick()
		st := k.node.BasicStatus()
		if st.RaftState == raft.StateLeader {
			k.heard = s.now
			s.recordTime(k, st.GetTerm())
		} else if k.term = 0; s.now-k.heard > k.patient {
			k.heard, k.patient = s.now, s.between(10*simTick, 20*simTick)
			_ = k.node.Campaign()
		}
		s.ready(k)
		s.in(simTick, tick)
	}
	s.in(s.between(0, simTick), tick)
	s.ready(k)
}

// recordTime has a leader record how much time has passed, as consensus does.
func (s *sim) recordTime(k *simKeeper, term uint64) {
	if k.term == term {
		s.propose(k, statemachine.Command{Tick: &statemachine.Tick{Elapsed: s.now - k.told, GrantsSeen: k.state.GrantCount}}, nil)
	}
	k.term, k.told = term, s.now
}

func (s *sim) propose(k *simKeeper, cmd statemachine.Command, done func(statemachine.Result)) {
	text, err := statemachine.Encode(cmd)
	if err != nil {
		panic(err)
	}
	s.serial++
	n := s.serial
	if done != nil {
		k.waiting[n] = done
	}
	if k.node.Propose(append(binary.LittleEndian.AppendUint64(nil, n), text...)) != nil {
		delete(k.waiting, n)
	}
}

func (s *sim) ready(k *simKeeper) {
	for k.up && k.node.HasReady() {
		rd := k.node.Ready()
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = k.store.SetHardState(rd.HardState)
		}
		_ = k.store.Append(rd.Entries)
		for _, m := range rd.Messages {
			s.send(m)
		}
		for _, e := range rd.CommittedEntries {
			s.apply(k, e)
		}
		k.node.Advance(rd)
	}
}

func (s *sim) send(m *raftpb.Message) {
	to := s.keepers[m.GetTo()-1]
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.deliver(func() {
		if !to.up {
			return
		}
		got := &raftpb.Message{}
		if err := proto.Unmarshal(text, got); err != nil {
			panic(err)
		}
		if t := got.GetType(); t == raftpb.MessageType_MsgHeartbeat || t == raftpb.MessageType_MsgApp {
			to.heard = s.now
		}
		_ = to.node.Step(got)
		s.ready(to)
	})
}

func (s *sim) apply(k *simKeeper, e *raftpb.Entry) {
	if e.GetType() == raftpb.EntryType_EntryConfChange {
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			panic(err)
		}
		k.node.ApplyConfChange(cc)
		return
	}
	if len(e.GetData()) < 8 {
		return
	}
	var cmd statemachine.Command
	if err := statemachine.Decode(e.GetData()[8:], &cmd); err != nil {
		panic(err)
	}
	r := k.state.Apply(cmd)
	fmt.Fprint(s.record, s.now, k.id, e.GetIndex(), r.Err, r.Revision, r.CurrentVersion)
	if n := binary.LittleEndian.Uint64(e.GetData()); k.waiting[n] != nil {
		done := k.waiting[n]
		delete(k.waiting, n)
		text, err := statemachine.Encode(r)
		if err != nil {
			panic(err)
		}
		s.deliver(func() {
			var told statemachine.Result
			if err := statemachine.Decode(text, &told); err != nil {
				panic(err)
			}
			done(told)
		})
	}
}

// ---- dispatchers

// restartHolder begins a new life of a dispatcher.
func (s *sim) restartHolder(h *simHolder) {
	s.serial++
	h.life = s.serial
	h.a = policylease.New(h.name, h.life, "", s.Fence)
	h.calling = 0
}

// clock is the dispatcher's own, which may run a little fast or slow.
func (s *sim) clock(h *simHolder) time.Duration { return time.Duration(float64(s.now) * h.drift) }

func (s *sim) requestLease(h *simHolder, life uint64) {
	if h.life != life {
		return
	}
	again := func(d time.Duration) { s.in(d, func() { s.requestLease(h, life) }) }
	if h.frozen {
		again(100 * time.Millisecond)
		return
	}
	asked := s.clock(h)
	hold := h.a.NextRequest(asked)
	s.call(h, statemachine.Command{LeaseRequest: &hold}, func(r statemachine.Result, ok bool) {
		if h.life != life {
			return
		}
		if !ok {
			h.at = s.rnd.IntN(s.Keepers)
			again(s.between(50*time.Millisecond, 300*time.Millisecond))
			return
		}
		t := h.a.HandleResult(asked, r)
		if t.ApplyPolicy != nil {
			h.a.PolicyApplied(*t.ApplyPolicy)
		}
		if t.CheckChange != nil {
			say := h.a.Vote(t.CheckChange, "")
			s.call(h, statemachine.Command{Vote: &say}, func(_ statemachine.Result, ok bool) {
				if !ok && h.life == life {
					h.a.VoteLost()
				}
			})
		}
		switch {
		case t.RequestAgain || t.ApplyPolicy != nil || t.CheckChange != nil:
			again(5 * time.Millisecond)
		case r.LeaseDuration == 0: // a watch would tell of what it waits for
			again(20 * time.Millisecond)
		default:
			// The watch wakes it at a change; here it looks a little more often instead.
			again(s.between(h.a.RenewalInterval()/4, h.a.RenewalInterval()/2))
		}
	})
}

// call has a keeper carry out a command; done is called once, with the answer or without.
func (s *sim) call(h *simHolder, cmd statemachine.Command, done func(statemachine.Result, bool)) {
	s.out.Calls++
	if slot := int(s.now / (100 * time.Millisecond)); s.phase == 2 && s.out.Back == 0 {
		if s.calls[0] != slot {
			s.calls = [2]int{slot, 0}
		}
		s.calls[1]++
		s.out.Rush = max(s.out.Rush, s.calls[1])
	}
	if text, err := statemachine.Encode(cmd); err == nil {
		s.out.Bytes += len(text)
	}
	over := false
	end := func(r statemachine.Result, ok bool) {
		if !over && !h.frozen && (!ok || !h.partitioned) {
			over = true
			done(r, ok)
		} else if !over && !ok {
			s.in(100*time.Millisecond, func() {
				if !over {
					over = true
					done(r, false)
				}
			})
		}
	}
	k := s.keepers[h.at]
	if !h.partitioned {
		s.deliver(func() {
			if k.up {
				s.propose(k, cmd, func(r statemachine.Result) { end(r, true) })
				s.ready(k)
			}
		})
	}
	s.in(time.Second, func() { end(statemachine.Result{}, false) })
}

// observe is a request that comes to a dispatcher: what must hold is seen there.
func (s *sim) observe(h *simHolder) {
	s.in(s.between(20*time.Millisecond, 60*time.Millisecond), func() { s.observe(h) })
	if h.frozen {
		return
	}
	held := h.a.Admission(s.clock(h))
	s.looks[1]++
	count := &s.phases[s.phase]
	if s.now < simLease { // all are at their start
		count = new([2]int)
	}
	count[1]++
	if s.phase == 2 && s.out.Back == 0 && !slices.ContainsFunc(s.holders, func(o *simHolder) bool { return !o.a.HoldsLease(s.clock(o)) }) {
		s.out.Back = s.now - s.since
	}
	if !held.Allowed {
		return
	}
	count[0]++
	s.looks[0]++
	if held.Unconfirmed {
		return // by the last it knows, and says so: no lease bounds that
	}
	v := held.Version
	fmt.Fprint(s.record, h.name, v)
	if _, ok := s.first[v]; !ok {
		s.first[v] = s.now
	}
	s.last[v] = s.now
	for later, at := range s.first { // the greatest, whatever the order
		if later > v && at < s.now {
			s.out.Overlap = max(s.out.Overlap, s.now-at)
			if s.Fence == statemachine.RefuseWork {
				s.addViolation("%s admits under %d, %v after another did under %d", h.name, v, s.now-at, later)
			}
		}
	}
	if since, ok := s.proposed[v]; ok {
		for _, o := range s.holders {
			if !o.frozen && !o.partitioned && o.a.HoldsLease(s.clock(o)) && o.a.Policy().Version < v || !o.a.HoldsLease(s.clock(o)) && !o.frozen && !o.partitioned {
				return
			}
		}
		s.out.Took = append(s.out.Took, s.now-since)
		delete(s.proposed, v)
	}
}

// ---- what happens to them

// changePolicy is an operator who proposes the next policy.
func (s *sim) changePolicy() {
	s.in(s.between(time.Second, 4*time.Second), s.changePolicy)
	k := s.keepers[s.rnd.IntN(s.Keepers)]
	if !k.up || s.now > s.Length*9/8 {
		return
	}
	base := k.state.CurrentPolicy().Version
	s.serial++
	p := &statemachine.Proposal{ID: fmt.Sprint("c", s.serial), Text: fmt.Appendf(nil, "attempts = %d\n", s.serial), BaseVersion: base, Author: "sim", SkipUnresponsive: s.rnd.IntN(2) == 0}
	s.propose(k, statemachine.Command{Proposal: p}, func(r statemachine.Result) {
		if r.Err == "" {
			s.proposed[base+1] = s.now
		}
	})
	s.ready(k)
}

func (s *sim) fault() {
	if s.settling {
		return
	}
	s.in(s.between(100*time.Millisecond, 900*time.Millisecond), s.fault)
	switch s.rnd.IntN(6) {
	case 0, 1: // a keeper crashes; more than a minority only seldom
		down := 0
		for _, k := range s.keepers {
			if !k.up {
				down++
			}
		}
		k := s.keepers[s.rnd.IntN(s.Keepers)]
		if !k.up || down >= s.Keepers/2 && s.rnd.IntN(4) > 0 {
			return
		}
		k.up = false
		s.in(s.between(200*time.Millisecond, 4*time.Second), func() {
			if !k.up {
				s.boot(k, nil)
			}
		})
	case 2: // the keeper that leads
		for _, k := range s.keepers {
			if k.up && k.node.BasicStatus().RaftState == raft.StateLeader {
				k.up = false
				s.in(s.between(200*time.Millisecond, 2*time.Second), func() {
					if !k.up {
						s.boot(k, nil)
					}
				})
				return
			}
		}
	case 3: // some dispatchers stand still
		for range 1 + len(s.holders)/20 {
			h := s.holders[s.rnd.IntN(len(s.holders))]
			h.frozen = true
			s.in(s.between(100*time.Millisecond, 4*time.Second), func() { h.frozen = false })
		}
	case 4: // or are cut off
		for range 1 + len(s.holders)/20 {
			h := s.holders[s.rnd.IntN(len(s.holders))]
			h.partitioned = true
			s.in(s.between(100*time.Millisecond, 4*time.Second), func() { h.partitioned = false })
		}
	case 5: // or are killed, and come back
		for range 1 + len(s.holders)/20 {
			h := s.holders[s.rnd.IntN(len(s.holders))]
			s.restartHolder(h)
			life := h.life
			s.in(s.between(100*time.Millisecond, 2*time.Second), func() { s.requestLease(h, life) })
		}
	}
}

// Median is the middle of some times; 0 of none.
func Median(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
