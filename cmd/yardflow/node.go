package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/datagram"
	"yardflow/internal/gateway/hotrestart"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/gateway/sources"
	"yardflow/internal/platform/console"
)

// node is one running dispatcher process. It makes its parts, connects them and ends
// them; what they decide is theirs.
type node struct {
	cfg     *config.Config  // as at the start
	inForce *config.InForce // with reloads and the policy

	broker        *broker.Broker
	sources       *sources.Merger
	table         *httpfront.ServerTable
	stopTable     context.CancelFunc
	workerConns   *httpfront.WorkerConns
	connLimiter   *httpfront.ConnLimiter
	requestReader *httpfront.RequestReader
	frontend      *httpfront.Frontend
	datagrams     *datagram.Conn // to the other dispatchers; nil: they don't talk
	console       *console.Console
	fleet         *fleetMember // nil: no coordinators are configured

	// The processes of one dispatcher during a hot restart.
	siblings    *hotrestart.Siblings
	bans        *hotrestart.BanList // shared by them
	limitMemory func(bytes int64)   // sets this one's memory limit

	policyMu sync.Mutex
	base     *config.Config // in force but for the policy
	policy   policy.Document

	mu              sync.Mutex
	servers         []*http.Server
	listeners       []*httpfront.Listener
	longestDeadline time.Duration // of any request that may be in flight

	serving                    atomic.Bool // all parts are made and may be used
	addr, sseAddr, consoleAddr net.Addr    // where the parts listen; nil: off
	failed                     chan error  // a server that ended by itself
}

func logLine(s string) { log.Print(s) }

// startNode makes a node and lets it serve. dir is the folder that outlasts the process,
// if there is one: operators' bans are kept there, and the processes of this dispatcher
// meet there. limitMemory sets the bound of what this one uses.
func startNode(cfg *config.Config, dir string, limitMemory func(bytes int64)) (*node, error) {
	n := &node{cfg: cfg, failed: make(chan error, 2), limitMemory: limitMemory}
	// First, before anything grows: from here on a process that runs already keeps to its
	// share of the machine.
	before := n.joinSiblings(dir)
	n.inForce, n.longestDeadline, n.base = config.NewInForce(n.cfg), longestDeadline(n.cfg), n.cfg
	limitMemory(n.memory(1 + n.siblings.Count()))
	for _, start := range []func() error{
		n.startBroker,
		func() (err error) { n.bans, err = hotrestart.OpenBanList(dir, cfg.Name); return err },
		n.startConsole, // early: calls that come while the rest starts are answered
		func() error { return n.startSources(before) },
	} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	n.makeFrontend()
	if len(cfg.Coordinators.Addresses) > 0 {
		n.joinFleet(dir)
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, n.stopTable = context.WithCancel(context.Background())
	go n.table.Run(ctx)
	n.sources.SyncResolvers()
	n.serving.Store(true)
	// Last, as it takes over the name in dir: a process that fails before is not met.
	if err := n.siblings.Serve(hotrestart.Hooks{State: n.handOver, SiblingsChanged: n.shareMachine, BansChanged: n.reloadBans,
		PeerMessage: n.broker.ReceivePeerMessage}); err != nil {
		log.Printf("the next process can't meet this one: %v", err)
	}
	return n, nil
}

// inheritance is what a process hands over to the one that takes over from it.
type inheritance struct {
	Table   json.RawMessage `json:"table"`             // in the form of the configuration's known list
	Learned json.RawMessage `json:"learned,omitempty"` // by the decision module
	Members json.RawMessage `json:"members,omitempty"` // by all sources, where there are more than the roster
}

// joinSiblings joins the processes of this dispatcher and returns what the one before
// hands over. Its list is newer than the configuration's and takes its place.
func (n *node) joinSiblings(dir string) (before inheritance) {
	var state []byte
	n.siblings, state = hotrestart.Join(dir, n.cfg.Name, logLine)
	if len(state) > 0 {
		if err := json.Unmarshal(state, &before); err != nil {
			log.Printf("what the process before tells is left out: %v", err)
		}
	}
	if len(before.Table) > 0 {
		own := *n.cfg
		own.KnownList, own.KnownListInherited = before.Table, true
		n.cfg = &own
	}
	return before
}

// handOverTimeout bounds the wait for the broker's learned state in a hand-over.
const handOverTimeout = 300 * time.Millisecond

func (n *node) handOver() []byte {
	text, err := json.Marshal(inheritance{n.table.Snapshot(), n.broker.Snapshot(handOverTimeout), n.sources.Snapshot()})
	if err != nil {
		log.Printf("the next process gets nothing from this one: %v", err)
	}
	return text
}

// startBroker makes the broker and its connection to the other dispatchers.
func (n *node) startBroker() (err error) {
	if n.broker, err = broker.New(n.cfg.Dispatch, n.cfg.Seed, brokerContracts(n.cfg), logLine); err != nil {
		return err
	}
	if n.cfg.Trace {
		n.broker.SetTrace(logLine)
	}
	if !n.cfg.PeersEnabled() {
		return nil
	}
	n.datagrams, err = datagram.Open(n.cfg.PeerListen, n.cfg.PeersBroadcast, n.cfg.Peers, n.broker.ReceivePeerMessage, n.siblings.ForwardPeerMessage)
	if err != nil {
		return err
	}
	n.broker.SetBroadcast(n.datagrams.Broadcast)
	return nil
}

func (n *node) startConsole() error {
	if n.cfg.Console == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.cfg.Console)
	if err != nil {
		return fmt.Errorf("NODE_CONSOLE: %w", err)
	}
	n.console, n.consoleAddr = console.New(l, operations{n}), l.Addr()
	go n.console.Serve()
	return nil
}

// startSources makes the merged list, what follows from it, and the server table.
func (n *node) startSources(before inheritance) error {
	banned, err := n.bans.Reload()
	if err != nil {
		return err
	}
	clients, workers := n.sockets(1 + n.siblings.Count())
	n.connLimiter = httpfront.NewConnLimiter(clients)
	n.workerConns = httpfront.NewWorkerConns(n.inForce, workers)
	hooks := sources.Hooks{Log: logLine, AddressRetired: func(addr string) { n.workerConns.RetireConnections(addr) }}
	if n.sources, err = sources.New(n.inForce, n.broker, hooks); err != nil {
		return err
	}
	if len(before.Members) > 0 {
		if err := n.sources.Restore(before.Members); err != nil {
			log.Printf("what the process before tells is left out: %v", err)
		}
	}
	n.sources.SetBanned(banned)
	n.broker.SetReservationShare(1 / float64(1+n.siblings.Count()))
	if len(before.Learned) > 0 {
		n.broker.Restore(before.Learned)
	}
	n.table, err = httpfront.NewServerTable(n.inForce, n.broker, n.sources.UpdateRoster, logLine)
	return err
}

func (n *node) makeFrontend() {
	n.requestReader = httpfront.NewRequestReader(n.inForce, n.connLimiter)
	n.frontend = httpfront.NewFrontend(n.broker, n.workerConns, n.requestReader)
	n.frontend.SetReadiness(n.table.Ready)
}
