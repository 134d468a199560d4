//go:build !race

// Once is enough: the race detector does not reach into the programs.

package harness

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var bin string

// The programs are built once, as they are, and the dispatcher also as one that knows no policy
// newer than the first form.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err == nil {
		bin = dir
		err = Build("../../..", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	flag.Parse()
	_ = flag.Set("test.parallel", "6") // they wait for leases, mostly; with more of them jobs wait for the machine
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	settings, err := os.ReadFile("../../../cmd/yardflow/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			if !s.Alone {
				t.Parallel()
			}
			c := s.Config(bin, stateDir(t), settings, 1)
			c.Over = func(r *Rig) { keepLogs(t, r) }
			s.Run(t, c)
		})
	}
}

// memoryFolder is a file system in memory, on Linux.
const memoryFolder = "/dev/shm"

// stateDir returns an empty folder for what the processes of a scenario keep, in memory where there is such a file system.
// Scenarios kill processes and never lose power, so nothing that they assert rests on the disk; a disk on which a sync takes
// seconds, since others write to it, stops all coordinators at once for as long, in which nothing can be agreed on.
func stateDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryFolder, "rig-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// linesKept is how many of the last lines of each process a test that fails prints.
const linesKept = 60

// keepLogs has a test that fails print what its processes wrote last, and leave all of it in a file: what fails once
// may not show again.
func keepLogs(t *testing.T, r *Rig) {
	if !t.Failed() {
		return
	}
	file, err := os.CreateTemp("", "rig-"+strings.ReplaceAll(t.Name(), "/", "-")+"-*.log")
	if err != nil {
		t.Logf("no file for the logs: %v", err)
	} else {
		r.History(file)
		file.Close()
		t.Logf("all logs are in %s", file.Name())
	}
	for _, p := range slices.Concat(r.Coordinators, r.Dispatchers) {
		p.mu.Lock()
		last := p.log[max(0, len(p.log)-linesKept):]
		t.Logf("%s, its last %d lines of %d:\n%s", p.Name, len(last), len(p.log), strings.Join(last, "\n"))
		p.mu.Unlock()
	}
}
