// Package instancelist reads the platform's list of instances over HTTP, page by page. It makes no decisions: package
// internal/control/instances evaluates the readings.
package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/instances"
)

// Limits of a reading.
const (
	pageTimeout  = 900 * time.Millisecond
	maxPageBytes = 16 << 20
	maxPages     = 1000
)

// slowReadingThreshold is the duration above which a reading is logged as slow, since its first entries may be that old.
const slowReadingThreshold = time.Second

// LogReading logs a reading, as a warning if it failed or was slow: until the next one, tasks are still placed at workers
// that have begun to drain.
func LogReading(logger zerolog.Logger, reading *instances.Reading, took time.Duration) {
	line := logger.Debug()
	if reading.Err != nil || took > slowReadingThreshold {
		line = logger.Warn()
	}
	line.Int("pages", reading.Pages).Int("listed", len(reading.Entries)).Dur("took_ms", took).Err(reading.Err).
		Msg("instance list read")
}

// Limits of the rate of readings.
const (
	// minInterval is the minimum time between the starts of two consecutive readings.
	minInterval = time.Second
	// rateShare is the maximum share of the platform's rate limit (settings key Cloud.RatePerS) that a reader uses. The
	// rest is for a second reader while the duty passes from one to the other.
	rateShare = 0.5
)

// Interval returns the time from the start of a reading with the given number of pages to the start of the next one.
// ratePerS is the number of calls per second that the platform accepts from all machines together; 0 means that it is
// unknown.
func Interval(pages int, ratePerS float64) time.Duration {
	if ratePerS <= 0 {
		return minInterval
	}
	return max(minInterval, time.Duration(float64(pages)/(rateShare*ratePerS)*float64(time.Second)))
}

// Client reads the list. It must be used by one goroutine at a time, except that Close may be called concurrently.
type Client struct {
	address string // host and port of the platform
	http    *http.Client
}

// NewClient returns a client of the platform at address, a host and port, which it dials over network.
func NewClient(network frame.Network, address string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return network.Dial(address, pageTimeout)
		}}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Close closes the idle connection that is kept open between readings.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// page is the JSON of one page of the list.
type page struct {
	Instances []instances.Entry `json:"Instances"`
	NextToken *string           `json:"NextToken"`
}

// Read reads all pages. Each page may take up to pageTimeout.
func (c *Client) Read() instances.Reading {
	reading := instances.Reading{}
	token := ""
	for range maxPages {
		page, err := c.readPage(token)
		if err != nil {
			reading.Err = errors.Trace(err)
			return reading
		}
		reading.Pages++
		reading.Entries = append(reading.Entries, page.Instances...)
		if page.NextToken == nil || *page.NextToken == "" {
			return reading
		}
		token = *page.NextToken
	}
	reading.Err = &TooManyPagesError{Pages: maxPages}
	return reading
}

func (c *Client) readPage(token string) (*page, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	address := "http://" + c.address + "/instances"
	if token != "" {
		address += "?PageToken=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	read := &page{}
	return read, errors.Trace(json.Unmarshal(text, read))
}
