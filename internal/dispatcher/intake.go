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
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
)

// Bounds of the clients' calls.
const (
	deadlineHeader = "Yardflow-Deadline-Remaining" // ms that the client still waits
	retryAfterS    = "1"
	answerMargin   = 150 * time.Millisecond // before the client's deadline, an answer goes out
	usualDeadline  = 3 * time.Second
	defaultBody    = 1 << 20
	maxFinals      = 4096
)

// reload reads the settings file anew; it is nil where that can't be done.
func reload() *settings.Settings {
	fresh, err := settings.Load(settingsPath())
	if err != nil {
		return nil
	}
	return fresh
}

// ServeHTTP serves clients.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config := d.config.Load()
	if config == nil {
		refuse(w, "no configuration yet")
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
		d.queue(w, r, route)
	case !job.ValidID(id):
		http.Error(w, "a job's ID is 16 hex digits", http.StatusNotFound)
	case r.Method == http.MethodPost:
		d.submit(w, r, config, route, id)
	case r.Method == http.MethodGet:
		d.state(w, r, route, id)
	case r.Method == http.MethodDelete:
		d.cancel(w, r, route, id)
	default:
		http.Error(w, "POST, GET or DELETE", http.StatusMethodNotAllowed)
	}
}

// refuse tells that nothing was kept and nothing will be, and when to come back.
func refuse(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", retryAfterS)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// patience returns how long the answer to a call may take.
func patience(r *http.Request, route *configuration.Route) time.Duration {
	wait := usualDeadline
	if route.TimeoutMs > 0 {
		wait = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if left, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil && left > 0 {
		wait = min(wait, time.Duration(left)*time.Millisecond)
	}
	return max(wait-answerMargin, answerMargin)
}

type outcome uint8

const (
	answered outcome = iota
	unsent           // the command never left this process
	unknown          // it may be carried out
)

// String names an outcome in logs.
func (o outcome) String() string {
	return [...]string{"answered", "unsent", "unknown"}[o]
}

// ask sends a command to the control machines and waits for its outcome.
func (d *Dispatcher) ask(r *http.Request, wait time.Duration, command func() *statemachine.Command) (statemachine.Result, outcome) {
	return d.askThen(r, wait, command, func() {})
}

// askThen does so too; the engine calls over once the outcome is known or nobody waits for it any more.
func (d *Dispatcher) askThen(r *http.Request, wait time.Duration, command func() *statemachine.Command, over func()) (statemachine.Result, outcome) {
	type reply struct {
		result statemachine.Result
		sent   bool
	}
	answers := make(chan reply, 1)
	tag := uint64(0) // belongs to the engine
	d.do(func() {
		if !d.uplink.attached {
			answers <- reply{}
			return
		}
		tag = d.uplink.submit(command(), func(result statemachine.Result) {
			over()
			answers <- reply{result, true}
		})
	})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case got := <-answers:
		if !got.sent {
			return got.result, unsent
		}
		return got.result, answered
	case <-timer.C:
	case <-d.hurried:
	case <-r.Context().Done():
	}
	// The client is told nothing, or that the outcome is unknown, and sends the same again: a copy that went out
	// again much later could find the job forgotten, and start it anew.
	d.do(func() {
		d.uplink.forget(tag)
		over()
	})
	return statemachine.Result{}, unknown
}

func (d *Dispatcher) submit(w http.ResponseWriter, r *http.Request, config *configuration.Configuration,
	route *configuration.Route, id string) {
	most := int64(defaultBody)
	if config.Limits.MaxBodyBytes > 0 {
		most = config.Limits.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the job is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "the job can't be read", http.StatusBadRequest)
		return
	}
	request := job.Request{}
	if json.Unmarshal(body, &request) != nil || !request.Valid() {
		http.Error(w, "no job that can be carried out", http.StatusBadRequest)
		return
	}
	began := d.now()
	submitted := job.Job{ID: id, Route: route.Key(), Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, Stretch: route.Stretch, TargetLatencyMs: route.TargetLatencyMs, Request: request}
	result, how := d.askThen(r, patience(r, route), func() *statemachine.Command {
		submitted.Owner = d.uplink.session
		d.expectJob(d.now(), submitted)
		return &statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: submitted}}
	}, func() { d.dropExpected(id) })
	d.logger.Debug().Str("job", id).Int("priority", route.Priority).Int64("work", request.EstimatedWork()).Int("times", request.Repeat).
		Bool("lasting", request.Steps[0].LongRunning).Float64("stretch", route.Stretch).Int64("target", route.TargetLatencyMs).Stringer("outcome", how).Dur("took", d.now()-began).Msg("submit")
	switch {
	case how == unsent:
		refuse(w, "the control machines are out of reach")
	case how == unknown:
		http.Error(w, "no outcome yet; send the same again", http.StatusGatewayTimeout)
	case result.Code != statemachine.OK:
		http.Error(w, "no job that can be carried out", http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// state answers from what this dispatcher owns, else by a read through the chain.
func (d *Dispatcher) state(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	local := make(chan job.State, 1)
	d.do(func() {
		if known := d.jobs[id]; known != nil && !known.expected && d.uplink.attached {
			local <- known.State
		} else if final, known := d.finals[id]; known {
			local <- final
		} else {
			close(local)
		}
	})
	if state, known := <-local; known {
		writeState(w, state)
		return
	}
	result, how := d.ask(r, patience(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadJob: &statemachine.ReadJob{Job: id}}
	})
	switch {
	case how != answered:
		refuse(w, "the control machines are out of reach")
	case result.Code == statemachine.NotFound:
		http.Error(w, "no such job", http.StatusGone)
	default:
		d.rememberFinal(id, result.JobState)
		writeState(w, result.JobState)
	}
}

// rememberFinal keeps states that don't change any more, so that clients that ask often cost little.
func (d *Dispatcher) rememberFinal(id string, state job.State) {
	d.do(func() { d.keepFinal(id, state) })
}

func (d *Dispatcher) keepFinal(id string, state job.State) {
	if !state.Terminal() {
		return
	}
	if len(d.finals) >= maxFinals {
		clear(d.finals)
	}
	d.finals[id] = state
}

func writeState(w http.ResponseWriter, state job.State) {
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"State":"`+state.String()+`"}`)
}

func (d *Dispatcher) cancel(w http.ResponseWriter, r *http.Request, route *configuration.Route, id string) {
	result, how := d.ask(r, patience(r, route), func() *statemachine.Command {
		return &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: id}}
	})
	switch {
	case how == unsent:
		refuse(w, "the control machines are out of reach")
	case how == unknown:
		http.Error(w, "no outcome yet; send the same again", http.StatusGatewayTimeout)
	case result.Code == statemachine.NotFound:
		http.Error(w, "no such job", http.StatusGone)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (d *Dispatcher) queue(w http.ResponseWriter, r *http.Request, route *configuration.Route) {
	result, how := d.ask(r, patience(r, route), func() *statemachine.Command {
		return &statemachine.Command{ReadQueue: &statemachine.ReadQueue{Route: route.Key()}}
	})
	if how != answered {
		refuse(w, "the control machines are out of reach")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, `{"Pending":`+strconv.Itoa(result.Count)+`}`)
}

// readyGrace is how long a dispatcher that has lost the control machines still calls itself ready.
const readyGrace = time.Second

// ServeReadiness answers whether new connections should come here.
func (d *Dispatcher) ServeReadiness(w http.ResponseWriter, r *http.Request) {
	inTouch := d.attached.Load() || d.now()-time.Duration(d.lostAt.Load()) < readyGrace
	if d.stopping.Load() || d.config.Load() == nil || !inTouch {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
