// Package server runs one control process. The process agrees with its peers on views (which members form the chain, and
// in which order), replicates the command log along the chain, applies committed commands to the cluster's state machine,
// stores the log and snapshots on disk, and serves dispatchers, operators and the other control machines.
//
// The package makes no decisions itself: coordination/view decides who belongs to a view, coordination/chain decides when
// an entry is committed, and statemachine decides what a command does to jobs, workers and sessions. Those packages do no
// I/O and read no clock; this one owns the sockets, the disk and the clock, and executes what they return.
//
// Invariants:
//
//   - The mutable state of a Server belongs to its engine, the goroutine that calls Server.Run. Goroutines of
//     connections, of the disk and of HTTP requests never access it; they pass functions to the engine by Server.do.
//   - No entry, view or snapshot is reported as persisted before the disk has synced it.
//   - A command has an outcome only once its entry is committed and applied here. A command without an outcome may have
//     been executed nevertheless, so every command must be idempotent.
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
	"yardflow/internal/control/ruleversion"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
	"yardflow/internal/platform/settings"
)

// inboxCapacity is the number of functions that may wait for the engine. When the inbox is full, senders block, and their
// connections are not read until there is space.
const inboxCapacity = 4096

// Server is one control process: the engine and its components, each in a file of its own. The settings, logger, network
// and startedAt never change; any goroutine may use the channels, disk and heartbeats; everything else belongs to the
// engine once Run has begun.
type Server struct {
	settings  *settings.Settings
	logger    zerolog.Logger
	network   frame.Network
	startedAt time.Time     // time 0 of the clock that now reads
	inbox     chan func()   // functions for the engine to call
	ended     chan struct{} // closed when the engine has ended

	disk             *disk
	membership       membership
	replica          *chain.Replica
	divergenceLogged bool
	state            replicatedState
	snapshots        snapshots
	catchUp          catchUpLimit

	peers       *peers
	heartbeats  *heartbeatRepeater
	commands    *commandTable
	dispatchers *dispatcherTable
	sessions    *sessionMonitor
	clock       clock
	rules       rules

	instanceList *instanceListReader
}

// Open reads the disk and returns a server that is not running yet. It returns an error if the disk can't be read, which
// is a segment.CorruptionError or an UnreadableDiskError if the content is damaged or was written by another version.
func Open(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) (*Server, error) {
	return open(s, network, folder, logger, statemachine.NewestRules)
}

// open does the same as Open for a server that supports the rules up to a version.
func open(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger,
	supportedRules statemachine.RulesVersion) (*Server, error) {
	store, recovered, err := segment.Open(folder, segment.LayoutFor(s.Limits.DiskMb))
	if err != nil {
		return nil, errors.Trace(err)
	}
	hardState, err := loadHardState(s, store, recovered)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := newServer(s, network, logger, hardState, supportedRules)
	if err := server.restoreFromDisk(recovered); err != nil {
		return nil, errors.Trace(err)
	}
	server.membership.detector = view.NewDetector(hardState.Self, 0, s.Tolerate.Machines+1)
	server.snapshots.freeSegments = store.FreeSegments()
	server.disk = newDisk(store, logger, server.writesDone, func() { server.do(server.sendHeartbeat) })
	server.peers = newPeers(server)
	logger.Info().Uint64("epoch", hardState.View.Epoch).Uint64("entries", server.replica.LastIndex()).
		Bool("fresh", recovered.Fresh).Msg("disk read")
	return server, nil
}

// loadHardState returns the hard state of this member from the disk. If the disk is empty, it creates and saves the hard
// state of a new member.
func loadHardState(s *settings.Settings, store *segment.Store, recovered *segment.Recovered) (view.HardState, error) {
	hardState := view.HardState{}
	if !recovered.Fresh {
		if !protocol.Decode(recovered.Metadata, &hardState) {
			return hardState, &UnreadableDiskError{Folder: s.DataDir, Part: "metadata"}
		}
		return hardState, nil
	}
	hardState.Self = view.Member{ID: rand.Uint64() | 1, Node: s.Node, Address: s.Listen.Control, Zone: s.Zone}
	hardState.InitialMember, hardState.ExactSince = s.Bootstrap, 1
	return hardState, errors.Trace(store.SaveMetadata(protocol.Encode(hardState)))
}

func newServer(s *settings.Settings, network frame.Network, logger zerolog.Logger, hardState view.HardState,
	supportedRules statemachine.RulesVersion) *Server {
	server := &Server{
		settings:    s,
		logger:      logger,
		network:     network,
		startedAt:   time.Now(),
		inbox:       make(chan func(), inboxCapacity),
		ended:       make(chan struct{}),
		membership:  membership{consensus: view.NewConsensus(hardState), epochAtStart: hardState.View.Epoch},
		state:       newReplicatedState(s.Bounds.StatusRetentionS),
		heartbeats:  newHeartbeatRepeater(),
		dispatchers: newDispatcherTable(),
		sessions:    newSessionMonitor(),
	}
	server.state.fsm.LimitRules(supportedRules)
	server.rules.tracker = ruleversion.NewTracker(supportedRules)
	server.instanceList = newInstanceListReader(network, s.Cloud)
	server.commands = newCommandTable(hardState.Self.ID, segment.LayoutFor(s.Limits.DiskMb).MaxDataBytes(), server.now)
	return server
}

// restoreFromDisk restores the replica and the state from the disk: the newest snapshot, followed by the log entries that
// are known to be committed. Their updates and notices are discarded because the previous incarnation has sent them, and
// no command is completed because entries on disk have no origin.
func (s *Server) restoreFromDisk(recovered *segment.Recovered) error {
	snapshot := &recovered.Snapshot
	if snapshot.Index > 0 && !s.state.restore(snapshot.Index, snapshot.Data) {
		return &UnreadableDiskError{Folder: s.settings.DataDir, Part: "snapshot"}
	}
	s.snapshots.newestBytes = len(snapshot.Data)
	entries := make([]chain.Entry, len(recovered.Records))
	for i, record := range recovered.Records {
		entries[i] = chain.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data}
	}
	s.replica = chain.New(s.membership.self().ID, s.settings.Tolerate.Machines+1,
		chain.Snapshot{Index: snapshot.Index, IndexEpoch: snapshot.Epoch, Data: snapshot.Data},
		entries, recovered.CommitIndex)
	for i := range entries {
		if entries[i].Index > s.replica.CommitIndex() {
			break
		}
		s.apply(&entries[i])
		s.state.discardOutput()
	}
	s.observeClock()
	return nil
}

// UnreadableDiskError reports that a part of the disk's content can't be decoded: it is damaged, or another version of
// the program wrote it.
type UnreadableDiskError struct {
	Folder string // settings key DataDir
	Part   string // "metadata" or "snapshot"
}

// Error returns the folder, the unreadable part and the advice.
func (e *UnreadableDiskError) Error() string {
	return e.Folder + ": the " + e.Part + " can't be read; " + e.Advice()
}

// Advice returns what an operator can do about the error.
func (e *UnreadableDiskError) Advice() string {
	return "replace this disk, or empty the folder so that this machine joins anew"
}

// handler returns the handler of all paths of a control process: those for peers, dispatchers and operators.
func (s *Server) handler(gate *ingress.Gate) http.Handler {
	operator := &operatorAPI{server: s, gate: gate}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PeerPath, s.peers.accept)
	mux.HandleFunc("POST "+protocol.DispatcherPath, s.acceptDispatcher)
	mux.HandleFunc("PUT /-/config", operator.putConfig)
	mux.HandleFunc("GET /-/config", operator.getConfig)
	mux.HandleFunc("GET "+statusPath, operator.getStatus)
	mux.HandleFunc("GET /-/metrics", operator.getMetrics)
	return mux
}
