// Package crowds has tests of clients that don't behave: crowds of connections that send heads, bodies and chunks without an
// end, stop short of it, send nothing or read nothing. They start the system's own processes on loopback addresses. What
// is checked does not depend on the machine's speed: each process lives, its memory and descriptors stay under the limits
// in its settings, and an ordinary call is answered while the crowd stays connected. One runs at a time, apart from other
// tests.
package crowds

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"yardflow/internal/control/protocol"
)

// Sizes of crowds and of what each of their connections sends. With the limits of the settings they go over memoryMb or
// maxFds unless the process decides what it holds.
const (
	crowd             = 500
	decodingCrowd     = 100 // of requests that grow when they are decoded
	largeCrowd        = 40  // of requests of some megabytes each
	endlessBytes      = 2 << 20
	largeHeadBytes    = 512 << 10
	pieceBytes        = 16 << 10
	largeChunkBytes   = 64 << 10
	largeConfigBytes  = 8 << 20
	frameBytes        = 4 << 20 // sent of a message of announcedBytes
	announcedBytes    = 60 << 20
	smallObjectsBytes = 4 << 20
	pipelinedBytes    = 256 << 10 // of calls of some 60 bytes each
	manyLines         = 3800      // of 4 bytes each: a head of legal size
	configPadding     = 4000      // further queues of a large configuration: some 700 kB
	dialTimeout       = 10 * time.Second
	sendTimeout       = 10 * time.Second // after which a connection that can't send on stays open and silent
	piecePause        = 5 * time.Millisecond
)

// attack is what each connection of a crowd does.
type attack struct {
	name  string
	crowd int
	send  func(w io.Writer) error
}

// head returns a head with one field beside the host.
func head(method, path, field string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", method, path, queueHost, field)
}

// jobID is one ID for all: what the crowds send is no job until it is whole.
const jobPath = queuePrefix + "00000000000000aa"

// legalBody is a job of the largest size that is allowed.
var legalBody = func() string {
	const job = `{"Spec":"crowd","Steps":[{"Count":1,"Cpu":100,"EstimateMs":10}]}`
	return job + strings.Repeat(" ", maxBodyBytes-len(job))
}()

// emptySteps is a body of legal size that is no job: it has too many steps.
var emptySteps = func() string {
	const start, step, end = `{"Spec":"","Steps":[{}`, `,{}`, `]}`
	return start + strings.Repeat(step, (maxBodyBytes-len(start)-len(end))/len(step)) + end
}()

// smallObjects is a configuration of legal size that is none: its routes are small objects, which take far more memory than
// their text.
var smallObjects = func() string {
	const start, object, end = `{"Version":3,"Routes":[{"":0}`, `,{"":0}`, `]}`
	return start + strings.Repeat(object, smallObjectsBytes/len(object)) + end
}()

// send writes texts one after the other.
func send(texts ...string) func(w io.Writer) error {
	return func(w io.Writer) error {
		for _, text := range texts {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendRepeatedly writes a start and then a text again and again, up to a number of bytes.
func sendRepeatedly(start, text string, bytes int) func(w io.Writer) error {
	block := strings.Repeat(text, max(1, pieceBytes/len(text)))
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, start); err != nil {
			return err
		}
		for sent := 0; sent < bytes; sent += len(block) {
			if _, err := io.WriteString(w, block); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendInPieces writes a start and then a body piece by piece, all but its last byte.
func sendInPieces(start, body string, bytes int) func(w io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, start); err != nil {
			return err
		}
		for rest := body[:len(body)-1]; len(rest) > 0; rest = rest[min(bytes, len(rest)):] {
			if _, err := io.WriteString(w, rest[:min(bytes, len(rest))]); err != nil {
				return err
			}
			time.Sleep(piecePause)
		}
		return nil
	}
}

// chunked encodes a body in chunks, without the last chunk.
func chunked(body string, bytes int) string {
	text := &strings.Builder{}
	for ; len(body) > 0; body = body[min(bytes, len(body)):] {
		chunk := body[:min(bytes, len(body))]
		fmt.Fprintf(text, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return text.String()
}

// frameHead asks for the connection of another process.
const frameHead = "POST %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: yardflow-frames\r\nContent-Length: 0\r\n\r\n"

// announcedFrame is the start of a message that is longer than what follows.
func announcedFrame() string { return string(binary.BigEndian.AppendUint32(nil, announcedBytes)) }

var (
	lengthField  = fmt.Sprintf("Content-Length: %d", maxBodyBytes)
	chunkedField = "Transfer-Encoding: chunked"
	endlessHead  = "GET " + queuePrefix + " HTTP/1.1\r\nHost: " + queueHost + "\r\n"
)

// clientAttacks are what clients of a dispatcher may do.
var clientAttacks = []attack{
	{"heads-over-the-limit", crowd, sendRepeatedly(endlessHead, "X-Long: "+strings.Repeat("x", 100)+"\r\n", largeHeadBytes)},
	{"heads-without-end", crowd, sendRepeatedly(endlessHead+"X-Long: ", "x", endlessBytes)},
	{"heads-of-many-lines", crowd, send(endlessHead, strings.Repeat("a:\r\n", manyLines))},
	{"empty-lines-without-end", crowd, sendRepeatedly("", "\r\n", endlessBytes)},
	{"bodies-whole", crowd, send(head("POST", jobPath, lengthField), legalBody)},
	{"bodies-that-stop-short", crowd, send(head("POST", jobPath, lengthField), legalBody[1:])},
	{"bodies-in-pieces-that-stop-short", crowd, sendInPieces(head("POST", jobPath, lengthField), legalBody, pieceBytes)},
	{"large-chunks-whole", crowd, send(head("POST", jobPath, chunkedField), chunked(legalBody, largeChunkBytes), "0\r\n\r\n")},
	{"large-chunks-that-stop-short", crowd, send(head("POST", jobPath, chunkedField), chunked(legalBody, largeChunkBytes))},
	{"small-chunks-that-stop-short", crowd, send(head("POST", jobPath, chunkedField), chunked(legalBody, 1))},
	{"chunk-extensions-without-end", crowd, sendRepeatedly(head("POST", jobPath, chunkedField)+"1;", "x", endlessBytes)},
	{"trailers-without-end", crowd, sendRepeatedly(head("POST", jobPath, chunkedField)+"0\r\n", "X-Long: x\r\n", endlessBytes)},
	{"bodies-of-many-empty-steps", decodingCrowd, send(head("POST", jobPath, lengthField), emptySteps, strings.Repeat(" ", maxBodyBytes-len(emptySteps)))},
	{"silent-connections", crowd, send()},
	{"answers-not-read", crowd, sendRepeatedly("", head("GET", queuePrefix+"x", "X: x"), pipelinedBytes)},
}

// readinessAttacks are what callers of a dispatcher's readiness address may do.
var readinessAttacks = []attack{
	{"heads-without-end", crowd, sendRepeatedly("GET /-/readiness HTTP/1.1\r\nHost: x\r\nX-Long: ", "x", endlessBytes)},
	{"silent-connections", crowd, send()},
	{"bodies-that-stop-short", crowd, send(head("POST", "/-/readiness", lengthField), legalBody[1:])},
}

// controlAttacks are what callers of a control process may do.
var controlAttacks = []attack{
	{"heads-without-end", crowd, sendRepeatedly("GET /-/status HTTP/1.1\r\nHost: x\r\nX-Long: ", "x", endlessBytes)},
	{"bodies-that-stop-short", crowd, send(head("PUT", "/-/config", "If-Match: 1\r\n"+lengthField), legalBody[1:])},
	{"large-bodies-that-stop-short", largeCrowd, send(head("PUT", "/-/config", fmt.Sprintf("If-Match: 1\r\nContent-Length: %d", largeConfigBytes)),
		strings.Repeat(" ", largeConfigBytes-1))},
	{"small-chunks-that-stop-short", crowd, send(head("PUT", "/-/config", "If-Match: 1\r\n"+chunkedField), chunked(legalBody, 1))},
	{"silent-connections", crowd, send()},
	{"messages-of-dispatchers-that-stop-short", largeCrowd, send(fmt.Sprintf(frameHead, protocol.DispatcherPath), announcedFrame(), strings.Repeat(" ", frameBytes))},
	{"messages-of-peers-that-stop-short", largeCrowd, send(fmt.Sprintf(frameHead, protocol.PeerPath), announcedFrame(), strings.Repeat(" ", frameBytes))},
	{"configurations-of-many-small-objects", largeCrowd, send(head("PUT", "/-/config", fmt.Sprintf("If-Match: 1\r\nContent-Length: %d", len(smallObjects))),
		smallObjects)},
	{"configurations-not-read", decodingCrowd, sendRepeatedly("", head("GET", "/-/config", "X: x"), pieceBytes)},
}

func TestCrowdOfClients(t *testing.T) {
	for _, a := range clientAttacks {
		t.Run(a.name, func(t *testing.T) {
			c := startCluster(t)
			c.withstand(a, c.dispatcher.address)
		})
	}
}

func TestCrowdAtReadinessAddress(t *testing.T) {
	for _, a := range readinessAttacks {
		t.Run(a.name, func(t *testing.T) {
			c := startCluster(t)
			c.withstand(a, c.dispatcher.ready)
		})
	}
}

func TestCrowdAtControlAddress(t *testing.T) {
	for _, a := range controlAttacks {
		t.Run(a.name, func(t *testing.T) {
			c := startCluster(t)
			if a.name == "configurations-not-read" {
				c.configure(2, configPadding)
			}
			c.withstand(a, c.controls[0].address)
		})
	}
}

// TestLargestRequestInCalm checks that a request of the largest legal size is served while nobody else calls.
func TestLargestRequestInCalm(t *testing.T) {
	c := startCluster(t)
	c.await("a job of the largest size", func() bool {
		return c.call("POST", c.dispatcher.address, jobPath, legalBody, "", "") == 200
	})
	largest := fmt.Sprintf("X-Long: %s", strings.Repeat("x", maxHeadBytes-1024))
	conn, err := net.DialTimeout("tcp", c.dispatcher.address, dialTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, head("GET", jobPath, largest)); err != nil {
		t.Fatal(err)
	}
	const served = "HTTP/1.1 200"
	answer := make([]byte, len(served))
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != served {
		t.Errorf("a head of the largest size is answered %q, %v", answer, err)
	}
	c.configure(2, configPadding)
}

// withstand has a crowd connect to an address and stay, and checks the processes meanwhile.
func (c *cluster) withstand(a attack, address string) {
	c.t.Helper()
	processes := append([]*process{c.dispatcher}, c.controls...)
	watched := startMonitor(processes)
	conns := c.connectAll(a, address)
	c.checkOrdinaryCalls()
	peaks := watched.finish()
	for _, conn := range conns {
		conn.Close()
	}
	for _, p := range processes {
		peak := peaks[p]
		c.t.Logf("%s: %d MB, %d descriptors at most", p.name, peak.memoryMb, peak.descriptors)
		if !p.alive() {
			c.t.Errorf("%s has ended", p.name)
		}
		if peak.memoryMb > memoryMb {
			c.t.Errorf("%s has used %d MB, its settings allow %d", p.name, peak.memoryMb, memoryMb)
		}
		if peak.descriptors > maxFds-reservedFds {
			c.t.Errorf("%s has held %d descriptors, its settings allow %d", p.name, peak.descriptors, maxFds-reservedFds)
		}
	}
}

// connectAll opens the crowd's connections at once and returns them when each has sent what it has to send, was closed by
// the process or can't send on.
func (c *cluster) connectAll(a attack, address string) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var sending sync.WaitGroup
	for range a.crowd {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // refused, which is allowed
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = a.send(conn) // fails once the process has closed the connection, which is allowed
		})
	}
	sending.Wait()
	return conns
}
