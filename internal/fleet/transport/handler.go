package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/platform/timers"
	"yardflow/internal/workflow/claims"
)

// Coordinator is what a handler serves; consensus.Node implements it.
type Coordinator interface {
	Do(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
	Read(ctx context.Context, f func(s *statemachine.State)) error
	WaitForRevision(ctx context.Context, past uint64) uint64
	ReadStale(f func(s *statemachine.State))
	Leader() uint64
	Members() ([]statemachine.Member, error)
	AddLearner(ctx context.Context, id uint64, addr string) error
	PromoteLearner(ctx context.Context, id uint64) error
	RemoveMember(ctx context.Context, id uint64) error
}

// handler serves callers of one coordinator. It only reads the state: all changes go through Coordinator.Do.
type handler struct {
	fleet       string
	coordinator Coordinator
	timeout     time.Duration // of a command or read
}

// NewHandler returns the handler of a coordinator's calls. timeout bounds how long a command may take. A call for
// another fleet is answered with 403, and whatever the coordinator can't do now with 503: the caller asks another one.
func NewHandler(fleet string, coordinator Coordinator, timeout time.Duration) http.Handler {
	h := &handler{fleet: fleet, coordinator: coordinator, timeout: timeout}
	mux := http.NewServeMux()
	mux.Handle("POST "+commandPath, h.checked(h.serveCommand))
	mux.Handle("GET "+watchPath, h.checked(h.serveWatch))
	mux.Handle("GET "+statePath, h.checked(h.serveState))
	mux.Handle("GET "+membersPath, h.checked(h.serveMembers))
	mux.Handle("POST "+membersPath, h.checked(h.serveMemberChange))
	return mux
}

// checked serves with f what is for this fleet; an error of f is answered with 503.
func (h *handler) checked(f func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if fleet := r.Header.Get(headerFleet); fleet != h.fleet {
			http.Error(w, fmt.Sprintf("fleet %q; these coordinators' is %q", fleet, h.fleet), http.StatusForbidden)
			return
		}
		if err := f(w, r); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

// serveCommand applies a command, or answers it without the log where it would change nothing.
func (h *handler) serveCommand(w http.ResponseWriter, r *http.Request) error {
	command, err := readCommand(w, r)
	if err != nil {
		return err
	}
	if command.Workflow != nil && command.Workflow.Claim != nil && h.nothingToClaim(command.Workflow.Claim) {
		return writeAnswer(w, statemachine.Result{Workflow: &claims.Answer{}})
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	if command.Workflow != nil && command.Workflow.Query != nil {
		answer, err := h.readState(ctx, func(s *statemachine.State) ([]byte, error) {
			return statemachine.Encode(s.QueryWorkflows(command.Workflow))
		})
		if err == nil {
			respond(w, answer)
		}
		return err
	}
	result, err := h.coordinator.Do(ctx, command)
	if err != nil {
		return err
	}
	return writeAnswer(w, result)
}

// readCommand reads a command that callers may send. Ticks come from the leader alone, by the log.
func readCommand(w http.ResponseWriter, r *http.Request) (command statemachine.Command, err error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	if err != nil {
		return command, err
	}
	if err := statemachine.Decode(body, &command); err != nil {
		return command, err
	}
	if command.Tick != nil {
		return command, errors.New("ticks come from the leader alone")
	}
	return command, nil
}

// nothingToClaim reports that a claim would get no step. Many dispatchers ask after the same update: those that come
// too late then cost no entry of the log. The state may be stale, which is as if they had come earlier.
func (h *handler) nothingToClaim(claim *claims.ClaimRequest) (nothing bool) {
	h.coordinator.ReadStale(func(s *statemachine.State) { nothing = s.Workflows != nil && s.Workflows.ClaimWouldBeEmpty(claim) })
	return nothing
}

// serveWatch answers once the state is past a revision, or the caller's wait is over.
func (h *handler) serveWatch(w http.ResponseWriter, r *http.Request) error {
	past, err := strconv.ParseUint(r.FormValue("past"), 10, 64)
	known, err2 := strconv.ParseUint(r.FormValue("knows"), 10, 64)
	wait, err3 := strconv.Atoi(r.FormValue("wait_ms"))
	// An older version names neither: it gets zone 0's list, which it ignores.
	zone, _ := strconv.Atoi(r.FormValue("zone"))
	list, _ := strconv.ParseUint(r.FormValue("has"), 10, 64)
	if err := errors.Join(err, err2, err3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(timers.Positive(time.Duration(wait)*time.Millisecond), maxWatchWait))
	defer cancel()
	h.coordinator.WaitForRevision(ctx, past)
	var answer []byte
	h.coordinator.ReadStale(func(s *statemachine.State) { // encoded there: the update shares memory with the state
		answer, err = statemachine.Encode(s.UpdateFor(known, zone, relay.Watermark{Seq: list}))
	})
	if err == nil {
		respond(w, answer)
	}
	return err
}

// serveState answers with the whole state, and with who leads.
func (h *handler) serveState(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	answer, err := h.readState(ctx, (*statemachine.State).Snapshot)
	if err != nil {
		return err
	}
	w.Header().Set(headerLeader, strconv.FormatUint(h.coordinator.Leader(), 10))
	respond(w, answer)
	return nil
}

// readState returns what encode makes of the state, which is read linearizably. encode must not call the coordinator,
// which holds its lock meanwhile.
func (h *handler) readState(ctx context.Context, encode func(s *statemachine.State) ([]byte, error)) (answer []byte, err error) {
	var encodeErr error
	if err := h.coordinator.Read(ctx, func(s *statemachine.State) { answer, encodeErr = encode(s) }); err != nil {
		return nil, err
	}
	return answer, encodeErr
}

// serveMembers answers with the members, where this coordinator leads.
func (h *handler) serveMembers(w http.ResponseWriter, _ *http.Request) error {
	members, err := h.coordinator.Members()
	if err != nil {
		return err
	}
	return writeAnswer(w, members)
}

// serveMemberChange makes one step of a change of members. What the leader rejects is answered as a result; what may
// succeed elsewhere or later with an error.
func (h *handler) serveMemberChange(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	id, err := strconv.ParseUint(r.FormValue("id"), 10, 64)
	if err != nil {
		return writeAnswer(w, statemachine.Result{Err: "id: " + err.Error()})
	}
	err = h.changeMembers(ctx, r.FormValue("what"), id, r.FormValue("addr"))
	switch {
	case errors.Is(err, statemachine.ErrNotLeader) || ctx.Err() != nil:
		return err
	case err != nil:
		return writeAnswer(w, statemachine.Result{Err: err.Error()})
	}
	return writeAnswer(w, statemachine.Result{})
}

func (h *handler) changeMembers(ctx context.Context, step string, id uint64, addr string) error {
	switch step {
	case "learn":
		return h.coordinator.AddLearner(ctx, id, addr)
	case "promote":
		return h.coordinator.PromoteLearner(ctx, id)
	case "remove":
		return h.coordinator.RemoveMember(ctx, id)
	}
	return fmt.Errorf("%q; expected learn, promote or remove", step)
}

func writeAnswer(w http.ResponseWriter, v any) error {
	answer, err := statemachine.Encode(v)
	if err != nil {
		return err
	}
	respond(w, answer)
	return nil
}

// respond writes an answer. It fails only where the caller has gone, to whom nothing more can be said.
func respond(w http.ResponseWriter, answer []byte) { _, _ = w.Write(answer) }
