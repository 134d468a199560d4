package dispatcher

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/platform/ingress"
	"yardflow/internal/platform/ingress/budget"
	"yardflow/internal/platform/settings"
)

// Limits of requests that apply where the configuration has none.
const (
	// defaultMaxHeadBytes is four times what the pages' example of a configuration allows.
	defaultMaxHeadBytes = 64 << 10
	// defaultMaxBodyBytes is the limit on the size of a job's body.
	defaultMaxBodyBytes = 1 << 20
	defaultHeadTimeout  = 10 * time.Second
	defaultIdleTimeout  = 60 * time.Second
)

// newGate returns the gate of a dispatcher's listeners.
func newGate(s *settings.Settings, logger zerolog.Logger) *ingress.Gate {
	return ingress.New(budget.ForDispatcher(budget.Machine{MemoryMb: s.Limits.MemoryMb, MaxFds: s.Limits.MaxFds}), logger)
}

// HTTPServer returns the server for listeners that Admit has wrapped.
func (d *Dispatcher) HTTPServer() *http.Server { return d.gate.NewServer(d) }

// Admit wraps the listener of clients' connections.
func (d *Dispatcher) Admit(l net.Listener) net.Listener {
	return d.gate.Listen(l, budget.Clients, d.requestLimits)
}

// admitReadinessChecks wraps the listener of the platform's connections.
func (d *Dispatcher) admitReadinessChecks(l net.Listener) net.Listener {
	return d.gate.Listen(l, budget.Readiness, func() ingress.RequestLimits {
		return ingress.RequestLimits{HeadBytes: defaultMaxHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	})
}

// requestLimits returns the limits of a client's request under the configuration in force.
func (d *Dispatcher) requestLimits() ingress.RequestLimits {
	limits := ingress.RequestLimits{HeadBytes: defaultMaxHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	config := d.config.parsed.Load()
	if config == nil {
		return limits
	}
	if config.Limits.MaxHeaderBytes > 0 {
		limits.HeadBytes = config.Limits.MaxHeaderBytes
	}
	if config.Limits.HeaderTimeoutMs > 0 {
		limits.HeadTimeout = time.Duration(config.Limits.HeaderTimeoutMs) * time.Millisecond
	}
	if config.Limits.IdleTimeoutMs > 0 {
		limits.IdleTimeout = time.Duration(config.Limits.IdleTimeoutMs) * time.Millisecond
	}
	return limits
}

// newReadinessServer returns the server of readiness checks and of the figures for the operators' dashboards.
func (d *Dispatcher) newReadinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readiness", d.ServeReadiness)
	mux.HandleFunc("GET /-/metrics", d.serveMetrics)
	return d.gate.NewServer(mux)
}

// serveMetrics answers with what callers hold and with the refusals by cause, one figure per line.
func (d *Dispatcher) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	for _, metric := range d.gate.Metrics(budget.Clients, budget.Readiness) {
		io.WriteString(w, metric.Name+" "+strconv.FormatInt(metric.Value, 10)+"\n")
	}
}
