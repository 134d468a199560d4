package ssefront

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	gosse "github.com/tmaxmax/go-sse"

	"yardflow/internal/gateway/config"
	"yardflow/internal/platform/tomlfile"
)

// readAll reads a stream's events, its bytes coming one by one (slow) or at once.
func readAll(text string, limit int, slow bool) ([]Event, error) {
	var r io.Reader = strings.NewReader(text)
	if slow {
		r = iotest.OneByteReader(r)
	}
	var out []Event
	s := NewScanner(bufio.NewReader(r), limit)
	for {
		e, err := s.Next()
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

func TestScannerFollowsTheFormat(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Event
		end        error
	}{
		{"LF", "event: a\ndata: 1\n\n", []Event{{"a", "", "1"}}, io.EOF},
		{"CRLF", "event: a\r\ndata: 1\r\n\r\ndata: 2\r\n\r\n", []Event{{"a", "", "1"}, {"", "", "2"}}, io.EOF},
		{"CR", "event: a\rdata: 1\r\rdata: 2\r\r", []Event{{"a", "", "1"}, {"", "", "2"}}, io.EOF},
		{"lines of data", "data: a\ndata:\ndata:  b\n\n", []Event{{"", "", "a\n\n b"}}, io.EOF},
		{"empty data is an event, none is not", "event: a\n\ndata\n\nevent: b\ndata:\n\n", []Event{{"", "", ""}, {"b", "", ""}}, io.EOF},
		{"comments and unknown fields", ": c\ndata: 1\n:c\nretry: 5\nodd: x\nodd\n\n", []Event{{"", "", "1"}}, io.EOF},
		{"ids last, one with NUL counts not", "id: 7\ndata: 1\n\ndata: 2\n\nid: a\x00b\ndata: 3\n\nid\ndata: 4\n\n",
			[]Event{{"", "7", "1"}, {"", "7", "2"}, {"", "7", "3"}, {"", "", "4"}}, io.EOF},
		{"byte order mark, once", "\xef\xbb\xbfdata: 1\n\n\xef\xbb\xbfdata: 2\n\n", []Event{{"", "", "1"}}, io.EOF},
		{"cut before the blank line", "data: 1\n\nevent: done\ndata: x\n", []Event{{"", "", "1"}}, io.EOF},
		{"bound on one line", "data: " + strings.Repeat("x", 60) + "\n\n", nil, ErrEventTooLarge},
		{"bound on many", strings.Repeat("data: xxxx\n", 7) + "\n", nil, ErrEventTooLarge},
		{"bound is for one event", strings.Repeat("data: "+strings.Repeat("x", 40)+"\n\n", 2) + strings.Repeat(": c\n", 40),
			[]Event{{"", "", strings.Repeat("x", 40)}, {"", "", strings.Repeat("x", 40)}}, io.EOF},
	} {
		for _, slow := range []bool{false, true} {
			got, err := readAll(c.text, 64, slow)
			if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.end) {
				t.Errorf("%s (byte by byte: %v): end %v, -want +got:\n%s", c.name, slow, err, diff)
			}
		}
	}
}

// An event whose blank line has come is returned without waiting for more.
func TestScannerDoesNotWaitBehindAnEvent(t *testing.T) {
	for _, text := range []string{"data: 1\n\n", "data: 1\r\n\r", "data: 1\r\r"} {
		r, w := io.Pipe()
		go io.WriteString(w, text)
		got := make(chan Event)
		go func() { e, _ := NewScanner(bufio.NewReader(r), 64).Next(); got <- e }()
		select {
		case e := <-got:
			if e.Data != "1" {
				t.Errorf("%q: %+v", text, e)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%q: it still waits", text)
		}
		_ = w.Close()
	}
}

// What is written is read alike by another implementation, and nothing in a value can break out of its field.
func TestEventsAreReadByAnotherImplementation(t *testing.T) {
	events := []Event{{"result", "1", "a\n\nb: c\r\nd\re"}, {"a\nevent: result", "2\n3", "x\n\nevent: result\ndata: y"}, {"", "4", "plain"}}
	var text []byte
	for _, e := range events {
		text = e.Append(text)
	}
	want := []gosse.Event{{Type: "result", LastEventID: "1", Data: "a\n\nb: c\nd\ne"},
		{Type: "a event: result", LastEventID: "2 3", Data: "x\n\nevent: result\ndata: y"}, {LastEventID: "4", Data: "plain"}}
	var got []gosse.Event
	for e, err := range gosse.Read(strings.NewReader(string(text)), nil) {
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, e)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func streamConfig() config.SSE {
	return config.SSE{BufferEvents: 4, WriteTimeout: tomlfile.Duration{Duration: 200 * time.Millisecond},
		Heartbeat: tomlfile.Duration{Duration: 20 * time.Millisecond}}
}

// serveStream runs use on a stream of a real connection and returns the response.
func serveStream(t *testing.T, use func(*eventStream)) *http.Response {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		use(newEventStream(w, streamConfig(), func() {}))
	}))
	t.Cleanup(server.Close)
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// A client that does not read costs bounded memory and bounded time: progress is dropped, the oldest first, and the client
// counts as left.
func TestSlowReaderIsDisconnected(t *testing.T) {
	gone, ended := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		st := newEventStream(w, streamConfig(), func() { close(gone) })
		for big := strings.Repeat("x", 1<<20); ; time.Sleep(time.Millisecond) {
			st.progress(0, Event{Data: big})
			st.mu.Lock()
			n := len(st.queue)
			st.mu.Unlock()
			if n > 4 {
				t.Errorf("%d events are queued", n)
			}
			select {
			case <-gone:
				st.finish(Event{Type: eventResult, Data: "late"}) // must not hang
				return
			default:
			}
		}
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("the client is still waited for")
	}
}

// In a flood of events the final one is never dropped, and is the last.
func TestFinalEventIsNeverDropped(t *testing.T) {
	resp := serveStream(t, func(st *eventStream) {
		for range 1000 {
			st.progress(0, Event{Type: "progress", Data: "p"})
		}
		st.finish(Event{Type: eventResult, Data: "r"})
		st.progress(0, Event{Type: "progress", Data: "behind the end"})
	})
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := readAll(string(text), 1<<10, false)
	if n := len(got); n == 0 || got[n-1] != (Event{eventResult, "1001", "r"}) {
		t.Errorf("got %d events, the last of %+v", n, got)
	}
}

// A quiet stream carries heartbeats, so that no proxy takes it for dead.
func TestQuietStreamHasHeartbeats(t *testing.T) {
	next := make(chan struct{})
	resp := serveStream(t, func(st *eventStream) {
		st.progress(0, Event{Data: "1"})
		<-next
		st.finish(Event{Type: eventResult, Data: "2"})
	})
	in := bufio.NewReader(resp.Body)
	for seen := false; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, ":") && !seen {
			seen = true
			close(next)
		}
		if line == "event: result\n" {
			return
		}
	}
}
