package dispatcher

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// unreachableNetwork is a network on which every dial and every listener fails.
type unreachableNetwork struct{}

func (unreachableNetwork) Dial(string, time.Duration) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func (unreachableNetwork) Listen(string) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

const testConfiguration = `{"Version":3,"Routes":[{"Host":"h.example","PathPrefix":"/q/","Service":"s","TimeoutMs":3000}],
"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":2000}}`

// runDisconnected returns a dispatcher that runs without any control machine.
func runDisconnected(t *testing.T, configured bool) *Dispatcher {
	t.Helper()
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		d.Run(stop)
		close(ended)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	if configured {
		done := make(chan struct{})
		d.post(func() {
			d.receiveConfig(&statemachine.ConfigUpdate{Version: 3, Body: []byte(testConfiguration)})
			d.applyConfig()
			close(done)
		})
		<-done
	}
	return d
}

// newStopped returns a dispatcher whose event loop does not run, so that a test can call what belongs to it.
func newStopped() *Dispatcher {
	return New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
}
