package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
	"yardflow/internal/platform/settings"
)

// Process is a control process, from its start on. While the disk rejects reads or writes (if it is full, for example),
// the process waits outside the chain and answers status requests. Once the disk can be read, it opens a Server.
type Process struct {
	settings      *settings.Settings
	network       frame.Network
	folder        segment.Folder
	logger        zerolog.Logger
	gate          *ingress.Gate
	server        atomic.Pointer[Server] // nil until the disk is read
	handler       atomic.Pointer[http.Handler]
	diskRejection atomic.Pointer[string] // text of the disk's most recent error; nil: none yet

	supportedRules statemachine.RulesVersion
}

// NewProcess returns a process that has not opened its disk yet.
func NewProcess(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) *Process {
	return &Process{settings: s, network: network, folder: folder, logger: logger, gate: newGate(s, logger),
		supportedRules: statemachine.NewestRules}
}

// LimitRules makes the process support the state machine's rules up to a version only, as an earlier build does. Tests of
// rolling upgrades call it, before Run.
func (p *Process) LimitRules(newest statemachine.RulesVersion) { p.supportedRules = newest }

// Run opens the disk and runs the server until stop is closed. Like Open, it returns an error if the content of the disk
// can't be used.
func (p *Process) Run(stop <-chan struct{}) error {
	folder := segment.NewRetryingFolder(p.folder, func(err error) bool { return p.waitForDisk(err, stop) })
	server, err := open(p.settings, p.network, folder, p.logger, p.supportedRules)
	folder.StopRetrying() // from now on the server's disk goroutine retries
	if err != nil {
		if isClosed(stop) {
			return nil
		}
		return errors.Trace(err)
	}
	p.server.Store(server)
	handler := server.handler(p.gate)
	p.handler.Store(&handler)
	server.Run(stop)
	return nil
}

// LeaveChain hands over this machine's chain position. It is called before Run is stopped; see Server.LeaveChain.
func (p *Process) LeaveChain() {
	if server := p.server.Load(); server != nil {
		server.LeaveChain()
	}
}

// StallEngine makes the engine stand still until resume is closed, while connections are still read: like a machine that was
// stopped for a moment and wakes with full buffers. Tests with schedules of faults call it.
func (p *Process) StallEngine(resume <-chan struct{}) {
	if server := p.server.Load(); server != nil {
		server.do(func() { <-resume })
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// waitForDisk waits for diskRetryInterval and returns true to retry the disk, or false if stop was closed first.
// Consecutive errors with the same text are logged once.
func (p *Process) waitForDisk(err error, stop <-chan struct{}) bool {
	text := err.Error()
	if previous := p.diskRejection.Swap(&text); previous == nil || *previous != text {
		p.logger.Error().Err(err).Msg("the disk refuses at the start; waiting outside the chain: free space or replace it")
	}
	timer := time.NewTimer(diskRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// ServeHTTP serves all requests to a control process. Until the disk has been read, it serves only the status and answers
// 503 to all other requests.
func (p *Process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if handler := p.handler.Load(); handler != nil {
		(*handler).ServeHTTP(w, r)
		return
	}
	if r.URL.Path != statusPath {
		http.Error(w, "the disk is not open yet", http.StatusServiceUnavailable)
		return
	}
	status := Status{Node: p.settings.Node, StartupBlockedBy: "the disk is being read"}
	if rejection := p.diskRejection.Load(); rejection != nil {
		status.StartupBlockedBy = "the disk refuses: " + *rejection
	}
	writeStatus(w, status)
}
