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
	// deregisterDelay is how long clients' new connections are still served: the platform notices by two readiness checks,
	// a second apart.
	deregisterDelay = 2200 * time.Millisecond
	// defaultGrace is the time from SIGTERM to SIGKILL where the settings don't give it.
	defaultGrace = 6 * time.Second
	// killMargin is how long before SIGKILL the process has ended.
	killMargin      = 800 * time.Millisecond
	minDrainTimeout = 500 * time.Millisecond
	// lastAnswers is how long before the end of the drain calls without an outcome are answered.
	lastAnswers = 300 * time.Millisecond
	// goodbyeDelay is for the last message to leave.
	goodbyeDelay = 100 * time.Millisecond
)

// Bounds of clients' connections.
const (
	idleTimeout   = 60 * time.Second
	headerTimeout = 10 * time.Second
)

// Serve serves clients and readiness checks until stop is closed, and then shuts down gracefully. Its error is that of an
// address that can't be listened on.
func (d *Dispatcher) Serve(stop <-chan struct{}) error {
	front, err := d.network.Listen(d.settings.Listen.Front)
	if err != nil {
		return errors.Annotate(err, "Listen.Front")
	}
	clients := &http.Server{Handler: d, IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeout}
	go d.serveUntilClosed(clients, front)
	if d.settings.Listen.Ready != "" {
		listener, err := d.network.Listen(d.settings.Listen.Ready)
		if err != nil {
			return errors.Annotate(err, "Listen.Ready")
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /-/readiness", d.ServeReadiness)
		checks := &http.Server{Handler: mux, IdleTimeout: idleTimeout}
		defer func() { _ = checks.Close() }() // it closes connections without calls: there is nothing to report
		go d.serveUntilClosed(checks, listener)
	}
	loopStop := make(chan struct{})
	go d.Run(loopStop)
	<-stop
	d.shutDown(clients)
	close(loopStop)
	return nil
}

// serveUntilClosed serves HTTP until the server is closed.
func (d *Dispatcher) serveUntilClosed(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error().Err(err).Str("address", listener.Addr().String()).Msg("listener failed")
	}
}

// shutDown stops taking new calls, waits for those in flight, and ends the session.
func (d *Dispatcher) shutDown(clients *http.Server) {
	d.logger.Info().Msg("graceful shutdown")
	d.readiness.shuttingDown.Store(true)
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(deregisterDelay)
	d.drainClients(clients)
	d.endSession()
}

// drainClients waits for the calls in flight. Those that still have no outcome shortly before the end are answered that
// there is none yet: no call that was read is cut off.
func (d *Dispatcher) drainClients(clients *http.Server) {
	within := d.drainTimeout()
	hurry := time.AfterFunc(within-lastAnswers, func() { close(d.answerNow) })
	defer hurry.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("calls cut off: not answered within the grace period")
	}
}

// drainTimeout returns how long calls may still take after deregisterDelay.
func (d *Dispatcher) drainTimeout() time.Duration {
	grace := defaultGrace
	if d.settings.Bounds.GraceS > 0 {
		grace = time.Duration(d.settings.Bounds.GraceS * float64(time.Second))
	}
	return max(grace-deregisterDelay-killMargin, minDrainTimeout)
}

// endSession tells the control machines that this process ends, so that others take over its jobs and workers at once.
func (d *Dispatcher) endSession() {
	done := make(chan struct{})
	d.post(func() {
		if d.uplink.conn != nil {
			d.uplink.conn.Send(protocol.Encode(protocol.DispatcherMessage{ShuttingDown: true}))
		}
		close(done)
	})
	<-done
	time.Sleep(goodbyeDelay)
}
