//go:build review

// Command stand plays the scripted cases of the second review: it starts a small deployment of the system's own processes on
// loopback addresses with stand-ins for clients, workers, the platform and the operator. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is how long a case may run; then all its processes are ended.
const longest = 116 * time.Second

// endAfter ends all processes of the case once it has run for too long, or when it is told to end.
func (y *yard) endAfter(limit time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(limit):
	}
	y.rec.line("the case has not ended in time")
	y.close()
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, at the repository's root")
		os.Exit(2)
	}
	cases := map[string]func(y *yard, trouble bool) (broken []string, err error){"pause": pauseCase, "ban": banCase, "memory": memoryCase, "wide": wideCase}
	play := cases[os.Args[1]]
	root, err := os.Getwd()
	if play == nil || err != nil {
		os.Exit(2)
	}
	out, _ := filepath.Abs(os.Args[2])
	y, err := newYard(root, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go y.endAfter(longest)
	broken, err := play(y, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		y.rec.line("BROKEN %s", line)
		fmt.Println(line)
	}
	if err != nil {
		y.rec.line("could not run: %v", err)
	}
	y.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("held")
}
