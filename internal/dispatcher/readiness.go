package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"
)

// readyGrace is how long a dispatcher still reports that it is ready after it has lost its connection to the control
// machines.
const readyGrace = time.Second

// readiness is the state from which readiness checks are answered. It is safe for concurrent use.
type readiness struct {
	shuttingDown atomic.Bool
	attached     atomic.Bool  // a session is open over the uplink
	detachedAt   atomic.Int64 // when the last connection was lost: a time.Duration on the dispatcher's clock
}

func (r *readiness) setConnection(attached bool, detachedAt time.Duration) {
	r.attached.Store(attached)
	r.detachedAt.Store(int64(detachedAt))
}

// ServeReadiness answers the platform's readiness check: 200 if new connections should be routed to this dispatcher, else
// 503.
func (d *Dispatcher) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	connected := d.readiness.attached.Load() || d.now()-time.Duration(d.readiness.detachedAt.Load()) < readyGrace
	if d.readiness.shuttingDown.Load() || d.config.parsed.Load() == nil || !connected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
