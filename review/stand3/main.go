//go:build review

// Command stand3 plays a case of the third review: it starts the project's own processes and the stand-ins around them on
// loopback, judges one rule by what clients, workers and the platform see, and ends all that it started.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(c *cluster, trouble bool) (verdict int){}

// shapes are the numbers of core and front machines of each case.
var shapes = map[string][2]int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		os.Exit(couldNot)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption %v", os.Args[1], trouble)
	shape := shapes[os.Args[1]]
	c, err := newCluster(record, os.Args[2], shape[0], shape[1])
	if err != nil {
		record.printf("could not run: %v", err)
		os.Exit(couldNot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	verdicts := make(chan int, 1)
	go func() { verdicts <- play(c, trouble) }()
	verdict := couldNot
	select {
	case verdict = <-verdicts:
	case <-interrupted:
	}
	record.printf("verdict: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[verdict])
	c.stop()
	os.Exit(verdict)
}

// couldNotRun records why a case could not run.
func (c *cluster) couldNotRun(why string) int {
	c.record.printf("could not run: %s", why)
	return couldNot
}
