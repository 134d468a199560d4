// Keeper is one of the processes that hold what a fleet of dispatchers has agreed on, and the
// command by which staff ask them. This file owns the command line; it must never decide
// anything about a policy, and exits with a code that a script can go by: 0 done, 1 not done,
// 2 the words of the call are off, 3 no keeper answers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// The exit codes.
const (
	exitNotDone  = 1
	exitUsage    = 2
	exitNoAnswer = 3
)

type coded struct {
	code int
	err  error
}

func (c *coded) Error() string { return c.err.Error() }

func notDone(format string, args ...any) error {
	return &coded{exitNotDone, fmt.Errorf(format, args...)}
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "keeper:", err)
	var c *coded
	if errors.As(err, &c) {
		os.Exit(c.code)
	}
	os.Exit(exitUsage)
}

type calls struct {
	fleet   string
	keepers []string
	within  time.Duration
	json    bool
}

func command() *cobra.Command {
	c := &calls{}
	root := &cobra.Command{Use: "keeper", Short: "what a fleet of dispatchers has agreed on", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&c.fleet, "fleet", "", "name of the fleet")
	root.PersistentFlags().StringSliceVar(&c.keepers, "keepers", nil, "addresses of the keepers, host:port,...")
	root.PersistentFlags().DurationVar(&c.within, "within", 10*time.Second, "how long to try")
	root.PersistentFlags().BoolVar(&c.json, "json", false, "answer in JSON")
	root.AddCommand(serveCommand(), &cobra.Command{Use: "status", Short: "who leads, what is in force, who holds a lease", Args: cobra.NoArgs, RunE: c.status},
		c.policyCommand(), c.limitsCommand(), c.verdictsCommand(), c.flowCommand(), c.membersCommand(), restoreCommand())
	return root
}

// call runs f with the caller's side, for as long as it has.
func (c *calls) call(f func(ctx context.Context, cl *transport.Client) error) error {
	if c.fleet == "" || len(c.keepers) == 0 {
		return &coded{exitUsage, errors.New("--fleet and --keepers are needed")}
	}
	ctx, stop := context.WithTimeout(context.Background(), c.within)
	defer stop()
	cl := transport.NewClient(c.fleet, c.keepers)
	defer cl.Close()
	return f(ctx, cl)
}

// look runs f on the keepers' state.
func (c *calls) look(f func(s *statemachine.State, leader uint64) error) error {
	return c.call(func(ctx context.Context, cl *transport.Client) error {
		s, leader, err := c.state(ctx, cl)
		if err != nil {
			return err
		}
		return f(s, leader)
	})
}

// state asks for the keepers' state, of as many as it takes.
func (c *calls) state(ctx context.Context, cl *transport.Client) (s *statemachine.State, leader uint64, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		s, leader, err = cl.State(ctx)
		return err
	})
	if err != nil {
		return nil, 0, &coded{exitNoAnswer, err}
	}
	return s, leader, nil
}

func (c *calls) do(ctx context.Context, cl *transport.Client, cmd statemachine.Command) (r statemachine.Result, err error) {
	err = transport.Retry(ctx, func(ctx context.Context) error {
		r, err = cl.Do(ctx, cmd)
		return err
	})
	if err != nil {
		return r, &coded{exitNoAnswer, err}
	}
	if r.Err != "" {
		return r, notDone("%s", r.Err)
	}
	return r, nil
}

func (c *calls) status(cmd *cobra.Command, _ []string) error {
	return c.look(func(s *statemachine.State, leader uint64) error {
		out := cmd.OutOrStdout()
		if c.json {
			return json.NewEncoder(out).Encode(map[string]any{"leader": leader, "revision": s.Revision, "in_force": s.CurrentPolicy(), "change": s.Change, "holders": s.Holders, "now": s.Now})
		}
		fmt.Fprintf(out, "keeper %d leads; revision %d\n", leader, s.Revision)
		describe(out, s)
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "dispatcher\tversion\tlease\tprogram")
		for _, h := range s.ActiveHolders() {
			left := "not counted yet"
			if h.PendingGrant == 0 {
				left = (h.LeaseExpiry - s.Now).String()
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", h.Name, h.PolicyVersion, left, h.Program)
		}
		return w.Flush()
	})
}

// describe words what is in force, and what is under way and held up by whom.
func describe(out io.Writer, s *statemachine.State) {
	if p := s.CurrentPolicy(); p.Version == 0 {
		fmt.Fprintln(out, "no policy was ever made")
	} else {
		fmt.Fprintf(out, "version %d (%.12s) in force from revision %d, by %s: %s\n", p.Version, p.Digest, p.Revision, p.Author, p.Reason)
	}
	ch := s.Change
	if ch == nil {
		return
	}
	line := fmt.Sprintf("change %s to version %d: %v", ch.ID, ch.Policy.Version, ch.Stage)
	if ch.Reason != "" {
		line += ": " + ch.Reason
	}
	if up := s.WaitingFor(); len(up) > 0 {
		line += "; waits for " + strings.Join(up, ", ")
	}
	fmt.Fprintln(out, line)
}
