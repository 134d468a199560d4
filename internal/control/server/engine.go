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
	tickInterval       = 100 * time.Millisecond
	retransmitTicks    = 4                      // without progress of the successor before it is sent everything anew
	resubmitAfter      = 500 * time.Millisecond // for commands without an outcome
	sessionTimeout     = 1100 * time.Millisecond
	disconnectTimeout  = 300 * time.Millisecond // for a dispatcher whose connection has ended to come back
	viewChangeGrace    = 3 * time.Second        // for dispatchers to come back after a change of view
	clockInterval      = 5 * time.Second
	jobRetentionMargin = 20 * time.Second // for which jobs are known beyond what clients were promised
)

// Server is one control process. All its state belongs to one goroutine, to which
// others hand functions.
type Server struct {
	settings  *settings.Settings
	logger    zerolog.Logger
	network   frame.Network
	startedAt time.Time
	inbox     chan func()

	disk     *disk
	register *view.Consensus
	detector *view.Detector
	replica  *chain.Replica
	cluster  *statemachine.FSM

	leaving            bool   // the process is to stop, and hands its place in the chain over
	epochAtStart       uint64 // epoch in whose view this life has no part
	catchUp            catchUpLimit
	appliedIndex       uint64
	freeSegments       int
	savingSnapshot     bool
	logBytes           int  // applied since the newest snapshot
	snapshotBytes      int  // of the newest snapshot
	receivedUnreadable bool // the last snapshot of another member could not be read

	divergenceLogged bool // that another member's log contradicts this one's is in the log

	peers           *peers
	heartbeats      *heartbeatRepeater
	pending         map[uint64]*pendingCommand
	lastTag         uint64
	proposals       []chain.Proposal // for the head
	updates         []statemachine.AddressedUpdate
	configHistory   configHistory
	dispatchers     map[*dispatcher]bool
	bySession       map[statemachine.SessionID]*dispatcher
	lastSeen        map[statemachine.SessionID]time.Duration // by the head: when a session was last in touch
	waiting         map[*dispatcher]time.Duration            // dispatchers that came while this replica did not serve
	disconnectedAt  map[statemachine.SessionID]time.Duration // when a session's connection ended
	viewInstalledAt time.Duration
	clockAdvancedAt time.Duration
	ended           chan struct{}
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
	keepAges := uint64((s.Bounds.StatusRetentionS + jobRetentionMargin.Seconds()) / clockInterval.Seconds())
	server := &Server{
		settings:       s,
		logger:         logger,
		network:        network,
		startedAt:      time.Now(),
		inbox:          make(chan func(), 4096),
		register:       view.NewConsensus(durable),
		cluster:        statemachine.New(keepAges),
		epochAtStart:   durable.View.Epoch,
		pending:        map[uint64]*pendingCommand{},
		dispatchers:    map[*dispatcher]bool{},
		bySession:      map[statemachine.SessionID]*dispatcher{},
		lastSeen:       map[statemachine.SessionID]time.Duration{},
		disconnectedAt: map[statemachine.SessionID]time.Duration{},
		waiting:        map[*dispatcher]time.Duration{},
		lastTag:        rand.Uint64() >> 8,
		ended:          make(chan struct{}),
	}
	if recovered.Snapshot.Index > 0 && !server.restoreState(recovered.Snapshot.Data) {
		return nil, errors.Errorf("%s: the snapshot can't be read; replace this disk, or empty the folder so that this machine joins anew", s.DataDir)
	}
	server.appliedIndex, server.snapshotBytes = recovered.Snapshot.Index, len(recovered.Snapshot.Data)
	entries := make([]chain.Entry, len(recovered.Records))
	for i, record := range recovered.Records {
		entries[i] = chain.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data}
	}
	server.replica = chain.New(durable.Self.ID, s.Tolerate.Machines+1, chain.Snapshot{Index: recovered.Snapshot.Index,
		IndexEpoch: recovered.Snapshot.Epoch, Data: recovered.Snapshot.Data}, entries, recovered.CommitIndex)
	server.replay(entries)
	server.detector = view.NewDetector(durable.Self, 0, s.Tolerate.Machines+1)
	server.freeSegments = store.FreeSegments()
	server.disk = newDisk(store, logger, server.writesDone, func() {
		server.do(server.sendHeartbeat)
	})
	server.peers = newPeers(server)
	server.heartbeats = newHeartbeatRepeater()
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

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.peers.add(s.settings.Seeds)
	s.peers.add(addressesOf(s.register.View().Electors))
	s.peers.redial()
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

func (s *Server) writesDone(jobs []diskWrite, free int) {
	s.do(func() {
		s.freeSegments = free
		for _, job := range jobs {
			if job.onDurable != nil {
				job.onDurable()
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
	s.disk.enqueue(diskWrite{metadata: protocol.Encode(out.HardState), onDurable: act})
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
		s.installSnapshot(out.Snapshot)
	}
	for _, write := range out.Writes {
		last := write.Entries[len(write.Entries)-1].Index
		generation := write.Generation
		s.disk.enqueue(diskWrite{entries: write.Entries, commitIndex: s.replica.CommitIndex(), onDurable: func() { s.replica.EntriesPersisted(last, generation) }})
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
			s.disk.enqueue(diskWrite{metadata: protocol.Encode(saved.HardState), onDurable: done})
		} else {
			done()
		}
	}
	for i := range out.CommittedEntries {
		s.apply(&out.CommittedEntries[i])
	}
	s.logNotices()
	for _, read := range out.ConfirmedReads {
		s.completeRead(read)
	}
	return true
}

// installSnapshot takes over a snapshot of another member. One that can't be read is never made durable here, so this
// member stays incomplete; it reports itself as sick, and the chain goes on without it.
func (s *Server) installSnapshot(snapshot *chain.Snapshot) {
	index := snapshot.Index
	if !s.restoreState(snapshot.Data) {
		s.receivedUnreadable = true
		s.logger.Error().Uint64("index", index).Msg("a snapshot of another member can't be read; staying out of the chain: are all machines of one version?")
		return
	}
	s.receivedUnreadable = false
	s.logBytes, s.snapshotBytes = 0, len(snapshot.Data)
	s.disk.enqueue(diskWrite{replacesLog: true,
		snapshot:  &segment.Snapshot{Index: index, Epoch: snapshot.IndexEpoch, Data: snapshot.Data},
		onDurable: func() { s.replica.SnapshotPersisted(index) }})
	s.appliedIndex = index
	s.dropDispatchers()
}

// restoreState puts the state of a snapshot in force, and reports whether it can be read.
func (s *Server) restoreState(data []byte) bool {
	state := statemachine.State{}
	if !protocol.Decode(data, &state) {
		return false
	}
	s.cluster.Restore(state)
	s.configHistory.reset()
	return true
}

func (s *Server) apply(entry *chain.Entry) {
	command := &statemachine.Command{}
	s.appliedIndex = entry.Index
	s.logBytes += len(entry.Data)
	if !protocol.Decode(entry.Data, command) {
		return
	}
	result := s.cluster.Apply(command)
	updates := s.cluster.DequeueUpdates()
	s.updates = append(s.updates, updates...)
	for i := range updates {
		if updates[i].Update.Config != nil {
			s.configHistory.add(updates[i].Update.Config)
		}
	}
	if entry.Origin == s.register.Self().ID {
		s.complete(entry.Tag, result)
	}
}

func (s *Server) tick() {
	now := s.now()
	s.register.Tick()
	s.replica.Tick(retransmitTicks)
	s.peers.redial()
	s.repropose(resubmitAfter)
	s.sendHeartbeat()
	s.logDivergence()
	s.proposeView()
	s.requestCatchUpFromChain()
	if !s.isMemberWithQuorum() {
		s.dropDispatchers()
		s.abandon()
	}
	s.sendIdleHeartbeats()
	if s.replica.IsHead() && s.replica.IsServing() {
		s.headTick(now)
	}
	s.saveSnapshotIfDue()
	s.probeDisk()
}
