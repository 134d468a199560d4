// Command yard is the system's program: a dispatcher on front machines, a
// control process on core machines.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/control/server"
	"yardflow/internal/dispatcher"
	"yardflow/internal/platform/settings"
)

// version is the system's version.
const version = "0.1.0"

// exitSettings is the exit code for settings that can't be used.
const exitSettings = 2

func main() {
	if err := command().ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "yard:", err)
		var fault *settings.InvalidError
		if errors.As(err, &fault) {
			os.Exit(exitSettings)
		}
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	flags := flag.NewFlagSet("yard", flag.ContinueOnError)
	level := flags.String("log-level", "info", "debug, info, warn or error")
	sub := func(name, help string, run func(s *settings.Settings, logger zerolog.Logger) error) *ffcli.Command {
		return &ffcli.Command{Name: name, ShortUsage: "yard [flags] " + name, ShortHelp: help,
			Exec: func(context.Context, []string) error {
				s, err := settings.Load(os.Getenv(settings.PathVariable))
				if err != nil {
					return errors.Trace(err)
				}
				return run(s, newLogger(*level, s.Node))
			}}
	}
	return &ffcli.Command{
		Name:       "yard",
		ShortUsage: "yard [flags] <subcommand>",
		LongHelp:   "The settings file is named by the environment variable " + settings.PathVariable + ".",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			sub("dispatcher", "take jobs in and own workers, on a front machine", runDispatcher),
			sub("control", "keep and deliver the system's state, on a core machine", runControl),
			{Name: "check", ShortUsage: "yard check SETTINGS", ShortHelp: "read and check a settings file and start nothing", Exec: check},
			{Name: "version", ShortUsage: "yard version", ShortHelp: "print the version",
				Exec: func(context.Context, []string) error { fmt.Println("yard", version); return nil }},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newLogger(level, node string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("node", node).Logger()
}

const errUsage = errors.ConstError("usage: yard check SETTINGS")

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

// limitMemory keeps the garbage collector ahead of the machine's limit.
func limitMemory(s *settings.Settings) {
	const share = 0.6
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(share * float64(s.Limits.MemoryMb<<20)))
	}
	debug.SetGCPercent(200)
}

func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // the settings file is read anew when it is needed
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

func runDispatcher(s *settings.Settings, logger zerolog.Logger) error {
	limitMemory(s)
	return errors.Trace(dispatcher.New(s, frame.TCP{}, logger).Serve(stopSignal()))
}

func runControl(s *settings.Settings, logger zerolog.Logger) error {
	limitMemory(s)
	process := server.NewProcess(s, frame.TCP{}, segment.Dir(s.DataDir), logger)
	stop := stopSignal()
	listener := &http.Server{Addr: s.Listen.Control, Handler: process, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 2)
	go func() { failed <- errors.Annotate(listener.ListenAndServe(), "Listen.Control") }()
	engineStop, engineEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(engineEnded)
		if err := process.Run(engineStop); err != nil {
			failed <- errors.Trace(err)
		}
	}()
	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	process.LeaveChain()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	listener.Shutdown(ctx)
	close(engineStop)
	select {
	case <-engineEnded:
	case <-ctx.Done(): // a disk that hangs holds the start up
	}
	return nil
}
