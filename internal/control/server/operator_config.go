package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
)

// Limits of operators' requests.
const (
	// maxConfigBytes is the maximum size of a configuration, 32 MiB. A larger one is answered 413.
	maxConfigBytes = 32 << 20
	// operatorTimeout is how long an operator's request waits for its outcome before it is answered 503.
	operatorTimeout = 3 * time.Second
)

// operatorAPI serves the operators' requests. Its methods run in goroutines of the HTTP server.
type operatorAPI struct {
	server  *Server
	gate    *ingress.Gate
	parsing sync.Mutex // held while a configuration is parsed
	reading sync.Mutex // held while the engine works out the status, so that callers do not keep it from all else
}

// commandOutcome is the result of an operator's command, or the error because of which it was not proposed.
type commandOutcome struct {
	result statemachine.Result
	err    error // a CommandTooLongError or nil
}

// execute submits a command to the chain and waits for its outcome. The outcome is Unknown if it does not arrive in time,
// this replica does not serve, or the engine ends. The engine calls the function that creates the command, so that
// function may read the state.
func (a *operatorAPI) execute(command func() *statemachine.Command) (statemachine.Result, error) {
	s := a.server
	outcomes := make(chan commandOutcome, 1)
	s.do(func() {
		if !s.canServe() {
			outcomes <- commandOutcome{result: statemachine.Result{Code: statemachine.Unknown}}
			return
		}
		err := s.commands.submit(command(), func(result statemachine.Result) { outcomes <- commandOutcome{result: result} })
		if err != nil {
			outcomes <- commandOutcome{err: err}
		}
	})
	timer := time.NewTimer(operatorTimeout)
	defer timer.Stop()
	select {
	case outcome := <-outcomes:
		return outcome.result, outcome.err
	case <-timer.C:
	case <-s.ended:
	}
	select {
	case outcome := <-outcomes: // the outcome arrived at the same time
		return outcome.result, outcome.err
	default:
		return statemachine.Result{Code: statemachine.Unknown}, nil
	}
}

// configChange is the content of an operator's PUT /-/config.
type configChange struct {
	version     int64
	baseVersion int64 // the version that the change builds on, from If-Match
	body        []byte
}

// badRequest is the response to an operator's invalid request.
type badRequest struct {
	status int
	text   string
}

// readConfigChange reads and validates a request with its body. Requests are parsed one after the other. The badRequest is nil if the request is valid.
func (a *operatorAPI) readConfigChange(r *http.Request, body []byte) (configChange, *badRequest) {
	baseVersion, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `" `), 10, 64)
	if err != nil {
		return configChange{}, &badRequest{http.StatusBadRequest, "If-Match must hold the version on which this one builds"}
	}
	a.parsing.Lock()
	defer a.parsing.Unlock()
	parsed, invalid := configuration.Parse(body)
	if invalid != nil {
		return configChange{}, &badRequest{http.StatusBadRequest, invalid.Error()}
	}
	return configChange{version: parsed.Version, baseVersion: baseVersion, body: body}, nil
}

// putConfig proposes a configuration, and answers 200 once it is committed.
func (a *operatorAPI) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := ingress.ReadBody(r, ingress.BodyLimits{Bytes: maxConfigBytes, Timeout: bodyTimeout})
	if err != nil {
		ingress.AnswerBodyError(w, err, "the configuration")
		return
	}
	if err := ingress.Claim(r, configuration.ParsingMemory(body)); err != nil {
		ingress.AnswerBodyError(w, err, "the configuration")
		return
	}
	change, bad := a.readConfigChange(r, body)
	if bad != nil {
		http.Error(w, bad.text, bad.status)
		return
	}
	s := a.server
	result, err := a.execute(func() *statemachine.Command {
		return &statemachine.Command{Configure: s.state.fsm.NewConfigure(change.version, change.baseVersion, change.body)}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	switch result.Code {
	case statemachine.Unknown:
		http.Error(w, "no outcome yet; send the same again", http.StatusServiceUnavailable)
	case statemachine.Conflict:
		http.Error(w, "another version is current", http.StatusPreconditionFailed)
	case statemachine.Invalid:
		http.Error(w, "Version: must be above the current one", http.StatusBadRequest)
	case statemachine.OK:
		s.logger.Info().Int64("version", change.version).Msg("configuration acknowledged")
		w.WriteHeader(http.StatusOK)
	default:
		s.logger.Error().Uint8("code", uint8(result.Code)).Msg("unexpected outcome of a configuration command")
		http.Error(w, "no outcome yet; send the same again", http.StatusServiceUnavailable)
	}
}

// getConfig answers with the configuration in force and its version as ETag. The read passes through the chain, so the
// answer is not older than the request.
func (a *operatorAPI) getConfig(w http.ResponseWriter, _ *http.Request) {
	result, _ := a.execute(func() *statemachine.Command { // a read is never too long, so there is no error
		return &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}
	})
	switch result.Code {
	case statemachine.NotFound:
		http.Error(w, "no configuration yet", http.StatusNotFound)
	case statemachine.OK:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("ETag", `"`+strconv.FormatInt(configVersion(result.Body), 10)+`"`)
		w.Write(result.Body)
	default:
		http.Error(w, "not in touch with the other control machines", http.StatusServiceUnavailable)
	}
}

// configVersion returns the version in a configuration, or 0 if there is none.
func configVersion(body []byte) int64 {
	header := struct{ Version int64 }{}
	if json.Unmarshal(body, &header) != nil {
		return 0
	}
	return header.Version
}
