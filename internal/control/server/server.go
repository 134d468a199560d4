// Package server runs one control process. It agrees with its peers on views (who is in the chain and in which order),
// replicates the log of commands along the chain, applies committed commands to the cluster's state machine, keeps log
// and snapshots on disk, and serves dispatchers, operators and the other control machines.
//
// It decides nothing itself: who should be in a view is up to coordination/view, when an entry is committed to
// coordination/chain, and what a command does to jobs, workers and sessions to statemachine. These packages are pure;
// this one has the sockets, the disk and the clock, and carries out what they return.
//
// Invariants:
//
//   - The mutable state of a Server belongs to its engine, the goroutine that calls Server.Run. Goroutines of
//     connections, of the disk and of HTTP requests never touch it; they hand functions to the engine by Server.do.
//   - No entry, view or snapshot is reported as persisted before the disk has synced it.
//   - A command has an outcome only once its entry is committed and applied here. One that gets none may have been
//     carried out all the same, so every command must be idempotent.
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
	"yardflow/internal/platform/settings"
)

// inboxCapacity is how many functions may wait for the engine. Beyond it, whoever hands over another one blocks, and the
// connection that it reads from is not read meanwhile.
const inboxCapacity = 4096

// Server is one control process: the engine and the parts that it drives, each with a file of its own. Settings, logger,
// network and the clock's zero never change; channels, disk and heartbeats may be used by every goroutine; all else belongs
// to the engine once Run has begun.
type Server struct {
	settings  *settings.Settings
	logger    zerolog.Logger
	network   frame.Network
	startedAt time.Time     // zero of the clock that now returns
	inbox     chan func()   // work for the engine
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

	instanceList *instanceListReader
}

// Open reads the disk and returns a server that is not running yet. It fails where the disk can't be read, with a
// segment.CorruptionError or an UnreadableDiskError where its content is damaged or of another version.
func Open(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) (*Server, error) {
	store, recovered, err := segment.Open(folder, segment.LayoutFor(s.Limits.DiskMb))
	if err != nil {
		return nil, errors.Trace(err)
	}
	hardState, err := loadHardState(s, store, recovered)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := newServer(s, network, logger, hardState)
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

// loadHardState returns what this member must never forget: from the disk or, where that is empty, that of a new
// member, which it saves.
func loadHardState(s *settings.Settings, store *segment.Store, recovered *segment.Recovered) (view.HardState, error) {
	hardState := view.HardState{}
	if !recovered.Fresh {
		if !protocol.Decode(recovered.Metadata, &hardState) {
			return hardState, &UnreadableDiskError{Folder: s.DataDir, Part: "metadata"}
		}
		return hardState, nil
	}
	hardState.Self = view.Member{ID: rand.Uint64() | 1, Node: s.Node, Address: s.Listen.Control, Zone: s.Zone}
	hardState.InitialMember = s.Bootstrap
	return hardState, errors.Trace(store.SaveMetadata(protocol.Encode(hardState)))
}

func newServer(s *settings.Settings, network frame.Network, logger zerolog.Logger, hardState view.HardState) *Server {
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
	server.instanceList = newInstanceListReader(network, s.Cloud)
	server.commands = newCommandTable(hardState.Self.ID, segment.LayoutFor(s.Limits.DiskMb).MaxDataBytes(), server.now)
	return server
}

// restoreFromDisk restores the replica and the state from what the disk held: the newest snapshot, and behind it the
// entries that are known to be committed. Their updates and notices went out in a former incarnation, and no command of
// theirs is pending: what the disk holds names no origin.
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
		chain.Snapshot{Index: snapshot.Index, IndexEpoch: snapshot.Epoch, Data: snapshot.Data}, entries, recovered.CommitIndex)
	for i := range entries {
		if entries[i].Index > s.replica.CommitIndex() {
			break
		}
		s.apply(&entries[i])
		s.state.discardOutput()
	}
	return nil
}

// UnreadableDiskError says that a part of what the disk holds can't be decoded: it is damaged, or another version of
// the program wrote it.
type UnreadableDiskError struct {
	Folder string // settings key DataDir
	Part   string // "metadata" or "snapshot"
}

// Error names the folder and the part, with the advice.
func (e *UnreadableDiskError) Error() string {
	return e.Folder + ": the " + e.Part + " can't be read; " + e.Advice()
}

// Advice says what an operator can do.
func (e *UnreadableDiskError) Advice() string {
	return "replace this disk, or empty the folder so that this machine joins anew"
}

// Handler serves all paths of a control process: those of peers, dispatchers and operators.
func (s *Server) Handler() http.Handler {
	operator := &operatorAPI{server: s}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PeerPath, s.peers.accept)
	mux.HandleFunc("POST "+protocol.DispatcherPath, s.acceptDispatcher)
	mux.HandleFunc("PUT /-/config", operator.putConfig)
	mux.HandleFunc("GET /-/config", operator.getConfig)
	mux.HandleFunc("GET "+statusPath, operator.getStatus)
	mux.HandleFunc("GET /-/metrics", operator.getMetrics)
	return mux
}
