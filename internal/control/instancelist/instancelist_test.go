package instancelist

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/internal/control/instances"
)

// platform is a fake platform that answers requests by the page's token; the token of the first page is "".
type platform map[string]answer

// answer is the platform's answer to the request for a page.
type answer struct {
	status int
	body   string
}

func (p platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	page, known := p[r.URL.Query().Get("PageToken")]
	if !known || r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(page.status)
	fmt.Fprint(w, page.body)
}

// pageOf returns a valid page of workers; next is the token of the following page, or "" if there is none.
func pageOf(next string, ids ...string) answer {
	entries := []string{}
	for _, id := range ids {
		entries = append(entries, fmt.Sprintf(`{"Id":%q}`, id))
	}
	return answer{http.StatusOK, fmt.Sprintf(`{"Instances":[%s],"NextToken":%q}`, strings.Join(entries, ","), next)}
}

// read reads the list of a platform once.
func read(t *testing.T, platform http.Handler) instances.Reading {
	t.Helper()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	client := NewClient(frame.TCP{}, server.Listener.Addr().String())
	t.Cleanup(client.Close)
	return client.Read()
}

func idsOf(reading *instances.Reading) []string {
	ids := []string{}
	for i := range reading.Entries {
		ids = append(ids, reading.Entries[i].ID)
	}
	return ids
}

// TestPagesAreReadByTokenUpToTheLast checks that a reading ends with a page without a token, and that tokens are sent back
// unchanged, whichever characters they contain.
func TestPagesAreReadByTokenUpToTheLast(t *testing.T) {
	const special = "a b&PageToken=c%2F?#ü"
	for name, c := range map[string]struct {
		platform platform
		pages    int
		ids      string
	}{
		"a list of one page": {platform{"": pageOf("", "w1", "w2")}, 1, "w1 w2"},
		"a list of three pages, in order": {
			platform{"": pageOf("2", "w1"), "2": pageOf("3", "w2"), "3": pageOf("", "w3")}, 3, "w1 w2 w3"},
		"an empty middle page":        {platform{"": pageOf("2", "w1"), "2": pageOf("3"), "3": pageOf("", "w3")}, 3, "w1 w3"},
		"a token with URL characters": {platform{"": pageOf(special, "w1"), special: pageOf("", "w2")}, 2, "w1 w2"},
		"a null token at the end":     {platform{"": {http.StatusOK, `{"Instances":[{"Id":"w1"}],"NextToken":null}`}}, 1, "w1"},
		"no token at the end":         {platform{"": {http.StatusOK, `{"Instances":[{"Id":"w1"}]}`}}, 1, "w1"},
		"an empty list":               {platform{"": pageOf("")}, 1, ""},
	} {
		reading := read(t, c.platform)
		if reading.Err != nil || reading.Pages != c.pages || !slices.Equal(idsOf(&reading), strings.Fields(c.ids)) {
			t.Errorf("%s: %d pages with workers %v, error %v", name, reading.Pages, idsOf(&reading), reading.Err)
		}
	}
}

// TestReadingThatLacksAPageIsAnError checks that a reading without all pages has an error, since it does not show that a
// worker was removed. The pages that were read are counted, since the interval between readings depends on them.
func TestReadingThatLacksAPageIsAnError(t *testing.T) {
	for name, last := range map[string]answer{
		"a rate limit exceeded":                   {http.StatusTooManyRequests, "slow down"},
		"a server error":                          {http.StatusInternalServerError, ""},
		"a server error with a page":              {http.StatusInternalServerError, pageOf("", "w3").body},
		"another status than 200 with a page":     {http.StatusPartialContent, pageOf("", "w3").body},
		"an empty body":                           {http.StatusOK, ""},
		"truncated JSON":                          {http.StatusOK, `{"Instances":[{"Id":"w3"},{"Id":"w`},
		"JSON that is truncated before the token": {http.StatusOK, `{"Instances":[{"Id":"w3"}]`},
		"a body that is not JSON":                 {http.StatusOK, "<html>"},
		"two pages in one body":                   {http.StatusOK, `{"Instances":[]}{"Instances":[]}`},
	} {
		reading := read(t, platform{"": pageOf("2", "w1"), "2": pageOf("3", "w2"), "3": last})
		if reading.Err == nil {
			t.Errorf("%s: the reading has no error, and workers %v", name, idsOf(&reading))
		}
		if reading.Pages != 2 || !slices.Equal(idsOf(&reading), []string{"w1", "w2"}) {
			t.Errorf("%s: %d pages with workers %v, want the two pages before it", name, reading.Pages, idsOf(&reading))
		}
	}
}

// TestStatusErrorContainsStatusAndAdvice checks that the error text contains the status and advice for the operator, which
// for an exceeded rate limit differs from that for other statuses.
func TestStatusErrorContainsStatusAndAdvice(t *testing.T) {
	for status, advice := range map[int]string{
		http.StatusTooManyRequests:     "Cloud.RatePerS",
		http.StatusInternalServerError: "Cloud.Address",
		http.StatusNotFound:            "Cloud.Address",
	} {
		reading := read(t, platform{"": {status: status}})
		var statusError *StatusError
		if !errors.As(reading.Err, &statusError) || statusError.Status != status {
			t.Errorf("status %d: error %v", status, reading.Err)
			continue
		}
		if text := statusError.Error(); !strings.Contains(text, fmt.Sprint(status)) || !strings.Contains(text, advice) {
			t.Errorf("status %d: error text %q, want the status and %s in it", status, text, advice)
		}
	}
}

// TestReadingOfAnEndlessListEndsWithAnError checks that a reading ends after maxPages if each page has a token of another.
func TestReadingOfAnEndlessListEndsWithAnError(t *testing.T) {
	calls := atomic.Int32{}
	reading := read(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, pageOf("again", "w1").body)
	}))
	var endless *TooManyPagesError
	if !errors.As(reading.Err, &endless) || endless.Pages != maxPages || reading.Pages != maxPages || calls.Load() != maxPages {
		t.Errorf("%d calls, %d pages, error %v; want %d pages", calls.Load(), reading.Pages, reading.Err, maxPages)
	}
}

// TestAllPagesAreReadOverOneConnection checks that the pages of consecutive readings are read over one connection, since a
// new connection costs a round trip.
func TestAllPagesAreReadOverOneConnection(t *testing.T) {
	server := httptest.NewServer(platform{"": pageOf("2", "w1"), "2": pageOf("", "w2")})
	defer server.Close()
	network := &countingNetwork{}
	client := NewClient(network, server.Listener.Addr().String())
	defer client.Close()
	for range 3 {
		if reading := client.Read(); reading.Err != nil || reading.Pages != 2 {
			t.Fatalf("%d pages, error %v", reading.Pages, reading.Err)
		}
	}
	if network.dials != 1 {
		t.Errorf("three readings opened %d connections, want 1", network.dials)
	}
}

// countingNetwork is the TCP network, and counts the dialled connections.
type countingNetwork struct {
	frame.TCP
	dials int
}

func (n *countingNetwork) Dial(address string, within time.Duration) (net.Conn, error) {
	n.dials++
	return n.TCP.Dial(address, within)
}

// TestReadingEndsAfterThePageTimeout checks that a reading ends after pageTimeout if the platform accepts a request and does
// not answer.
func TestReadingEndsAfterThePageTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(silentNetwork{}, "cloud:1")
		defer client.Close()
		start := time.Now()
		reading := client.Read()
		if took := time.Since(start); took != pageTimeout || !errors.Is(reading.Err, context.DeadlineExceeded) || reading.Pages != 0 {
			t.Errorf("%d pages after %v, error %v", reading.Pages, took, reading.Err)
		}
	})
}

// silentNetwork is a network whose remote side reads all requests and sends no answers.
type silentNetwork struct{}

func (silentNetwork) Dial(string, time.Duration) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	return local, nil
}

func (silentNetwork) Listen(string) (net.Listener, error) {
	return nil, errors.New("listening is not supported")
}

// TestIntervalUsesAtMostHalfOfTheRateLimit checks that readings start every second, or less often if they would use more
// than half of the platform's rate limit, since two readers read while the duty passes from one to the other.
func TestIntervalUsesAtMostHalfOfTheRateLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		pages    int
		ratePerS float64
		want     time.Duration
	}{
		{"unknown rate", 1000, 0, time.Second},
		{"negative rate", 1000, -1, time.Second},
		{"few pages", 2, 30, time.Second},
		{"no pages, as the first page failed", 0, 30, time.Second},
		{"pages equal to half of the rate", 15, 30, time.Second},
		{"one page more than half of the rate", 16, 30, 16 * time.Second / 15},
		{"50 pages at 90 calls per second", 50, 90, 50 * time.Second / 45},
		{"pages equal to the rate", 30, 30, 2 * time.Second},
		{"less than one call per second", 1, 0.5, 4 * time.Second},
	} {
		got := Interval(c.pages, c.ratePerS)
		if difference := got - c.want; difference.Abs() > time.Microsecond {
			t.Errorf("%s: interval %v, want %v", c.name, got, c.want)
		}
	}
}
