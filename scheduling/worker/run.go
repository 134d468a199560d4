package worker

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// phase is how far the dispatch of a run has come.
type phase uint8

const (
	pending    phase = iota // to be dispatched
	dispatched              // its start command is in flight
	uncertain               // the command may or may not have been carried out; reconciliation shows which
	running
	ended // its end is reported, and the control machines have not removed the placement yet
)

// A run whose progress has stood still for longer than stuckAfter and for stuckFactor times a quarter of its estimate is
// stopped, so that the task goes on elsewhere.
const (
	stuckAfter  = 3500 * time.Millisecond
	stuckFactor = 1.2
)

// run is a run that is placed at the worker.
type run struct {
	taskrun.Placement
	phase        phase
	fencingToken uint64 // of the newest start command
	// visibleFrom is the first poll that lists the run if it is at work: earlier ones may have been answered before it
	// started.
	visibleFrom        uint64
	stopSent           bool
	stopSentAt         time.Duration
	reportedCheckpoint string // the newest one that was reported
	percent            int
	progressAt         time.Duration // when percent last changed
	startedAt          time.Duration
	timesFenced        int
	outdated           bool // the worker has refused the run for good: a newer one has ended or was stopped there
}

// markRunning records that a run is at work.
func (o *Owner) markRunning(now time.Duration, r *run) {
	r.phase, r.visibleFrom, r.progressAt, r.startedAt = running, o.polls.sequence+1, now, now
	if id, _, ok := job.ParseTaskName(r.Task); ok && r.FirstOfJob {
		o.actions.StartedJobs = append(o.actions.StartedJobs, id)
	}
}

// updateRunning takes in a running task's entry in the worker's list: its progress and its newest checkpoint.
func (o *Owner) updateRunning(now time.Duration, r *run, status RunStatus) {
	if r.phase == ended {
		return
	}
	if r.phase != running {
		o.markRunning(now, r)
	}
	if status.Percent != r.percent {
		r.percent, r.progressAt = status.Percent, now
	}
	if r.RecordCheckpoints && status.Checkpoint != "" && status.Checkpoint != r.reportedCheckpoint {
		r.reportedCheckpoint = status.Checkpoint
		o.reportCheckpoint(r)
	}
	stuck := max(stuckAfter, time.Duration(stuckFactor*float64(r.EstimateMs))*time.Millisecond/4)
	if !r.Stopping && !r.UntilStopped && now-r.progressAt > stuck {
		r.Stopping = true
		o.recordFault(stuckRunFault)
	}
}

func (o *Owner) reportCheckpoint(r *run) {
	id, key, ok := job.ParseTaskName(r.Task)
	if !ok {
		return
	}
	o.checkpoints++
	o.actions.Checkpoints = append(o.actions.Checkpoints, taskrun.Checkpoint{Worker: o.id, Job: id, Task: key,
		Run: r.Run, Data: r.reportedCheckpoint, Token: o.token, Sequence: o.checkpoints})
}

// conclude reports that a run is not at work and never will be.
func (o *Owner) conclude(r *run, reason taskrun.EndReason, evidence Evidence) {
	r.phase = ended
	o.reportEnd(EndedRun{Task: r.Task, Run: r.Run, Reason: reason}, evidence)
}

// declareLost reports all runs as lost that may have been at work.
func (o *Owner) declareLost(evidence Evidence) {
	for _, task := range o.sortedTasks() {
		if r := o.runs[task]; r.phase == running || r.phase == uncertain || r.phase == dispatched {
			o.conclude(r, taskrun.Lost, evidence)
		}
	}
}
