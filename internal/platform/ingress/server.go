package ingress

import (
	"context"
	"net"
	"net/http"

	"yardflow/internal/platform/ingress/budget"
)

// maxServerHeadBytes is the HTTP server's own limit on heads, above any that a configuration is expected to have. The limit of
// the listener and the budget apply before it.
const maxServerHeadBytes = 8 << 20

// connKey is the key of a request's context under which its connection is found.
type connKey struct{}

// NewServer returns an HTTP server for listeners of the gate. A handler reads bodies with ReadBody.
func (g *Gate) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        admitRequests(handler),
		MaxHeaderBytes: maxServerHeadBytes,
		ConnState:      connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// admitRequests has each request's connection follow the phases of the request.
func admitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.beginRequest(r.Body != http.NoBody)
		next.ServeHTTP(w, r)
		c.endRequest()
	})
}

// connOf returns the connection of a request, or nil if it did not come through a listener of a gate.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// connState is the ConnState hook of the servers.
func connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle()
	case http.StateHijacked:
		c.becomeProcess()
	}
}

// beginRequest records that a head is whole.
func (c *Conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasBody {
		c.setPhase(phaseBody)
		c.bodyDeadline = c.phaseAt.Add(c.limits().HeadTimeout)
		return
	}
	c.setPhase(phaseServing)
	c.gate.setStage(c, budget.Serving)
}

// expectBody sets the deadline of a body.
func (c *Conn) expectBody(limits BodyLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyDeadline = c.phaseAt.Add(limits.Timeout)
}

// endBody records that a request is whole.
func (c *Conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.setPhase(phaseServing)
		c.gate.setStage(c, budget.Serving)
	}
}

// endRequest records that a request is answered. If its body was not read whole, the HTTP server reads on for a moment.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.setPhase(phaseLingering)
		c.bodyDeadline = c.phaseAt.Add(lingerTimeout)
	}
}

// becomeIdle records that the HTTP server waits for the next request.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseIdle)
	c.gate.setStage(c, budget.Idle)
}

// becomeProcess records that the protocol between processes takes the connection over.
func (c *Conn) becomeProcess() {
	c.mu.Lock()
	c.setPhase(phaseProcess)
	c.mu.Unlock()
	if !c.gate.move(c, budget.Processes) {
		c.gate.refusals.record(budget.Processes, NoConnectionLeft, c.RemoteAddr().String())
		c.reset(NoConnectionLeft)
		return
	}
	c.setBuffers(processBufferBytes)
}
