package dispatch

import (
	"math"
	"testing"
)

// One actor-critic step gives the values of eta, omega and theta that were calculated by hand.
func TestActorCriticStep(t *testing.T) {
	d := newDispatcher(testSettings(), 1)
	out := &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}, out)
	d.learner.open = false
	w := d.fleet.ranked[1]
	w.threshold.theta, w.threshold.updates = 3, 10
	d.learner.meanStep, d.learner.averageCost = 0.1, 2
	d.learner.features, d.learner.jobs, d.learner.openedAt, d.learner.open = []feature{{nil, 0.1}}, 4, d.now, true
	d.learner.decisionWorker, d.learner.gradient = w, sharpness*0.25 // the request waited; a send had probability 1/4
	d.learner.queueWeight = 10
	d.now += 100 * ms
	d.closeStep()
	// c = 4*0.1/0.1, phi' = 0: delta = 4 - 2 + 0 - 1 = 1.
	if want := 2 + averageStep*2; math.Abs(d.learner.averageCost-want) > 1e-9 {
		t.Errorf("eta %v, want %v", d.learner.averageCost, want)
	}
	if want := 10 + criticStep/(0.01+1.0/9)*0.1; math.Abs(d.learner.queueWeight-want) > 1e-9 {
		t.Errorf("omega %v, want %v", d.learner.queueWeight, want)
	}
	if want := 3 - actorStep/(1+d.learner.averageCost)*sharpness*0.25; math.Abs(w.threshold.theta-want) > 1e-9 {
		t.Errorf("theta %v, want %v", w.threshold.theta, want)
	}
}
