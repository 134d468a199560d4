package emulator

import (
	"encoding/json"
	"strings"
	"time"
)

// reportPrefix begins the line on which a schedule's report stands.
const reportPrefix = "SCHEDULE "

// ScheduleReport is what a schedule of faults has shown. Whoever plays many of them in other processes reads it from their
// output.
type ScheduleReport struct {
	Seed           uint64
	Accepted       int // jobs
	Completed      int // jobs
	Configurations int // that were taken
	ExcusedStarts  int // that came late at workers that drain, by machines for which that is no broken rule
	Disruptions    []DisruptionRecord
	Broken         []string // rules, with what has shown it; empty: none
}

// DisruptionRecord is one disruption of a schedule.
type DisruptionRecord struct {
	Name  string
	Began time.Duration // since the start of the cluster, in virtual time
	Ended time.Duration
}

// Line returns the report on one line.
func (r *ScheduleReport) Line() string {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return reportPrefix + string(text)
}

// ParseScheduleReport reads a line of output; false: there is no report on it.
func ParseScheduleReport(line string) (report ScheduleReport, ok bool) {
	text, ok := strings.CutPrefix(strings.TrimSpace(line), reportPrefix)
	return report, ok && json.Unmarshal([]byte(text), &report) == nil
}
