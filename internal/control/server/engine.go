// Package server runs a control process: it agrees on views, replicates the
// cluster's state along the chain, keeps it on disk, and serves dispatchers,
// operators and the other control machines.
package server

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
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

// Server is one control process. All its state belongs to one goroutine, to which
// others hand functions.
type Server struct {
	settings *settings.Settings
	logger   zerolog.Logger
	network  frame.Network
	began    time.Time
	inbox    chan func()

	disk     *disk
	register *view.Consensus
	detector *view.Detector
	replica  *chain.Replica
	cluster  *statemachine.FSM

	leaving       bool   // the process is to stop, and hands its place in the chain over
	restartedIn   uint64 // epoch in whose view this life has no part
	pace          fetchPace
	applied       uint64
	freeSegments  int
	compacting    bool
	logBytes      int  // applied since the newest snapshot
	snapshotBytes int  // of the newest snapshot
	unreadable    bool // the last snapshot of another member could not be read

	toldDivergence bool // that another member's log contradicts this one's is in the log

	peers       *peers
	heartbeats  *heartbeats
	pending     map[uint64]*request
	nextTag     uint64
	outgoing    []chain.Proposal // for the head
	updates     []statemachine.AddressedUpdate
	changes     recentChanges
	dispatchers map[*dispatcher]bool
	bySession   map[statemachine.SessionID]*dispatcher
	seen        map[statemachine.SessionID]time.Duration // by the head: when a session was last in touch
	waiting     map[*dispatcher]time.Duration            // dispatchers that came while this replica did not serve
	broken      map[statemachine.SessionID]time.Duration // when a session's connection ended
	viewSince   time.Duration
	agedAt      time.Duration
	ended       chan struct{}
}

// Open reads the disk and returns a server that is not running yet.
func Open(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) (*Server, error) {
	store, recovered, err := segment.Open(folder, segment.LayoutFor(s.Limits.DiskMb))
	if err != nil {
		return nil, errors.Trace(err)
	}
	durable := view.HardState{}
	if recovered.Fresh {
		durable.Self = view.Member{ID: rand.Uint64() | 1, Node: s.Node, Address: s.Listen.Control, Zone: s.Zone}
		durable.InitialMember = s.Bootstrap
		if err := store.SaveMetadata(protocol.Encode(durable)); err != nil {
			return nil, errors.Trace(err)
		}
	} else if !protocol.Decode(recovered.Metadata, &durable) {
		return nil, errors.Errorf("%s: the metadata can't be read; replace this disk, or empty the folder so that this machine joins anew", s.DataDir)
	}
	keepAges := uint64((s.Bounds.StatusRetentionS + jobMargin.Seconds()) / ageEvery.Seconds())
	server := &Server{
		settings:    s,
		logger:      logger,
		network:     network,
		began:       time.Now(),
		inbox:       make(chan func(), 4096),
		register:    view.NewConsensus(durable),
		cluster:     statemachine.New(keepAges),
		restartedIn: durable.View.Epoch,
		pending:     map[uint64]*request{},
		dispatchers: map[*dispatcher]bool{},
		bySession:   map[statemachine.SessionID]*dispatcher{},
		seen:        map[statemachine.SessionID]time.Duration{},
		broken:      map[statemachine.SessionID]time.Duration{},
		waiting:     map[*dispatcher]time.Duration{},
		nextTag:     rand.Uint64() >> 8,
		ended:       make(chan struct{}),
	}
	if recovered.Snapshot.Index > 0 && !server.restoreState(recovered.Snapshot.Data) {
		return nil, errors.Errorf("%s: the snapshot can't be read; replace this disk, or empty the folder so that this machine joins anew", s.DataDir)
	}
	server.applied, server.snapshotBytes = recovered.Snapshot.Index, len(recovered.Snapshot.Data)
	entries := make([]chain.Entry, len(recovered.Records))
	for i, record := range recovered.Records {
		entries[i] = chain.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data}
	}
	server.replica = chain.New(durable.Self.ID, s.Tolerate.Machines+1, chain.Snapshot{Index: recovered.Snapshot.Index,
		IndexEpoch: recovered.Snapshot.Epoch, Data: recovered.Snapshot.Data}, entries, recovered.CommitIndex)
	server.replay(entries)
	server.detector = view.NewDetector(durable.Self, 0, s.Tolerate.Machines+1)
	server.freeSegments = store.FreeSegments()
	server.disk = newDisk(store, logger, server.diskDone, func() {
		server.do(server.beat)
	})
	server.peers = newPeers(server)
	server.heartbeats = newHeartbeats()
	logger.Info().Uint64("epoch", durable.View.Epoch).Uint64("entries", server.replica.LastIndex()).
		Bool("fresh", recovered.Fresh).Msg("disk read")
	return server, nil
}

// replay applies what the disk shows to be committed.
func (s *Server) replay(entries []chain.Entry) {
	for i := range entries {
		if entries[i].Index > s.replica.CommitIndex() {
			break
		}
		entries[i].Origin = 0
		s.apply(&entries[i])
		s.updates = nil
		s.cluster.DequeueNotices()
	}
}

const statusPath = "/-/status"

// Handler serves all that a control process answers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PeerPath, s.peers.accept)
	mux.HandleFunc("POST "+protocol.DispatcherPath, s.acceptDispatcher)
	mux.HandleFunc("PUT /-/config", s.putConfig)
	mux.HandleFunc("GET /-/config", s.getConfig)
	mux.HandleFunc("GET "+statusPath, s.status)
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
	s.peers.meet(addressesOf(s.register.View().Electors))
	s.peers.tick()
	go s.heartbeats.run(s.now, s.ended)
	for {
		select {
		case f := <-s.inbox:
			f()
			s.drain()
		case <-ticker.C:
			s.drain() // after a long piece of work: what has come meanwhile shows who is there
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
	out := s.register.Ready()
	if out.HardState == nil && len(out.Messages) == 0 {
		return false
	}
	act := func() {
		for _, send := range out.Messages {
			s.sendView(send)
		}
		if out.Decided {
			s.installView(out.HardState.View)
		}
	}
	if out.HardState == nil {
		act()
		return true
	}
	s.disk.add(diskJob{meta: protocol.Encode(out.HardState), done: act})
	return true
}

func (s *Server) sendView(send view.Envelope) {
	if send.To == s.register.Self().ID {
		s.register.Receive(send.To, &send.Message)
		return
	}
	s.peers.send(send.To, &protocol.PeerMessage{View: &send.Message})
}

func (s *Server) flushChain() bool {
	out := s.replica.Ready()
	idle := out.Snapshot == nil && len(out.Writes)+len(out.Messages)+len(out.CommittedEntries)+len(out.ConfirmedReads) == 0 && !out.PersistCompleteness
	if idle {
		return false
	}
	if out.Snapshot != nil {
		s.restore(out.Snapshot)
	}
	for _, write := range out.Writes {
		last := write.Entries[len(write.Entries)-1].Index
		generation := write.Generation
		s.disk.add(diskJob{entries: write.Entries, committed: s.replica.CommitIndex(), done: func() { s.replica.EntriesPersisted(last, generation) }})
	}
	for _, send := range out.Messages {
		s.peers.send(send.To, &protocol.PeerMessage{Chain: &send.Message})
	}
	if out.PersistCompleteness {
		epoch := s.replica.Epoch()
		s.register.MarkComplete(epoch)
		saved := s.register.Ready()
		done := func() { s.replica.CompletenessPersisted(epoch) }
		if saved.HardState != nil {
			s.disk.add(diskJob{meta: protocol.Encode(saved.HardState), done: done})
		} else {
			done()
		}
	}
	for i := range out.CommittedEntries {
		s.apply(&out.CommittedEntries[i])
	}
	s.logNotices()
	for _, read := range out.ConfirmedReads {
		s.answerRead(read)
	}
	return true
}

// restore takes over a snapshot of another member. One that can't be read is never made durable here, so this
// member stays incomplete; it reports itself as sick, and the chain goes on without it.
func (s *Server) restore(snapshot *chain.Snapshot) {
	index := snapshot.Index
	if !s.restoreState(snapshot.Data) {
		s.unreadable = true
		s.logger.Error().Uint64("index", index).Msg("a snapshot of another member can't be read; staying out of the chain: are all machines of one version?")
		return
	}
	s.unreadable = false
	s.logBytes, s.snapshotBytes = 0, len(snapshot.Data)
	s.disk.add(diskJob{reset: true,
		snapshot: &segment.Snapshot{Index: index, Epoch: snapshot.IndexEpoch, Data: snapshot.Data},
		done:     func() { s.replica.SnapshotPersisted(index) }})
	s.applied = index
	s.dropDispatchers()
}

// restoreState puts the state of a snapshot in force, and reports whether it can be read.
func (s *Server) restoreState(data []byte) bool {
	state := statemachine.State{}
	if !protocol.Decode(data, &state) {
		return false
	}
	s.cluster.Restore(state)
	s.changes.clear()
	return true
}

func (s *Server) apply(entry *chain.Entry) {
	command := &statemachine.Command{}
	s.applied = entry.Index
	s.logBytes += len(entry.Data)
	if !protocol.Decode(entry.Data, command) {
		return
	}
	result := s.cluster.Apply(command)
	updates := s.cluster.DequeueUpdates()
	s.updates = append(s.updates, updates...)
	for i := range updates {
		if updates[i].Update.Config != nil {
			s.changes.add(updates[i].Update.Config)
		}
	}
	if entry.Origin == s.register.Self().ID {
		s.answer(entry.Tag, result)
	}
}

func (s *Server) tick() {
	now := s.now()
	s.register.Tick()
	s.replica.Tick(retryTicks)
	s.peers.tick()
	s.resend(resendAfter)
	s.beat()
	s.tellDivergence()
	s.considerView()
	s.fetchSome()
	if !s.standing() {
		s.dropDispatchers()
		s.abandon()
	}
	s.dispatcherTick()
	if s.replica.IsHead() && s.replica.IsServing() {
		s.headTick(now)
	}
	s.compact()
	s.probeDisk()
}
