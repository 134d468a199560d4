package server

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/platform/ingress"
	"yardflow/internal/platform/ingress/budget"
	"yardflow/internal/platform/settings"
)

// Limits of requests at a control address. The operator's configuration limits clients' requests only.
const (
	maxHeadBytes = 64 << 10
	headTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
	// bodyTimeout is how long a configuration may take to arrive: one of maxConfigBytes needs 134 s at 2 Mbit/s.
	bodyTimeout = 180 * time.Second
)

// newGate returns the gate of a control process's listener.
func newGate(s *settings.Settings, logger zerolog.Logger) *ingress.Gate {
	return ingress.New(budget.ForControl(budget.Machine{MemoryMb: s.Limits.MemoryMb, MaxFds: s.Limits.MaxFds}), logger)
}

// HTTPServer returns the server for listeners that Admit has wrapped.
func (p *Process) HTTPServer() *http.Server { return p.gate.NewServer(p) }

// Admit wraps the listener of the control address. Its callers count as operators until another process takes its
// connection over.
func (p *Process) Admit(l net.Listener) net.Listener {
	return p.gate.Listen(l, budget.Operators, func() ingress.RequestLimits {
		return ingress.RequestLimits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout}
	})
}
