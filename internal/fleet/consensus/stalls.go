package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"
)

const (
	// sampleInterval is how often what the process waits for is read while nothing holds it up.
	sampleInterval = time.Second
	// stallLogPause is the least time between two lines on stalls, which come in spells.
	stallLogPause = 5 * time.Second
	// schedulerDelayField is the place, in a thread's schedstat, of the time for which it has waited for a processor, in ns
	// (Linux, Documentation/scheduler/sched-stats.rst).
	schedulerDelayField = 1
	// collectionPauses is a histogram of the garbage collector's pauses (package runtime/metrics).
	collectionPauses = "/sched/pauses/total/gc:seconds"
)

// stallMonitor says what held a loop up. It belongs to the goroutine that it watches.
type stallMonitor struct {
	lastTick    time.Time
	sampledAt   time.Time
	usage       processUsage  // when it was last sampled
	longestSync time.Duration // since then
	loggedAt    time.Time
}

// processUsage is what a process has waited for since its start.
type processUsage struct {
	processorWait time.Duration // summed over its threads
	collections   int           // pauses of the garbage collector
}

// tick returns by how much a tick comes late that is due an interval after the last one. From threshold on, and once in
// stallLogPause, it returns a line that says what held the loop up.
func (m *stallMonitor) tick(now time.Time, interval, threshold time.Duration) (late time.Duration, line string) {
	if !m.lastTick.IsZero() {
		late = max(now.Sub(m.lastTick)-interval, 0)
	}
	m.lastTick = now
	switch {
	case late >= threshold && now.Sub(m.loggedAt) >= stallLogPause:
		line = m.describe(late)
		m.loggedAt = now
	case now.Sub(m.sampledAt) < sampleInterval:
		return late, ""
	}
	m.sampledAt, m.usage, m.longestSync = now, readUsage(), 0
	return late, line
}

// synced notes how long a write of the folder took.
func (m *stallMonitor) synced(took time.Duration) { m.longestSync = max(m.longestSync, took) }

// describe says what has held the loop up, by what the process has waited for since it was last sampled. Where all is
// small, the process or its machine was stopped.
func (m *stallMonitor) describe(late time.Duration) string {
	usage := readUsage()
	return fmt.Sprintf("held up for %v: in the last %v its threads waited %v for a processor, the longest write took %v, the garbage collector paused %d times",
		late.Round(time.Millisecond), m.lastTick.Sub(m.sampledAt).Round(time.Millisecond),
		(usage.processorWait - m.usage.processorWait).Round(time.Millisecond), m.longestSync.Round(time.Millisecond), usage.collections-m.usage.collections)
}

// readUsage returns what this process has waited for; what the system does not tell is 0.
func readUsage() (usage processUsage) {
	threads, _ := filepath.Glob("/proc/self/task/*/schedstat") // the pattern is sound
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(text)); len(fields) > schedulerDelayField {
			waited, _ := strconv.ParseInt(fields[schedulerDelayField], 10, 64)
			usage.processorWait += time.Duration(waited)
		}
	}
	sample := []metrics.Sample{{Name: collectionPauses}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindFloat64Histogram {
		for _, count := range sample[0].Value.Float64Histogram().Counts {
			usage.collections += int(count)
		}
	}
	return usage
}
