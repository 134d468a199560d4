package workflowsim

import (
	"fmt"
	"strings"

	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
)

// checkSend judges a send at the moment it is made.
func (s *simulation) checkSend(a *attempt, e *execution) {
	name := stepName(&a.step)
	earlier := s.executions[name]
	s.result.Sends++
	if s.state.Workflows.Claims[a.step.ClaimNumber] == nil {
		s.violation("%s is sent by %s under a claim that was reclaimed", name, e.dispatcher.name)
	}
	if len(earlier) == 0 {
		s.checkLoanEnded(a, name)
		return
	}
	s.result.Repeated++
	for _, o := range earlier {
		// What a frozen dispatcher has at a worker it cancels as soon as it goes on.
		frozen := s.now < o.dispatcher.frozenUntil && o.dispatcher.incarnation == o.incarnation
		if o.end > s.now && !frozen {
			s.violation("%s is sent by %s while it runs for %s", name, e.dispatcher.name, o.dispatcher.name)
		}
	}
	first := earlier[0]
	switch a.step.Class {
	case classOnce:
		s.violation("%s is sent again, %v after %s sent it", name, s.now-first.start, first.dispatcher.name)
	case classKeyed:
		if e.cell != first.cell {
			s.violation("%s goes to cell %d, and went to cell %d", name, e.cell, first.cell)
		}
		if s.now-first.start > dedupWindow {
			s.violation("%s is repeated after %v", name, s.now-first.start)
		}
	}
}

// checkLoanEnded checks that the loan of an item has ended before its package is sent.
func (s *simulation) checkLoanEnded(a *attempt, name string) {
	if a.step.Step != "package" || a.step.Class != classKeyed {
		return
	}
	loan := fmt.Sprintf("%s/loan%v", a.step.Workflow, a.step.Ref.Path)
	if loans := s.executions[loan]; len(loans) != 1 || loans[0].end > s.now {
		s.violation("%s is sent before %s has ended", name, loan)
	}
}

// checkRevokedExecutions judges what is at workers: whoever can cancel it has done so before its claim is reclaimed.
func (s *simulation) checkRevokedExecutions() {
	for _, d := range s.dispatchers {
		for _, number := range d.claimNumbers() {
			a := d.attempts[number]
			running := a.execution != nil && !a.ended && s.now < a.execution.end
			if d.up && s.now >= d.frozenUntil && running && a.step.Class != classOnce && s.state.Workflows.Claims[number] == nil {
				s.violation("%s still runs for %s, which has not cancelled it", stepName(&a.step), d.name)
			}
		}
	}
}

// settled reports whether faults are over and all workflows have ended, or wait for an operator.
func (s *simulation) settled(submitted submissions) bool {
	if s.faultsActive() {
		return false
	}
	for key := range submitted {
		if w := s.state.Workflows.Workflows[key]; w == nil || !endedOrHeld(w) {
			return false
		}
	}
	return true
}

func endedOrHeld(w *claims.Workflow) bool {
	return w.State >= claims.WorkflowDone || w.State == claims.WorkflowHeld
}

// judge judges a run that is over.
func (s *simulation) judge(submitted submissions) {
	s.result.Workflows, s.result.ExpiredClaims = len(submitted), s.state.Workflows.ExpiredClaims
	for key, titles := range submitted {
		switch w := s.state.Workflows.Workflows[key]; {
		case w == nil:
			s.violation("workflow %s is lost", key)
		case !endedOrHeld(w):
			s.violation("workflow %s is %v in the end: %+v", key, w.State, w.EndCounts)
		case w.State == claims.WorkflowDone:
			s.judgeDone(w, titles)
		}
	}
}

// judgeDone checks that all steps of a done workflow are counted, and that those counted as done have run to their end.
func (s *simulation) judgeDone(w *claims.Workflow, titles int) {
	total, done := w.EndCounts.Total(), w.EndCounts.Of(expansion.Done)
	s.result.Steps += total
	s.result.Unknown += w.EndCounts.Of(expansion.Unknown)
	if want := 2*titles + 1; templateFor(titles) == courseTemplate && total != want {
		s.violation("workflow %s has ended with %v of %d steps", w.Key, w.EndCounts, want)
	}
	if ran := s.succeededSteps(w.Key); done > ran {
		s.violation("workflow %s has %d steps done, and %d succeeded at a worker", w.Key, done, ran)
	}
}

// succeededSteps returns how many steps of a workflow have an execution that succeeded.
func (s *simulation) succeededSteps(key string) (count int) {
	for name, all := range s.executions {
		if !strings.HasPrefix(name, key+"/") {
			continue
		}
		for _, e := range all {
			if e.succeeds && e.end <= s.now {
				count++
				break
			}
		}
	}
	return count
}
