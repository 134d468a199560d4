package dispatch

import (
	"math"
	"time"
)

// Parameters of ACHQ (Algorithm 1 of the paper). The paper's simulations use sigma 1, alpha and beta 1e-3
// and zeta 1e-2 for one fixed system. Here the step sizes are relative to costs and features, so that the
// same values work at any load and fleet size.
const (
	// sharpness is sigma of the soft threshold, per queued request: the probability rises from 12% to 88%
	// between one request below the threshold and one above it. A larger value is closer to a hard threshold
	// and gives the actor less gradient.
	sharpness = 2.0
	// actorStep is alpha, in queued requests per unit of mean cost. It is below criticStep, since the actor
	// must change more slowly than the critic that evaluates it (the two time scales of section 4.1).
	actorStep = 0.02
	// criticStep is beta, relative to the squared length of the features: the critic corrects a twentieth of
	// its error per step. It diverges from a value of 2 on.
	criticStep = 0.05
	// averageStep is zeta, with the paper's value: the means of cost and step length cover some 100 steps.
	// With more, they follow single bursts.
	averageStep = 0.01
	// queueScale is l_M, in requests: the critic does not distinguish queues beyond this length, and no
	// threshold exceeds it.
	queueScale = 64
	// maxTDError bounds the temporal-difference error, as a multiple of the mean cost plus one, so that a
	// pause or a burst of events does not distort the learned weights.
	maxTDError = 5.0
	// learnedThresholdUpdates is the number of updates after which a threshold counts as learned. Until
	// then, each refresh sets it to the ratio of service rates (the paper's baseline RSRT), which makes
	// requests wait too often rather than too seldom.
	learnedThresholdUpdates = 5
)

// actorCritic learns the soft thresholds, the queue lengths from which slower workers are used. It is an
// average-cost actor-critic whose cost is the number of queued and running jobs. The critic's value
// function is linear in the queue length and in the share of each worker's slots that own jobs occupy.
type actorCritic struct {
	features, nextFeatures []feature // phi of the open step and of the state after it
	open                   bool      // a step is open
	openedAt               time.Duration
	jobs                   float64 // number of jobs queued and running during the open step
	meanStep               float64 // mean step length in seconds
	averageCost            float64 // eta
	queueWeight            float64 // omega of the queue's feature
	squaredLength          float64 // squared length of omega over all features
	decisionWorker         *worker // worker whose threshold made the open step's decision; nil: none
	gradient               float64 // gradient of log pi for that decision
}

// softThreshold is the learner's state of one worker.
type softThreshold struct {
	theta   float64 // queue length at which a job is sent to the worker with probability 1/2
	omega   float64 // the critic's weight of the worker's feature
	updates int
}

// feature is one non-zero entry of phi. The queue's feature has a nil worker.
type feature struct {
	worker *worker
	value  float64
}

// openStep starts a step with the current state and the decision just taken.
func (d *dispatcher) openStep() {
	l := &d.learner
	l.features = d.appendFeatures(l.features[:0])
	l.jobs = float64(len(d.queue) + len(d.attempts))
	l.openedAt, l.open = d.now, true
}

// closeStep ends the open step in the current state and updates the learner (Algorithm 1, lines 5 to 10).
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

// appendFeatures appends the non-zero entries of phi: the queue length and the workers' occupied slot shares,
// each divided by 1+k for k workers.
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

// drawSend draws, with the probability of w's soft threshold, whether a request is sent to w, which is not
// the fastest worker. If not, the request waits.
func (d *dispatcher) drawSend(w *worker) bool {
	p := 1 / (1 + math.Exp(-sharpness*(float64(len(d.queue))-w.threshold.theta)))
	if d.learner.decisionWorker = w; d.random.Float64() >= p {
		d.learner.gradient = sharpness * p
		return false
	}
	d.learner.gradient = -sharpness * (1 - p)
	return true
}

// cost is the number of jobs times the step's length over the mean step length. The factor is needed because
// events, and so steps, are unevenly spaced, while the paper gives all steps equal weight.
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

// tdError is delta, the temporal-difference error (line 7), bounded by maxTDError.
func (l *actorCritic) tdError(cost float64) float64 {
	delta := cost - l.averageCost + l.value(l.nextFeatures) - l.value(l.features)
	bound := maxTDError * (1 + l.averageCost)
	return min(max(delta, -bound), bound)
}

// value is the critic's value of a state with the features phi.
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

// updateCritic moves omega along phi (line 9); workers are the listed workers.
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

// project scales omega back into the ball of radius R_omega (the paper's projection).
func (l *actorCritic) project(scale float64, workers []*worker) {
	l.queueWeight *= scale
	l.squaredLength = l.queueWeight * l.queueWeight
	for _, w := range workers {
		w.threshold.omega *= scale
		l.squaredLength += w.threshold.omega * w.threshold.omega
	}
}

// updateActor moves the threshold that made the decision (line 10).
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
