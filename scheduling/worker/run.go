package worker

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// phase is the phase of a run's dispatch.
type phase uint8

const (
	pending    phase = iota // not dispatched yet
	dispatched              // its start command is in flight
	uncertain               // the start command may or may not have been carried out; reconciliation decides which
	running
	ended // its end is reported, but the control machines have not removed the placement yet
)

// A run without progress for longer than both stuckTimeout and stuckFactor times a quarter of its estimate is stopped, so
// that the task continues elsewhere.
const (
	stuckTimeout = 3500 * time.Millisecond
	stuckFactor  = 1.2
)

// run is a run that is placed at the worker.
type run struct {
	taskrun.Placement
	phase        phase
	fencingToken uint64 // token of the newest start command
	// visibleFrom is the sequence of the first poll whose answer must list the run if it is running. Earlier polls may have
	// been answered before the run started.
	visibleFrom        uint64
	stopSent           bool
	stopSentAt         time.Duration
	reportedCheckpoint string        // the newest checkpoint that was reported
	percent            int           // progress, 0 to 100
	progressAt         time.Duration // when percent last changed
	startedAt          time.Duration
	timesFenced        int  // how many times its start was refused because of a higher token
	outdated           bool // refused permanently: a run as new or newer has ended or was stopped at the worker
}

// markRunning records that a run has started.
func (o *Owner) markRunning(now time.Duration, r *run) {
	r.phase, r.visibleFrom, r.progressAt, r.startedAt = running, o.polls.sequence+1, now, now
	if id, _, ok := job.ParseTaskName(r.Task); ok && r.FirstOfJob {
		o.actions.StartedJobs = append(o.actions.StartedJobs, id)
	}
}

// updateRunning updates a run's progress and checkpoint from its entry in the worker's list.
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
	stuckLimit := max(stuckTimeout, time.Duration(stuckFactor*float64(r.EstimateMs))*time.Millisecond/4)
	if !r.Stopping && !r.UntilStopped && now-r.progressAt > stuckLimit {
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

// conclude reports the end of a run that is not running and never will be.
func (o *Owner) conclude(r *run, reason taskrun.EndReason, evidence Evidence) {
	r.phase = ended
	o.reportEnd(EndedRun{Task: r.Task, Run: r.Run, Reason: reason}, evidence)
}

// declareLost reports all runs that may have been running as lost.
func (o *Owner) declareLost(evidence Evidence) {
	for _, task := range o.sortedTasks() {
		if r := o.runs[task]; r.phase == running || r.phase == uncertain || r.phase == dispatched {
			o.conclude(r, taskrun.Lost, evidence)
		}
	}
}
