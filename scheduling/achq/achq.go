// Package achq implements the learner of ACHQ (actor-critic for heterogeneous queues) by Jali, Qu, Wang and Joshi
// (Efficient Reinforcement Learning for Routing Jobs in Heterogeneous Queueing Systems). It learns soft thresholds on the
// queue length, beyond which a task goes to a slower worker, by an average-cost actor-critic (the paper's Algorithm 1,
// lines 5 to 10). The cost of a step is the number of tasks in the system times the step's length, so by Little's law the
// average cost is proportional to the mean time in the system.
//
// The paper's symbols: theta is Parameters.Threshold, omega Parameters.ValueWeight, phi the features of a state, sigma
// ThresholdSharpness, alpha ActorStepSize, beta CriticStepSize, zeta AverageStepSize, eta the average cost, l_M
// MaxQueueLength.
//
// The package has no I/O, clock or randomness: the caller draws the decisions and measures the steps. A Learner is not safe
// for concurrent use.
package achq

import "math"

// Constants of the learner. The actor's step size does not depend on the scale of costs, and the critic's does not depend
// on the number of workers.
const (
	ThresholdSharpness = 2.0  // sigma: how steeply the probability rises around the threshold, per queued task
	ActorStepSize      = 0.02 // alpha, divided by 1 + the average cost
	CriticStepSize     = 0.05 // beta, divided by the squared norm of the features
	AverageStepSize    = 0.01 // zeta, weight of one step in the average cost and the mean length of steps
	// MaxQueueLength (l_M) is the queue length above which the features do not distinguish lengths, and the highest
	// threshold.
	MaxQueueLength = 64
	// maxTDError bounds a temporal-difference error, in units of 1 + the average cost, so that a single pause or burst does
	// not change the learned values much.
	maxTDError = 5.0
)

// Parameters holds the learned parameters of one worker. The caller owns it; the zero value is untrained.
type Parameters struct {
	Threshold   float64 // of the actor: queue length beyond which a task goes to this worker instead of waiting
	ValueWeight float64 // of the critic: weight of the worker's feature in the value of a state
	Updates     int     // number of steps that updated the threshold
}

// Feature is a non-zero component of a state's feature vector. Parameters identifies the worker that it belongs to; nil
// means the queue.
type Feature struct {
	Parameters *Parameters
	Value      float64
}

// Features appends the features of the present state to a slice.
type Features func(into []Feature) []Feature

// Learner learns the thresholds of one dispatcher. A step lasts from one decision to the next. The caller calls
// BeginStep and EndStep for each step and, if a threshold drew its decision, RecordDecision before EndStep. The zero value
// is ready for use.
type Learner struct {
	meanStepSeconds float64
	averageCost     float64 // of one step
	queueWeight     float64 // the critic's weight for the queue's feature
	normSquared     float64 // squared norm of all of the critic's weights

	stepOpen      bool
	stepFeatures  []Feature   // of the state in which the step began
	stepTasks     float64     // tasks queued and running when it began
	decidedBy     *Parameters // of the worker whose threshold decided; nil: none
	logGradient   float64     // derivative of the decision's log probability with respect to the threshold
	endedFeatures []Feature   // of the state in which the step ended; kept to reuse its memory
}

// AcceptanceProbability returns the probability with which the head of a queue of the given length goes to a slower
// worker.
func AcceptanceProbability(queueLength int, parameters *Parameters) float64 {
	return 1 / (1 + math.Exp(-ThresholdSharpness*(float64(queueLength)-parameters.Threshold)))
}

// RecordDecision records that a decision was drawn at a probability, and its result. The next EndStep that closes a step
// learns from it; of several decisions before it, from the last one.
func (l *Learner) RecordDecision(parameters *Parameters, probability float64, accepted bool) {
	l.decidedBy, l.logGradient = parameters, -ThresholdSharpness*(1-probability)
	if !accepted {
		l.logGradient = ThresholdSharpness * probability
	}
}

// BeginStep opens a step in the present state, with the given number of tasks queued and running.
func (l *Learner) BeginStep(tasks float64, features Features) {
	l.stepFeatures = features(l.stepFeatures[:0])
	l.stepTasks, l.stepOpen = tasks, true
}

// EndStep closes the open step after elapsed seconds, in the state reached now, and learns from it. Workers is the number of
// workers that have parameters. If the critic's weights have grown beyond their bound, project is called once with the
// factor by which the caller must scale every worker's weight. Without an open step, EndStep does nothing.
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

// stepCost returns the cost of a step: its number of tasks times its length, in units of the mean step length.
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
	featuresNormSquared := 0.0
	for _, f := range l.stepFeatures {
		featuresNormSquared += f.Value * f.Value
	}
	stepSize := CriticStepSize / (featuresNormSquared + 1/(components*components))
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

// updateActor moves the threshold that decided in this step, if any, against the gradient of the cost.
func (l *Learner) updateActor(tdError float64) {
	if l.decidedBy == nil {
		return
	}
	l.decidedBy.Threshold -= ActorStepSize / (1 + l.averageCost) * tdError * l.logGradient
	l.decidedBy.Threshold = min(max(l.decidedBy.Threshold, 0), MaxQueueLength)
	l.decidedBy.Updates++
	l.decidedBy = nil
}

// weight returns the critic's weight for a worker's feature, or for the queue's feature if parameters is nil.
func (l *Learner) weight(parameters *Parameters) *float64 {
	if parameters == nil {
		return &l.queueWeight
	}
	return &parameters.ValueWeight
}

// value returns the critic's estimate of a state's value.
func (l *Learner) value(features []Feature) float64 {
	sum := 0.0
	for _, f := range features {
		sum += f.Value * *l.weight(f.Parameters)
	}
	return sum
}
