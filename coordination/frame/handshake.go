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

// What Upgrade fails with before it has taken a connection over.
const (
	ErrUpgradeNotRequested = errors.ConstError("no upgrade to " + protocol + " was asked for")
	ErrUpgradeUnsupported  = errors.ConstError("the HTTP server can't give its connection up")
)

// UpgradeRefusedError says that an HTTP server answered, and did not upgrade: it is not of this program, or the path
// is another one.
type UpgradeRefusedError struct {
	Address string
	Status  string // of the HTTP answer, with its number
}

// Error names the address and the answer.
func (e *UpgradeRefusedError) Error() string {
	return fmt.Sprintf("%s answers %s", e.Address, e.Status)
}

// Dial opens a connection to the path at the address. It fails with an UpgradeRefusedError where another program
// answers, and with the network's errors. Connecting and the exchange of headers may each take within.
func Dial(network Network, address, path string, within time.Duration) (*Conn, error) {
	raw, err := network.Dial(address, within)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reader := bufio.NewReader(raw)
	if err := requestUpgrade(raw, reader, address, path, within); err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	return newConn(raw, reader), nil
}

// requestUpgrade sends the request for an upgrade and reads the answer.
func requestUpgrade(raw net.Conn, reader *bufio.Reader, address, path string, within time.Duration) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	raw.SetDeadline(time.Now().Add(within))
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

// Upgrade takes a connection over from an HTTP server. Where it fails before that, it has answered the request, and
// returns ErrUpgradeNotRequested or ErrUpgradeUnsupported.
func Upgrade(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "upgrade to "+protocol+" expected", http.StatusUpgradeRequired)
		return nil, errors.Trace(ErrUpgradeNotRequested)
	}
	hijacker, able := w.(http.Hijacker)
	if !able {
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
