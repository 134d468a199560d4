// Package ingress admits the callers of a process: it owns their connections from the accept on, asks the budget of the
// process before anything is held for them, and keeps the time limits of a request's head and body. What is decided is up
// to package budget; this package has the sockets, the clock and the locks.
//
// A connection is in one of the phases of type phase. The HTTP server reports the ends of requests by its ConnState hook, the
// handler of the gate their beginning. A connection that gives way is closed at once with a reset, so that the kernel keeps
// none of its buffers. Before a request is whole, a refusal has the effect that the pages promise of a 503: it was not taken
// and never runs.
package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/platform/ingress/budget"
)

// Gate admits the callers of one process at all of its listeners. It is safe for concurrent use.
type Gate struct {
	startedAt time.Time
	refusals  refusals

	mu     sync.Mutex
	budget *budget.Budget
	conns  map[*budget.Connection]*Conn
}

// New returns a gate that admits callers within limits.
func New(limits budget.Limits, logger zerolog.Logger) *Gate {
	return &Gate{
		startedAt: time.Now(),
		refusals:  refusals{logger: logger},
		budget:    budget.New(limits, budget.DefaultStallAfter),
		conns:     map[*budget.Connection]*Conn{},
	}
}

// now returns the time on the gate's monotonic clock.
func (g *Gate) now() time.Duration { return time.Since(g.startedAt) }

// admit admits a connection, or returns nil.
func (g *Gate) admit(raw net.Conn, class budget.Class, limits func() RequestLimits) *Conn {
	g.mu.Lock()
	entry, evicted := g.budget.Open(class, g.now())
	var c *Conn
	if entry != nil {
		c = &Conn{Conn: raw, gate: g, entry: entry, limits: limits, phaseAt: time.Now()}
		g.conns[entry] = c
	}
	victim := g.forget(evicted)
	g.mu.Unlock()
	victim.reset(GaveWayToNewer)
	return c
}

// forget removes a connection that the budget has closed from the table. The caller holds mu.
func (g *Gate) forget(entry *budget.Connection) *Conn {
	if entry == nil {
		return nil
	}
	c := g.conns[entry]
	delete(g.conns, entry)
	return c
}

// move counts a connection in another class. It reports false if that class has no connection left.
func (g *Gate) move(c *Conn, class budget.Class) bool {
	g.mu.Lock()
	evicted, moved := g.budget.Move(c.entry, class, g.now())
	victim := g.forget(evicted)
	g.mu.Unlock()
	victim.reset(GaveWayToNewer)
	return moved
}

// claim asks for bytes on a connection.
func (g *Gate) claim(c *Conn, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	g.mu.Lock()
	evicted, granted := g.budget.Claim(c.entry, bytes, g.now())
	victims := make([]*Conn, 0, len(evicted))
	for _, entry := range evicted {
		victims = append(victims, g.forget(entry))
	}
	g.mu.Unlock()
	for _, victim := range victims {
		victim.reset(GaveWayToActive)
	}
	return granted
}

// release gives bytes of a connection back.
func (g *Gate) release(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c.entry, bytes)
}

// setStage records how far the request of a connection has come.
func (g *Gate) setStage(c *Conn, stage budget.Stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetStage(c.entry, stage, g.now())
}

// progress records that a connection has brought a considerable part of its request.
func (g *Gate) progress(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Progress(c.entry, g.now())
}

// close ends a connection.
func (g *Gate) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.entry)
	delete(g.conns, c.entry)
}

// Metric is a figure of the gate with the name under which operators' dashboards read it.
type Metric struct {
	Name  string
	Value int64
}

// Metrics returns what each of some classes holds, its limits, and its refusals by cause.
func (g *Gate) Metrics(classes ...budget.Class) []Metric {
	var metrics []Metric
	for _, class := range classes {
		g.mu.Lock()
		usage, limits := g.budget.Usage(class), g.budget.Limits(class)
		g.mu.Unlock()
		prefix := "yardflow_" + class.String()
		metrics = append(metrics, Metric{prefix + "_connections", int64(usage.Connections)},
			Metric{prefix + "_connections_limit", int64(limits.Connections)},
			Metric{prefix + "_claimed_bytes", usage.Bytes}, Metric{prefix + "_claimed_bytes_limit", limits.Bytes})
		for cause := range causeCount {
			name := prefix + "_refused_" + cause.String()
			metrics = append(metrics, Metric{name, int64(g.refusals.count(class, cause))})
		}
	}
	return metrics
}
