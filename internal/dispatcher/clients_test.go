package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"yardflow/internal/control/statemachine"
)

// serveRequest makes a client's request to the dispatcher and returns the answer.
func serveRequest(d *Dispatcher, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	d.ServeHTTP(recorder, request)
	return recorder
}

const validJob = `{"Spec":"x","Steps":[{"Count":1,"Cpu":1}]}`

func TestResponsesWithoutControlMachines(t *testing.T) {
	d := runDisconnected(t, true)
	id := "/q/0123456789abcdef"
	cases := []struct {
		name, method, path, body string
		status                   int
		retryAfter               bool
	}{
		{"submit without a connection", "POST", id, validJob, http.StatusServiceUnavailable, true},
		{"state of a job that is not known here", "GET", id, "", http.StatusServiceUnavailable, true},
		{"cancel without a connection", "DELETE", id, "", http.StatusServiceUnavailable, true},
		{"pending count of a queue", "GET", "/q/", "", http.StatusServiceUnavailable, true},
		{"path of no queue", "POST", "/other/0123456789abcdef", validJob, http.StatusNotFound, false},
		{"invalid job ID", "POST", "/q/xyz", validJob, http.StatusNotFound, false},
		{"job without steps", "POST", id, `{"Steps":[]}`, http.StatusBadRequest, false},
		{"step that depends on a later step", "POST", id, `{"Steps":[{"Count":1,"DependsOn":[1]},{"Count":1}]}`,
			http.StatusBadRequest, false},
		{"body that is too large", "POST", id, `{"Spec":"` + strings.Repeat("x", 3000) + `"}`,
			http.StatusRequestEntityTooLarge, false},
		{"unsupported method", "PATCH", id, "", http.StatusMethodNotAllowed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recorder := serveRequest(d, c.method, c.path, c.body)
			if recorder.Code != c.status || (recorder.Header().Get("Retry-After") != "") != c.retryAfter {
				t.Errorf("got status %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
			}
		})
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	d := runDisconnected(t, false)
	if recorder := serveRequest(d, "POST", "/q/0123456789abcdef", validJob); recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("got status %d for a submit without a configuration", recorder.Code)
	}
	readinessRecorder := httptest.NewRecorder()
	d.ServeReadiness(readinessRecorder, nil)
	if readinessRecorder.Code != http.StatusServiceUnavailable {
		t.Error("the dispatcher reports that it is ready without a configuration")
	}
}

// TestStateRequestIsAnsweredWhenTheLoopEnds: the function that a request for a job's state has posted may still be in the
// buffer of the event loop when the loop ends, and then never runs. The request has to be answered nevertheless.
func TestStateRequestIsAnsweredWhenTheLoopEnds(t *testing.T) {
	d := newDispatcherWithoutLoop()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 3, Body: []byte(testConfiguration)})
	d.applyConfig()
	go func() {
		time.Sleep(20 * time.Millisecond) // by then the request's function is in the buffer
		close(d.loopEnded)
	}()
	statuses := make(chan int, 1)
	go func() { statuses <- serveRequest(d, "GET", "/q/0123456789abcdef", "").Code }()
	select {
	case status := <-statuses:
		if status != http.StatusServiceUnavailable {
			t.Errorf("got status %d", status)
		}
	case <-time.After(2 * time.Second): // the request would time out after 2.85 s
		t.Error("the request is not answered after the loop has ended")
	}
}
