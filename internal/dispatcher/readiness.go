package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"
)

// readyGrace is how long a dispatcher that has lost its connection to the control machines still calls itself ready.
const readyGrace = time.Second

// readiness is what the answer to readiness checks depends on. It is safe for concurrent use.
type readiness struct {
	shuttingDown atomic.Bool
	attached     atomic.Bool  // a session is open over the uplink
	detachedAt   atomic.Int64 // when it was lost, a time.Duration
}

func (r *readiness) setConnection(attached bool, detachedAt time.Duration) {
	r.attached.Store(attached)
	r.detachedAt.Store(int64(detachedAt))
}

// ServeReadiness answers the platform's check whether new connections should come here: 200 or 503.
func (d *Dispatcher) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	connected := d.readiness.attached.Load() || d.now()-time.Duration(d.readiness.detachedAt.Load()) < readyGrace
	if d.readiness.shuttingDown.Load() || d.config.parsed.Load() == nil || !connected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
