package httpfront

// This file follows the framing of requests on a client's connection.

import (
	"bytes"
	"strconv"
)

// requestFraming follows the requests on a connection just far enough to know where
// each begins and ends, and to see what net/http takes away before a handler
// runs: it drops a Content-Length beside a Transfer-Encoding, joins folded
// lines, and forgives a doubled length. A front before us that reads such a
// request otherwise than we do would let one request hide in another's body.
type requestFraming struct {
	fault     string // once found, it holds for the connection
	inRequest bool   // inside a request

	line             []byte // the start of the present line of the head
	inHeaders        bool   // the request line is over
	transferEncoding bool
	lengthHeaders    int   // how many were given
	length           int64 // the last of them
	bodyLeft         int64 // bytes of the body to come
	opaque           bool  // the rest is in chunks: nothing after it is served
}

const maxLinePrefix = 96 // no header that counts here needs more

// read takes in bytes and tells how many requests came to their end in them.
func (f *requestFraming) read(p []byte) (ended int) {
	for len(p) > 0 && !f.opaque {
		f.inRequest = true
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, int64(len(p)))
			p, f.bodyLeft = p[n:], f.bodyLeft-n
			if f.bodyLeft == 0 {
				f.inRequest = false
				ended++
			}
			continue
		}
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), maxLinePrefix-len(f.line))]...)
		p = rest
		if !whole {
			break
		}
		line := bytes.TrimSuffix(f.line, []byte("\r"))
		f.line = f.line[:0]
		switch {
		case !f.inHeaders:
			f.inHeaders = true
		case len(line) > 0:
			f.header(line)
		default: // the head is over
			if f.transferEncoding && f.lengthHeaders > 0 {
				f.fault = "Content-Length beside Transfer-Encoding"
			}
			f.opaque = f.transferEncoding
			if !f.opaque {
				f.bodyLeft = f.length
			}
			if !f.opaque && f.bodyLeft == 0 {
				f.inRequest = false
				ended++
			}
			f.inHeaders, f.transferEncoding, f.lengthHeaders, f.length = false, false, 0, 0
		}
	}
	return ended
}

func (f *requestFraming) header(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.fault = "a folded header"
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.lengthHeaders++; f.lengthHeaders > 1 {
			f.fault = "Content-Length twice"
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil {
			f.fault = "Content-Length: not a length"
		}
		f.length = int64(n)
	}
}
