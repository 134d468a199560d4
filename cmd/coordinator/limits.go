package main

// This file owns the staff's calls on limits and verdicts of the whole fleet.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
)

func (c *calls) limitsCommand() *cobra.Command {
	l := &cobra.Command{Use: "limits", Short: "limits of the whole fleet"}
	l.AddCommand(&cobra.Command{Use: "show", Short: "each limit, what is out of it, and by how much it may be exceeded", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return c.look(func(s *statemachine.State, _ uint64) error {
			if c.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s.Quota)
			}
			if s.Quota == nil {
				return notDone("no limits: the policies in force had none yet")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d dispatchers hold parts; moments at which more was out than may be: %d\n", len(s.Quota.Holders), s.Quota.Overcommits)
			return limitsTable(cmd.OutOrStdout(), s.CurrentPolicy().Limits, s.Quota, int64(len(s.Quota.Holders)), s.Config.LeaseDuration)
		})
	}}, &cobra.Command{Use: "plan FILE", Short: "what bounds a policy's limits would have", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return &coded{exitUsage, err}
		}
		doc, err := policy.Parse(text)
		if err != nil {
			return &coded{exitUsage, fmt.Errorf("%s: %w", args[0], err)}
		}
		limits, err := doc.QuotaLimits()
		if err != nil {
			return &coded{exitUsage, fmt.Errorf("%s: %w", args[0], err)}
		}
		return c.look(func(s *statemachine.State, _ uint64) error {
			return limitsTable(cmd.OutOrStdout(), limits, nil, int64(len(s.ActiveHolders())), s.Config.LeaseDuration)
		})
	}})
	return l
}

func (c *calls) verdictsCommand() *cobra.Command {
	return &cobra.Command{Use: "verdicts", Short: "the workers condemned, and those accused", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return c.look(func(s *statemachine.State, _ uint64) error {
			out := cmd.OutOrStdout()
			l := s.Outliers
			switch {
			case c.json:
				return json.NewEncoder(out).Encode(l)
			case l == nil || l.Settings == nil:
				return notDone("%v", outlier.ErrDisabled)
			}
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "worker\tsince\twitnesses against it\tin\ttrials passed\tnext trial in")
			for _, v := range l.Ejections {
				in := "all zones"
				if v.Zone != outlier.AllZones {
					in = fmt.Sprint("zone ", v.Zone)
				}
				next := max(v.NextTrial-s.Now, 0).Round(time.Millisecond).String()
				if v.TrialReporter != "" {
					next = "now, by " + v.TrialReporter
				}
				fmt.Fprintf(w, "%s\t%v\t%d\t%s\t%d\t%s\n", v.Subject.Worker, (s.Now - v.Since).Round(time.Millisecond), v.Reporters, in, v.TrialsPassed, next)
			}
			for _, e := range l.Records {
				if e.Observations.SuspectedSince > 0 {
					fmt.Fprintf(w, "%s\taccused for %v, heard %d\n", e.Subject.Worker, (s.Now - e.Observations.SuspectedSince).Round(time.Millisecond), len(e.Observations.ByReporter))
				}
			}
			return w.Flush()
		})
	}}
}

// limitsTable prints limits with their bounds, for so many dispatchers that live.
func limitsTable(out io.Writer, limits []quota.Limit, b *quota.Allocator, living int64, lease time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "limit\tkind\tamount\tburst\tstatic share of each\tout beyond those\tover by at most")
	unit := func(v int64) string { return strconv.FormatFloat(float64(v)/quota.Unit, 'f', -1, 64) }
	for _, l := range limits {
		held := "-"
		if b != nil && b.Limits[l.Name] != nil {
			held = unit(b.Limits[l.Name].Outstanding)
		}
		over, why := l.MaxOvershoot(living)
		bound := unit(over)
		if why != "" {
			bound += ": " + why
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%s\t%s\t%s\n", l.Name, l.Kind, unit(l.Amount), unit(l.Burst), unit(l.StaticPerHolder()), held, bound)
	}
	if err := w.Flush(); err != nil || len(limits) == 0 {
		return err
	}
	_, err := fmt.Fprintf(out, "a part that is lowered, or whose holder is lost, counts until its lease of %v has ended; what a lost one had open, for %v more\n", lease, limits[0].ReclaimDelay)
	return err
}
