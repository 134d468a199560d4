package httpfront

import (
	"net/http/httptest"
	"testing"
	"time"
)

// The advice is never too soon: it is rounded up to the millisecond.
func TestRejectionIsWrittenWithItsAdvice(t *testing.T) {
	answer := httptest.NewRecorder()
	(&Rejection{Status: 429, Message: "over the budget", RetryAfter: 1500*time.Millisecond + 1}).Write(answer)
	if answer.Code != 429 || answer.Header().Get("Retry-After") != "1.501" || answer.Body.String() != "over the budget\n" {
		t.Errorf("%d %q %q", answer.Code, answer.Header(), answer.Body)
	}
	answer = httptest.NewRecorder()
	badRequest("no class").Write(answer)
	if answer.Code != 400 || answer.Header().Get("Retry-After") != "" || answer.Body.String() != "no class\n" {
		t.Errorf("%d %q %q", answer.Code, answer.Header(), answer.Body)
	}
}
