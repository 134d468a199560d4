// Coordinator is one of the processes that keep what a fleet of dispatchers has agreed on
// (its policy, quotas, ejections and workflows), and the command by which staff ask for
// and change that. Operators know the processes as keepers: their files, outputs and the
// program's former name say so, and scripts depend on it.
//
// The program decides nothing about a policy. It exits with 0 (done), 1 (not done), 2 (the
// call is wrong) or 3 (no coordinator answers).
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// The exit codes, by which scripts go.
const (
	exitNotDone  = 1
	exitUsage    = 2
	exitNoAnswer = 3
)

// exitError is an error with the code that the program exits with.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// notDone says why something was not done.
func notDone(format string, args ...any) error {
	return &exitError{exitNotDone, fmt.Errorf(format, args...)}
}

// usageError says what is wrong with the call, or with a file that it names.
func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "keeper:", err)
	var e *exitError
	if errors.As(err, &e) {
		os.Exit(e.code)
	}
	os.Exit(exitUsage) // cobra's own: an unknown command or flag
}

// defaultTimeout is how long a command tries to reach the coordinators.
const defaultTimeout = 10 * time.Second

func newRootCommand() *cobra.Command {
	c := &cli{}
	root := &cobra.Command{
		Use:           "coordinator",
		Short:         "what a fleet of dispatchers has agreed on",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.fleet, "fleet", "", "name of the fleet")
	flags.StringSliceVar(&c.coordinators, "keepers", nil, "addresses of the keepers, host:port,...")
	flags.DurationVar(&c.timeout, "within", defaultTimeout, "how long to try")
	flags.BoolVar(&c.json, "json", false, "answer in JSON")
	root.AddCommand(
		newServeCommand(),
		newStatusCommand(c),
		newPolicyCommand(c),
		newLimitsCommand(c),
		newVerdictsCommand(c),
		newFlowCommand(c),
		newMembersCommand(c),
		newRestoreCommand(),
	)
	return root
}

// mustRequire marks a flag as required. It panics for a flag that is not defined.
func mustRequire(cmd *cobra.Command, flag string) {
	if err := cmd.MarkFlagRequired(flag); err != nil {
		panic(err)
	}
}
