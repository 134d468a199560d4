package workflowsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/workflow/claimant"
	"yardflow/internal/workflow/claims"
)

const (
	wantedSteps = 3 // claims that a dispatcher holds at once
	reportLimit = 4 // steps of one report
	callTimeout = 200 * time.Millisecond
)

// dispatcher is a simulated dispatcher. It has its own clock, which drifts.
type dispatcher struct {
	name        string
	clockDrift  float64
	incarnation uint64
	up          bool

	claimant *claimant.Claimant
	attempts map[uint64]*attempt // steps it has claimed, by claim number
	leaseSeq uint64              // of its latest lease request
	grant    uint64              // number of the latest grant it has heard of

	reporting, claiming bool // a call is out

	frozenUntil      time.Duration // it does nothing
	partitionedUntil time.Duration // its messages are lost
	slowAnswersUntil time.Duration // answers to commands that arrive take most of a lease
}

// claimNumbers returns the claims of its attempts in order, so that a run follows from its seed alone.
func (d *dispatcher) claimNumbers() []uint64 { return slices.Sorted(maps.Keys(d.attempts)) }

// attempt is a claimed step at a dispatcher.
type attempt struct {
	step      claims.ClaimedStep
	askedAt   time.Duration // of the dispatcher's clock
	cell      int           // that it is sent to
	execution *execution    // nil: it has not been sent
	ended     bool
}

// execution is a step at a worker.
type execution struct {
	start, end  time.Duration // end: it has run, or was cancelled
	cell        int
	dispatcher  *dispatcher
	incarnation uint64
	succeeds    bool
}

// stepName names a step of a workflow, the same for all its attempts.
func stepName(t *claims.ClaimedStep) string {
	return fmt.Sprintf("%s/%s%v", t.Workflow, t.Step, t.Ref.Path)
}

// localTime returns the time of a dispatcher's own clock.
func (s *simulation) localTime(d *dispatcher) time.Duration {
	return time.Hour + time.Duration(float64(s.now)*(1+d.clockDrift))
}

// start starts a new incarnation of a dispatcher.
func (s *simulation) start(d *dispatcher) {
	s.incarnations++
	d.incarnation, d.up, d.leaseSeq, d.grant = s.incarnations, true, 0, 0
	d.claimant, d.attempts, d.reporting, d.claiming = claimant.New(d.name, d.incarnation), map[uint64]*attempt{}, false, false
	s.renewLoop(d, d.incarnation)
	s.workLoop(d, d.incarnation)
}

// renewLoop renews the leases of an incarnation, three times in the duration of one.
func (s *simulation) renewLoop(d *dispatcher, incarnation uint64) {
	s.renewLease(d, incarnation)
	if d.incarnation == incarnation && d.up {
		s.after(leaseDuration/3-s.randomDuration(leaseDuration/15), func() { s.renewLoop(d, incarnation) })
	}
}

// renewLease requests a lease and a claim lease once.
func (s *simulation) renewLease(d *dispatcher, incarnation uint64) {
	s.run(d, incarnation, func() {
		asked := s.localTime(d)
		d.leaseSeq++
		version := s.state.CurrentPolicy().Version
		request := &statemachine.LeaseRequest{Name: d.name, Incarnation: d.incarnation, Seq: d.leaseSeq, KnownVersion: version, ServingVersion: version, CurrentGrant: d.grant}
		s.send(d, statemachine.Command{LeaseRequest: request}, func(r statemachine.Result) {
			if r.ClaimLease > 0 {
				if s.planted == LeaseFromAnswer {
					asked = s.localTime(d)
				}
				if d.claimant.Renew(asked, s.localTime(d), r.ClaimLease, r.Generation) {
					s.cancelRevoked(d)
				}
			}
			d.grant = max(d.grant, r.Grant)
		})
	})
}

// cancelRevoked cancels what a dispatcher has at workers and another may run again: not steps that must never be.
func (s *simulation) cancelRevoked(d *dispatcher) {
	if s.planted == KeepRunningAfterLapse {
		return
	}
	for _, number := range d.claimNumbers() {
		if a := d.attempts[number]; a.execution != nil && a.step.Class != classOnce && !a.ended {
			a.execution.end = min(a.execution.end, s.now)
			s.endAttempt(d, number, a, claims.StepEnd{Outcome: claims.OutcomeUnknown, Repeatable: true, Reason: "cancelled"})
		}
	}
}

func (s *simulation) endAttempt(d *dispatcher, number uint64, a *attempt, e claims.StepEnd) {
	a.ended = true
	e.ClaimNumber = number
	d.claimant.EndStep(e)
	delete(d.attempts, number)
}

// workLoop does what the loops of package workflowsteps do, again and again.
func (s *simulation) workLoop(d *dispatcher, incarnation uint64) {
	s.run(d, incarnation, func() {
		if !d.claimant.CheckLease(s.localTime(d)) {
			s.cancelRevoked(d)
		} else {
			s.report(d)
			s.claim(d)
		}
		for _, number := range d.claimNumbers() {
			s.advance(d, number, d.attempts[number])
		}
	})
	if d.incarnation == incarnation && d.up {
		s.after(5*time.Millisecond+s.randomDuration(10*time.Millisecond), func() { s.workLoop(d, incarnation) })
	}
}

// report reports intents or ends, if there are any and no report is out.
func (s *simulation) report(d *dispatcher) {
	c := d.claimant.NextReport(reportLimit)
	if c == nil || d.reporting {
		return
	}
	d.reporting = true
	incarnation := d.incarnation
	s.send(d, statemachine.Command{Workflow: c}, func(r statemachine.Result) {
		d.reporting = false
		if r.Workflow != nil {
			d.claimant.ReportAnswered(c, *r.Workflow)
			if c.RecordIntents != nil && s.faultsActive() && s.oneIn(60) {
				d.frozenUntil = max(d.frozenUntil, s.now+s.randomDuration(3*leaseDuration)) // between the recorded intent and the first byte
			}
		} else if r.Code == (&claims.LeaseError{}).Code() {
			d.claimant.Invalidate()
			s.cancelRevoked(d)
		}
	})
	s.after(callTimeout, func() { s.run(d, incarnation, func() { d.reporting = false }) })
}

// claim requests steps, if some are wanted and no request is out.
func (s *simulation) claim(d *dispatcher) {
	wanted := wantedSteps
	if d.claimant.NeedsResync() {
		wanted = 0
	} else if d.claimant.HeldSteps() >= wanted {
		return
	}
	if d.claiming {
		return
	}
	d.claiming = true
	incarnation, askedAt := d.incarnation, s.localTime(d)
	request, pending := d.claimant.NextClaim(askedAt, wanted, []string{""})
	s.send(d, statemachine.Command{Workflow: &claims.Command{Claim: request}}, func(r statemachine.Result) {
		d.claiming = false
		if r.Workflow == nil {
			return
		}
		if s.planted == AcceptStaleAnswer {
			_, pending = d.claimant.NextClaim(askedAt, wanted, nil)
		}
		for _, t := range d.claimant.AcceptClaimed(pending, r.Workflow.Claimed) {
			d.attempts[t.ClaimNumber] = &attempt{step: t, askedAt: askedAt, cell: s.rand.IntN(cellCount)}
		}
	})
	s.after(callTimeout, func() { s.run(d, incarnation, func() { d.claiming = false }) })
}

// advance takes an attempt as far as it can go now: it requests the intent to send it, and sends it once it may.
func (s *simulation) advance(d *dispatcher, number uint64, a *attempt) {
	now := s.localTime(d)
	switch {
	case a.execution != nil:
		return
	case d.claimant.Revoked(number) && s.planted != SkipLeaseCheck && s.planted != AcceptStaleAnswer:
		s.endAttempt(d, number, a, claims.StepEnd{Outcome: claims.OutcomeRequeue})
		return
	case a.step.Class == classKeyed && a.step.RepeatWindowLeft > 0 && now-a.askedAt >= a.step.RepeatWindowLeft:
		s.endAttempt(d, number, a, claims.StepEnd{Outcome: claims.OutcomeUnknown, Repeatable: true})
		return
	}
	intent := claims.DispatchIntent{ClaimNumber: number, AtMostOnce: a.step.Class == classOnce, NotRunBefore: a.step.RepeatWindowLeft == 0}
	if a.step.Class == classKeyed {
		if a.step.PinnedCell > 0 {
			a.cell = a.step.PinnedCell - 1
		}
		intent.PinnedCell, intent.DedupWindow = a.cell+1, dedupWindow*9/10 // as in service
	}
	d.claimant.RequestIntent(intent)
	if !s.maySend(d, now, number) {
		return
	}
	if s.oneIn(12) { // the worker cannot be reached: the step has not run
		s.endAttempt(d, number, a, claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: 20 * time.Millisecond})
		return
	}
	s.execute(d, number, a)
}

// maySend reports whether a dispatcher sends a step now, which planted faults make it do too early.
func (s *simulation) maySend(d *dispatcher, now time.Duration, number uint64) bool {
	may := d.claimant.MaySend(now, number)
	switch s.planted {
	case SendWithoutIntent:
		return d.claimant.CheckLease(now) && !d.claimant.Revoked(number)
	case SkipLeaseCheck:
		return d.claimant.IntentRecorded(number)
	}
	return may
}

// execute sends a step to a worker, which runs it for a while.
func (s *simulation) execute(d *dispatcher, number uint64, a *attempt) {
	longest := 400 * time.Millisecond
	if s.oneIn(6) {
		longest = 2 * leaseDuration
	}
	end := s.now + 10*time.Millisecond + s.randomDuration(longest)
	e := &execution{start: s.now, end: end, cell: a.cell, dispatcher: d, incarnation: d.incarnation, succeeds: !s.oneIn(15)}
	a.execution = e
	s.checkSend(a, e)
	name := stepName(&a.step)
	s.executions[name] = append(s.executions[name], e)
	incarnation := d.incarnation
	s.after(e.end-s.now, func() {
		answerLost := s.faultsActive() && s.oneIn(10)
		if e.end != s.now {
			return // it was cancelled
		}
		s.run(d, incarnation, func() {
			if !a.ended {
				s.endAttempt(d, number, a, executionEnd(a, e, answerLost))
			}
		})
	})
}

func executionEnd(a *attempt, e *execution, answerLost bool) claims.StepEnd {
	end := claims.StepEnd{Outcome: claims.OutcomeDone, Repeatable: a.step.Class != classOnce}
	switch {
	case answerLost:
		end.Outcome, end.Reason = claims.OutcomeUnknown, "its answer was lost"
	case !e.succeeds:
		end.Outcome, end.Reason = claims.OutcomeFailed, "failed"
	}
	return end
}
