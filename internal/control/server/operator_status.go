package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress/budget"
)

const statusPath = "/-/status"

// Status is the response to GET /-/status. Operators' scripts read the JSON names, which must not change.
type Status struct {
	Node                 string
	StartupBlockedBy     string   `json:"Waiting,omitempty"` // why the process has not read its disk yet
	Epoch                uint64   // of the view in force
	Chain                []string // machines in the order of the chain
	ReplicationFactor    int      `json:"Copies"` // copies of each committed entry, at the first members of Chain
	Electors             []string
	Serves               bool   // whether this machine serves dispatchers and operators
	LastIndex            uint64 `json:"Last"`      // newest entry here
	CommitIndex          uint64 `json:"Committed"` // newest committed entry known here
	PendingCommands      int    `json:"Pending"`   // commands without an outcome
	ConfigVersion        int64  `json:"Version"`
	Sessions             int    // open sessions of dispatchers
	Workers              int
	Jobs                 int   // known jobs, including finished ones
	UnfinishedJobs       int   `json:"Open"`
	DiskStalledMs        int64 `json:"StalledMs"`  // duration of the batch of disk writes in progress
	ConnectedDispatchers int   `json:"Dispatched"` // dispatchers connected here
	DispatchersBehind    int   `json:"Behind"`     // of these, dispatchers that have not acknowledged ConfigVersion

	LogDiverged bool `json:"Diverged,omitempty"` // whether another member's log contradicts an entry committed here
	// RulesVersion is the version of the state machine's rules in force.
	RulesVersion statemachine.RulesVersion `json:",omitempty"`
	// IncompleteWriters are the machines that are not known to have the complete log of the view in force; until they have,
	// nothing is committed.
	IncompleteWriters []string `json:"Incomplete,omitempty"`
	// ViewObstacle is why this machine's proposals for another view have failed lately.
	ViewObstacle string `json:",omitempty"`
}

// currentStatus returns the server's status. The engine calls it.
func (s *Server) currentStatus() Status {
	v, fsm := s.membership.view(), s.state.fsm
	status := Status{
		Node:                 s.settings.Node,
		Epoch:                v.Epoch,
		Chain:                nodesOf(v.Chain),
		ReplicationFactor:    v.WriterCount(),
		Electors:             nodesOf(v.Electors),
		Serves:               s.canServe(),
		LastIndex:            s.replica.LastIndex(),
		CommitIndex:          s.replica.CommitIndex(),
		PendingCommands:      len(s.commands.pending),
		ConfigVersion:        fsm.ConfigVersion,
		Sessions:             len(fsm.Sessions),
		Workers:              len(fsm.Workers),
		Jobs:                 len(fsm.Jobs),
		DiskStalledMs:        s.disk.stalledFor().Milliseconds(),
		ConnectedDispatchers: len(s.dispatchers.attached),
		RulesVersion:         fsm.Rules,
		LogDiverged:          s.replica.Divergence() != nil,
		IncompleteWriters:    nodesOf(s.membership.incompleteWriters),
		ViewObstacle:         s.membership.obstacle.text(s.now()),
	}
	for _, known := range fsm.Jobs {
		if !known.State.Terminal() {
			status.UnfinishedJobs++
		}
	}
	for d := range s.dispatchers.attached {
		if d.ackedConfig < fsm.ConfigVersion {
			status.DispatchersBehind++
		}
	}
	return status
}

// nodesOf returns the node names of members, or nil if there are no members.
func nodesOf(members []view.Member) []string {
	var nodes []string
	for _, member := range members {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// status asks the engine for its status. It returns an empty status if the engine has ended.
func (a *operatorAPI) status() Status {
	a.reading.Lock()
	defer a.reading.Unlock()
	s := a.server
	answer := make(chan Status, 1)
	s.do(func() { answer <- s.currentStatus() })
	select {
	case status := <-answer:
		return status
	case <-s.ended:
		return Status{}
	}
}

// getStatus answers with the status as JSON.
func (a *operatorAPI) getStatus(w http.ResponseWriter, _ *http.Request) { writeStatus(w, a.status()) }

func writeStatus(w http.ResponseWriter, status Status) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only if the client has disconnected
}

// getMetrics answers with the figures of the status, one per line. Operators' dashboards read the metric names.
func (a *operatorAPI) getMetrics(w http.ResponseWriter, _ *http.Request) {
	status := a.status()
	metrics := []struct {
		name  string
		value int64
	}{
		{"yardflow_view_epoch", int64(status.Epoch)},
		{"yardflow_serves", boolMetric(status.Serves)},
		{"yardflow_diverged", boolMetric(status.LogDiverged)},
		{"yardflow_chain_last", int64(status.LastIndex)},
		{"yardflow_chain_committed", int64(status.CommitIndex)},
		{"yardflow_commands_pending", int64(status.PendingCommands)},
		{"yardflow_config_version", status.ConfigVersion},
		{"yardflow_sessions", int64(status.Sessions)},
		{"yardflow_workers", int64(status.Workers)},
		{"yardflow_jobs", int64(status.Jobs)},
		{"yardflow_jobs_open", int64(status.UnfinishedJobs)},
		{"yardflow_disk_stalled_ms", status.DiskStalledMs},
		{"yardflow_dispatchers_connected", int64(status.ConnectedDispatchers)},
		{"yardflow_dispatchers_behind", int64(status.DispatchersBehind)},
		{"yardflow_rules_version", int64(status.RulesVersion)},
		{"yardflow_view_incomplete_writers", int64(len(status.IncompleteWriters))},
		{"yardflow_view_obstructed", boolMetric(status.ViewObstacle != "")},
	}
	for _, metric := range metrics {
		io.WriteString(w, metric.name+" "+strconv.FormatInt(metric.value, 10)+"\n")
	}
	for _, metric := range a.gate.Metrics(budget.Operators, budget.Processes) {
		io.WriteString(w, metric.Name+" "+strconv.FormatInt(metric.Value, 10)+"\n")
	}
}

// boolMetric returns 1 for true and 0 for false.
func boolMetric(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
