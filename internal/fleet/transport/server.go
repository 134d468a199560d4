package transport

// This file owns what a keeper answers callers. It must never carry out a command itself.

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
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/platform/timers"
)

// Coordinator is what a server offers: package quorum's part of it.
type Coordinator interface {
	Do(ctx context.Context, cmd statemachine.Command) (statemachine.Result, error)
	Read(ctx context.Context, f func(s *statemachine.State)) error
	WaitForRevision(ctx context.Context, past uint64) uint64
	ReadStale(f func(s *statemachine.State))
	Leader() uint64
	Members() ([]statemachine.Member, error)
	AddLearner(ctx context.Context, id uint64, addr string) error
	PromoteLearner(ctx context.Context, id uint64) error
	RemoveMember(ctx context.Context, id uint64) error
}

// NewHandler serves callers. within bounds how long a command may take.
func NewHandler(fleet string, k Coordinator, within time.Duration) http.Handler {
	mux := http.NewServeMux()
	guard := func(f func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if got := r.Header.Get("X-Fleet"); got != fleet {
				http.Error(w, fmt.Sprintf("fleet %q; these keepers' is %q", got, fleet), http.StatusForbidden)
				return
			}
			if err := f(w, r); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}
	}
	mux.Handle("POST "+doPath, guard(func(w http.ResponseWriter, r *http.Request) error {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
		if err != nil {
			return err
		}
		var cmd statemachine.Command
		if err := statemachine.Decode(text, &cmd); err != nil {
			return err
		}
		if cmd.Tick != nil {
			return errors.New("time is told by who leads alone")
		}
		if nothing := false; cmd.Workflow != nil && cmd.Workflow.Claim != nil {
			// Many ask after the same news: those for whom nothing is left cost no entry of the log.
			k.ReadStale(func(s *statemachine.State) {
				nothing = s.Workflows != nil && s.Workflows.ClaimWouldBeEmpty(cmd.Workflow.Claim)
			})
			if nothing {
				return answer(w, statemachine.Result{Workflow: &claims.Answer{}})
			}
		}
		ctx, stop := context.WithTimeout(r.Context(), within)
		defer stop()
		if cmd.Workflow != nil && cmd.Workflow.Query != nil { // changes nothing: read, and never in the log
			var text []byte
			var wording error
			if err := k.Read(ctx, func(s *statemachine.State) { text, wording = statemachine.Encode(s.QueryWorkflows(cmd.Workflow)) }); err != nil {
				return err
			}
			if wording == nil {
				_, wording = w.Write(text)
			}
			return wording
		}
		res, err := k.Do(ctx, cmd)
		if err != nil {
			return err
		}
		return answer(w, res)
	}))
	mux.Handle("GET "+watchPath, guard(func(w http.ResponseWriter, r *http.Request) error {
		past, err := strconv.ParseUint(r.FormValue("past"), 10, 64)
		knows, err2 := strconv.ParseUint(r.FormValue("knows"), 10, 64)
		wait, err3 := strconv.Atoi(r.FormValue("wait_ms"))
		zone, _ := strconv.Atoi(r.FormValue("zone")) // an older program names none, and is told of zone 0 what it can't read
		has, _ := strconv.ParseUint(r.FormValue("has"), 10, 64)
		if err := errors.Join(err, err2, err3); err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(r.Context(), min(timers.Positive(time.Duration(wait)*time.Millisecond), maxWait))
		defer stop()
		k.WaitForRevision(ctx, past)
		var text []byte
		k.ReadStale(func(s *statemachine.State) {
			text, err = statemachine.Encode(s.UpdateFor(knows, zone, relay.Watermark{Seq: has}))
		}) // worded before it can change
		if err == nil {
			_, err = w.Write(text)
		}
		return err
	}))
	mux.Handle("GET "+statePath, guard(func(w http.ResponseWriter, r *http.Request) error {
		ctx, stop := context.WithTimeout(r.Context(), within)
		defer stop()
		var text []byte
		var wording error
		if err := k.Read(ctx, func(s *statemachine.State) { text, wording = s.Snapshot() }); err != nil {
			return err
		}
		if wording != nil {
			return wording
		}
		w.Header().Set("X-Leader", strconv.FormatUint(k.Leader(), 10))
		_, err := w.Write(text)
		return err
	}))
	mux.Handle("GET "+membsPath, guard(func(w http.ResponseWriter, r *http.Request) error {
		all, err := k.Members()
		if err != nil {
			return err
		}
		return answer(w, all)
	}))
	mux.Handle("POST "+membsPath, guard(func(w http.ResponseWriter, r *http.Request) error {
		ctx, stop := context.WithTimeout(r.Context(), within)
		defer stop()
		id, err := strconv.ParseUint(r.FormValue("id"), 10, 64)
		if err != nil {
			return answer(w, statemachine.Result{Err: "id: " + err.Error()})
		}
		switch what := r.FormValue("what"); what {
		case "learn":
			err = k.AddLearner(ctx, id, r.FormValue("addr"))
		case "promote":
			err = k.PromoteLearner(ctx, id)
		case "remove":
			err = k.RemoveMember(ctx, id)
		default:
			err = fmt.Errorf("%q; expected learn, promote or remove", what)
		}
		switch {
		case errors.Is(err, statemachine.ErrNotLeader) || ctx.Err() != nil:
			return err // ask another, or again
		case err != nil:
			return answer(w, statemachine.Result{Err: err.Error()})
		}
		return answer(w, statemachine.Result{})
	}))
	return mux
}

func answer(w http.ResponseWriter, v any) error {
	text, err := statemachine.Encode(v)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}
