// Package achq is the learner of ACHQ dispatch: it tunes soft thresholds on the queue length, beyond which a task goes to
// a slower worker, by an average-cost actor-critic (the paper's Algorithm 1, lines 5 to 10). The cost of a step is the
// number of tasks in the system times its length, so the average cost is what Little's law ties to the time in system.
//
// The paper's symbols: theta is Parameters.Threshold, omega Parameters.ValueWeight, phi the features of a state, sigma
// ThresholdSharpness, alpha ActorStepSize, beta CriticStepSize, zeta AverageStepSize, eta the average cost, l_M
// MaxQueueLength.
//
// The package has no I/O, clock or randomness: its caller draws the decisions and measures the steps. A Learner is not safe
// for concurrent use.
package achq

import "math"

// Constants of the learner. The actor's step size is independent of the scale of costs, the critic's of the number of
// workers.
const (
	ThresholdSharpness = 2.0  // sigma: how steeply the probability rises around the threshold, per queued task
	ActorStepSize      = 0.02 // alpha, per unit of average cost
	CriticStepSize     = 0.05 // beta, per squared norm of the features
	AverageStepSize    = 0.01 // zeta, weight of one step in the average cost and the mean length of steps
	// MaxQueueLength (l_M) is the longest queue that the features tell from longer ones, and the highest threshold.
	MaxQueueLength = 64
	// maxTDError bounds a temporal-difference error, in average costs: a gap or a burst must not throw the learner.
	maxTDError = 5.0
)

// Parameters is what is learned of one worker. Its owner is the caller; the zero value is untrained.
type Parameters struct {
	Threshold   float64 // the actor's: length of the queue from which the worker is rather taken than waited for
	ValueWeight float64 // the critic's: weight of the worker's feature in the value of a state
	Updates     int     // steps in which the threshold was adapted
}

// Feature is a non-zero component of a state. Parameters names the worker that it belongs to; nil is the queue.
type Feature struct {
	Parameters *Parameters
	Value      float64
}

// Features appends the features of the present state to a slice.
type Features func(into []Feature) []Feature

// Learner learns the thresholds of one dispatcher. Its time is cut into steps, from one decision to the next: BeginStep,
// RecordDecision where a threshold decided, EndStep. The zero value is ready for use.
type Learner struct {
	meanStepSeconds float64
	averageCost     float64 // of a step
	queueWeight     float64 // the critic's weight of the queue's feature
	normSquared     float64 // squared norm of all of the critic's weights

	stepOpen      bool
	stepFeatures  []Feature // of the state in which the step began
	stepTasks     float64   // tasks queued and running when it began
	decidedBy     *Parameters
	logGradient   float64   // derivative of the decision's log probability by the threshold
	endedFeatures []Feature // of the state in which the step ended; kept for its memory
}

// AcceptanceProbability returns the probability with which the head of a queue of the given length goes to a slower
// worker.
func AcceptanceProbability(queueLength int, parameters *Parameters) float64 {
	return 1 / (1 + math.Exp(-ThresholdSharpness*(float64(queueLength)-parameters.Threshold)))
}

// RecordDecision records that the open step's decision was drawn at a probability, and its result.
func (l *Learner) RecordDecision(parameters *Parameters, probability float64, accepted bool) {
	l.decidedBy, l.logGradient = parameters, -ThresholdSharpness*(1-probability)
	if !accepted {
		l.logGradient = ThresholdSharpness * probability
	}
}

// BeginStep opens a step in the present state, with so many tasks queued and running.
func (l *Learner) BeginStep(tasks float64, features Features) {
	l.stepFeatures = features(l.stepFeatures[:0])
	l.stepTasks, l.stepOpen = tasks, true
}

// EndStep closes the open step after elapsed seconds, with the state reached now, and learns from it. Workers is the number
// of workers that have parameters. Where the critic's weights have grown beyond their bound, project is called once with
// the factor by which every worker's weight is to shrink. Without an open step it does nothing.
func (l *Learner) EndStep(elapsed float64, workers int, features Features, project func(scale float64)) {
	if !l.stepOpen {
		return
	}
	l.stepOpen = false
	cost := l.stepCost(elapsed)
	l.endedFeatures = features(l.endedFeatures[:0])
	tdError := cost - l.averageCost + l.value(l.endedFeatures) - l.value(l.stepFeatures)
	bound := maxTDError * (1 + l.averageCost)
	tdError = min(max(tdError, -bound), bound)
	l.averageCost += AverageStepSize * (cost - l.averageCost)
	l.updateCritic(tdError, float64(1+workers), project)
	l.updateActor(tdError)
}

// stepCost returns the cost of a step: its tasks times its length, in mean lengths of a step.
func (l *Learner) stepCost(elapsed float64) float64 {
	if elapsed > 0 {
		if l.meanStepSeconds == 0 {
			l.meanStepSeconds = elapsed
		}
		l.meanStepSeconds += AverageStepSize * (elapsed - l.meanStepSeconds)
	}
	if l.meanStepSeconds > 0 {
		return l.stepTasks * elapsed / l.meanStepSeconds
	}
	return 0
}

// updateCritic moves the weights along the features of the state in which the step began. Components is the number of
// features that a state can have.
func (l *Learner) updateCritic(tdError, components float64, project func(scale float64)) {
	length := 0.0
	for _, f := range l.stepFeatures {
		length += f.Value * f.Value
	}
	stepSize := CriticStepSize / (length + 1/(components*components))
	for _, f := range l.stepFeatures {
		weight := l.weight(f.Parameters)
		l.normSquared -= *weight * *weight
		*weight += stepSize * tdError * f.Value
		l.normSquared += *weight * *weight
	}
	if radius := MaxQueueLength * components; l.normSquared > radius*radius {
		scale := radius / math.Sqrt(l.normSquared)
		l.queueWeight *= scale
		l.normSquared *= scale * scale
		project(scale)
	}
}

// updateActor moves the threshold that decided in this step, if one did, against the gradient of the cost.
func (l *Learner) updateActor(tdError float64) {
	if l.decidedBy == nil {
		return
	}
	l.decidedBy.Threshold -= ActorStepSize / (1 + l.averageCost) * tdError * l.logGradient
	l.decidedBy.Threshold = min(max(l.decidedBy.Threshold, 0), MaxQueueLength)
	l.decidedBy.Updates++
	l.decidedBy = nil
}

func (l *Learner) weight(parameters *Parameters) *float64 {
	if parameters == nil {
		return &l.queueWeight
	}
	return &parameters.ValueWeight
}

// value returns the critic's estimate of a state's value.
func (l *Learner) value(features []Feature) float64 {
	v := 0.0
	for _, f := range features {
		v += f.Value * *l.weight(f.Parameters)
	}
	return v
}
