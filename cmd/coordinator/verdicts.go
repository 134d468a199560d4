package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/statemachine"
)

func newVerdictsCommand(c *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "verdicts",
		Short: "the workers condemned, and those accused",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withState(func(s *statemachine.State, _ uint64) error {
				switch {
				case c.json:
					return writeJSON(cmd.OutOrStdout(), s.Outliers)
				case s.Outliers == nil || s.Outliers.Settings == nil:
					return notDone("%v", outlier.ErrDisabled)
				}
				return printVerdicts(cmd.OutOrStdout(), s)
			})
		},
	}
}

// printVerdicts prints the ejected workers, then those that are suspected.
func printVerdicts(out io.Writer, s *statemachine.State) error {
	w := newTable(out)
	fmt.Fprintln(w, "worker\tsince\twitnesses against it\tin\ttrials passed\tnext trial in")
	for _, e := range s.Outliers.Ejections {
		zone := "all zones"
		if e.Zone != outlier.AllZones {
			zone = fmt.Sprint("zone ", e.Zone)
		}
		trial := max(e.NextTrial-s.Now, 0).Round(time.Millisecond).String()
		if e.TrialReporter != "" {
			trial = "now, by " + e.TrialReporter
		}
		fmt.Fprintf(w, "%s\t%v\t%d\t%s\t%d\t%s\n", e.Subject.Worker, (s.Now - e.Since).Round(time.Millisecond), e.Reporters, zone, e.TrialsPassed, trial)
	}
	for _, r := range s.Outliers.Records {
		if since := r.Observations.SuspectedSince; since > 0 {
			fmt.Fprintf(w, "%s\taccused for %v, heard %d\n", r.Subject.Worker, (s.Now - since).Round(time.Millisecond), len(r.Observations.ByReporter))
		}
	}
	return w.Flush()
}
