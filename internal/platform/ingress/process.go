package ingress

import (
	"net/http"

	"yardflow/internal/platform/ingress/budget"
)

// maxFirstMessageBytes is the longest message of a process that has not said who it is. A heartbeat with a view of nine
// members has 2 kB.
const maxFirstMessageBytes = 64 << 10

// includedMessageBytes of a message cost nothing beside the connection.
const includedMessageBytes = 16 << 10

// ProcessConn is the quota of another process's connection, which one goroutine uses. Until the process has said who it is
// it may send short messages only, and its connection may give way to another one.
type ProcessConn struct {
	conn       *Conn // nil: not bounded
	identified bool
	held       int
}

// Process returns the quota of the connection of a request whose connection was taken over.
func Process(r *http.Request) *ProcessConn { return &ProcessConn{conn: connOf(r)} }

// Claim asks for the memory of a message.
func (p *ProcessConn) Claim(bytes int) bool {
	if p.conn == nil {
		return true
	}
	if !p.identified && p.held+bytes > maxFirstMessageBytes {
		p.conn.gate.refusals.record(budget.Processes, MessageTooLarge, p.conn.RemoteAddr().String())
		return false
	}
	if !p.conn.gate.claim(p.conn, charged(p.held+bytes)-charged(p.held)) {
		p.conn.gate.refusals.record(budget.Processes, NoBytesLeft, p.conn.RemoteAddr().String())
		return false
	}
	p.held += bytes
	return true
}

// Release gives the memory of a message back.
func (p *ProcessConn) Release(bytes int) {
	if p.conn == nil {
		return
	}
	p.conn.gate.release(p.conn, charged(p.held)-charged(p.held-bytes))
	p.held -= bytes
}

// Identified records that the process has said who it is.
func (p *ProcessConn) Identified() {
	if p.conn == nil || p.identified {
		return
	}
	p.identified = true
	p.conn.gate.setStage(p.conn, budget.Serving)
}

// charged returns what messages of so many bytes claim.
func charged(bytes int) int64 { return int64(max(0, bytes-includedMessageBytes)) }
