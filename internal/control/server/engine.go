// Package server runs a control process: it agrees on views, replicates the
// cluster's state along the chain, keeps it on disk, and serves dispatchers,
// operators and the other control machines.
package server

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"linnetlift/coordination/chain"
	"linnetlift/coordination/frame"
	"linnetlift/coordination/segment"
	"linnetlift/coordination/view"
	"linnetlift/internal/control/cluster"
	"linnetlift/internal/control/link"
	"linnetlift/internal/settings"
)

// Spans of the engine.
const (
	tickEvery      = 100 * time.Millisecond
	retryTicks     = 4                      // without progress of the successor before it is sent everything anew
	resendAfter    = 500 * time.Millisecond // for commands without an outcome
	sessionTimeout = 1100 * time.Millisecond
	brokenTimeout  = 300 * time.Millisecond // for a dispatcher whose connection has ended to come back
	sessionGrace   = 3 * time.Second        // for dispatchers to come back after a change of view
	ageEvery       = 5 * time.Second
	jobMargin      = 20 * time.Second // for which jobs are known beyond what clients were promised
)

// request is a command on its way through the chain.
type request struct {
	data    []byte
	read    bool
	command *cluster.Command
	done    func(cluster.Result) // called by the engine
	sentAt  time.Duration
}

// Server is one control process. All its state belongs to one goroutine, to which
// others hand functions.
type Server struct {
	settings *settings.Settings
	logger   zerolog.Logger
	network  frame.Network
	began    time.Time
	inbox    chan func()

	disk     *disk
	register *view.Register
	detector *view.Detector
	replica  *chain.Replica
	cluster  *cluster.Cluster

	restartedIn  uint64 // epoch in whose view this life has no part
	applied      uint64
	freeSegments int
	compacting   bool

	peers       *peers
	pending     map[uint64]*request
	nextTag     uint64
	outgoing    []chain.Proposal // for the head
	updates     []cluster.Addressed
	dispatchers map[*dispatcher]bool
	bySession   map[cluster.SessionID]*dispatcher
	seen        map[cluster.SessionID]time.Duration // by the head: when a session was last in touch
	waiting     map[*dispatcher]time.Duration       // dispatchers that came while this replica did not serve
	broken      map[cluster.SessionID]time.Duration // when a session's connection ended
	viewSince   time.Duration
	agedAt      time.Duration
	ended       chan struct{}
}

// Open reads the disk and returns a server that is not running yet.
func Open(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) (*Server, error) {
	store, recovered, err := segment.Open(folder, segment.For(s.Limits.DiskMb))
	if err != nil {
		return nil, errors.Trace(err)
	}
	durable := view.Durable{}
	if recovered.Fresh {
		durable.Me = view.Member{ID: rand.Uint64() | 1, Node: s.Node, Address: s.Listen.Control, Zone: s.Zone}
		durable.First = s.Bootstrap
		if err := store.SaveMeta(link.Encode(durable)); err != nil {
			return nil, errors.Trace(err)
		}
	} else if !link.Decode(recovered.Meta, &durable) {
		return nil, errors.Errorf("%s: the metadata can't be read; replace this disk, or empty the folder so that this machine joins anew", s.DataDir)
	}
	keepAges := uint64((s.Bounds.StatusS + jobMargin.Seconds()) / ageEvery.Seconds())
	server := &Server{
		settings:    s,
		logger:      logger,
		network:     network,
		began:       time.Now(),
		inbox:       make(chan func(), 4096),
		register:    view.NewRegister(durable),
		cluster:     cluster.New(keepAges),
		restartedIn: durable.View.Epoch,
		pending:     map[uint64]*request{},
		dispatchers: map[*dispatcher]bool{},
		bySession:   map[cluster.SessionID]*dispatcher{},
		seen:        map[cluster.SessionID]time.Duration{},
		broken:      map[cluster.SessionID]time.Duration{},
		waiting:     map[*dispatcher]time.Duration{},
		nextTag:     rand.Uint64() >> 8,
		ended:       make(chan struct{}),
	}
	if recovered.Snapshot.Index > 0 && !link.Decode(recovered.Snapshot.Data, &server.cluster.State) {
		return nil, errors.Errorf("%s: the snapshot can't be read; replace this disk, or empty the folder so that this machine joins anew", s.DataDir)
	}
	server.applied = recovered.Snapshot.Index
	entries := make([]chain.Entry, len(recovered.Records))
	for i, record := range recovered.Records {
		entries[i] = chain.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data}
	}
	server.replica = chain.New(durable.Me.ID, s.Tolerate.Machines+1, chain.Snapshot{Index: recovered.Snapshot.Index,
		IndexEpoch: recovered.Snapshot.Epoch, Data: recovered.Snapshot.Data}, entries, recovered.Committed)
	server.replay(entries)
	server.detector = view.NewDetector(durable.Me, 0, s.Tolerate.Machines+1)
	server.freeSegments = store.FreeSegments()
	server.disk = newDisk(store, logger, server.diskDone, func() {
		server.do(func() { server.peers.broadcast(server.ping()) })
	})
	server.peers = newPeers(server)
	logger.Info().Uint64("epoch", durable.View.Epoch).Uint64("entries", server.replica.Last()).
		Bool("fresh", recovered.Fresh).Msg("disk read")
	return server, nil
}

// replay applies what the disk shows to be committed.
func (s *Server) replay(entries []chain.Entry) {
	for i := range entries {
		if entries[i].Index > s.replica.Committed() {
			break
		}
		entries[i].Origin = 0
		s.apply(&entries[i])
		s.updates = nil
	}
}

// Handler serves all that a control process answers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+link.CorePath, s.peers.accept)
	mux.HandleFunc("POST "+link.DispatcherPath, s.acceptDispatcher)
	mux.HandleFunc("PUT /-/config", s.putConfig)
	mux.HandleFunc("GET /-/config", s.getConfig)
	mux.HandleFunc("GET /-/status", s.status)
	mux.HandleFunc("GET /-/metrics", s.metrics)
	return mux
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// do hands a function to the engine.
func (s *Server) do(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// Run carries the engine until stop is closed.
func (s *Server) Run(stop <-chan struct{}) {
	defer s.disk.close()
	defer close(s.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	s.peers.meet(s.settings.Seeds)
	s.peers.meet(s.controls())
	s.peers.tick()
	for {
		select {
		case f := <-s.inbox:
			f()
			s.drain()
		case <-ticker.C:
			s.tick()
		case <-stop:
			return
		}
		s.flush()
	}
}

// drain takes what else waits, so that one flush serves all of it.
func (s *Server) drain() {
	for range cap(s.inbox) {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

func (s *Server) diskDone(jobs []diskJob, free int) {
	s.do(func() {
		s.freeSegments = free
		for _, job := range jobs {
			if job.done != nil {
				job.done()
			}
		}
	})
}

// flush carries out all that the state machines want done, until they want no more.
func (s *Server) flush() {
	s.forward()
	for s.flushRegister() || s.flushChain() {
	}
	s.deliver()
}

func (s *Server) flushRegister() bool {
	out := s.register.Take()
	if out.Save == nil && len(out.Sends) == 0 {
		return false
	}
	act := func() {
		for _, send := range out.Sends {
			s.sendView(send)
		}
		if out.Decided {
			s.installView(out.Save.View)
		}
	}
	if out.Save == nil {
		act()
		return true
	}
	s.disk.add(diskJob{meta: link.Encode(out.Save), done: act})
	return true
}

func (s *Server) sendView(send view.Send) {
	if send.To == s.register.Me().ID {
		s.register.Receive(send.To, &send.Message)
		return
	}
	s.peers.send(send.To, &link.Peer{View: &send.Message})
}

func (s *Server) installView(v view.View) {
	if v.Epoch != s.register.View().Epoch || v.Epoch <= s.replica.Epoch() {
		return
	}
	members := make([]chain.MemberID, len(v.Chain))
	names := make([]string, len(v.Chain))
	for i, member := range v.Chain {
		members[i], names[i] = member.ID, member.Node
	}
	s.logger.Info().Uint64("epoch", v.Epoch).Strs("chain", names).Int("electors", len(v.Electors)).Msg("view")
	s.viewSince = s.now()
	s.replica.SetView(chain.View{Epoch: v.Epoch, Members: members})
	addresses := []string{}
	for _, list := range [][]view.Member{v.Chain, v.Electors} {
		for _, member := range list {
			addresses = append(addresses, member.Address)
		}
	}
	s.peers.meet(addresses)
	s.resend(0)
}

func (s *Server) flushChain() bool {
	out := s.replica.Take()
	idle := out.Restore == nil && len(out.Writes)+len(out.Sends)+len(out.Committed)+len(out.Reads) == 0 && !out.Complete
	if idle {
		return false
	}
	if out.Restore != nil {
		s.restore(out.Restore)
	}
	for _, write := range out.Writes {
		last := write.Entries[len(write.Entries)-1].Index
		generation := write.Generation
		s.disk.add(diskJob{entries: write.Entries, committed: s.replica.Committed(), done: func() { s.replica.Written(last, generation) }})
	}
	for _, send := range out.Sends {
		s.peers.send(send.To, &link.Peer{Chain: &send.Message})
	}
	if out.Complete {
		epoch := s.replica.Epoch()
		s.register.MarkComplete(epoch)
		saved := s.register.Take()
		done := func() { s.replica.CompletePersisted(epoch) }
		if saved.Save != nil {
			s.disk.add(diskJob{meta: link.Encode(saved.Save), done: done})
		} else {
			done()
		}
	}
	for i := range out.Committed {
		s.apply(&out.Committed[i])
	}
	for _, read := range out.Reads {
		s.answerRead(read)
	}
	return true
}

func (s *Server) restore(snapshot *chain.Snapshot) {
	index := snapshot.Index
	s.disk.add(diskJob{reset: true,
		snapshot: &segment.Snapshot{Index: index, Epoch: snapshot.IndexEpoch, Data: snapshot.Data},
		done:     func() { s.replica.Restored(index) }})
	state := cluster.State{}
	if !link.Decode(snapshot.Data, &state) {
		s.logger.Error().Msg("a snapshot from another member can't be read; this member stays incomplete")
		return
	}
	s.cluster.State = state
	s.applied = index
	s.dropDispatchers()
}

func (s *Server) apply(entry *chain.Entry) {
	command := &cluster.Command{}
	s.applied = entry.Index
	if !link.Decode(entry.Data, command) {
		return
	}
	result := s.cluster.Apply(command)
	s.updates = append(s.updates, s.cluster.TakeUpdates()...)
	if entry.Origin == s.register.Me().ID {
		s.answer(entry.Tag, result)
	}
}

func (s *Server) answer(tag uint64, result cluster.Result) {
	if waiting := s.pending[tag]; waiting != nil {
		delete(s.pending, tag)
		waiting.done(result)
	}
}

func (s *Server) answerRead(read chain.Read) {
	if waiting := s.pending[read.Tag]; waiting != nil {
		s.answer(read.Tag, s.cluster.Apply(waiting.command))
	}
}

// submit sends a command through the chain. It is sent again until it has an outcome, so
// every command must be one that may be carried out twice.
func (s *Server) submit(command *cluster.Command, data []byte, done func(cluster.Result)) uint64 {
	if data == nil {
		data = link.Encode(command)
	}
	s.nextTag++
	waiting := &request{data: data, command: command, read: command.IsRead(), done: done, sentAt: s.now()}
	s.pending[s.nextTag] = waiting
	s.propose(s.nextTag, waiting)
	return s.nextTag
}

func (s *Server) propose(tag uint64, r *request) {
	proposal := chain.Proposal{Origin: s.register.Me().ID, Tag: tag, Read: r.read}
	if !r.read {
		proposal.Data = r.data
	}
	r.sentAt = s.now()
	s.outgoing = append(s.outgoing, proposal)
}

// resend proposes anew what has been without an outcome for so long.
func (s *Server) resend(after time.Duration) {
	for tag, waiting := range s.pending {
		if s.now()-waiting.sentAt >= after {
			s.propose(tag, waiting)
		}
	}
}

// forward hands what waits to the head.
func (s *Server) forward() {
	if len(s.outgoing) == 0 {
		return
	}
	proposals := s.outgoing
	s.outgoing = nil
	if s.replica.Propose(proposals) {
		return
	}
	if head := s.replica.Head(); head != 0 {
		s.peers.send(head, &link.Peer{Forward: proposals})
	}
}

func (s *Server) tick() {
	now := s.now()
	s.register.Tick()
	s.replica.Tick(retryTicks)
	s.peers.tick()
	s.resend(resendAfter)
	s.peers.broadcast(s.ping())
	s.considerView()
	s.fetchSome()
	if !s.standing() {
		s.dropDispatchers()
	}
	s.dispatcherTick()
	if s.replica.IsHead() && s.replica.Serves() {
		s.headTick(now)
	}
	s.compact()
	s.probeDisk()
}

func (s *Server) stalled() bool { return s.disk.sick() }

// probeDisk writes to a disk that was slow, to see whether it still is.
func (s *Server) probeDisk() {
	if s.disk.sick() && s.disk.idle() {
		s.disk.add(diskJob{meta: link.Encode(s.register.Durable())})
	}
}

func (s *Server) ping() *link.Peer {
	return &link.Peer{Sessions: s.sessionsInTouch(), Ping: &view.Ping{From: s.register.Me(),
		Epoch: s.register.View().Epoch, First: s.register.First(), Stalled: s.stalled(), Restarted: s.restarted(),
		Last: s.replica.Last(), Hears: s.detector.Hears(s.now())}}
}

// considerView proposes another view where the detector wants one.
func (s *Server) considerView() {
	now := s.now()
	if s.register.View().Epoch == 0 && s.register.First() {
		if founders := s.detector.Founders(now, s.settings.Seeds); founders != nil {
			s.register.Found(founders)
		}
	}
	if s.register.Proposing() {
		return
	}
	if wish, expected := s.detector.Wish(now, s.register.View(), s.restarted(), s.stalled(),
		s.replica.Committed()); wish != nil {
		s.register.Propose(*wish, expected, s.settings.Tolerate.Machines+1)
	}
}

// restarted reports whether this process has no part in the view in force, though its disk has.
func (s *Server) restarted() bool {
	epoch := s.register.View().Epoch
	return epoch > 0 && epoch == s.restartedIn && s.register.View().InChain(s.register.Me().ID) >= 0
}

// inTouch reports whether this replica follows what is committed and stands with a majority.
func (s *Server) inTouch() bool {
	return s.replica.Serves() && s.detector.Majority(s.now(), s.register.View())
}

// standing reports whether this replica is a member that stands with a majority. Commands may have to wait
// for a new member, but they come through.
func (s *Server) standing() bool {
	return s.replica.IsMember() && s.detector.Majority(s.now(), s.register.View())
}

// fetch asks a member for what this replica, outside the chain, lacks.
func (s *Server) fetch(member view.MemberID) {
	if fetch, outside := s.replica.NextFetch(); outside && s.register.View().Epoch > 0 && !s.restarted() {
		s.peers.send(member, &link.Peer{Fetch: &fetch})
	}
}

// fetchSome asks the last live member of the chain, which has least to do.
func (s *Server) fetchSome() {
	members := s.register.View().Chain
	for i := len(members) - 1; i >= 0; i-- {
		if s.detector.Alive(s.now(), members[i].ID) && members[i].ID != s.register.Me().ID {
			s.fetch(members[i].ID)
			return
		}
	}
}

// headTick ends sessions of dispatchers that are out of touch, and lets the state age.
func (s *Server) headTick(now time.Duration) {
	for _, id := range s.sessionsInTouch() {
		s.seen[id] = now
	}
	for id := range s.cluster.Sessions {
		if _, known := s.seen[id]; !known {
			s.seen[id] = now
		}
		last := max(s.seen[id], s.viewSince+sessionGrace-sessionTimeout)
		brokenAt, isBroken := s.broken[id]
		gone := isBroken && s.seen[id] <= brokenAt && now-brokenAt > brokenTimeout && now-s.viewSince > sessionTimeout
		if gone || now-last > sessionTimeout {
			delete(s.broken, id)
			s.seen[id] = now // asked for once
			s.logger.Info().Uint64("session", id).Str("node", s.cluster.Sessions[id].Node).Msg("session over: silent")
			s.submit(&cluster.Command{CloseSession: &cluster.CloseSession{Session: id}}, nil, func(cluster.Result) {})
		}
	}
	for id := range s.seen {
		if s.cluster.Sessions[id] == nil && now-s.seen[id] > sessionTimeout {
			delete(s.seen, id)
			delete(s.broken, id)
		}
	}
	if now-s.agedAt >= ageEvery {
		s.agedAt = now
		s.submit(&cluster.Command{Age: &cluster.Age{}}, nil, func(cluster.Result) {})
	}
}

// compact saves a snapshot once few segments are left.
func (s *Server) compact() {
	if s.compacting || s.freeSegments > 4 || s.replica.Committed() != s.applied {
		return
	}
	s.compacting = true
	data, err := cbor.Marshal(&s.cluster.State)
	if err != nil {
		s.logger.Error().Err(err).Msg("the state can't be written as a snapshot")
		return
	}
	index := s.applied
	snapshot := &segment.Snapshot{Index: index, Epoch: s.replica.EpochAt(index), Data: data}
	s.disk.add(diskJob{snapshot: snapshot, done: func() {
		s.compacting = false
		s.replica.Compact(index, data)
		s.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("snapshot saved")
	}})
}

// receivePeer takes in a message of another control machine.
func (s *Server) receivePeer(from view.Member, message *link.Peer) {
	now := s.now()
	switch {
	case message.Ping != nil:
		wasAlive := s.detector.Alive(now, from.ID)
		s.detector.Heard(now, *message.Ping)
		if wasAlive != s.detector.Alive(now, from.ID) {
			s.peers.send(from.ID, s.ping()) // so that both sides know at once
			s.considerView()
		}
		if message.Ping.Epoch < s.register.View().Epoch {
			tell := s.register.Tell()
			s.peers.send(from.ID, &link.Peer{View: &tell})
		}
		for _, id := range message.Sessions {
			s.seen[id] = now
		}
	case message.Broken != nil:
		for _, id := range message.Broken {
			s.broken[id] = now
		}
	case message.View != nil:
		s.register.Receive(from.ID, message.View)
	case message.Chain != nil:
		s.replica.Receive(from.ID, message.Chain)
	case message.Fetch != nil:
		if lesson := s.replica.Teach(*message.Fetch); lesson != nil {
			s.peers.send(from.ID, &link.Peer{Lesson: lesson})
		}
	case message.Lesson != nil:
		s.replica.Learn(message.Lesson)
		s.fetch(from.ID)
	case message.Forward != nil:
		s.replica.Propose(message.Forward)
	}
}
