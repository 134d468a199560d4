package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
)

func newLimitsCommand(c *cli) *cobra.Command {
	cmd := &cobra.Command{Use: "limits", Short: "limits of the whole fleet"}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "show",
			Short: "each limit, what is out of it, and by how much it may be exceeded",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return c.withState(func(s *statemachine.State, _ uint64) error { return c.showLimits(cmd.OutOrStdout(), s) })
			},
		},
		&cobra.Command{
			Use:   "plan FILE",
			Short: "what bounds a policy's limits would have",
			Args:  cobra.ExactArgs(1),
			RunE:  func(cmd *cobra.Command, args []string) error { return c.planLimits(cmd.OutOrStdout(), args[0]) },
		},
	)
	return cmd
}

func (c *cli) showLimits(out io.Writer, s *statemachine.State) error {
	if c.json {
		return writeJSON(out, s.Quota)
	}
	if s.Quota == nil {
		return notDone("no limits: the policies in force had none yet")
	}
	fmt.Fprintf(out, "%d dispatchers hold parts; moments at which more was out than may be: %d\n", len(s.Quota.Holders), s.Quota.Overcommits)
	return printLimits(out, s.CurrentPolicy().Limits, s.Quota, int64(len(s.Quota.Holders)), s.Config.LeaseDuration)
}

// planLimits prints the limits of a policy's file as they would be with the dispatchers
// that hold a lease now.
func (c *cli) planLimits(out io.Writer, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	doc, err := policy.Parse(text)
	if err != nil {
		return usageError("%s: %w", file, err)
	}
	limits, err := doc.QuotaLimits()
	if err != nil {
		return usageError("%s: %w", file, err)
	}
	return c.withState(func(s *statemachine.State, _ uint64) error {
		return printLimits(out, limits, nil, int64(len(s.ActiveHolders())), s.Config.LeaseDuration)
	})
}

// printLimits prints limits with their bounds for a number of dispatchers; allocated is
// nil where nothing is allocated yet.
func printLimits(out io.Writer, limits []quota.Limit, allocated *quota.Allocator, dispatchers int64, lease time.Duration) error {
	w := newTable(out)
	fmt.Fprintln(w, "limit\tkind\tamount\tburst\tstatic share of each\tout beyond those\tover by at most")
	unit := func(v int64) string { return strconv.FormatFloat(float64(v)/quota.Unit, 'f', -1, 64) }
	for _, l := range limits {
		outstanding := "-"
		if allocated != nil && allocated.Limits[l.Name] != nil {
			outstanding = unit(allocated.Limits[l.Name].Outstanding)
		}
		overshoot, reason := l.MaxOvershoot(dispatchers)
		bound := unit(overshoot)
		if reason != "" {
			bound += ": " + reason
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%s\t%s\t%s\n", l.Name, l.Kind, unit(l.Amount), unit(l.Burst), unit(l.StaticPerHolder()), outstanding, bound)
	}
	if err := w.Flush(); err != nil || len(limits) == 0 {
		return err
	}
	_, err := fmt.Fprintf(out, "a part that is lowered, or whose holder is lost, counts until its lease of %v has ended; what a lost one had open, for %v more\n", lease, limits[0].ReclaimDelay)
	return err
}
