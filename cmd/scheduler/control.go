package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/control/server"
	"yardflow/internal/platform/settings"
)

// shutdownTimeout is how long open requests and the engine may take to end once the chain position is handed over. A disk
// that hangs would hold the stop up.
const shutdownTimeout = time.Second

// runControl runs a control process until it is stopped. On a stop it first hands its chain position over, then ends its
// open requests, and then the engine, which serves these requests.
func runControl(s *settings.Settings, logger zerolog.Logger) error {
	process := server.NewProcess(s, frame.TCP{}, segment.Dir(s.DataDir), logger)
	stop := stopSignal()
	listener, err := frame.TCP{}.Listen(s.Listen.Control)
	if err != nil {
		return errors.Annotate(err, "Listen.Control")
	}
	httpServer := process.HTTPServer()
	failed := make(chan error, 2) // one of each goroutine
	go func() { failed <- errors.Annotate(httpServer.Serve(process.Admit(listener)), "Listen.Control") }()
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
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = httpServer.Shutdown(ctx) // requests that are open beyond shutdownTimeout end with the process
	close(engineStop)
	select {
	case <-engineEnded:
	case <-ctx.Done():
	}
	return nil
}
