package dispatcher

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/scheduling/job"
)

// loopbackNetwork dials addresses on this machine.
type loopbackNetwork struct{ unreachableNetwork }

func (loopbackNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// dialControl returns a connection to a control machine that keeps silent, and a channel that is closed once the connection
// has ended there.
func dialControl(t *testing.T) (conn *frame.Conn, ended <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		if accepted, err := frame.Upgrade(w, r); err == nil {
			_, _ = accepted.Receive(10 * time.Second)
		}
	}))
	t.Cleanup(server.Close)
	conn, err := frame.Dial(loopbackNetwork{}, strings.TrimPrefix(server.URL, "http://"), protocol.DispatcherPath, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return conn, closed
}

// TestDispatcherWithAnotherPictureConnectsAgain guards against jobs that stand still until the next change of view because
// the dispatcher's picture of them differs from the state (review/6): a digest that differs ends the connection, so that a
// snapshot heals the picture. An equal digest does not, nor does a second one that differs right after the first.
func TestDispatcherWithAnotherPictureConnectsAgain(t *testing.T) {
	d := attachedDispatcher()
	conn, ended := dialControl(t)
	d.uplink.conn = conn
	known := provisionalJob()
	d.setJob(0, &known)
	equal := job.Digest{}
	equal.Add(known.ID, known.Progress())
	d.uplink.receive(conn, &protocol.ControlMessage{OpenJobs: &equal}, 1)
	select {
	case <-ended:
		t.Fatal("the connection ends at an equal digest")
	case <-time.After(50 * time.Millisecond):
	}
	different := job.Digest{}
	different.Add(known.ID, job.Progress{Done: 1, Runs: 1})
	d.uplink.receive(conn, &protocol.ControlMessage{OpenJobs: &different}, 2)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open at another digest")
	}
	second, ended := dialControl(t)
	d.uplink.conn = second
	d.uplink.receive(second, &protocol.ControlMessage{OpenJobs: &different}, 1)
	select {
	case <-ended:
		t.Error("the connection ends again at once")
	case <-time.After(50 * time.Millisecond):
	}
	second.Close()
}
