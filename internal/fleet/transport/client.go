package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
)

// maxIdleConns are the connections kept open to a coordinator: one for a watch, one for all else.
const maxIdleConns = 2

// Retry calls at these intervals.
const (
	attemptTimeout = 2 * time.Second
	retryInterval  = 100 * time.Millisecond
)

// Client calls the coordinators of a fleet, one at a time: it stays with one while it answers, and goes on to the next
// in its list after an error. It starts at a random one, so that callers spread. It is safe for concurrent use.
type Client struct {
	fleet string
	addrs []string // host:port
	http  *http.Client

	mu      sync.Mutex
	current int // in addrs
}

// NewClient returns a client of the coordinators at addrs, host:port. The caller has to call Close.
func NewClient(fleet string, addrs []string) *Client {
	return &Client{fleet: fleet, addrs: addrs, current: rand.IntN(max(len(addrs), 1)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) currentAddr() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.addrs[c.current]
}

// switchFrom goes on to the next coordinator, unless another call has done so since from was the current one.
func (c *Client) switchFrom(from int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == from {
		c.current = (c.current + 1) % len(c.addrs)
	}
}

// SwitchCoordinator goes on to the next coordinator.
func (c *Client) SwitchCoordinator() {
	current, _ := c.currentAddr()
	c.switchFrom(current)
}

// call makes one call to the current coordinator, and goes on to the next one where it fails. A call that the caller
// has cancelled says nothing about the coordinator: a session that ends cancels its watch, and its lease release must
// not go to another coordinator for that, which may be down.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	current, addr := c.currentAddr()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(headerFleet, c.fleet)
	answer, header, err := c.do(request)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.switchFrom(current)
	}
	return answer, header, err
}

// do sends a request and reads the answer. A status other than 200 is an error with the answer's text.
func (c *Client) do(request *http.Request) ([]byte, http.Header, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("coordinator at %s: %s", request.URL.Host, strings.TrimSpace(string(answer)))
	}
	return answer, response.Header, err
}

// Do has a command applied. After an error it may have been applied, or may yet be.
func (c *Client) Do(ctx context.Context, command statemachine.Command) (result statemachine.Result, err error) {
	body, err := statemachine.Encode(command)
	if err != nil {
		return result, err
	}
	answer, _, err := c.call(ctx, http.MethodPost, commandPath, body)
	if err != nil {
		return result, err
	}
	return result, statemachine.Decode(answer, &result)
}

// Watch waits until a coordinator's state is past a revision, but not longer than wait, and returns what there is for
// a holder that has applied the policy version known. The state may lag behind what is committed.
func (c *Client) Watch(ctx context.Context, past, known uint64, wait time.Duration) (statemachine.WatchUpdate, error) {
	return c.WatchList(ctx, past, known, 0, relay.Watermark{}, wait)
}

// WatchList is Watch for a holder that has its zone's relayed list up to a mark.
func (c *Client) WatchList(ctx context.Context, past, known uint64, zone int, list relay.Watermark, wait time.Duration) (update statemachine.WatchUpdate, err error) {
	path := fmt.Sprintf("%s?past=%d&knows=%d&zone=%d&has=%d&wait_ms=%d", watchPath, past, known, zone, list.Seq, wait.Milliseconds())
	answer, _, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return update, err
	}
	return update, statemachine.Decode(answer, &update)
}

// State returns the whole state, no older than what was acknowledged before the call, and the leader's number.
func (c *Client) State(ctx context.Context) (*statemachine.State, uint64, error) {
	answer, header, err := c.call(ctx, http.MethodGet, statePath, nil)
	if err != nil {
		return nil, 0, err
	}
	state, err := statemachine.Restore(answer)
	leader, _ := strconv.ParseUint(header.Get(headerLeader), 10, 64) // none: 0
	return state, leader, err
}

// Members returns the coordinators, as the leader sees them. Another answers with an error.
func (c *Client) Members(ctx context.Context) (members []statemachine.Member, err error) {
	answer, _, err := c.call(ctx, http.MethodGet, membersPath, nil)
	if err != nil {
		return nil, err
	}
	return members, statemachine.Decode(answer, &members)
}

// ChangeMembers asks for one step of a change of members: step is "learn" (add a learner at addr), "promote" or
// "remove". Result.Err says why it was rejected.
func (c *Client) ChangeMembers(ctx context.Context, step string, id uint64, addr string) (result statemachine.Result, err error) {
	form := url.Values{"what": {step}, "id": {strconv.FormatUint(id, 10)}, "addr": {addr}}
	answer, _, err := c.call(ctx, http.MethodPost, membersPath+"?"+form.Encode(), nil)
	if err != nil {
		return result, err
	}
	return result, statemachine.Decode(answer, &result)
}

// Retry calls f until it succeeds or ctx ends, and returns f's last error then. A Client goes on to another coordinator
// at each attempt.
func Retry(ctx context.Context, f func(ctx context.Context) error) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := f(attempt)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}
