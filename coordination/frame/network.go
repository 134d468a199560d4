package frame

import (
	"net"
	"time"

	"github.com/juju/errors"
)

// Network opens connections and listens for them. The emulator has its own implementation.
type Network interface {
	Dial(address string, timeout time.Duration) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the TCP network of the machine.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	return conn, errors.Trace(err)
}

// Listen listens for TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Trace(err)
}
