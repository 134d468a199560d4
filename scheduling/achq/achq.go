// Package achq is the learner of ACHQ dispatch: soft thresholds for slower
// workers, tuned by an average-cost actor-critic (../docs: the paper's Algorithm
// 1, lines 5 to 10). It is shared by the dispatcher in service and the system.
// It has no I/O, clock or randomness.
package achq

import "math"

// Constants of the learner, in the paper's names.
const (
	Sharpness   = 2.0  // sigma of the soft threshold
	ActorStep   = 0.02 // alpha, per unit of mean cost
	CriticStep  = 0.05 // beta, per squared length of the features
	AverageStep = 0.01 // zeta
	BufferSize  = 64   // l_M: largest held queue the features are scaled for
	tdBound     = 5.0  // TD errors beyond this many mean costs are cut
)

// Arm is what is learned of one worker.
type Arm struct {
	Theta  float64 // soft threshold on the held queue
	Omega  float64 // weight in the value of a state
	Visits int     // steps in which the threshold was moved
}

// Feature is a non-zero part of the state's description; Arm is nil for the held queue.
type Feature struct {
	Arm *Arm
	X   float64
}

// Learner learns the thresholds of one dispatcher.
type Learner struct {
	MeanStep float64 // mean length of a step, s
	Eta      float64 // mean cost of a step
	Omega0   float64 // weight of the held queue
	OmegaLen float64 // squared length of all weights

	Open     bool
	Phi      []Feature
	Cost     float64 // tasks queued and running at the step's beginning
	Actor    *Arm    // whose threshold decided in this step
	Gradient float64 // of log pi for that decision
	next     []Feature
}

// Accept returns the probability with which the head of a queue of the given length goes to a
// slower worker.
func Accept(held int, arm *Arm) float64 {
	return 1 / (1 + math.Exp(-Sharpness*(float64(held)-arm.Theta)))
}

// Decided enters that the open step's decision was drawn at the probability p.
func (l *Learner) Decided(arm *Arm, p float64, accepted bool) {
	l.Actor, l.Gradient = arm, -Sharpness*(1-p)
	if !accepted {
		l.Gradient = Sharpness * p
	}
}

// Begin opens a step in the state that features describes.
func (l *Learner) Begin(cost float64, features func(into []Feature) []Feature) {
	l.Phi = features(l.Phi[:0])
	l.Cost, l.Open = cost, true
}

// End closes the open step after the given time, s, with the state reached now. Workers are the
// arms there are; project is called with the factor by which every arm's weight is to shrink.
func (l *Learner) End(elapsed float64, workers int, features func(into []Feature) []Feature, project func(scale float64)) {
	if !l.Open {
		return
	}
	l.Open = false
	if elapsed > 0 {
		if l.MeanStep == 0 {
			l.MeanStep = elapsed
		}
		l.MeanStep += AverageStep * (elapsed - l.MeanStep)
	}
	cost := 0.0
	if l.MeanStep > 0 {
		cost = l.Cost * elapsed / l.MeanStep
	}
	l.next = features(l.next[:0])
	delta := cost - l.Eta + l.value(l.next) - l.value(l.Phi)
	// A gap or a burst must not throw the learner: bound the TD error.
	bound := tdBound * (1 + l.Eta)
	delta = min(max(delta, -bound), bound)
	l.Eta += AverageStep * (cost - l.Eta)
	l.learnValue(delta, float64(1+workers), project)
	if l.Actor != nil {
		l.Actor.Theta -= ActorStep / (1 + l.Eta) * delta * l.Gradient
		l.Actor.Theta = min(max(l.Actor.Theta, 0), BufferSize)
		l.Actor.Visits++
		l.Actor = nil
	}
}

func (l *Learner) learnValue(delta, k float64, project func(scale float64)) {
	length := 0.0
	for _, f := range l.Phi {
		length += f.X * f.X
	}
	beta := CriticStep / (length + 1/(k*k))
	for _, f := range l.Phi {
		weight := l.weight(f.Arm)
		l.OmegaLen -= *weight * *weight
		*weight += beta * delta * f.X
		l.OmegaLen += *weight * *weight
	}
	if radius := BufferSize * k; l.OmegaLen > radius*radius {
		scale := radius / math.Sqrt(l.OmegaLen)
		l.Omega0 *= scale
		l.OmegaLen *= scale * scale
		project(scale)
	}
}

func (l *Learner) weight(arm *Arm) *float64 {
	if arm == nil {
		return &l.Omega0
	}
	return &arm.Omega
}

func (l *Learner) value(phi []Feature) float64 {
	v := 0.0
	for _, f := range phi {
		v += f.X * *l.weight(f.Arm)
	}
	return v
}
