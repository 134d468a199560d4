//go:build review

// Command standin plays the cases of the review that are scripts: real processes of the system on loopback, with
// stand-ins for clients, workers, the platform and the operator beside them.
//
// Usage: standin CASE RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in
// the environment, the case plays without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// limit is the longest time that a case may take; the watchdog ends it with exitCannot after that.
const limit = 115 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*cluster, bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitCannot
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannot
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.note("case", "can't run: %v", err)
		return exitCannot
	}
	defer os.RemoveAll(folder)
	program, err := filepath.Abs("target/scheduler")
	if err != nil {
		record.note("case", "can't run: %v", err)
		return exitCannot
	}
	c := newCluster(program, folder, record)
	defer c.stop()
	giveUp := func(why string) {
		record.note("case", "can't run: %s", why)
		c.stop()
		record.close()
		os.RemoveAll(folder)
		os.Exit(exitCannot)
	}
	watchdog := time.AfterFunc(limit, func() { giveUp("it takes too long") })
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp(fmt.Sprint(<-signals)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case", "%s, trouble %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](c, trouble)
	switch {
	case err != nil:
		record.note("case", "can't run: %v", err)
		fmt.Println("can't run:", err)
		return exitCannot
	case result.broken:
		record.note("case", "broken: %s", result.text)
		fmt.Println("broken:", result.text)
		return exitBroken
	}
	record.note("case", "held: %s", result.text)
	fmt.Println("held:", result.text)
	return exitHeld
}
