package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	starvedSample = 100 * time.Millisecond
	// starvedAfter is how long a thread may wait for a processor at once. Beyond it the process counts as one that does not
	// run, and so as out of touch: rules with a time bound do not hold for it.
	starvedAfter = 300 * time.Millisecond
	// confirmAfter is how much later what a rule with a time bound calls broken is looked at again: a wait for a processor
	// is known only once it is over, and to this process only once it runs itself.
	confirmAfter = 3 * time.Second
)

// watchProcessors records as trouble where a process, or this one with the workers, waits for a processor for long, until
// done is closed. It returns the longest wait.
func (s *soak) watchProcessors(done <-chan struct{}) (longest time.Duration) {
	waited := map[string]time.Duration{} // by thread
	sample := time.NewTicker(starvedSample)
	defer sample.Stop()
	for {
		select {
		case <-done:
			return longest
		case <-sample.C:
		}
		longest = max(longest, s.recordWaits(s.cores[0].name, os.Getpid(), waited))
		for _, p := range append(s.cores, s.fronts...) {
			p.mu.Lock()
			cmd := p.cmd
			p.mu.Unlock()
			if cmd != nil {
				longest = max(longest, s.recordWaits(p.name, cmd.Process.Pid, waited))
			}
		}
	}
}

// recordWaits returns the longest wait of a process's threads since the last sample, and records a long one as the machine's.
func (s *soak) recordWaits(machine string, pid int, waited map[string]time.Duration) (longest time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, thread := range threads {
		var ran, waits time.Duration
		text, _ := os.ReadFile(thread)
		if _, err := fmt.Sscan(string(text), &ran, &waits); err != nil {
			continue // it has ended
		}
		longest = max(longest, waits-waited[thread])
		waited[thread] = waits
	}
	if longest > starvedAfter {
		s.cluster.BeginTrouble(machine)()
	}
	return longest
}
