package main

// This file owns the node: its parts and the order in which they begin.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yardflow/internal/discovery/sources"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/datagram"
	"yardflow/internal/gateway/hotrestart"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/gateway/ssefront"
	"yardflow/internal/gateway/workflowsteps"
	"yardflow/internal/platform/config"
	"yardflow/internal/platform/console"
)

// reserve is for what is neither a client's nor a loan worker's: the standard
// streams, the poller, the listeners, discovery's connections before and after
// a reload, the datagrams' socket, a file being read, and what comes past the budget, also
// of connections that are closed and still read from.
const reserve = 27

// node is one running dispatcher.
type node struct {
	cfg         *config.Config  // as at the start
	live        *config.InForce // in force
	longest     time.Duration   // longest deadline of any request that may be open
	broker      *broker.Broker
	table       *httpfront.ServerTable
	sources     *sources.Merger
	guard       *httpfront.ConnLimiter
	reader      *httpfront.RequestReader
	lines       *httpfront.WorkerConns
	front       *httpfront.Frontend
	mu          sync.Mutex
	servers     []*http.Server
	listeners   []*httpfront.Listener
	console     *console.Console
	limitMemory func(bytes int64)
	bans        *hotrestart.BanList
	peers       *hotrestart.Siblings
	holder      *transport.LeaseSession // of the policy agreed on with keepers; nil: none is
	release     func()                  // gives its lease back
	base        *config.Config          // in force, before the policy; reloads' and the policy's, under policyMu
	policyMu    sync.Mutex
	starts      *coldstart.Client // of turns at the list service and the relayed list; nil: no keepers
	desk        *quota.Limiter    // of the limits of the fleet
	deskNow     func() time.Duration
	witness     *outlier.Reporter
	judged      atomic.Bool              // the policy in force has workers judged
	verdicts    []outlier.EjectionNotice // that hold here; the holder's alone
	stale       *time.Timer              // ends them
	policy      policy.Document
	talk        *datagram.Conn        // with the other dispatchers; nil: they don't talk
	flows       *workflowsteps.Runner // of workflows' steps; nil: no keepers
	serving     atomic.Bool

	addr, sseAddr, consoleAddr net.Addr // where the parts listen; nil: off

	failed   chan error
	unfollow func()
}

// start makes a node and lets it serve. dir is the folder that outlasts the
// process, if there is one: what operators took out is kept there, and processes
// of this dispatcher meet there. limitMemory bounds what this one uses.
func begin(cfg *config.Config, dir string, limitMemory func(bytes int64)) (*node, error) {
	n := &node{cfg: cfg, failed: make(chan error, 2), limitMemory: limitMemory}
	logLine := func(s string) { log.Print(s) }
	// Before anything grows: from here on a process that runs already keeps to its
	// half. It knows a newer list than the configuration's.
	var state []byte
	n.peers, state = hotrestart.Join(dir, cfg.Name, logLine)
	var before inheritance
	if len(state) > 0 {
		if err := json.Unmarshal(state, &before); err != nil {
			log.Printf("what the process before tells is left out: %v", err)
		}
	}
	if len(before.Table) > 0 {
		own := *cfg
		cfg, own.KnownList, own.KnownListInherited = &own, before.Table, true
		n.cfg = cfg
	}
	n.live, n.longest, n.base = config.NewInForce(cfg), longest(cfg), cfg
	limitMemory(n.memory(1 + n.peers.Count()))
	var err error
	if n.broker, err = broker.New(cfg.Dispatch, cfg.Seed, contracts(cfg), logLine); err != nil {
		return nil, err
	}
	if cfg.Trace {
		n.broker.SetTrace(logLine)
	}
	if cfg.PeersEnabled() {
		if n.talk, err = datagram.Open(cfg.PeerListen, cfg.PeersBroadcast, cfg.Peers, n.broker.ReceivePeerMessage, n.peers.ForwardPeerMessage); err != nil {
			return nil, err
		}
		n.broker.SetBroadcast(n.talk.Broadcast)
	}
	if n.bans, err = hotrestart.OpenBanList(dir, cfg.Name); err != nil {
		return nil, err
	}
	// The console comes first: whoever asks while the rest starts gets a no.
	if cfg.Console != "" {
		l, err := net.Listen("tcp", cfg.Console)
		if err != nil {
			return nil, fmt.Errorf("NODE_CONSOLE: %w", err)
		}
		n.console, n.consoleAddr = console.New(l, door{n}), l.Addr()
		go n.console.Serve()
	}
	banned, err := n.bans.Reload()
	if err != nil {
		return nil, err
	}
	hooks := sources.Hooks{Log: logLine, AddressRetired: func(addr string) { n.lines.RetireConnections(addr) }}
	clients, workers := n.sockets(1 + n.peers.Count())
	n.lines = httpfront.NewWorkerConns(n.live, workers)
	if n.sources, err = sources.New(n.live, n.broker, hooks); err != nil {
		return nil, err
	}
	if len(before.Members) > 0 {
		if err := n.sources.Restore(before.Members); err != nil {
			log.Printf("what the process before tells is left out: %v", err)
		}
	}
	n.sources.SetBanned(banned)
	n.broker.SetReservationShare(1 / float64(1+n.peers.Count()))
	if len(before.Learned) > 0 {
		n.broker.Restore(before.Learned)
	}
	if n.table, err = httpfront.NewServerTable(n.live, n.broker, n.sources.UpdateRoster, logLine); err != nil {
		return nil, err
	}
	n.guard = httpfront.NewConnLimiter(clients)
	n.reader = httpfront.NewRequestReader(n.live, n.guard)
	n.front = httpfront.NewFrontend(n.broker, n.lines, n.reader)
	n.front.SetReadiness(n.table.Ready)
	if len(cfg.Coordinators.Addresses) > 0 {
		n.hold(cfg, dir)
	}
	l, err := frontListener(cfg)
	if err != nil {
		return nil, err
	}
	n.addr = n.serve(l, n.front.Server())
	if cfg.SSE.Enabled {
		server := n.front.NewServer(ssefront.New(n.live, n.broker, n.lines, n.reader).ServeHTTP)
		l, err := net.Listen("tcp", cfg.SSE.Listen)
		switch {
		case err == nil:
			n.sseAddr = n.serve(l, server)
		case errors.Is(err, syscall.EADDRINUSE) && n.peers.Count() > 0:
			// The process before has the port until it stops. That must not stop an
			// upgrade: the first front is up, this one follows.
			log.Printf("event streams: %v; taken over once it is free", err)
			go n.takeOver(cfg.SSE.Listen, server)
		default:
			return nil, fmt.Errorf("sse.listen: %w", err)
		}
	}
	var follow context.Context
	follow, n.unfollow = context.WithCancel(context.Background())
	go n.table.Run(follow)
	n.sources.SyncResolvers()
	n.serving.Store(true)
	// The name in dir goes over last: a process that failed before is not met.
	if err := n.peers.Serve(hotrestart.Hooks{State: n.inheritance, SiblingsChanged: n.share, BansChanged: n.rereadBans, PeerMessage: n.broker.ReceivePeerMessage}); err != nil {
		log.Printf("the next process can't meet this one: %v", err)
	}
	return n, nil
}

// inheritance is what the process that takes over starts on.
type inheritance struct {
	Table   json.RawMessage `json:"table"`             // as the configuration's known
	Learned json.RawMessage `json:"learned,omitempty"` // by the module
	Members json.RawMessage `json:"members,omitempty"` // by all sources, where there are more than the roster
}

func (n *node) inheritance() []byte {
	text, err := json.Marshal(inheritance{n.table.Snapshot(), n.broker.Snapshot(300 * time.Millisecond), n.sources.Snapshot()})
	if err != nil {
		log.Printf("the next process gets nothing from this one: %v", err)
	}
	return text
}

// frontListener is the clients' listening socket: the one that the platform
// holds and hands down, or else one of our own.
func frontListener(cfg *config.Config) (net.Listener, error) {
	if cfg.ListenFD == 0 {
		l, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("NODE_LISTEN: %w", err)
		}
		return l, nil
	}
	file := os.NewFile(uintptr(cfg.ListenFD), "NODE_LISTEN_FD")
	defer file.Close() // FileListener has its own copy
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("NODE_LISTEN_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("NODE_LISTEN_FD: %v is no TCP socket", l.Addr())
	}
	return l, nil
}

// takeOver serves at an address as soon as the process before has left it.
func (n *node) takeOver(addr string, server *http.Server) {
	for !n.front.Draining() {
		if l, err := net.Listen("tcp", addr); err == nil {
			log.Printf("event streams: served on %s", n.serve(l, server))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (n *node) serve(l net.Listener, server *http.Server) net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.front.Draining() { // too late: nobody would close it
		l.Close()
		return l.Addr()
	}
	guarded := n.guard.Listen(l)
	n.servers, n.listeners = append(n.servers, server), append(n.listeners, guarded)
	go func() {
		if err := server.Serve(guarded); !errors.Is(err, http.ErrServerClosed) && !n.front.Draining() {
			n.failed <- err
		}
	}()
	return l.Addr()
}
