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

// platform answers page by page as a test wants, by the page's token; that of the first page is "".
type platform map[string]answer

// answer is how the platform answers a page.
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

// pageOf returns a sound page that names workers; next is the token of the page that follows, and "" where none does.
func pageOf(next string, ids ...string) answer {
	entries := []string{}
	for _, id := range ids {
		entries = append(entries, fmt.Sprintf(`{"Id":%q}`, id))
	}
	return answer{http.StatusOK, fmt.Sprintf(`{"Instances":[%s],"NextToken":%q}`, strings.Join(entries, ","), next)}
}

// read returns what one reading of a platform brings.
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

// Only a page without a token is the last one. A token goes back as it came, whatever is in it.
func TestPagesAreFollowedByTokenUpToTheLast(t *testing.T) {
	const odd = "a b&PageToken=c%2F?#ü"
	for name, c := range map[string]struct {
		platform platform
		pages    int
		ids      string
	}{
		"a list of one page": {platform{"": pageOf("", "w1", "w2")}, 1, "w1 w2"},
		"a list of three pages, in their order": {
			platform{"": pageOf("2", "w1"), "2": pageOf("3", "w2"), "3": pageOf("", "w3")}, 3, "w1 w2 w3"},
		"an empty page between others":         {platform{"": pageOf("2", "w1"), "2": pageOf("3"), "3": pageOf("", "w3")}, 3, "w1 w3"},
		"a token with signs of an address":     {platform{"": pageOf(odd, "w1"), odd: pageOf("", "w2")}, 2, "w1 w2"},
		"a last page whose token is null":      {platform{"": {http.StatusOK, `{"Instances":[{"Id":"w1"}],"NextToken":null}`}}, 1, "w1"},
		"a last page that names no token":      {platform{"": {http.StatusOK, `{"Instances":[{"Id":"w1"}]}`}}, 1, "w1"},
		"a list without any worker, one empty": {platform{"": pageOf("")}, 1, ""},
	} {
		reading := read(t, c.platform)
		if reading.Err != nil || reading.Pages != c.pages || !slices.Equal(idsOf(&reading), strings.Fields(c.ids)) {
			t.Errorf("%s: %d pages name %v, error %v", name, reading.Pages, idsOf(&reading), reading.Err)
		}
	}
}

// A reading that lacks a page is an error, however much has come before: it does not show that a worker is gone. What was
// read is counted, since the pace of readings follows the calls.
func TestReadingThatLacksAPageIsAnError(t *testing.T) {
	for name, last := range map[string]answer{
		"a page that is refused":        {http.StatusTooManyRequests, "slow down"},
		"a page that fails":             {http.StatusInternalServerError, ""},
		"a page that fails, with text":  {http.StatusInternalServerError, pageOf("", "w3").body},
		"a page of another status":      {http.StatusPartialContent, pageOf("", "w3").body},
		"an answer that is empty":       {http.StatusOK, ""},
		"JSON that is cut":              {http.StatusOK, `{"Instances":[{"Id":"w3"},{"Id":"w`},
		"JSON that ends before a token": {http.StatusOK, `{"Instances":[{"Id":"w3"}]`},
		"an answer that is no JSON":     {http.StatusOK, "<html>"},
		"two pages in one":              {http.StatusOK, `{"Instances":[]}{"Instances":[]}`},
	} {
		reading := read(t, platform{"": pageOf("2", "w1"), "2": pageOf("3", "w2"), "3": last})
		if reading.Err == nil {
			t.Errorf("%s: counts as complete, with %v", name, idsOf(&reading))
		}
		if reading.Pages != 2 || !slices.Equal(idsOf(&reading), []string{"w1", "w2"}) {
			t.Errorf("%s: %d pages name %v, want the two before it", name, reading.Pages, idsOf(&reading))
		}
	}
}

// Whoever reads the log learns the status, and what to do: too many calls have another cause than a platform that fails.
func TestRefusedPageNamesItsStatusAndWhatToDo(t *testing.T) {
	for status, advice := range map[int]string{
		http.StatusTooManyRequests:     "Cloud.RatePerS",
		http.StatusInternalServerError: "Cloud.Address",
		http.StatusNotFound:            "Cloud.Address",
	} {
		reading := read(t, platform{"": {status: status}})
		var refused *StatusError
		if !errors.As(reading.Err, &refused) || refused.Status != status {
			t.Errorf("a page that answers %d: %v", status, reading.Err)
			continue
		}
		if text := refused.Error(); !strings.Contains(text, fmt.Sprint(status)) || !strings.Contains(text, advice) {
			t.Errorf("a page that answers %d says %q, want its status and %s", status, text, advice)
		}
	}
}

// A platform whose last page names another one does not keep the reader for ever.
func TestListThatDoesNotEndIsGivenUp(t *testing.T) {
	calls := atomic.Int32{}
	reading := read(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, pageOf("again", "w1").body)
	}))
	var endless *TooManyPagesError
	if !errors.As(reading.Err, &endless) || endless.Pages != maxPages || reading.Pages != maxPages || calls.Load() != maxPages {
		t.Errorf("%d calls brought %d pages, error %v; want %d", calls.Load(), reading.Pages, reading.Err, maxPages)
	}
}

// The pages of a reading, and the next reading, use one connection: a new one costs the reader a round trip for each page.
func TestPagesComeOverOneConnection(t *testing.T) {
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
		t.Errorf("three readings dialled %d times", network.dials)
	}
}

// countingNetwork counts the connections that were dialled over the machine's network.
type countingNetwork struct {
	frame.TCP
	dials int
}

func (n *countingNetwork) Dial(address string, within time.Duration) (net.Conn, error) {
	n.dials++
	return n.TCP.Dial(address, within)
}

// A platform that accepts a call and says nothing keeps the reader no longer than a page may take.
func TestPageThatDoesNotComeEndsTheReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(silentNetwork{}, "cloud:1")
		defer client.Close()
		begun := time.Now()
		reading := client.Read()
		if took := time.Since(begun); took != pageTimeout || !errors.Is(reading.Err, context.DeadlineExceeded) || reading.Pages != 0 {
			t.Errorf("%d pages after %v, error %v", reading.Pages, took, reading.Err)
		}
	})
}

// silentNetwork is a network whose other side takes everything and answers nothing.
type silentNetwork struct{}

func (silentNetwork) Dial(string, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	return here, nil
}

func (silentNetwork) Listen(string) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

// Readings follow each other by a second, and further apart where they would take more than half of the calls that the
// platform takes: while the duty passes from one reader to another both read.
func TestIntervalLeavesHalfOfThePlatformsCallsToOthers(t *testing.T) {
	for _, c := range []struct {
		name     string
		pages    int
		ratePerS float64
		want     time.Duration
	}{
		{"no rate is known", 1000, 0, time.Second},
		{"a rate makes no sense", 1000, -1, time.Second},
		{"few pages", 2, 30, time.Second},
		{"a reading that failed at its first page", 0, 30, time.Second},
		{"as many pages as half of the calls", 15, 30, time.Second},
		{"one page more", 16, 30, 16 * time.Second / 15},
		{"50 pages at 90 calls a second", 50, 90, 50 * time.Second / 45},
		{"as many pages as all the calls", 30, 30, 2 * time.Second},
		{"less than a call a second", 1, 0.5, 4 * time.Second},
	} {
		got := Interval(c.pages, c.ratePerS)
		if difference := got - c.want; difference.Abs() > time.Microsecond {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
