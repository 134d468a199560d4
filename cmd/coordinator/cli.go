package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// cli is the caller's side of the commands: the flags that all of them share.
type cli struct {
	fleet        string
	coordinators []string // host:port
	timeout      time.Duration
	json         bool
}

// withClient runs f with a client of the coordinators, until the time-out.
func (c *cli) withClient(f func(ctx context.Context, client *transport.Client) error) error {
	if c.fleet == "" || len(c.coordinators) == 0 {
		return &exitError{exitUsage, errors.New("--fleet and --keepers are needed")}
	}
	ctx, stop := context.WithTimeout(context.Background(), c.timeout)
	defer stop()
	client := transport.NewClient(c.fleet, c.coordinators)
	defer client.Close()
	return f(ctx, client)
}

// withState runs f on the coordinators' state and the number of the one that leads.
func (c *cli) withState(f func(s *statemachine.State, leader uint64) error) error {
	return c.withClient(func(ctx context.Context, client *transport.Client) error {
		s, leader, err := fetchState(ctx, client)
		if err != nil {
			return err
		}
		return f(s, leader)
	})
}

// fetchState asks the coordinators in turn for their state.
func fetchState(ctx context.Context, client *transport.Client) (s *statemachine.State, leader uint64, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		s, leader, err = client.State(ctx)
		return err
	})
	if err != nil {
		return nil, 0, &exitError{exitNoAnswer, err}
	}
	return s, leader, nil
}

// submit has a command committed. It returns an error as well where the coordinators
// reject it.
func submit(ctx context.Context, client *transport.Client, cmd statemachine.Command) (r statemachine.Result, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		r, err = client.Do(ctx, cmd)
		return err
	})
	if err != nil {
		return r, &exitError{exitNoAnswer, err}
	}
	if r.Err != "" {
		return r, notDone("%s", r.Err)
	}
	return r, nil
}

func writeJSON(out io.Writer, value any) error { return json.NewEncoder(out).Encode(value) }
