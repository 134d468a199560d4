package frame

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// protocol is the value of the Upgrade header.
const protocol = "yardflow-frames"

// Errors that Upgrade returns before it has taken over the connection.
const (
	ErrUpgradeNotRequested = errors.ConstError("the upgrade to " + protocol + " was not requested")
	ErrUpgradeUnsupported  = errors.ConstError("the HTTP server does not support taking over connections")
)

// UpgradeRefusedError reports that an HTTP server answered without an upgrade: it is another program, or the path is wrong.
type UpgradeRefusedError struct {
	Address string
	Status  string // of the HTTP response, with the code
}

// Error includes the address and the status.
func (e *UpgradeRefusedError) Error() string {
	return fmt.Sprintf("%s refused the upgrade: %s", e.Address, e.Status)
}

// Dial opens a connection to the path at the address. It fails with an UpgradeRefusedError if the server does not upgrade,
// and with the errors of the network. The timeout applies to connecting and to the exchange of
// headers separately.
func Dial(network Network, address, path string, timeout time.Duration) (*Conn, error) {
	raw, err := network.Dial(address, timeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reader := bufio.NewReader(raw)
	if err := requestUpgrade(raw, reader, address, path, timeout); err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	return newConn(raw, reader), nil
}

// requestUpgrade sends an upgrade request and reads the response.
func requestUpgrade(raw net.Conn, reader *bufio.Reader, address, path string, timeout time.Duration) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	raw.SetDeadline(time.Now().Add(timeout))
	if err := request.Write(raw); err != nil {
		return errors.Trace(err)
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return errors.Trace(&UpgradeRefusedError{address, response.Status})
	}
	raw.SetDeadline(time.Time{})
	return nil
}

// Upgrade takes over the connection of a request from an HTTP server. If the request or the server does not allow that, it
// answers the request with an error and returns ErrUpgradeNotRequested or ErrUpgradeUnsupported.
func Upgrade(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "upgrade to "+protocol+" expected", http.StatusUpgradeRequired)
		return nil, errors.Trace(ErrUpgradeNotRequested)
	}
	hijacker, supported := w.(http.Hijacker)
	if !supported {
		http.Error(w, "no upgrade here", http.StatusInternalServerError)
		return nil, errors.Trace(ErrUpgradeUnsupported)
	}
	raw, buffered, err := hijacker.Hijack()
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw.SetDeadline(time.Now().Add(writeTimeout))
	_, err = io.WriteString(raw, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	raw.SetDeadline(time.Time{})
	return newConn(raw, buffered.Reader), nil
}
