package dispatcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yardflow/internal/control/protocol"
)

// Bounds of a graceful shutdown, which has to end before the platform sends SIGKILL.
const (
	// deregisterDelay is how long new connections of clients are still accepted. The platform needs two readiness checks,
	// a second apart, to notice that the dispatcher is not ready.
	deregisterDelay = 2200 * time.Millisecond
	// defaultGrace is the time from SIGTERM to SIGKILL if the settings don't specify it.
	defaultGrace = 6 * time.Second
	// killMargin is how long before SIGKILL the process exits.
	killMargin      = 800 * time.Millisecond
	minDrainTimeout = 500 * time.Millisecond
	// finalAnswerMargin is how long before the end of the drain the calls that still have no outcome are answered.
	finalAnswerMargin = 300 * time.Millisecond
	// lastMessageDelay is how long the process waits for its last message to the control machine to be sent.
	lastMessageDelay = 100 * time.Millisecond
)

// Serve serves clients and readiness checks until stop is closed, and then shuts down gracefully. It returns an error if it
// can't listen on one of the configured addresses.
func (d *Dispatcher) Serve(stop <-chan struct{}) error {
	clientListener, err := d.network.Listen(d.settings.Listen.Front)
	if err != nil {
		return errors.Annotate(err, "Listen.Front")
	}
	clientServer := d.HTTPServer()
	go d.serveUntilClosed(clientServer, d.Admit(clientListener))
	if d.settings.Listen.Ready != "" {
		readinessListener, err := d.network.Listen(d.settings.Listen.Ready)
		if err != nil {
			return errors.Annotate(err, "Listen.Ready")
		}
		readinessServer := d.newReadinessServer()
		defer func() { _ = readinessServer.Close() }() // it only cuts off readiness checks; nothing to report
		go d.serveUntilClosed(readinessServer, d.admitReadinessChecks(readinessListener))
	}
	loopStop := make(chan struct{})
	go d.Run(loopStop)
	<-stop
	d.shutDown(clientServer)
	close(loopStop)
	return nil
}

// serveUntilClosed serves HTTP until the server is closed.
func (d *Dispatcher) serveUntilClosed(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error().Err(err).Str("address", listener.Addr().String()).Msg("listener failed")
	}
}

// shutDown stops accepting new calls, waits for the calls in flight, and ends the session.
func (d *Dispatcher) shutDown(clientServer *http.Server) {
	d.logger.Info().Msg("graceful shutdown")
	d.readiness.shuttingDown.Store(true)
	clientServer.SetKeepAlivesEnabled(false)
	time.Sleep(deregisterDelay)
	d.drainClients(clientServer)
	d.endSession()
}

// drainClients waits for the calls in flight. Shortly before the timeout, calls without an outcome are answered that there
// is no outcome yet, so that no call that was read is cut off.
func (d *Dispatcher) drainClients(clientServer *http.Server) {
	timeout := d.drainTimeout()
	answerTimer := time.AfterFunc(timeout-finalAnswerMargin, func() { close(d.answerNow) })
	defer answerTimer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := clientServer.Shutdown(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("calls cut off: not answered within the grace period")
	}
}

// drainTimeout returns how long the calls in flight may take after deregisterDelay.
func (d *Dispatcher) drainTimeout() time.Duration {
	grace := defaultGrace
	if d.settings.Bounds.GraceS > 0 {
		grace = time.Duration(d.settings.Bounds.GraceS * float64(time.Second))
	}
	return max(grace-deregisterDelay-killMargin, minDrainTimeout)
}

// endSession notifies the control machines that this process is ending, so that other dispatchers take over its jobs and
// workers at once.
func (d *Dispatcher) endSession() {
	done := make(chan struct{})
	d.post(func() {
		if d.uplink.conn != nil {
			d.uplink.conn.Send(protocol.Encode(protocol.DispatcherMessage{ShuttingDown: true}))
		}
		close(done)
	})
	<-done
	time.Sleep(lastMessageDelay)
}
