// Command scheduler is the program of the system's machines: a dispatcher on front machines, a control process on core
// machines. It owns the command line, the process's signals and the HTTP listener of a control process; all else is up to
// internal/dispatcher and internal/control/server.
//
// Exit codes: 0 stopped in order, 2 a key of the settings file is wrong, 1 any other error.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/dispatcher"
	"yardflow/internal/platform/settings"
)

const (
	// program is the name in usage texts and in front of errors.
	program = "scheduler"
	// versionLine is what the subcommand version prints. Operators' scripts read it, with the name that the program had
	// before, so it must not change beyond the number.
	versionLine = "yard 0.1.0"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2 // a key of the settings file is wrong
)

func main() {
	if err := command().ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		return exitSettings
	}
	return exitFailed
}

// command returns the command line: a subcommand for each role, and two that start nothing.
func command() *ffcli.Command {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	level := flags.String("log-level", "info", "debug, info, warn or error")
	return &ffcli.Command{
		Name:       program,
		ShortUsage: program + " [flags] <subcommand>",
		LongHelp:   "The settings file is named by the environment variable " + settings.PathVariable + ".",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			roleCommand("dispatcher", "take jobs in and own workers, on a front machine", level, runDispatcher),
			roleCommand("control", "keep and deliver the system's state, on a core machine", level, runControl),
			{Name: "check", ShortUsage: program + " check SETTINGS", ShortHelp: "read and check a settings file and start nothing", Exec: check},
			{Name: "version", ShortUsage: program + " version", ShortHelp: "print the version", Exec: printVersion},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// roleCommand returns a subcommand that reads the settings file and runs one of the system's processes.
func roleCommand(name, help string, level *string, run func(s *settings.Settings, logger zerolog.Logger) error) *ffcli.Command {
	return &ffcli.Command{Name: name, ShortUsage: program + " [flags] " + name, ShortHelp: help,
		Exec: func(context.Context, []string) error {
			s, err := settings.Load(os.Getenv(settings.PathVariable))
			if err != nil {
				return errors.Trace(err)
			}
			limitMemory(s)
			return run(s, newLogger(*level, s.Node))
		}}
}

func printVersion(context.Context, []string) error {
	fmt.Println(versionLine)
	return nil
}

const errUsage = errors.ConstError("usage: " + program + " check SETTINGS")

// check reads and checks the settings file that its argument names.
func check(_ context.Context, args []string) error {
	if len(args) != 1 {
		return errors.Trace(errUsage)
	}
	if _, err := settings.Load(args[0]); err != nil {
		return errors.Trace(err)
	}
	fmt.Println("settings are sound")
	return nil
}

// newLogger returns the process's log: JSON lines on standard error with the machine's name in each. A level that does not
// exist counts as info.
func newLogger(level, node string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("node", node).Logger()
}

// Garbage collection: rare while memory is plentiful, and more often once the process nears its share of the memory.
const (
	memoryShare = 0.6 // of settings key Limits.MemoryMb, for all that the Go runtime manages
	gcPercent   = 200 // growth of the heap between two collections, in per cent
)

// limitMemory makes the garbage collector keep the process below the machine's limit.
func limitMemory(s *settings.Settings) {
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMb<<20)))
	}
	debug.SetGCPercent(gcPercent)
}

// stopSignal returns a channel that is closed by SIGTERM or SIGINT. SIGHUP is ignored because a dispatcher
// reads the settings file again whenever it needs to, SIGPIPE because a broken connection is an error of its write.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// runDispatcher runs a dispatcher until the process is stopped.
func runDispatcher(s *settings.Settings, logger zerolog.Logger) error {
	return errors.Trace(dispatcher.New(s, frame.TCP{}, logger).Serve(stopSignal()))
}
