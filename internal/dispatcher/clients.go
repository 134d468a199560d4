package dispatcher

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// Bounds of clients' calls.
const (
	// deadlineHeader carries for how many ms the client still waits.
	deadlineHeader = "Yardflow-Deadline-Remaining"
	// defaultTimeout is how long a client waits where neither the route nor the call says so.
	defaultTimeout = 3 * time.Second
	// answerMargin is how long before the client's deadline the answer goes out.
	answerMargin = 150 * time.Millisecond
	// retryAfterS goes with each 503, in seconds.
	retryAfterS = "1"
	// defaultMaxBodyBytes is the bound on a job's body where the configuration has none.
	defaultMaxBodyBytes = 1 << 20
)

// Texts of answers, which are the protocol's bodies.
const (
	controlUnreachableText = "the control machines are out of reach"
	noOutcomeText          = "no outcome yet; send the same again"
	invalidJobText         = "no job that can be carried out"
	noSuchJobText          = "no such job"
)

// ServeHTTP serves clients: a route of the configuration is a queue, below which each job has a path by its ID.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config := d.config.parsed.Load()
	if config == nil {
		serviceUnavailable(w, "no configuration yet")
		return
	}
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route := config.FindRoute(host, r.URL.Path)
	if route == nil {
		http.Error(w, "no such queue", http.StatusNotFound)
		return
	}
	id := r.URL.Path[len(route.PathPrefix):]
	switch {
	case id == "" && r.Method == http.MethodGet:
		d.serveQueue(w, r, route)
	case !job.ValidID(id):
		http.Error(w, "a job's ID is 16 hex digits", http.StatusNotFound)
	case r.Method == http.MethodPost:
		d.serveSubmit(w, r, config, route, id)
	case r.Method == http.MethodGet:
		d.serveState(w, r, route, id)
	case r.Method == http.MethodDelete:
		d.serveCancel(w, r, route, id)
	default:
		http.Error(w, "POST, GET or DELETE", http.StatusMethodNotAllowed)
	}
}

// serviceUnavailable answers that nothing was kept and nothing will be, and when to come back.
func serviceUnavailable(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", retryAfterS)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// answerTimeout returns how long the answer to a call may take.
func answerTimeout(r *http.Request, route *configuration.Route) time.Duration {
	timeout := defaultTimeout
	if route.TimeoutMs > 0 {
		timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if left, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil && left > 0 {
		timeout = min(timeout, time.Duration(left)*time.Millisecond)
	}
	return max(timeout-answerMargin, answerMargin)
}

// serveSubmit accepts a job. The answer is 200 only once the job is committed.
func (d *Dispatcher) serveSubmit(w http.ResponseWriter, r *http.Request, config *configuration.Configuration,
	route *configuration.Route, id string) {
	request, ok := readJob(w, r, config)
	if !ok {
		return
	}
	receivedAt := d.now()
	submitted := job.Job{ID: id, Route: route.Key(), Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, Stretch: route.Stretch, TargetLatencyMs: route.TargetLatencyMs, Request: request}
	result, outcome := d.executeThen(r, answerTimeout(r, route), func() *statemachine.Command {
		submitted.Owner = d.uplink.session
		d.addProvisionalJob(d.now(), submitted)
		return &statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: submitted}}
	}, func() { d.dropProvisionalJob(id) })
	d.logger.Debug().Str("job", id).Int("priority", route.Priority).Int64("work", request.EstimatedWork()).Int("times", request.Repeat).
		Bool("lasting", request.Steps[0].LongRunning).Float64("stretch", route.Stretch).Int64("target", route.TargetLatencyMs).
		Stringer("outcome", outcome).Dur("took", d.now()-receivedAt).Msg("submit")
	switch {
	case outcome == notSent:
		serviceUnavailable(w, controlUnreachableText)
	case outcome == unknown:
		http.Error(w, noOutcomeText, http.StatusGatewayTimeout)
	case result.Code != statemachine.OK:
		http.Error(w, invalidJobText, http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readJob reads the job from a call's body. Where there is no valid one, it answers the call and reports false.
func readJob(w http.ResponseWriter, r *http.Request, config *configuration.Configuration) (request job.Request, ok bool) {
	limit := int64(defaultMaxBodyBytes)
	if config.Limits.MaxBodyBytes > 0 {
		limit = config.Limits.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the job is too large", http.StatusRequestEntityTooLarge)
		return request, false
	}
	if err != nil {
		http.Error(w, "the job can't be read", http.StatusBadRequest)
		return request, false
	}
	if json.Unmarshal(body, &request) != nil || !request.Valid() {
		http.Error(w, invalidJobText, http.StatusBadRequest)
		return request, false
	}
	return request, true
}

// serveState answers from what this dispatcher owns and knows to be current, else by a read from the control machines.
func (d *Dispatcher) serveState(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	if state, known := d.localState(id); known {
		writeState(w, state)
		return
	}
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadJob: &statemachine.ReadJob{Job: id}}
	})
	switch {
	case outcome != answered:
		serviceUnavailable(w, controlUnreachableText)
	case result.Code == statemachine.NotFound:
		http.Error(w, noSuchJobText, http.StatusGone)
	default:
		d.post(func() { d.terminal.remember(id, result.JobState) })
		writeState(w, result.JobState)
	}
}

// localState returns a job's state where no control machine has to be asked.
func (d *Dispatcher) localState(id string) (state job.State, known bool) {
	answer := make(chan job.State, 1)
	d.post(func() {
		if owned := d.jobs[id]; owned != nil && !owned.provisional && d.uplink.attached {
			answer <- owned.State
		} else if terminal, known := d.terminal[id]; known {
			answer <- terminal
		} else {
			close(answer)
		}
	})
	select {
	case state, known = <-answer:
	case <-d.loopEnded: // the function may wait in the loop's buffer for ever
	}
	return state, known
}

func writeState(w http.ResponseWriter, state job.State) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"State":"`+state.String()+`"}`)
}

func (d *Dispatcher) serveCancel(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: id}}
	})
	switch {
	case outcome == notSent:
		serviceUnavailable(w, controlUnreachableText)
	case outcome == unknown:
		http.Error(w, noOutcomeText, http.StatusGatewayTimeout)
	case result.Code == statemachine.NotFound:
		http.Error(w, noSuchJobText, http.StatusGone)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveQueue answers how many jobs of a queue are pending.
func (d *Dispatcher) serveQueue(w http.ResponseWriter, r *http.Request, route *configuration.Route) {
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadQueue: &statemachine.ReadQueue{Route: route.Key()}}
	})
	if outcome != answered {
		serviceUnavailable(w, controlUnreachableText)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"Pending":`+strconv.Itoa(result.Count)+`}`)
}

// maxTerminalStates bounds the memory of terminal states; where it is full, it is emptied.
const maxTerminalStates = 4096

// terminalStates remembers the states, by the jobs' IDs, of jobs that had ended when they were read. They never change, so
// that clients that ask often cost little.
type terminalStates map[string]job.State

// remember keeps a job's state if it is terminal.
func (t terminalStates) remember(id string, state job.State) {
	if !state.Terminal() {
		return
	}
	if len(t) >= maxTerminalStates {
		clear(t)
	}
	t[id] = state
}
