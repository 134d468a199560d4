// Command demo-system shows the whole system at work on this machine: control
// machines, dispatchers and stand-ins for workers, list, clients and operator, on
// loopback. It ends by itself.
package main

import (
	"flag"
	"io"
	"os"

	"yardflow/internal/testing/emulator"
)

func main() {
	logs := flag.Bool("logs", false, "print the processes' logs")
	flag.Parse()
	to := io.Discard
	if *logs {
		to = os.Stderr
	}
	if !emulator.Demo(os.Stdout, to) {
		os.Exit(1)
	}
}
