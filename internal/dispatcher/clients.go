package dispatcher

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
	"yardflow/scheduling/job"
)

// Bounds of clients' calls.
const (
	// deadlineHeader has the remaining time in ms for which the client waits for the answer.
	deadlineHeader = "Yardflow-Deadline-Remaining"
	// defaultTimeout is how long a client is assumed to wait if the route has no timeout. The deadlineHeader of a call can
	// only shorten the wait.
	defaultTimeout = 3 * time.Second
	// answerMargin is how long before the client's deadline the answer is sent.
	answerMargin = 150 * time.Millisecond
	// copiesOfJob is how often a job is in memory while its call waits for the outcome: decoded, and encoded as a command.
	copiesOfJob = 2
	// includedJobBytes of a job's copies are part of what a connection costs.
	includedJobBytes = 4 << 10
	// retryAfterS is the Retry-After header of each 503, in seconds.
	retryAfterS = "1"
)

// Bodies of error answers, which are part of the client protocol.
const (
	controlUnreachableText = "the control machines are out of reach"
	noOutcomeText          = "no outcome yet; send the same again"
	invalidJobText         = "no job that can be carried out"
	noSuchJobText          = "no such job"
	tooManyCancelledText   = "too many unknown jobs of this queue were cancelled lately; send the same again"
)

// ServeHTTP serves clients. Each route of the configuration is a queue; the path of a job is the route's prefix and the
// job's ID.
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

// serviceUnavailable answers that the call had no effect and will have none, and when to retry.
func serviceUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterS)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// answerTimeout returns how long a call may wait for its outcome before it has to be answered.
func answerTimeout(r *http.Request, route *configuration.Route) time.Duration {
	timeout := defaultTimeout
	if route.TimeoutMs > 0 {
		timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if remainingMs, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil && remainingMs > 0 {
		timeout = min(timeout, time.Duration(remainingMs)*time.Millisecond)
	}
	return max(timeout-answerMargin, answerMargin)
}

// serveSubmit accepts a job. It answers 200 only after the job is committed.
func (d *Dispatcher) serveSubmit(w http.ResponseWriter, r *http.Request, config *configuration.Configuration,
	route *configuration.Route, id string) {
	request, ok := d.readJob(w, r, config, route)
	if !ok {
		return
	}
	receivedAt := d.now()
	submitted := job.Job{ID: id, Route: route.Key(), Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, Stretch: route.Stretch, TargetLatencyMs: route.TargetLatencyMs, Request: request}
	result, outcome := d.executeWithCallback(r, answerTimeout(r, route), func() *statemachine.Command {
		submitted.Owner = d.uplink.session
		d.addProvisionalJob(d.now(), submitted)
		return &statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: submitted}}
	}, func() { d.dropProvisionalJob(id) })
	d.logger.Debug().Str("job", id).Int("priority", route.Priority).Int64("work", request.EstimatedWork()).
		Int("times", request.Repeat).Bool("lasting", request.Steps[0].LongRunning).Float64("stretch", route.Stretch).
		Int64("target", route.TargetLatencyMs).Stringer("outcome", outcome).Dur("took", d.now()-receivedAt).Msg("submit")
	switch {
	case outcome == outcomeNotSent:
		serviceUnavailable(w, controlUnreachableText)
	case outcome == outcomeUnknown:
		http.Error(w, noOutcomeText, http.StatusGatewayTimeout)
	case result.Code != statemachine.OK:
		http.Error(w, invalidJobText, http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readJob reads a job from the body of a call. If the body is not a valid job, it answers the call and reports false.
func (d *Dispatcher) readJob(w http.ResponseWriter, r *http.Request, config *configuration.Configuration,
	route *configuration.Route) (request job.Request, ok bool) {
	body, err := ingress.ReadBody(r, bodyLimits(config, route))
	if err != nil {
		ingress.AnswerBodyError(w, err, "the job")
		return request, false
	}
	request, valid := d.decodeJob(body)
	if !valid {
		http.Error(w, invalidJobText, http.StatusBadRequest)
		return request, false
	}
	ingress.Release(r, int64(cap(body)))
	if err := ingress.Claim(r, copiesOfJob*request.MemoryBytes()-includedJobBytes); err != nil {
		ingress.AnswerBodyError(w, err, "the job")
		return request, false
	}
	return request, true
}

// bodyLimits returns the limits of a job's body. A client that has not sent it whole within its route's timeout does not wait
// for an answer any more.
func bodyLimits(config *configuration.Configuration, route *configuration.Route) ingress.BodyLimits {
	limits := ingress.BodyLimits{Bytes: defaultMaxBodyBytes, Timeout: defaultTimeout}
	if config.Limits.MaxBodyBytes > 0 {
		limits.Bytes = config.Limits.MaxBodyBytes
	}
	if route.TimeoutMs > 0 {
		limits.Timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	return limits
}

// decodeJob decodes a job and reports whether it is valid. Calls are decoded one after the other.
func (d *Dispatcher) decodeJob(body []byte) (request job.Request, valid bool) {
	d.decoding.Lock()
	defer d.decoding.Unlock()
	if json.Unmarshal(body, &request) != nil {
		return job.Request{}, false
	}
	return request, request.Valid()
}

// serveState answers with the state of a job: from this dispatcher's memory if that is known to be current, otherwise by a
// read from the control machines.
func (d *Dispatcher) serveState(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	if state, known := d.localState(id); known {
		writeState(w, state)
		return
	}
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadJob: &statemachine.ReadJob{Job: id}}
	})
	switch {
	case outcome != outcomeAnswered:
		serviceUnavailable(w, controlUnreachableText)
	case result.Code == statemachine.NotFound:
		http.Error(w, noSuchJobText, http.StatusGone)
	default:
		d.post(func() { d.terminal.remember(id, result.JobState) })
		writeState(w, result.JobState)
	}
}

// localState returns a job's state if no read from the control machines is needed: this dispatcher owns the committed job
// and has an open session, or it remembers the job's terminal state.
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
	case <-d.loopEnded: // the posted function may never run
	}
	return state, known
}

func writeState(w http.ResponseWriter, state job.State) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"State":"`+state.String()+`"}`)
}

func (d *Dispatcher) serveCancel(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: id, Route: route.Key()}}
	})
	switch {
	case outcome == outcomeNotSent:
		serviceUnavailable(w, controlUnreachableText)
	case outcome == outcomeUnknown:
		http.Error(w, noOutcomeText, http.StatusGatewayTimeout)
	case result.Code == statemachine.NotFound:
		http.Error(w, noSuchJobText, http.StatusGone)
	case result.Code == statemachine.Exhausted:
		serviceUnavailable(w, tooManyCancelledText)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveQueue answers with the number of pending jobs of a queue.
func (d *Dispatcher) serveQueue(w http.ResponseWriter, r *http.Request, route *configuration.Route) {
	result, outcome := d.execute(r, answerTimeout(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadQueue: &statemachine.ReadQueue{Route: route.Key()}}
	})
	if outcome != outcomeAnswered {
		serviceUnavailable(w, controlUnreachableText)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"Pending":`+strconv.Itoa(result.Count)+`}`)
}

// maxTerminalStates is the maximum number of remembered terminal states. When it is reached, all of them are dropped.
const maxTerminalStates = 4096

// terminalStates caches the states of ended jobs, by job ID. A terminal state never changes, so repeated requests of clients
// are answered without a read from the control machines.
type terminalStates map[string]job.State

// remember stores a job's state if it is terminal.
func (t terminalStates) remember(id string, state job.State) {
	if !state.Terminal() {
		return
	}
	if len(t) >= maxTerminalStates {
		clear(t)
	}
	t[id] = state
}
