package dispatcher

import (
	"net"
	"net/url"
	"syscall"
	"testing"

	"github.com/juju/errors"

	"yardflow/scheduling/worker"
)

func TestOnlyDialErrorsCountAsNeverSent(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	if !isDialError(&url.Error{Op: "Post", Err: errors.Trace(dial)}) {
		t.Error("a failed dial does not count as a call that was not sent")
	}
	if isDialError(&url.Error{Op: "Post", Err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}) {
		t.Error("a connection reset while reading is taken for a call that was not sent")
	}
}

func TestOutcomesOfWorkerResponses(t *testing.T) {
	cases := []struct {
		status int
		reason string
		want   worker.Outcome
	}{
		{200, "", worker.Accepted}, {409, "fence", worker.Fenced}, {409, "old", worker.OutdatedRun},
		{409, "late", worker.ArrivedLate}, {409, "room", worker.NoCapacity}, {421, "", worker.OtherIncarnation},
		{429, "", worker.Unhealthy}, {503, "", worker.Unhealthy},
		{400, "", worker.Invalid}, {500, "", worker.Unanswered},
	}
	for _, c := range cases {
		if got := outcomeOfResponse(c.status, c.reason); got != c.want {
			t.Errorf("status %d, reason %q: outcome %d, want %d", c.status, c.reason, got, c.want)
		}
	}
}
