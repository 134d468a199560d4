package dispatch

import (
	"math"
	"time"
)

// ACHQ's parameters (Algorithm 1 of the paper). Its simulations have sigma 1, alpha and beta 1e-3 and zeta
// 1e-2 for one fixed system; here the steps are relative to costs and features, so that they hold at any load
// and fleet size.
const (
	// sharpness is sigma of the soft threshold, per queued request: from 12% to 88% within one
	// request on either side. A larger one is nearer to a hard threshold and gives the actor less gradient.
	sharpness = 2.0
	// actorStep is alpha, in queued requests per unit of mean cost: under criticStep, since the actor must
	// move more slowly than the critic that judges it (the two time scales of section 4.1).
	actorStep = 0.02
	// criticStep is beta, per squared length of the features: the critic corrects a twentieth of its
	// error a step. It would diverge from 2 on.
	criticStep = 0.05
	// averageStep is zeta, the paper's: average cost and step length are taken over some 100 steps. With
	// more, they follow single bursts.
	averageStep = 0.01
	// queueScale is l_M, in requests: queues beyond it look alike to the critic, and thresholds end there.
	queueScale = 64
	// maxTDError bounds the temporal-difference error, in mean costs (one is added): a gap or a burst
	// must not throw the learner.
	maxTDError = 5.0
	// learnedThresholdUpdates is how many updates a threshold takes before it counts as learned. Up to there
	// each refresh sets it by the ratio of service rates, the paper's baseline RSRT, which waits too often
	// rather than too seldom.
	learnedThresholdUpdates = 5
)

// actorCritic learns the soft thresholds at which slower workers join: an average-cost
// actor-critic whose cost is the number of queued and running jobs. The critic's value is linear in
// few features: the queue's length, and each worker's part of slots that own jobs occupy.
type actorCritic struct {
	features, nextFeatures []feature // phi of the open step, and of the state that it led to
	open                   bool      // a step is
	openedAt               time.Duration
	jobs                   float64 // queued and running during the open step
	meanStep               float64 // mean step length in seconds
	averageCost            float64 // eta
	queueWeight            float64 // omega of the queue's feature
	squaredLength          float64 // of omega, over all features
	decisionWorker         *worker // whose threshold the open step's decision went by; nil: none
	gradient               float64 // of log pi, for that decision
}

// softThreshold is the learner's state of one worker.
type softThreshold struct {
	theta   float64 // queue length at which the worker joins with probability 1/2
	omega   float64 // the critic's weight of its feature
	updates int
}

// feature is one non-zero entry of phi; a nil worker is the queue's.
type feature struct {
	worker *worker
	value  float64
}

// openStep notes the state and the decision just taken in it.
func (d *dispatcher) openStep() {
	l := &d.learner
	l.features = d.appendFeatures(l.features[:0])
	l.jobs = float64(len(d.queue) + len(d.attempts))
	l.openedAt, l.open = d.now, true
}

// closeStep closes the open step with the state reached now: Algorithm 1, lines 5 to 10.
func (d *dispatcher) closeStep() {
	l := &d.learner
	if !l.open {
		return
	}
	l.open = false
	cost := l.cost(d.now)
	l.nextFeatures = d.appendFeatures(l.nextFeatures[:0])
	delta := l.tdError(cost)
	l.averageCost += averageStep * (cost - l.averageCost)
	l.updateCritic(delta, d.fleet.ranked)
	l.updateActor(delta)
}

// appendFeatures lists the non-zero entries of phi: the queue and the occupied slot shares, over 1+k
// for k workers.
func (d *dispatcher) appendFeatures(to []feature) []feature {
	k := float64(1 + len(d.fleet.ranked))
	if n := len(d.queue); n > 0 {
		to = append(to, feature{nil, min(float64(n)/queueScale, 1) / k})
	}
	for _, a := range d.attempts {
		if w := a.worker; w.listed {
			to = append(to, feature{w, a.request.Slots / max(d.fleet.kindSlots(w), w.usage.slots) / k})
		}
	}
	return to
}

// drawSend draws whether a request goes to w, which is not the fastest, by its soft threshold, or waits.
func (d *dispatcher) drawSend(w *worker) bool {
	p := 1 / (1 + math.Exp(-sharpness*(float64(len(d.queue))-w.threshold.theta)))
	if d.learner.decisionWorker = w; d.random.Float64() >= p {
		d.learner.gradient = sharpness * p
		return false
	}
	d.learner.gradient = -sharpness * (1 - p)
	return true
}

// cost is the job count times elapsed time over the mean step length: events, and so steps, are
// unevenly spaced, where the paper's are sampled at events of equal weight.
func (l *actorCritic) cost(now time.Duration) float64 {
	dt := (now - l.openedAt).Seconds()
	if dt > 0 {
		if l.meanStep == 0 {
			l.meanStep = dt
		}
		l.meanStep += averageStep * (dt - l.meanStep)
	}
	if l.meanStep > 0 {
		return l.jobs * dt / l.meanStep
	}
	return 0
}

// tdError is delta, the temporal-difference error: line 7, bounded.
func (l *actorCritic) tdError(cost float64) float64 {
	delta := cost - l.averageCost + l.value(l.nextFeatures) - l.value(l.features)
	bound := maxTDError * (1 + l.averageCost)
	return min(max(delta, -bound), bound)
}

// value is the critic's value of a state.
func (l *actorCritic) value(phi []feature) float64 {
	v := 0.0
	for _, f := range phi {
		v += f.value * *l.weight(f.worker)
	}
	return v
}

func (l *actorCritic) weight(w *worker) *float64 {
	if w == nil {
		return &l.queueWeight
	}
	return &w.threshold.omega
}

// updateCritic moves omega along phi: line 9. Workers are those listed.
func (l *actorCritic) updateCritic(delta float64, workers []*worker) {
	length := 0.0
	for _, f := range l.features {
		length += f.value * f.value
	}
	k := float64(1 + len(workers))
	beta := criticStep / (length + 1/(k*k))
	for _, f := range l.features {
		o := l.weight(f.worker)
		l.squaredLength -= *o * *o
		*o += beta * delta * f.value
		l.squaredLength += *o * *o
	}
	if radius := queueScale * k; l.squaredLength > radius*radius {
		l.project(radius/math.Sqrt(l.squaredLength), workers)
	}
}

// project brings omega back into its ball (the paper's projection onto the radius R_omega).
func (l *actorCritic) project(scale float64, workers []*worker) {
	l.queueWeight *= scale
	l.squaredLength = l.queueWeight * l.queueWeight
	for _, w := range workers {
		w.threshold.omega *= scale
		l.squaredLength += w.threshold.omega * w.threshold.omega
	}
}

// updateActor moves the threshold that the decision went by: line 10.
func (l *actorCritic) updateActor(delta float64) {
	if l.decisionWorker == nil {
		return
	}
	t := &l.decisionWorker.threshold
	t.theta -= actorStep / (1 + l.averageCost) * delta * l.gradient
	t.theta = min(max(t.theta, 0), queueScale)
	t.updates++
	l.decisionWorker = nil
}
