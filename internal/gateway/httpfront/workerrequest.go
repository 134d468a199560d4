package httpfront

// This file writes a request in the form in which workers get it.

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"yardflow/internal/gateway/broker"
)

// minTimeoutSeconds is the least that X-Timeout says, so that a request whose time is nearly over never says 0.
const minTimeoutSeconds = 0.001

// forwardedHeaders are the client's headers that go on unchanged; the transport adds the framing.
var forwardedHeaders = []string{"Content-Type", "Cookie", "Idempotency-Key", "X-Priority-Class", "X-Tenant-Id", "X-Attrs"}

// singleUseBody is a body that net/http's transport can't read twice. The transport resends a request on its own where it
// has no body or can read that again, above all one with an Idempotency-Key, and each resend would be an attempt that the
// module has not decided on. A body of a type that the transport doesn't know, empty or not, is never resent.
type singleUseBody struct {
	unread []byte
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close does nothing: the bytes are in memory.
func (b *singleUseBody) Close() error { return nil }

// setTimeoutHeader says in a request how long the dispatcher waits for the response from now on, in seconds.
func setTimeoutHeader(h http.Header, ctx context.Context) {
	if at, ok := ctx.Deadline(); ok {
		h.Set("X-Timeout", strconv.FormatFloat(max(time.Until(at).Seconds(), minTimeoutSeconds), 'f', 3, 64))
	}
}

// toWorker makes the HTTP request of one attempt.
func (job *JobRequest) toWorker(ctx context.Context, a *broker.Attempt, accept string) *http.Request {
	h := make(http.Header, 10)
	for _, name := range forwardedHeaders {
		if v, ok := job.header[name]; ok {
			h[name] = v
		}
	}
	h.Set("X-Request-Id", job.ID)
	h["User-Agent"] = nil
	if accept != "" {
		h.Set("Accept", accept)
	}
	req := &http.Request{Method: job.method, URL: &url.URL{Scheme: "http", Host: a.Addr, Opaque: job.uri},
		Host: job.host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &singleUseBody{job.body}, ContentLength: int64(len(job.body))}
	if len(job.body) == 0 {
		// net/http sends an empty body of a type that it doesn't know in chunks, and resends one that it knows to be
		// empty. So there is no transfer encoding, and the length comes in a spelling that net/http passes on.
		req.TransferEncoding = []string{"identity"}
		h["content-length"] = []string{"0"}
	}
	return req.WithContext(ctx)
}
