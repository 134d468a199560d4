package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
)

const testConfig = `{"Version":1,"Routes":[{"Host":"h.example","PathPrefix":"/q/","Service":"s","TimeoutMs":3000}],"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":2000}}`

// serveOperator sends a request to an operator's path, and returns the response and the duration.
func serveOperator(s *Server, method, path, ifMatch, body string) (*httptest.ResponseRecorder, time.Duration) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("If-Match", ifMatch)
	response := httptest.NewRecorder()
	startedAt := time.Now()
	s.handler(newGate(s.settings, s.logger)).ServeHTTP(response, request)
	return response, time.Since(startedAt)
}

// TestOperatorRequestEndsWithTheEngine checks that a request that is pending when the engine ends is answered at once
// rather than after operatorTimeout.
func TestOperatorRequestEndsWithTheEngine(t *testing.T) {
	s := newIdleServer(t)
	go func() {
		time.Sleep(20 * time.Millisecond) // until the function of the request is in the inbox
		close(s.ended)
	}()
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{http.MethodGet, "/-/config", http.StatusServiceUnavailable},
		{http.MethodPut, "/-/config", http.StatusServiceUnavailable},
		{http.MethodGet, statusPath, http.StatusOK},
	} {
		response, took := serveOperator(s, c.method, c.path, "0", testConfig)
		if response.Code != c.status || took > operatorTimeout/2 {
			t.Errorf("%s %s: answered %d after %v, want %d at once", c.method, c.path, response.Code, took, c.status)
		}
	}
}

// TestConfigurationLongerThanALogRecordIsRejected checks that a configuration that exceeds the maximum log record is
// answered 413 with advice, and is not proposed.
func TestConfigurationLongerThanALogRecordIsRejected(t *testing.T) {
	s := newIdleServer(t)
	self := s.membership.self()
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self,
		View: view.View{Epoch: 1, Chain: []view.Member{self}, Electors: []view.Member{self}}, CompleteEpoch: 1})
	s.replica = chain.New(self.ID, 1, chain.Snapshot{}, nil, 0)
	s.replica.SetView(chain.View{Epoch: 1, Members: []chain.MemberID{self.ID}})
	s.replica.CompletenessPersisted(1)
	go func() {
		for {
			select {
			case f := <-s.inbox:
				f()
			case <-s.ended:
				return
			}
		}
	}()
	defer close(s.ended)
	if !s.canServe() {
		t.Fatal("the server does not serve")
	}
	padding := strings.Repeat(" ", int(s.commands.maxBytes))
	response, _ := serveOperator(s, http.MethodPut, "/-/config", "0", testConfig+padding)
	if response.Code != http.StatusRequestEntityTooLarge || !strings.Contains(response.Body.String(), "Limits.DiskMb") {
		t.Errorf("answered %d: %s; want 413 with the setting to change", response.Code, response.Body)
	}
}
