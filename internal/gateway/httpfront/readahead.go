package httpfront

// This file reads ahead on the connections of clients that send several requests at once (pipelining).

import (
	"io"
	"sync"
)

const (
	// maxReadAheadBytes bounds what is kept of a client's further requests. A client that sends more is served what is
	// kept and then sees the end of the connection.
	maxReadAheadBytes = 16 << 10
	// readAheadChunkBytes is how much is read from the socket at once.
	readAheadChunkBytes = 2048
)

// readAheadBuffer holds what came on a connection while a request was under way. A goroutine fills it until the client
// closes the connection or a read deadline passes; the server's reads empty it. A deadline is the server's own, for one
// read: that read then goes to the socket itself, and ends by the deadline there if it still stands.
type readAheadBuffer struct {
	mu       sync.Mutex
	cond     sync.Cond // of all that follows
	buffered []byte
	err      error // what reads end with once buffered is empty
	reading  bool  // the goroutine is at work
}

// startReadAhead begins to read ahead on c. The goroutine ends with the first error of a read.
func startReadAhead(c *clientConn) *readAheadBuffer {
	a := &readAheadBuffer{reading: true}
	a.cond.L = &a.mu
	go func() {
		chunk := make([]byte, readAheadChunkBytes)
		for {
			n, _, err := c.receive(chunk)
			a.add(chunk[:n], err)
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

// next returns what was read ahead, and waits for more while the goroutine is at work; ok is false where the caller has to
// read from the socket itself.
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
