package frame

import (
	"net"
	"time"

	"github.com/juju/errors"
)

// Network opens connections and listens for them. The emulator has one of its own.
type Network interface {
	Dial(address string, within time.Duration) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the machine's own network.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(address string, within time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, within)
	return conn, errors.Trace(err)
}

// Listen listens for TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Trace(err)
}
