package transport

// This file owns a caller of keepers, which goes on to another where one does not answer.

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

// Client calls keepers, another one where one does not answer.
type Client struct {
	fleet string
	addrs []string
	http  *http.Client

	mu sync.Mutex
	at int
}

// NewClient makes a client of the keepers at these addresses.
func NewClient(fleet string, addrs []string) *Client {
	return &Client{fleet: fleet, addrs: addrs, at: rand.IntN(max(len(addrs), 1)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}}
}

// Close closes what it holds open.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) addr() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.addrs[c.at]
}

// next goes over to another keeper, unless somebody has meanwhile.
func (c *Client) next(from int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == from {
		c.at = (c.at + 1) % len(c.addrs)
	}
}

// SwitchCoordinator goes over to another keeper.
func (c *Client) SwitchCoordinator() {
	n, _ := c.addr()
	c.next(n)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	n, addr := c.addr()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set("X-Fleet", c.fleet)
	// One that was called off tells nothing against the keeper: at the end of a holder the watch is,
	// and its last word went to the next one, which may be down.
	pass := func() {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.next(n)
		}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		pass()
		return nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("keeper at %s: %s", addr, strings.TrimSpace(string(text)))
	}
	if err != nil {
		pass()
	}
	return text, resp.Header, err
}

// Do has a command carried out by one keeper. After an error it may have been, or may yet.
func (c *Client) Do(ctx context.Context, cmd statemachine.Command) (r statemachine.Result, err error) {
	text, err := statemachine.Encode(cmd)
	if err != nil {
		return r, err
	}
	if text, _, err = c.call(ctx, http.MethodPost, doPath, text); err != nil {
		return r, err
	}
	return r, statemachine.Decode(text, &r)
}

// Watch waits until one keeper's state is past a revision, or for so long, and tells what there
// is for a holder that has a version whole.
func (c *Client) Watch(ctx context.Context, past, knows uint64, wait time.Duration) (n statemachine.WatchUpdate, err error) {
	return c.WatchList(ctx, past, knows, 0, relay.Watermark{}, wait)
}

// WatchList is Watch for one that has its zone's relayed list up to a mark.
func (c *Client) WatchList(ctx context.Context, past, knows uint64, zone int, has relay.Watermark, wait time.Duration) (n statemachine.WatchUpdate, err error) {
	text, _, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s?past=%d&knows=%d&zone=%d&has=%d&wait_ms=%d", watchPath, past, knows, zone, has.Seq, wait.Milliseconds()), nil)
	if err != nil {
		return n, err
	}
	return n, statemachine.Decode(text, &n)
}

// State is the keepers' state as it is now, and who leads.
func (c *Client) State(ctx context.Context) (*statemachine.State, uint64, error) {
	text, head, err := c.call(ctx, http.MethodGet, statePath, nil)
	if err != nil {
		return nil, 0, err
	}
	s, err := statemachine.Restore(text)
	leader, _ := strconv.ParseUint(head.Get("X-Leader"), 10, 64)
	return s, leader, err
}

// Members tells who the keepers are.
func (c *Client) Members(ctx context.Context) (all []statemachine.Member, err error) {
	text, _, err := c.call(ctx, http.MethodGet, membsPath, nil)
	if err != nil {
		return nil, err
	}
	return all, statemachine.Decode(text, &all)
}

// ChangeMembers asks for one step of a change of members: learn, promote or remove.
func (c *Client) ChangeMembers(ctx context.Context, what string, id uint64, addr string) (r statemachine.Result, err error) {
	form := url.Values{"what": {what}, "id": {strconv.FormatUint(id, 10)}, "addr": {addr}}
	text, _, err := c.call(ctx, http.MethodPost, membsPath+"?"+form.Encode(), nil)
	if err != nil {
		return r, err
	}
	return r, statemachine.Decode(text, &r)
}

// Retry calls f until it succeeds or ctx ends, at another keeper each time.
func Retry(ctx context.Context, f func(ctx context.Context) error) error {
	for {
		one, stop := context.WithTimeout(ctx, 2*time.Second)
		err := f(one)
		stop()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}
