package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
)

// Bounds of the operator's calls.
const (
	maxConfigBytes  = 32 << 20
	operatorTimeout = 3 * time.Second
)

// execute sends a command through the chain and waits for its outcome, which is Unknown where none comes in time.
// The command is made by the engine, from the state here.
func (s *Server) execute(command func() *statemachine.Command) statemachine.Result {
	answer := make(chan statemachine.Result, 1)
	s.do(func() {
		if s.canServe() {
			s.submit(command(), func(result statemachine.Result) { answer <- result })
		} else {
			answer <- statemachine.Result{Code: statemachine.Unknown}
		}
	})
	timer := time.NewTimer(operatorTimeout)
	defer timer.Stop()
	select {
	case result := <-answer:
		return result
	case <-timer.C:
		return statemachine.Result{Code: statemachine.Unknown}
	}
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxConfigBytes+1))
	if err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	if len(body) > maxConfigBytes {
		http.Error(w, "the configuration is too large", http.StatusRequestEntityTooLarge)
		return
	}
	match, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `" `), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must hold the version on which this one builds", http.StatusBadRequest)
		return
	}
	configured, fault := configuration.Parse(body)
	if fault != nil {
		http.Error(w, fault.Error(), http.StatusBadRequest)
		return
	}
	result := s.execute(func() *statemachine.Command {
		return &statemachine.Command{Configure: s.cluster.NewConfigure(configured.Version, match, body)}
	})
	switch result.Code {
	case statemachine.Unknown:
		http.Error(w, "no outcome yet; send the same again", http.StatusServiceUnavailable)
	case statemachine.Conflict:
		http.Error(w, "another version is current", http.StatusPreconditionFailed)
	case statemachine.Invalid:
		http.Error(w, "Version: must be above the current one", http.StatusBadRequest)
	case statemachine.OK:
		s.logger.Info().Int64("version", configured.Version).Msg("configuration acknowledged")
		w.WriteHeader(http.StatusOK)
	default:
		s.logger.Error().Uint8("code", uint8(result.Code)).Msg("an outcome that no configuration has")
		http.Error(w, "no outcome yet; send the same again", http.StatusServiceUnavailable)
	}
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	result := s.execute(func() *statemachine.Command {
		return &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}
	})
	switch result.Code {
	case statemachine.NotFound:
		http.Error(w, "no configuration yet", http.StatusNotFound)
	case statemachine.OK:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", `"`+strconv.FormatInt(s.version(result.Body), 10)+`"`)
		w.Write(result.Body)
	default:
		http.Error(w, "not in touch with the other control machines", http.StatusServiceUnavailable)
	}
}

func (s *Server) version(body []byte) int64 {
	head := struct{ Version int64 }{}
	if json.Unmarshal(body, &head) != nil {
		return 0
	}
	return head.Version
}

// Status is what operators see of a control process.
type Status struct {
	Node                 string
	StartupBlockedBy     string `json:"Waiting,omitempty"` // why the process has not read its disk yet
	Epoch                uint64
	Chain                []string
	ReplicationFactor    int `json:"Copies"` // of each committed entry: the first members of Chain, as many as this, have it
	Electors             []string
	Serves               bool
	LastIndex            uint64 `json:"Last"` // newest entry here
	CommitIndex          uint64 `json:"Committed"`
	PendingCommands      int    `json:"Pending"` // commands without an outcome
	ConfigVersion        int64  `json:"Version"`
	Sessions             int
	Workers              int
	Jobs                 int
	UnfinishedJobs       int   `json:"Open"` // jobs that are not over
	DiskStalledMs        int64 `json:"StalledMs"`
	ConnectedDispatchers int   `json:"Dispatched"` // dispatchers connected here
	Behind               int   `json:"Behind"`     // of these, dispatchers that have not acknowledged the configuration in force

	LogDiverged bool `json:"Diverged,omitempty"` // another member's log contradicts what is committed here
}

func (s *Server) currentStatus() Status {
	answer := make(chan Status, 1)
	s.do(func() {
		v := s.register.View()
		status := Status{Node: s.settings.Node, Epoch: v.Epoch, ReplicationFactor: v.WriterCount(), Serves: s.canServe(), LastIndex: s.replica.LastIndex(),
			CommitIndex: s.replica.CommitIndex(), PendingCommands: len(s.pending), ConfigVersion: s.cluster.ConfigVersion,
			Sessions: len(s.cluster.Sessions), Workers: len(s.cluster.Workers), Jobs: len(s.cluster.Jobs),
			DiskStalledMs: s.disk.stalledFor().Milliseconds(), ConnectedDispatchers: len(s.dispatchers),
			LogDiverged: s.replica.Divergence() != nil}
		for _, member := range v.Chain {
			status.Chain = append(status.Chain, member.Node)
		}
		for _, member := range v.Electors {
			status.Electors = append(status.Electors, member.Node)
		}
		for _, known := range s.cluster.Jobs {
			if !known.State.Terminal() {
				status.UnfinishedJobs++
			}
		}
		for d := range s.dispatchers {
			if d.ackedConfig < s.cluster.ConfigVersion {
				status.Behind++
			}
		}
		answer <- status
	})
	select {
	case status := <-answer:
		return status
	case <-s.ended:
		return Status{}
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.currentStatus())
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	status := s.currentStatus()
	figures := []struct {
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
		{"yardflow_dispatchers_behind", int64(status.Behind)},
	}
	for _, figure := range figures {
		io.WriteString(w, figure.name+" "+strconv.FormatInt(figure.value, 10)+"\n")
	}
}

// boolMetric writes a flag as a figure.
func boolMetric(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
