package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"yardflow/internal/control/statemachine"
)

func serve(d *Dispatcher, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	answer := httptest.NewRecorder()
	d.ServeHTTP(answer, request)
	return answer
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
		{"a job that was never sent", "POST", id, validJob, http.StatusServiceUnavailable, true},
		{"a state", "GET", id, "", http.StatusServiceUnavailable, true},
		{"a cancel that was never sent", "DELETE", id, "", http.StatusServiceUnavailable, true},
		{"a count", "GET", "/q/", "", http.StatusServiceUnavailable, true},
		{"no such queue", "POST", "/other/0123456789abcdef", validJob, http.StatusNotFound, false},
		{"no ID", "POST", "/q/xyz", validJob, http.StatusNotFound, false},
		{"no job", "POST", id, `{"Steps":[]}`, http.StatusBadRequest, false},
		{"a step that depends on a later one", "POST", id, `{"Steps":[{"Count":1,"DependsOn":[1]},{"Count":1}]}`, http.StatusBadRequest, false},
		{"a body that is too large", "POST", id, `{"Spec":"` + strings.Repeat("x", 3000) + `"}`, http.StatusRequestEntityTooLarge, false},
		{"another method", "PATCH", id, "", http.StatusMethodNotAllowed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := serve(d, c.method, c.path, c.body)
			if answer.Code != c.status || (answer.Header().Get("Retry-After") != "") != c.retryAfter {
				t.Errorf("answered %d, Retry-After %q", answer.Code, answer.Header().Get("Retry-After"))
			}
		})
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	d := runDisconnected(t, false)
	if answer := serve(d, "POST", "/q/0123456789abcdef", validJob); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", answer.Code)
	}
	ready := httptest.NewRecorder()
	d.ServeReadiness(ready, nil)
	if ready.Code != http.StatusServiceUnavailable {
		t.Error("ready without a configuration")
	}
}

// A request for a state that meets the end of the event loop is answered: its function may wait in the loop's buffer when
// the loop ends.
func TestStateRequestEndsWithTheLoop(t *testing.T) {
	d := newStopped()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 3, Body: []byte(testConfiguration)})
	d.applyConfig()
	go func() {
		time.Sleep(20 * time.Millisecond) // the request's function waits in the buffer by then
		close(d.loopEnded)
	}()
	answered := make(chan int, 1)
	go func() { answered <- serve(d, "GET", "/q/0123456789abcdef", "").Code }()
	select {
	case code := <-answered:
		if code != http.StatusServiceUnavailable {
			t.Errorf("answered %d", code)
		}
	case <-time.After(2 * time.Second): // the client would wait for 3 s
		t.Error("not answered though the loop has ended")
	}
}
