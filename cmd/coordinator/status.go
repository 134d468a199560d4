package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/statemachine"
)

func newStatusCommand(c *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "who leads, what is in force, who holds a lease",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withState(func(s *statemachine.State, leader uint64) error {
				if c.json {
					return writeJSON(cmd.OutOrStdout(), map[string]any{"leader": leader, "revision": s.Revision, "in_force": s.CurrentPolicy(),
						"change": s.Change, "holders": s.Holders, "now": s.Now})
				}
				return printStatus(cmd.OutOrStdout(), s, leader)
			})
		},
	}
}

func printStatus(out io.Writer, s *statemachine.State, leader uint64) error {
	fmt.Fprintf(out, "keeper %d leads; revision %d\n", leader, s.Revision)
	printChange(out, s)
	w := newTable(out)
	fmt.Fprintln(w, "dispatcher\tversion\tlease\tprogram")
	for _, h := range s.ActiveHolders() {
		left := "not counted yet"
		if h.PendingGrant == 0 {
			left = (h.LeaseExpiry - s.Now).String()
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", h.Name, h.PolicyVersion, left, h.Program)
	}
	return w.Flush()
}

// printChange prints which policy is in force, and which change is under way and what it
// waits for.
func printChange(out io.Writer, s *statemachine.State) {
	if p := s.CurrentPolicy(); p.Version == 0 {
		fmt.Fprintln(out, "no policy was ever made")
	} else {
		fmt.Fprintf(out, "version %d (%.12s) in force from revision %d, by %s: %s\n", p.Version, p.Digest, p.Revision, p.Author, p.Reason)
	}
	change := s.Change
	if change == nil {
		return
	}
	line := fmt.Sprintf("change %s to version %d: %v", change.ID, change.Policy.Version, change.Stage)
	if change.Reason != "" {
		line += ": " + change.Reason
	}
	fmt.Fprintln(out, line+waitingFor(s))
}

// waitingFor names the dispatchers that a change waits for; empty if there are none.
func waitingFor(s *statemachine.State) string {
	if names := s.WaitingFor(); len(names) > 0 {
		return "; waits for " + strings.Join(names, ", ")
	}
	return ""
}

// newTable makes a writer of columns; its Flush reports the errors of all writes.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 8, 2, ' ', 0) }
