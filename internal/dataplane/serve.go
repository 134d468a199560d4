package dataplane

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"linnetlift/internal/control/link"
	"linnetlift/internal/settings"
)

// Spans of a stop in order.
const (
	leaveAfter = 2200 * time.Millisecond // the platform notices within two checks, a second apart
	endWithin  = 1500 * time.Millisecond
	idleAfter  = 60 * time.Second
	headWithin = 10 * time.Second
)

func settingsPath() string { return os.Getenv(settings.Variable) }

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
		mux.HandleFunc("GET /-/readiness", d.Ready)
		go (&http.Server{Handler: mux, IdleTimeout: idleAfter}).Serve(ready)
	}
	engineStop := make(chan struct{})
	go d.Run(engineStop)
	<-stop
	d.logger.Info().Msg("stopping in order")
	d.stopping.Store(true)
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(leaveAfter)
	ctx, cancel := context.WithTimeout(context.Background(), endWithin)
	defer cancel()
	clients.Shutdown(ctx)
	d.leave()
	close(engineStop)
	return nil
}

// leave ends the session, so that others take over at once.
func (d *Dispatcher) leave() {
	done := make(chan struct{})
	d.do(func() {
		if d.uplink.conn != nil {
			d.uplink.conn.Send(link.Encode(link.Up{Goodbye: true}))
		}
		close(done)
	})
	<-done
	time.Sleep(100 * time.Millisecond) // for the message to leave
}
