package server

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/platform/settings"
)

// Process is a control process from its start on. While its disk refuses, as a full one does, it waits outside
// the chain and says so; once there is room it joins.
type Process struct {
	settings      *settings.Settings
	network       frame.Network
	folder        segment.Folder
	logger        zerolog.Logger
	server        atomic.Pointer[Server] // once it is open
	handler       atomic.Pointer[http.Handler]
	diskRejection atomic.Pointer[string] // what the disk last refused
}

// NewProcess returns a process that has not opened its disk.
func NewProcess(s *settings.Settings, network frame.Network, folder segment.Folder, logger zerolog.Logger) *Process {
	return &Process{settings: s, network: network, folder: folder, logger: logger}
}

// Run opens the disk and carries the server until stop is closed. It fails where the disk's content can't be used.
func (p *Process) Run(stop <-chan struct{}) error {
	patient := segment.NewRetryingFolder(p.folder, func(err error) bool { return p.waitForDisk(err, stop) })
	server, err := Open(p.settings, p.network, patient, p.logger)
	patient.StopRetrying()
	if err != nil {
		if isClosed(stop) {
			return nil
		}
		return errors.Trace(err)
	}
	p.server.Store(server)
	handler := server.Handler()
	p.handler.Store(&handler)
	server.Run(stop)
	return nil
}

// LeaveChain hands this machine's place in the chain over, before Run is stopped.
func (p *Process) LeaveChain() {
	if server := p.server.Load(); server != nil {
		server.LeaveChain()
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

// waitForDisk waits until the disk is to be tried again, and reports whether the process goes on.
func (p *Process) waitForDisk(err error, stop <-chan struct{}) bool {
	text := err.Error()
	if former := p.diskRejection.Swap(&text); former == nil || *former != text {
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

// ServeHTTP serves all that a control process answers. Before its disk is open that is the status alone.
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
	if trouble := p.diskRejection.Load(); trouble != nil {
		status.StartupBlockedBy = "the disk refuses: " + *trouble
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}
