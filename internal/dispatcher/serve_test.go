package dispatcher

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// TestCallsInFlightAreAnsweredAtShutdown: before the process exits, a call that still waits for its outcome is answered that
// the outcome is unknown.
func TestCallsInFlightAreAnsweredAtShutdown(t *testing.T) {
	d := newDispatcherWithoutLoop()
	close(d.answerNow)
	call := httptest.NewRequest("DELETE", "/queue/00000000000000aa", nil)
	_, outcome := d.execute(call, time.Hour, func() *statemachine.Command { return cancelCommand("00000000000000aa") })
	if outcome != outcomeUnknown {
		t.Errorf("the call in flight has outcome %v, want outcomeUnknown", outcome)
	}
}

func TestDrainTimeoutFollowsTheGracePeriod(t *testing.T) {
	for _, c := range []struct {
		graceS float64
		want   time.Duration
	}{
		{0, 3 * time.Second}, // the default grace is 6 s
		{6, 3 * time.Second},
		{10, 7 * time.Second},
		{2, minDrainTimeout},
	} {
		d := New(&settings.Settings{Bounds: settings.Bounds{GraceS: c.graceS}}, unreachableNetwork{}, zerolog.Nop())
		if timeout := d.drainTimeout(); timeout != c.want {
			t.Errorf("GraceS %v: drain timeout %v, want %v", c.graceS, timeout, c.want)
		}
	}
}
