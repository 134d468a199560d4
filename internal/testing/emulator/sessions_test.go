package emulator

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// TestSessionOfALostDispatcherEndsThoughHeadsComeAndGo guards against work that no one takes over: each view began the grace
// period of all sessions anew, so a dispatcher's session outlasted its machine while views followed each other faster.
func TestSessionOfALostDispatcherEndsThoughHeadsComeAndGo(t *testing.T) {
	const (
		dispatchers = 3
		pause       = 1500 * time.Millisecond // shorter than the grace period behind a view
		bound       = 25 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: dispatchers, Workers: 2}, NewNetwork(), 1, io.Discard)
		y.Start()
		y.Operator.Configure()
		time.Sleep(warmUp)
		y.dispatchers[0].PowerOff()
		lostAt, over := time.Now(), make(chan struct{})
		go func() {
			defer close(over)
			for time.Since(lostAt) < bound {
				if head := y.head(); head != nil {
					head.PowerOff()
					time.Sleep(500 * time.Millisecond)
					head.Back()
				}
				time.Sleep(pause)
			}
		}()
		ended := false
		for !ended && time.Since(lostAt) < bound {
			time.Sleep(100 * time.Millisecond)
			for _, one := range y.Cores() {
				if status := one.status(); status.Serves && status.Sessions == dispatchers-1 {
					ended = true
				}
			}
		}
		t.Logf("the session ended after %v", time.Since(lostAt))
		if !ended {
			t.Errorf("the lost dispatcher's session is open after %v", bound)
		}
		<-over
		y.Stop()
		time.Sleep(20 * time.Second) // timers run out
	})
}
