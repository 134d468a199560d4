// Package achq is the learner of ACHQ dispatch: soft thresholds for slower
// workers, tuned by an average-cost actor-critic (../docs: the paper's Algorithm
// 1, lines 5 to 10). It is shared by the dispatcher in service and the system.
// It has no I/O, clock or randomness.
package achq

import "math"

// Constants of the learner, in the paper's names.
const (
	ThresholdSharpness = 2.0  // sigma of the soft threshold
	ActorStepSize      = 0.02 // alpha, per unit of mean cost
	CriticStepSize     = 0.05 // beta, per squared length of the features
	AverageStepSize    = 0.01 // zeta
	MaxQueueLength     = 64   // l_M: largest held queue the features are scaled for
	tdBound            = 5.0  // TD errors beyond this many mean costs are cut
)

// Parameters is what is learned of one worker.
type Parameters struct {
	Threshold   float64 // soft threshold on the held queue
	ValueWeight float64 // weight in the value of a state
	Updates     int     // steps in which the threshold was moved
}

// Feature is a non-zero part of the state's description; Arm is nil for the held queue.
type Feature struct {
	Parameters *Parameters
	Value      float64
}

// Learner learns the thresholds of one dispatcher.
type Learner struct {
	MeanStepSeconds   float64 // mean length of a step, s
	AverageCost       float64 // mean cost of a step
	QueueWeight       float64 // weight of the held queue
	WeightNormSquared float64 // squared length of all weights

	StepOpen          bool
	Features          []Feature
	StepCost          float64     // tasks queued and running at the step's beginning
	DecidedBy         *Parameters // whose threshold decided in this step
	LogPolicyGradient float64     // of log pi for that decision
	next              []Feature
}

// AcceptanceProbability returns the probability with which the head of a queue of the given length goes to a
// slower worker.
func AcceptanceProbability(held int, arm *Parameters) float64 {
	return 1 / (1 + math.Exp(-ThresholdSharpness*(float64(held)-arm.Threshold)))
}

// RecordDecision enters that the open step's decision was drawn at the probability p.
func (l *Learner) RecordDecision(arm *Parameters, p float64, accepted bool) {
	l.DecidedBy, l.LogPolicyGradient = arm, -ThresholdSharpness*(1-p)
	if !accepted {
		l.LogPolicyGradient = ThresholdSharpness * p
	}
}

// BeginStep opens a step in the state that features describes.
func (l *Learner) BeginStep(cost float64, features func(into []Feature) []Feature) {
	l.Features = features(l.Features[:0])
	l.StepCost, l.StepOpen = cost, true
}

// EndStep closes the open step after the given time, s, with the state reached now. Workers are the
// arms there are; project is called with the factor by which every arm's weight is to shrink.
func (l *Learner) EndStep(elapsed float64, workers int, features func(into []Feature) []Feature, project func(scale float64)) {
	if !l.StepOpen {
		return
	}
	l.StepOpen = false
	if elapsed > 0 {
		if l.MeanStepSeconds == 0 {
			l.MeanStepSeconds = elapsed
		}
		l.MeanStepSeconds += AverageStepSize * (elapsed - l.MeanStepSeconds)
	}
	cost := 0.0
	if l.MeanStepSeconds > 0 {
		cost = l.StepCost * elapsed / l.MeanStepSeconds
	}
	l.next = features(l.next[:0])
	delta := cost - l.AverageCost + l.value(l.next) - l.value(l.Features)
	// A gap or a burst must not throw the learner: bound the TD error.
	bound := tdBound * (1 + l.AverageCost)
	delta = min(max(delta, -bound), bound)
	l.AverageCost += AverageStepSize * (cost - l.AverageCost)
	l.learnValue(delta, float64(1+workers), project)
	if l.DecidedBy != nil {
		l.DecidedBy.Threshold -= ActorStepSize / (1 + l.AverageCost) * delta * l.LogPolicyGradient
		l.DecidedBy.Threshold = min(max(l.DecidedBy.Threshold, 0), MaxQueueLength)
		l.DecidedBy.Updates++
		l.DecidedBy = nil
	}
}

func (l *Learner) learnValue(delta, k float64, project func(scale float64)) {
	length := 0.0
	for _, f := range l.Features {
		length += f.Value * f.Value
	}
	beta := CriticStepSize / (length + 1/(k*k))
	for _, f := range l.Features {
		weight := l.weight(f.Parameters)
		l.WeightNormSquared -= *weight * *weight
		*weight += beta * delta * f.Value
		l.WeightNormSquared += *weight * *weight
	}
	if radius := MaxQueueLength * k; l.WeightNormSquared > radius*radius {
		scale := radius / math.Sqrt(l.WeightNormSquared)
		l.QueueWeight *= scale
		l.WeightNormSquared *= scale * scale
		project(scale)
	}
}

func (l *Learner) weight(arm *Parameters) *float64 {
	if arm == nil {
		return &l.QueueWeight
	}
	return &arm.ValueWeight
}

func (l *Learner) value(phi []Feature) float64 {
	v := 0.0
	for _, f := range phi {
		v += f.Value * *l.weight(f.Parameters)
	}
	return v
}
