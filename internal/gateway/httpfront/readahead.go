package httpfront

// This file reads ahead on the connections of clients that send several requests at once.

import (
	"io"
	"sync"
)

// maxReadAheadBytes bounds what is kept of a client's further requests. A client that sends more is
// served what is kept and then told the end of the connection.
const maxReadAheadBytes = 16 << 10

// readAheadBuffer holds what came on a connection while a request was out. A goroutine fills it until
// the client closes the connection or a read deadline passes; the server's reads empty it. A
// deadline is the server's own, for one read: that read then goes to the socket itself, and ends
// by the deadline there if that still stands.
type readAheadBuffer struct {
	mu       sync.Mutex
	cond     sync.Cond
	buffered []byte
	err      error // what the reads end with once kept is empty
	reading  bool  // the goroutine is at work
}

// startReadAhead begins to read ahead on c.
func startReadAhead(c *clientConn) *readAheadBuffer {
	a := &readAheadBuffer{reading: true}
	a.cond.L = &a.mu
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, _, err := c.receive(buffer)
			a.add(buffer[:n], err)
			if err != nil {
				if !isTimeout(err) {
					c.clientLeft()
				}
				return
			}
		}
	}()
	return a
}

func (a *readAheadBuffer) add(bytes []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.err != nil: // the server sees the end already
	case len(a.buffered)+len(bytes) > maxReadAheadBytes:
		a.err = io.EOF
	default:
		a.buffered = append(a.buffered, bytes...)
		if !isTimeout(err) {
			a.err = err
		}
	}
	a.reading = err == nil
	a.cond.Broadcast()
}

// next gives what was read ahead, waiting for more while the goroutine is at work; ok is false
// where the caller has to read by itself.
func (a *readAheadBuffer) next(p []byte) (n int, err error, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffered) == 0 && a.err == nil && a.reading {
		a.cond.Wait()
	}
	if len(a.buffered) > 0 {
		n = copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		return n, nil, true
	}
	return 0, a.err, a.err != nil
}
