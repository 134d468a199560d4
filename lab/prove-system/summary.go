package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"yardflow/internal/testing/emulator"
)

// summary adds up what the schedules have shown.
type summary struct {
	wanted                              int
	played, broken, missing             int // schedules
	accepted, completed, configurations int
	excusedStarts                       int
	processorTime                       time.Duration
	disruptions                         map[string]int // by kind
}

func newSummary(wanted int) *summary { return &summary{wanted: wanted, disruptions: map[string]int{}} }

// add takes in a result, and prints at once what is broken.
func (s *summary) add(out io.Writer, result *batchResult) {
	s.processorTime += result.elapsed
	if result.missing > 0 {
		s.missing += result.missing
		fmt.Fprintf(out, "seeds %d to %d: %d schedules did not end; the last that the process printed:\n%s\n", result.batch.first,
			result.batch.first+uint64(result.batch.count)-1, result.missing, result.output)
	}
	if result.report == nil {
		return
	}
	report := result.report
	s.played++
	s.accepted, s.completed, s.configurations = s.accepted+report.Accepted, s.completed+report.Completed, s.configurations+report.Configurations
	s.excusedStarts += report.ExcusedStarts
	for _, d := range report.Disruptions {
		s.disruptions[d.Name]++
	}
	if len(report.Broken) > 0 {
		s.broken++
		printBroken(out, report)
	}
}

// printBroken prints what a schedule has broken, and the disruptions up to its end as a time line.
func printBroken(out io.Writer, report *emulator.ScheduleReport) {
	fmt.Fprintf(out, "seed %d breaks a rule (again with SEEDS=1 FIRST=%d):\n", report.Seed, report.Seed)
	for _, broken := range report.Broken {
		fmt.Fprintf(out, "    %s\n", broken)
	}
	for _, d := range report.Disruptions {
		fmt.Fprintf(out, "    %6.2f to %6.2f s  %s\n", d.Began.Seconds(), d.Ended.Seconds(), d.Name)
	}
}

// printProgress prints how far it is, and about how long the rest takes.
func (s *summary) printProgress(out io.Writer, elapsed time.Duration) {
	left := "not known yet"
	if s.played > 0 {
		left = (elapsed * time.Duration(s.wanted-s.played) / time.Duration(s.played)).Round(time.Second).String()
	}
	fmt.Fprintf(out, "%d of %d schedules played, %d broken, %d not ended; %v gone, about %s left\n", s.played, s.wanted, s.broken, s.missing,
		elapsed.Round(time.Second), left)
}

// finish prints the sums, and reports whether all schedules were played and broke nothing.
func (s *summary) finish(out io.Writer, elapsed time.Duration, interrupted bool) (sound bool) {
	for _, kind := range slices.Sorted(maps.Keys(s.disruptions)) {
		fmt.Fprintf(out, "%6d  %s\n", s.disruptions[kind], kind)
	}
	fmt.Fprintf(out, "%d jobs accepted, %d completed, %d configurations, %d late starts at drained workers by machines out of touch\n",
		s.accepted, s.completed, s.configurations, s.excusedStarts)
	fmt.Fprintf(out, "%d of %d schedules played in %v, %.2f s of processor time each; %d broke a rule, %d did not end\n", s.played, s.wanted,
		elapsed.Round(time.Second), s.processorTime.Seconds()/float64(max(s.played, 1)), s.broken, s.missing)
	if interrupted {
		fmt.Fprintln(out, "interrupted: the sums are of what was played")
	}
	return !interrupted && s.broken == 0 && s.missing == 0 && s.played == s.wanted
}
