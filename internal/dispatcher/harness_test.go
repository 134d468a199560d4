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
	return nil, errors.New("the network has no listeners")
}

const testConfiguration = `{"Version":3,"Routes":[{"Host":"h.example","PathPrefix":"/q/","Service":"s","TimeoutMs":3000}],
"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":2000}}`

// runDisconnected returns a running dispatcher that can't connect to any control machine, with testConfiguration in force if
// configured is true.
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

// newDispatcherWithoutLoop returns a dispatcher whose event loop does not run, so that a test can call functions that belong
// to the event loop.
func newDispatcherWithoutLoop() *Dispatcher {
	return New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
}
