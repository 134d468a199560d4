package dispatcher

import (
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/placement"
)

// schedule runs a scheduling cycle of every service and proposes the decisions to the control machines. Without a session it
// does nothing, because no decision could be committed.
func (d *Dispatcher) schedule(now time.Duration) {
	if !d.uplink.attached {
		return
	}
	for _, scheduler := range d.schedulers {
		for _, decision := range scheduler.Schedule(now) {
			d.propose(scheduler, decision)
		}
	}
}

// propose submits a decision as a PlaceTasks command. Until the outcome is known, the tasks count as placed and their demand
// as reserved.
func (d *Dispatcher) propose(scheduler *placement.Scheduler, decision placement.Decision) {
	unit := decision.Unit
	owned := d.jobs[unit.Job.ID]
	command := &statemachine.PlaceTasks{Session: d.uplink.session, Job: unit.Job.ID}
	for i, index := range unit.TaskIndices {
		key := job.TaskKey{Repetition: unit.StepKey.Repetition, Step: unit.StepKey.Step, Index: index}
		command.Targets = append(command.Targets, statemachine.Target{Task: key, Worker: decision.Workers[i],
			Alternatives: decision.Alternatives})
		if owned != nil {
			owned.EnsureTask(key).Worker = decision.Workers[i] // so that the next decisions respect anti-affinity
		}
	}
	d.logger.Debug().Str("job", unit.Job.ID).Int("repeat", unit.StepKey.Repetition).Int("step", unit.StepKey.Step).
		Ints("tasks", unit.TaskIndices).Msg("decided")
	demand := unit.Step().Demand()
	d.uplink.submit(&statemachine.Command{PlaceTasks: command}, func(statemachine.Result) {
		for _, target := range command.Targets {
			scheduler.ReleaseReservation(target.Worker, demand)
		}
		d.handleProposalOutcome(command)
	})
}

// handleProposalOutcome makes those tasks of a proposal ready again that were not placed. Placed tasks are tracked already,
// because the updates of a commit arrive before its outcome.
func (d *Dispatcher) handleProposalOutcome(command *statemachine.PlaceTasks) {
	owned := d.jobs[command.Job]
	if owned == nil {
		return
	}
	for _, target := range command.Targets {
		delete(owned.enqueued, target.Task)
		if _, tracked := owned.runs[target.Task]; !tracked {
			if task := owned.EnsureTask(target.Task); task.Worker == target.Worker {
				task.Worker = ""
			}
		}
	}
	d.jobsToEnqueue[command.Job] = true
}

// diagnoseAfter is how long a task waits before a debug log explains why, and the minimum time between two such logs.
const diagnoseAfter = 2 * time.Second

// logDiagnoses logs at debug level which tasks have waited for longer than diagnoseAfter, and why.
func (d *Dispatcher) logDiagnoses(now time.Duration) {
	if d.logger.GetLevel() > zerolog.DebugLevel || now-d.diagnosedAt < diagnoseAfter {
		return
	}
	d.diagnosedAt = now
	for service, scheduler := range d.schedulers {
		for _, diagnosis := range scheduler.ExplainWaiting(now, diagnoseAfter) {
			d.logger.Debug().Str("service", service).Interface("waiting", diagnosis).Msg("no feasible worker")
		}
	}
}
