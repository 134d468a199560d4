package httpfront

// This file reads ahead on the connections of clients that send several requests at once.

import (
	"io"
	"sync"
)

// aheadMost bounds what is kept of a client's further requests. A client that sends more is
// served what is kept and then told the end of the connection.
const aheadMost = 16 << 10

// readAhead holds what came on a connection while a request was out. A goroutine fills it until
// the client closes the connection or a read deadline passes; the server's reads empty it. A
// deadline is the server's own, for one read: that read then goes to the socket itself, and ends
// by the deadline there if that still stands.
type readAhead struct {
	mu      sync.Mutex
	changed sync.Cond
	kept    []byte
	err     error // what the reads end with once kept is empty
	reading bool  // the goroutine is at work
}

// startReadAhead begins to read ahead on c.
func startReadAhead(c *conn) *readAhead {
	a := &readAhead{reading: true}
	a.changed.L = &a.mu
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, _, err := c.receive(buffer)
			a.add(buffer[:n], err)
			if err != nil {
				if !isTimeout(err) {
					c.gone()
				}
				return
			}
		}
	}()
	return a
}

func (a *readAhead) add(bytes []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.err != nil: // the server sees the end already
	case len(a.kept)+len(bytes) > aheadMost:
		a.err = io.EOF
	default:
		a.kept = append(a.kept, bytes...)
		if !isTimeout(err) {
			a.err = err
		}
	}
	a.reading = err == nil
	a.changed.Broadcast()
}

// next gives what was read ahead, waiting for more while the goroutine is at work; ok is false
// where the caller has to read by itself.
func (a *readAhead) next(p []byte) (n int, err error, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.kept) == 0 && a.err == nil && a.reading {
		a.changed.Wait()
	}
	if len(a.kept) > 0 {
		n = copy(p, a.kept)
		a.kept = a.kept[n:]
		return n, nil, true
	}
	return 0, a.err, a.err != nil
}
