package claimant

import "testing"

func TestTargetStepsKeepsToTheShareWhileRequestsQueue(t *testing.T) {
	for name, c := range map[string]struct {
		load Load
		want int
	}{
		"nothing runs, a few are claimed ahead":          {Load{}, minLookahead},
		"half as many again as run":                      {Load{RunningSteps: 20}, 30},
		"never more than the limit":                      {Load{RunningSteps: 20, MaxSteps: 25}, 25},
		"the share of all that is open":                  {Load{OpenRequests: 90, HeldSteps: 10, QueuedRequests: 5}, 20},
		"a share of its own":                             {Load{OpenRequests: 90, HeldSteps: 10, QueuedRequests: 5, StepShare: 0.5}, 50},
		"one step may run beside any number of requests": {Load{OpenRequests: 2, QueuedRequests: 2}, 1},
	} {
		if got := c.load.TargetSteps(); got != c.want {
			t.Errorf("%s: %d steps, want %d", name, got, c.want)
		}
	}
}
