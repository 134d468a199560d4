package httpfront

import (
	"errors"
	"io/fs"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardflow/internal/gateway/broker"
)

// Each error of a call at the list service says what it met, under the code of the operators' table, and what to do.
func TestListErrorsSayWhatAnOperatorCanDo(t *testing.T) {
	for _, c := range []struct {
		err interface {
			error
			Code() string
			Advice() string
		}
		text, code string
	}{
		{&KnownListError{fs.ErrInvalid}, "known: invalid argument", "list-known"},
		{&CallTimeoutError{Addr: "a:1", Waited: time.Second}, "a:1 has given no sign for 1s", "list-silent"},
		{&BadResponseError{Status: 503}, "it answers 503", "list-answer"},
		{&BadResponseError{Status: 200, Reason: "cut off"}, "no list: cut off", "list-answer"},
		{&OutdatedListError{Generation: 3, Known: 5}, "generation 3, and 5 is known", "list-older"},
	} {
		if !strings.Contains(c.err.Error(), c.text) || c.err.Code() != c.code || c.err.Advice() == "" {
			t.Errorf("%T: %q, code %q, advice %q", c.err, c.err.Error(), c.err.Code(), c.err.Advice())
		}
	}
	if !errors.Is(&KnownListError{fs.ErrInvalid}, fs.ErrInvalid) {
		t.Error("the cause of a list that can't be read is lost")
	}
	var timeout net.Error
	if err := error(&CallTimeoutError{}); errors.As(err, &timeout) && !timeout.Timeout() {
		t.Error("a time-out is none")
	}
}

// A status that may come from behind the job never counts as a rejection that is safe to retry.
func TestStatusCountsAsRejectedOnlyWithTheWorkersWord(t *testing.T) {
	said := http.Header{"X-Not-Processed": {"1"}}
	for _, c := range []struct {
		status int
		header http.Header
		want   broker.Code
	}{
		{503, said, broker.Rejected}, {504, said, broker.Rejected}, {500, said, broker.Failed},
		{503, nil, broker.Failed}, {504, nil, broker.Failed}, {400, nil, broker.BadRequest}, {499, said, broker.BadRequest},
	} {
		if got := codeOfStatus(&http.Response{StatusCode: c.status, Header: c.header}); got != c.want {
			t.Errorf("%d with %v: code %d, want %d", c.status, c.header, got, c.want)
		}
	}
}
