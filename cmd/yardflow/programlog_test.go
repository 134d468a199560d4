package main

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// programLog collects what a process writes to its standard error. Lines are searched from the
// first one on, as the process's goroutines write them in no fixed order.
type programLog struct {
	ended chan struct{} // closed at the end of the output

	mu    sync.Mutex
	lines []string
	added chan struct{} // closed at the next line, and then replaced
}

func readProgramLog(output io.Reader) *programLog {
	l := &programLog{ended: make(chan struct{}), added: make(chan struct{})}
	go func() {
		defer close(l.ended)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			l.add(lines.Text())
		}
	}()
	return l
}

func (l *programLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	close(l.added)
	l.added = make(chan struct{})
}

// snapshot returns the lines so far, and a channel that is closed at the next one.
func (l *programLog) snapshot() (lines []string, added <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines), l.added
}

// waitFor returns the first line that contains part, and fails the test where none comes.
func (l *programLog) waitFor(t *testing.T, part string) string {
	t.Helper()
	limit, ended := time.After(patience), false
	for {
		lines, added := l.snapshot()
		if i := slices.IndexFunc(lines, func(line string) bool { return strings.Contains(line, part) }); i >= 0 {
			return lines[i]
		}
		if ended {
			t.Fatalf("the program ended and never said %q:\n%s", part, strings.Join(lines, "\n"))
		}
		select {
		case <-added:
		case <-l.ended:
			ended = true // its last lines are there now
		case <-limit:
			t.Fatalf("the program has not said %q within %v:\n%s", part, patience, strings.Join(lines, "\n"))
		}
	}
}

// waitForEnd waits until the process has closed its output.
func (l *programLog) waitForEnd(t *testing.T) {
	t.Helper()
	select {
	case <-l.ended:
	case <-time.After(patience):
		lines, _ := l.snapshot()
		t.Fatalf("the program does not end within %v:\n%s", patience, strings.Join(lines, "\n"))
	}
}

// The server table's goroutine says "first told" and the main one "serves on": either may be first.
func TestProgramLogFindsLinesInWhateverOrderTheyCame(t *testing.T) {
	log := readProgramLog(strings.NewReader("first told\nserves on a\n"))
	log.waitForEnd(t)
	for _, part := range []string{"serves on", "first told"} {
		if got := log.waitFor(t, part); !strings.Contains(got, part) {
			t.Errorf("got %q for %q", got, part)
		}
	}
}
