package workflowsim

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
)

// faultCases is of how many equally likely cases injectFault draws one; most of them are none.
const faultCases = 40

// injectFault draws what goes wrong next, and with whom.
func (s *simulation) injectFault() {
	if !s.faultsActive() {
		return
	}
	d := s.dispatchers[s.rand.IntN(len(s.dispatchers))]
	switch s.rand.IntN(faultCases) {
	case 0:
		s.killAndRestart(d)
	case 1, 2:
		d.frozenUntil = max(d.frozenUntil, s.now+s.randomDuration(3*leaseDuration))
	case 3, 4:
		d.partitionedUntil = max(d.partitionedUntil, s.now+s.randomDuration(3*leaseDuration))
	case 5:
		if s.oneIn(3) {
			s.noLeaderUntil = max(s.noLeaderUntil, s.now+s.randomDuration(leaseDuration))
		}
	case 6, 7:
		s.restoreFromSnapshot()
	case 8:
		if s.planted == EarlyReclaim {
			s.state.Workflows.ReclaimFrom(s.state.Now, claims.DispatcherKey(d.name, d.incarnation))
		}
	case 9:
		if s.planted == RequeuePossiblyRun {
			s.requeuePossiblyRun()
		}
	case 10:
		s.ticksStalledUntil = s.now + s.randomDuration(leaseDuration)
	case 11, 12:
		s.partitionAfterSlowAnswer(s.longestRunning(d))
	case 13, 14:
		s.actAsOperator()
	}
}

// killAndRestart kills a dispatcher, and with its connections what it has at workers that cancel it; it starts again
// later.
func (s *simulation) killAndRestart(d *dispatcher) {
	d.up, d.frozenUntil = false, 0
	for _, number := range d.claimNumbers() {
		if a := d.attempts[number]; a.execution != nil && a.step.Class != classOnce {
			a.execution.end = min(a.execution.end, s.now)
		}
	}
	s.after(s.randomDuration(2*leaseDuration), func() {
		if !d.up {
			s.start(d)
		}
	})
}

// partitionAfterSlowAnswer has the last lease request of a dispatcher that gets through answered late, and partitions the
// dispatcher then: the lease that it believes in must not outlast the coordinators' count.
func (s *simulation) partitionAfterSlowAnswer(d *dispatcher) {
	d.slowAnswersUntil = max(d.slowAnswersUntil, s.now+20*time.Millisecond)
	s.renewLease(d, d.incarnation)
	s.after(20*time.Millisecond, func() {
		d.partitionedUntil = max(d.partitionedUntil, s.now+leaseDuration+s.randomDuration(leaseDuration))
	})
}

// longestRunning returns the dispatcher whose execution of a repeatable step runs longest from now; d where there is
// none.
func (s *simulation) longestRunning(d *dispatcher) *dispatcher {
	longest := time.Duration(0)
	for _, o := range s.dispatchers {
		for _, number := range o.claimNumbers() {
			if a := o.attempts[number]; a.execution != nil && a.step.Class != classOnce && a.execution.end-s.now > longest {
				d, longest = o, a.execution.end-s.now
			}
		}
	}
	return d
}

// actAsOperator resolves a step that waits for an operator, or now and then cancels a workflow.
func (s *simulation) actAsOperator() {
	for _, key := range slices.Sorted(maps.Keys(s.state.Workflows.Workflows)) {
		w := s.state.Workflows.Workflows[key]
		if w.Tree == nil {
			continue
		}
		if waiting := awaitingOperator(w); waiting != nil {
			s.apply(statemachine.Command{Workflow: &claims.Command{Resolve: &claims.Resolution{Workflow: key, RequestedBy: "o", Step: *waiting, Outcome: claims.OutcomeFailed}}})
			return
		}
		if s.oneIn(60) {
			s.apply(statemachine.Command{Workflow: &claims.Command{Cancel: &claims.Cancellation{Workflow: key, RequestedBy: "o"}}})
			return
		}
	}
}

// awaitingOperator returns the last step that holds a workflow; nil: it is not held.
func awaitingOperator(w *claims.Workflow) (step *expansion.StepRef) {
	if w.State != claims.WorkflowHeld {
		return nil
	}
	w.Tree.ForEachStep(func(ref expansion.StepRef, run *expansion.StepRun) {
		if run.State == expansion.AwaitingOperator {
			step = &ref
		}
	})
	return step
}

// requeuePossiblyRun does what coordinators would do that did not know that a step may have run.
func (s *simulation) requeuePossiblyRun() {
	s.forEachStep(func(run *expansion.StepRun) {
		if run.State == expansion.Claimed {
			run.PossiblyExecutedAt, run.IntentSequence = 0, 0
		}
	})
	for _, holder := range s.state.Workflows.Holders() {
		s.state.Workflows.ReclaimFrom(s.state.Now, holder)
	}
}
