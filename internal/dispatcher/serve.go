package dispatcher

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"yardflow/internal/control/protocol"
	"yardflow/internal/platform/settings"
)

// Spans of a stop in order.
const (
	leaveAfter = 2200 * time.Millisecond // the platform notices within two checks, a second apart
	usualGrace = 6 * time.Second         // until SIGKILL, where the settings don't tell it
	stopMargin = 800 * time.Millisecond  // before SIGKILL, the process has ended
	leastDrain = 500 * time.Millisecond
	lastWords  = 300 * time.Millisecond // before the connections end, calls without an outcome are answered
	idleAfter  = 60 * time.Second
	headWithin = 10 * time.Second
)

func settingsPath() string { return os.Getenv(settings.PathVariable) }

// Serve serves clients and the platform's checks until stop is closed, and then ends in order.
func (d *Dispatcher) Serve(stop <-chan struct{}) error {
	front, err := d.network.Listen(d.settings.Listen.Front)
	if err != nil {
		return errors.Annotate(err, "Listen.Front")
	}
	clients := &http.Server{Handler: d, IdleTimeout: idleAfter, ReadHeaderTimeout: headWithin}
	go clients.Serve(front)
	if d.settings.Listen.Ready != "" {
		ready, err := d.network.Listen(d.settings.Listen.Ready)
		if err != nil {
			return errors.Annotate(err, "Listen.Ready")
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /-/readiness", d.ServeReadiness)
		go (&http.Server{Handler: mux, IdleTimeout: idleAfter}).Serve(ready)
	}
	engineStop := make(chan struct{})
	go d.Run(engineStop)
	<-stop
	d.logger.Info().Msg("stopping in order")
	d.stopping.Store(true)
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(leaveAfter)
	d.drainCalls(clients)
	d.leave()
	close(engineStop)
	return nil
}

// drainCalls lets the calls under way end. Those that wait for an outcome until the last are told that there is none
// yet: no call that was read is cut off.
func (d *Dispatcher) drainCalls(clients *http.Server) {
	within := d.drainWithin()
	hurry := time.AfterFunc(within-lastWords, func() { close(d.hurried) })
	defer hurry.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("calls are cut off: they had no answer in the time until SIGKILL")
	}
}

// drainWithin returns how long calls may still take behind leaveAfter.
func (d *Dispatcher) drainWithin() time.Duration {
	grace := usualGrace
	if d.settings.Bounds.GraceS > 0 {
		grace = time.Duration(d.settings.Bounds.GraceS * float64(time.Second))
	}
	return max(grace-leaveAfter-stopMargin, leastDrain)
}

// leave ends the session, so that others take over at once.
func (d *Dispatcher) leave() {
	done := make(chan struct{})
	d.do(func() {
		if d.uplink.conn != nil {
			d.uplink.conn.Send(protocol.Encode(protocol.DispatcherMessage{ShuttingDown: true}))
		}
		close(done)
	})
	<-done
	time.Sleep(100 * time.Millisecond) // for the message to leave
}
