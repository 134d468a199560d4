package httpfront

// This file checks the framing of requests on a client's connection, against request smuggling.

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// maxLinePrefix is how much of a header line is kept; no header that counts here needs more.
const maxLinePrefix = 96

// singleValueHeaders are the headers that say what a request is. Given twice, one value would count here and the other
// with whoever reads the request after us.
var singleValueHeaders = []string{"X-Team", "X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"}

// requestFraming follows the requests on a connection just far enough to know where each begins and ends, and to see
// what net/http takes away before a handler runs: it drops a Content-Length beside a Transfer-Encoding, joins folded
// lines, and accepts a Content-Length that is given twice. A proxy before us that reads such a request in another way
// would let one request hide in the body of another (RFC 9112, section 11.2).
type requestFraming struct {
	fault     string // the latest; once there is one the connection is not read on
	inRequest bool   // a request has begun and not ended

	line             []byte // the first maxLinePrefix bytes of the present line of the head
	inHeaders        bool   // the request line has ended
	transferEncoding bool   // a Transfer-Encoding was given
	lengthHeaders    int    // how many Content-Lengths were given
	length           int64  // the last of them
	bodyLeft         int64  // bytes of the body to come
	opaque           bool   // the body is in chunks: where it ends is not known, and nothing behind it is served
}

// read takes in bytes and returns how many requests ended in them.
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
		part, rest, complete := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), maxLinePrefix-len(f.line))]...)
		p = rest
		if !complete {
			break
		}
		line := bytes.TrimSuffix(f.line, []byte("\r"))
		f.line = f.line[:0]
		switch {
		case !f.inHeaders:
			f.inHeaders = true
		case len(line) > 0:
			f.readHeader(line)
		default:
			if f.endHead() {
				ended++
			}
		}
	}
	return ended
}

// endHead ends the head of a request; true where the request has no body and ends with it.
func (f *requestFraming) endHead() (requestEnded bool) {
	if f.transferEncoding && f.lengthHeaders > 0 {
		f.fault = "Content-Length beside Transfer-Encoding"
	}
	f.opaque = f.transferEncoding
	if !f.opaque {
		f.bodyLeft = f.length
		if f.bodyLeft == 0 {
			f.inRequest, requestEnded = false, true
		}
	}
	f.inHeaders, f.transferEncoding, f.lengthHeaders, f.length = false, false, 0, 0
	return requestEnded
}

func (f *requestFraming) readHeader(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.fault = "a folded header"
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengthHeaders++
		if f.lengthHeaders > 1 {
			f.fault = "Content-Length twice"
		}
		length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil {
			f.fault = "Content-Length: not a length"
		}
		f.length = int64(length)
	}
}

// checkFraming checks what makes a message safe to read on, whatever it is for, and sets the time to read it.
func checkFraming(w http.ResponseWriter, r *http.Request) *Rejection {
	// net/http reads on in a rejected body before it sends the rejection, and has no bound of its own for that. So the
	// time runs on every path.
	control, until, fault := http.NewResponseController(w), time.Now().Add(bodyReadTimeout), ""
	_ = control.SetWriteDeadline(time.Time{}) // of the last answer on this connection
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		fault, until = c.framingFault()
	}
	_ = control.SetReadDeadline(until)
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 && fault == "" {
			return badRequest(name + ": comes twice")
		}
	}
	// What stands behind a message with a fault can't be told from its body, and behind one in chunks nothing is taken
	// for another request.
	if fault != "" || r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		w.Header().Set("Connection", "close")
	}
	switch {
	case fault != "":
		return badRequest(fault)
	case r.ContentLength > maxBodyBytes:
		return bodyTooLarge
	}
	return nil
}
