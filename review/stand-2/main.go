//go:build review

// Command stand plays the scripted cases of the second review: it starts a small deployment of the system's own processes on
// loopback addresses with stand-ins for clients, workers, the platform and the operator. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, at the repository's root")
		os.Exit(2)
	}
	cases := map[string]func(y *yard, trouble bool) (broken []string, err error){"pause": pauseCase, "ban": banCase}
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
