package main

import "slices"

// Stages of a job's way, in the order in which they follow each other.
const (
	handingIn  = "handed in"        // from the first Submit until the control machines have the job
	waiting    = "waits for room"   // queued, nothing decided yet
	placing    = "placed"           // from the decision until it is committed and told
	ordering   = "ordered"          // from then until the worker has taken the order
	attempts   = "runs not done"    // runs that ended otherwise, and were begun again
	overrun    = "runs longer"      // beyond the client's estimate, until the worker's owner is told of the end
	committing = "end committed"    // until the job's owner knows of the end
	following  = "next step begins" // until the next step's tasks are queued, or the job is shown as over
	unknown    = "unknown"
)

var stageOrder = []string{handingIn, waiting, placing, ordering, attempts, overrun, committing, following, unknown}

// stages is how many seconds of a job's way went into each stage beside the work itself.
type stages map[string]float64

func (s stages) add(stage string, from, to float64) {
	if from > 0 && to > from {
		s[stage] += to - from
	}
}

func (s stages) total() float64 {
	sum := 0.0
	for _, span := range s {
		sum += span
	}
	return sum
}

// sameMessage is within how many seconds a dispatcher logs what one message has told it: that a job is over may stand
// before the end of the job's last run.
const sameMessage = 0.02

// criticalPath walks back from a job's end: the run that ended last before it, what that run's task had waited for,
// and so on until the job was handed in.
//
// Work is how long the runs on the way take on sound workers: what they took, bounded by what the estimate allows.
func criticalPath(j *job) (path stages, work float64) {
	path = stages{}
	end := j.over + sameMessage
	for steps := 0; steps <= len(j.tasks); steps++ {
		name, last := lastRun(j, end)
		if last == nil {
			break
		}
		path.add(following, last.over, min(end, j.over))
		var ran float64
		end, ran = taskStages(path, j.tasks[name], last)
		work += ran
	}
	path.add(handingIn, j.handedIn, j.accepted)
	return path, work
}

// lastRun returns the run that was done last, and begun, before a moment.
func lastRun(j *job, before float64) (name string, last *run) {
	for candidate, known := range j.tasks {
		for _, r := range known.runs {
			earlier := r.how == "done" && r.over <= before && r.placed < before && r.placed > 0
			if earlier && (last == nil || r.over > last.over || r.over == last.over && candidate < name) {
				name, last = candidate, r
			}
		}
	}
	return name, last
}

// taskStages adds what a task went through until its last run was over, and returns when it was first queued, and how
// long its work takes: with the runs that failed, which is mostly the job's own fault.
func taskStages(path stages, known *task, last *run) (first, work float64) {
	path.add(committing, last.endTold, last.over)
	work = last.soundWork()
	path.add(overrun, last.began()+work, last.ended())
	for _, r := range known.runs {
		if r != last && r.how == "failed" && r.over <= last.placed {
			work += r.soundWork()
		}
	}
	path.add(ordering, last.placed, last.started)
	queued := begins(known.queued, last.placed)
	decided := begins(known.decided, last.placed)
	path.add(waiting, queued, decided)
	path.add(placing, decided, last.placed)
	first = queued
	if len(known.queued) > 0 {
		first = known.queued[0]
	}
	path.add(attempts, first, queued)
	return first, work
}

// begins returns the last of some moments before another one, or 0.
func begins(moments []float64, before float64) float64 {
	last := 0.0
	for _, at := range moments {
		if at <= before {
			last = max(last, at)
		}
	}
	return last
}

// loss is what one job lost, and for what.
type loss struct {
	job    *job
	worth  float64 // owed
	lost   float64
	kind   outcome
	stages stages // shares of lost
}

type outcome string

const (
	inTime  outcome = "in aim"
	late    outcome = "late"
	tooLate outcome = "too late"
	failed  outcome = "failed"
	refused outcome = "refused"
	open    outcome = "not over"
)

// weigh tells what a job lost. LateWorth is the part of its worth that a late job earns.
func weigh(j *job, worth, lateWorth float64) loss {
	l := loss{job: j, worth: worth, stages: stages{}}
	path, work := criticalPath(j)
	objective := j.stretch*work + j.target
	switch {
	case j.accepted == 0:
		l.kind, l.lost = refused, worth
		l.stages[handingIn] = worth
		return l
	case j.state == "failed":
		l.kind = failed
		return l // by its own fault mostly: it is owed by the time at which that is shown
	case j.over == 0:
		l.kind, l.lost = open, worth
		l.stages[unknown] = worth
		return l
	case j.over <= j.handedIn+objective:
		l.kind = inTime
		return l
	case j.over > j.handedIn+lateTimes*objective:
		l.kind, l.lost = tooLate, worth
	default:
		l.kind, l.lost = late, worth*(1-lateWorth)
	}
	total := path.total()
	if total <= 0 {
		l.stages[unknown] = l.lost
		return l
	}
	for stage, span := range path {
		l.stages[stage] = l.lost * span / total
	}
	return l
}

// lateTimes is up to how many times the objective a job still counts as late.
const lateTimes = 3

// losses weighs all jobs that have no times and end. A job's worth is 0.3 + 0.7 times its work against the mean of
// its priority, 4 at most.
func losses(t *trace, lateWorth float64) []loss {
	sum, count := map[int]float64{}, map[int]float64{}
	var list []*job
	for _, j := range t.jobs {
		if j.plain && j.handedIn > 0 && j.state != "cancelled" {
			list = append(list, j)
			sum[j.priority] += j.work
			count[j.priority]++
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		switch {
		case a.handedIn < b.handedIn:
			return -1
		case a.handedIn > b.handedIn:
			return 1
		}
		return 0
	})
	weighed := make([]loss, len(list))
	for i, j := range list {
		mean := sum[j.priority] / count[j.priority]
		worth := 1.0
		if mean > 0 {
			worth = min(0.3+0.7*j.work/mean, 4)
		}
		weighed[i] = weigh(j, worth, lateWorth)
	}
	return weighed
}
