package dispatcher

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// TestCallsInFlightAreAnsweredAtShutdown: a call that waits for its outcome is answered that there is none yet, before the
// process ends.
func TestCallsInFlightAreAnsweredAtShutdown(t *testing.T) {
	d := newStopped()
	close(d.answerNow)
	call := httptest.NewRequest("DELETE", "/queue/00000000000000aa", nil)
	_, how := d.execute(call, time.Hour, func() *statemachine.Command { return cancelCommand("00000000000000aa") })
	if how != unknown {
		t.Errorf("outcome %v of a call under way", how)
	}
}

func TestDrainTimeoutFollowsTheGracePeriod(t *testing.T) {
	for _, c := range []struct {
		graceS float64
		want   time.Duration
	}{
		{0, 3 * time.Second}, // by default 6 s
		{6, 3 * time.Second},
		{10, 7 * time.Second},
		{2, minDrainTimeout},
	} {
		d := New(&settings.Settings{Bounds: settings.Bounds{GraceS: c.graceS}}, unreachableNetwork{}, zerolog.Nop())
		if within := d.drainTimeout(); within != c.want {
			t.Errorf("GraceS %v: %v, want %v", c.graceS, within, c.want)
		}
	}
}
