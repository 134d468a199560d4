package scenario

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yardflow/internal/testing/emulator"
	"yardflow/scheduling/job"
)

// Bounds of clients.
const (
	connectWithin  = 2 * time.Second
	clientPatience = 3 * time.Second  // told with each call
	answerWithin   = 12 * time.Second // of a frozen process, say; a sound one answers within clientPatience
	jobPause       = 300 * time.Millisecond
	askPause       = 250 * time.Millisecond

	cancelOneIn = 6                      // jobs for each one that is cancelled
	lastTry     = 300 * time.Millisecond // what is left of the deadline of a client that cancels its job then
	cancelTries = 60
	copies      = 3 // calls for the same job that arrive behind the cancelling
)

// connection is a client's connection to one dispatcher. It is used until the process closes it.
type connection struct {
	front  *process
	conn   net.Conn
	reader *bufio.Reader
}

// client hands in jobs, one after the other, and follows each to its end, over one connection at a time.
func (s *soak) client(random *rand.Rand) {
	c := &caller{soak: s, random: random}
	defer c.hangUp()
	for !s.ending() {
		if random.IntN(cancelOneIn) == 0 {
			c.cancelJob()
		} else {
			c.runJob()
		}
		time.Sleep(time.Duration(random.Int64N(int64(jobPause))))
	}
}

func (s *soak) ending() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// caller is one client with its connection, nil where it has none.
type caller struct {
	soak   *soak
	random *rand.Rand
	link   *connection
}

func (c *caller) hangUp() {
	if c.link != nil {
		c.link.conn.Close()
		c.link = nil
	}
}

// connect opens a connection to a dispatcher that is ready, as the platform would; while none is, to any.
func (c *caller) connect() error {
	fronts := c.soak.fronts
	front := fronts[c.random.IntN(len(fronts))]
	for range 2 * len(fronts) {
		if !front.stops() {
			break
		}
		front = fronts[c.random.IntN(len(fronts))]
	}
	return c.connectTo(front)
}

// connectTo opens a connection to a dispatcher.
func (c *caller) connectTo(front *process) error {
	conn, err := net.DialTimeout("tcp", c.soak.block.address(front.name), connectWithin)
	if err != nil {
		return errors.Trace(err)
	}
	c.link = &connection{front: front, conn: conn, reader: bufio.NewReader(conn)}
	return nil
}

// call makes one call and returns the answer's status, 0 where there was none.
func (c *caller) call(method, id, body string) (status int, text string) {
	return c.callWithin(clientPatience, method, id, body)
}

// callWithin does the same as call for a client that tells how long it waits.
func (c *caller) callWithin(patience time.Duration, method, id, body string) (status int, text string) {
	if c.link == nil && c.connect() != nil {
		time.Sleep(askPause)
		return 0, ""
	}
	link := c.link
	c.soak.calls.Add(1)
	message := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nYardflow-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s", method,
		emulator.RoutePrefix, id, emulator.RouteHost, patience.Milliseconds(), len(body), body)
	link.conn.SetDeadline(time.Now().Add(answerWithin))
	_, err := io.WriteString(link.conn, message)
	sent := time.Now()
	if err == nil {
		status, text, err = link.answer(method)
	}
	if err != nil {
		c.judgeCut(link, method, id, sent, err)
		c.hangUp()
		return 0, ""
	}
	return status, text
}

// answer reads one answer whole. The connection stays in use whatever the answer says of its end: the next call shows
// whether the process has closed it.
func (l *connection) answer(method string) (status int, text string, err error) {
	request, _ := http.NewRequest(method, "/", nil)
	response, err := http.ReadResponse(l.reader, request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// judgeCut judges a call without a whole answer. Around a stop in order or changed settings none may be cut off, but
// for those that were sent just before the connection ended: the process may not have read them.
func (c *caller) judgeCut(link *connection, method, id string, sent time.Time, err error) {
	now := time.Now()
	waited := now.Sub(sent)
	if waited < c.soak.config.LossSlack || link.front.excused(now) || link.front.excused(sent) {
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.soak.breaks("HELD", "%s %s at %s has no answer after %v", method, id, link.front.name, waited)
		return
	}
	cause := "ended"
	if errors.Is(err, syscall.ECONNRESET) {
		cause = "reset"
	}
	c.soak.breaks("LOST", "%s %s at %s: connection %s %v after the call was sent", method, id, link.front.name, cause, waited)
}

// runJob hands one job in and follows it to its end.
func (c *caller) runJob() { c.followJob(c.soak.cluster.RandomJob(c.random)) }

// followJob hands a job in and follows it to its end.
func (c *caller) followJob(request job.Request, body string) {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	c.soak.cluster.Checker.Submitted(id, request)
	if !c.handIn(id, body) {
		return
	}
	c.soak.cluster.Checker.Accepted(id)
	deadline := time.Now().Add(c.soak.config.Span + drainWithin)
	for time.Now().Before(deadline) {
		status, text := c.call(http.MethodGet, id, "")
		switch status {
		case http.StatusOK:
			state := strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`)
			c.soak.cluster.Checker.StateShown(id, state)
			if state != "queued" && state != "running" {
				return
			}
		case http.StatusGone:
			c.soak.cluster.Checker.Gone(id)
		}
		time.Sleep(askPause)
	}
}

// cancelJob hands a job in with the last part of its deadline, and cancels it at another dispatcher, whatever it was answered.
// More calls for the same job arrive behind that.
func (c *caller) cancelJob() {
	checker, id := c.soak.cluster.Checker, fmt.Sprintf("%016x", c.random.Uint64())
	request, body := c.soak.cluster.RandomJob(c.random)
	checker.Submitted(id, request)
	if status, _ := c.callWithin(lastTry, http.MethodPost, id, body); status == http.StatusOK {
		checker.Accepted(id)
	}
	checker.CancelSent(id)
	for try := 0; ; try++ {
		c.hangUp() // the next connection is to another dispatcher, as a rule
		status, _ := c.call(http.MethodDelete, id, "")
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
		if try == cancelTries {
			return
		}
		time.Sleep(askPause)
	}
	checker.CancelAcknowledged(id)
	for range copies {
		time.Sleep(time.Duration(c.random.Int64N(int64(time.Second))))
		c.call([]string{http.MethodPost, http.MethodGet, http.MethodDelete}[c.random.IntN(3)], id, body)
	}
}

// handIn sends a job until it is accepted. One that has no clear answer is sent again, as long as the soak goes on.
func (c *caller) handIn(id, body string) bool {
	unclear := false
	for !c.soak.ending() || unclear {
		switch status, _ := c.call(http.MethodPost, id, body); status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			unclear = true
		default:
			c.soak.breaks("REFUSED", "a sound job %s is answered with %d", id, status)
			return false
		}
		time.Sleep(askPause)
	}
	return false
}
