package ingress

import (
	"net"
	"syscall"

	"yardflow/internal/platform/ingress/budget"
)

// socketBufferBytes is the size of the kernel's buffers of a caller's socket. Bytes that have arrived and are not read yet
// belong to the memory of the process, and so do answers that are not taken.
const socketBufferBytes = 32 << 10

// processBufferBytes is the size for processes of the system, which send snapshots. The system allows less, as a rule.
const processBufferBytes = 4 << 20

// listener accepts the callers of one class.
type listener struct {
	net.Listener
	gate   *Gate
	class  budget.Class
	limits func() RequestLimits
}

// Listen wraps a listener so that the gate admits its connections, as callers of a class. The limits of their requests are
// asked for again and again, since a configuration may change them.
func (g *Gate) Listen(l net.Listener, class budget.Class, limits func() RequestLimits) net.Listener {
	g.limitSocket(l, class)
	return &listener{Listener: l, gate: g, class: class, limits: limits}
}

// Accept returns the next connection that is admitted. Others are answered and closed at once, so that they do not wait in
// the kernel, where they would hold memory.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw, l.class, l.limits); c != nil {
			if l.class == budget.Operators {
				c.setBuffers(socketBufferBytes)
			}
			return c, nil
		}
		l.gate.refusals.record(l.class, NoConnectionLeft, raw.RemoteAddr().String())
		writeRefusal(raw, unavailableStatus)
		raw.Close()
	}
}

// limitSocket limits what the kernel holds for callers: connections that wait to be accepted, and the buffers of all sockets that
// will be accepted. The system does not scale the window of such a socket up, which fits short requests; operators' connections
// may become those of processes and are limited once they are accepted. Where it fails, the system's own limits stay.
func (g *Gate) limitSocket(l net.Listener, class budget.Class) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	backlog := g.budget.Limits(class).Backlog
	_ = raw.Control(func(descriptor uintptr) {
		if backlog > 0 {
			_ = syscall.Listen(int(descriptor), backlog) // changes the backlog of a socket that listens already
		}
		if class != budget.Operators {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
		}
	})
}
