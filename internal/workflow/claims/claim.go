package claims

import (
	"fmt"
	"slices"
	"time"

	"yardflow/internal/workflow/aging"
	"yardflow/internal/workflow/expansion"
)

// DispatcherKey names one incarnation of a dispatcher, the holder of claims.
func DispatcherKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", name, incarnation)
}

// LeaseChecks says what the leases of a dispatcher, by its DispatcherKey, allow it now.
type LeaseChecks struct {
	MayClaim func(holder string) bool // take new claims: it holds a lease under the policy in force
	MayHold  func(holder string) bool // keep its claims and report on them: its claim lease has not expired
}

// claimSteps hands ready steps to a dispatcher. First it repeats the claims that the dispatcher holds and has not seen:
// the answer that told of them was lost.
func (t *Table) claimSteps(now time.Duration, grants uint64, c *ClaimRequest, leases LeaseChecks) (a Answer, err error) {
	holder := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !leases.MayHold(holder) {
		return a, &LeaseError{c.Dispatcher}
	}
	held := t.claimsByHolder[holder]
	for _, number := range held {
		if number > c.LastSeenClaim && len(a.Claimed) < MaxClaimsPerAnswer {
			claim := t.Claims[number]
			claim.GrantNumber = grants // the holder's repeat window starts at this answer, not at the one that was lost
			a.Claimed = append(a.Claimed, t.claimedStep(now, t.Workflows[claim.Workflow], claim.Step, number))
		}
	}
	for n := len(held); leases.MayClaim(holder) && n < c.WantedSteps && len(a.Claimed) < MaxClaimsPerAnswer; n++ {
		w, s, run, ok := t.popClaimable(c.Pools)
		if !ok {
			break
		}
		t.LastNumber++
		run.State, run.StateSince, run.ClaimNumber, run.IntentSequence = expansion.Claimed, now, t.LastNumber, 0
		t.Claims[t.LastNumber] = &heldClaim{w.Key, holder, s.ref, grants}
		t.claimsByHolder[holder] = append(t.claimsByHolder[holder], t.LastNumber)
		w.OpenClaims++
		a.Claimed = append(a.Claimed, t.claimedStep(now, w, s.ref, t.LastNumber))
	}
	a.MoreReady = t.anyClaimable(c.Pools)
	return a, nil
}

// ClaimWouldBeEmpty reports whether a claim request would bring nothing. It may be asked of a coordinator whose state is
// behind, and is a hint only.
func (t *Table) ClaimWouldBeEmpty(c *ClaimRequest) bool {
	held := t.claimsByHolder[DispatcherKey(c.Dispatcher, c.Incarnation)]
	allSeen := len(held) == 0 || held[len(held)-1] <= c.LastSeenClaim
	return c.LastSeenClaim > 0 && allSeen && !t.anyClaimable(c.Pools)
}

// claimedStep describes a claimed step to the dispatcher that holds the claim.
func (t *Table) claimedStep(now time.Duration, w *Workflow, ref expansion.StepRef, number uint64) ClaimedStep {
	n := &w.graph.Nodes[ref.Step]
	run := w.Tree.StepRun(ref)
	s := ClaimedStep{
		ClaimNumber:     number,
		Workflow:        w.Key,
		Template:        w.graph.Template.Name,
		Tenant:          w.graph.Template.Tenant,
		Team:            w.graph.Template.Team,
		Step:            n.Name,
		Class:           n.Class,
		Pool:            n.Pool,
		Ref:             ref,
		ItemValues:      w.Tree.ItemValues(ref),
		PinnedCell:      run.PinnedCell,
		RunUncertain:    w.RunUncertain && !run.ConfirmedNotRun,
		DispatcherShare: w.graph.Template.DispatcherShare,
		ResultUsed:      n.ResultUsed,
		Overdue:         now >= run.EligibleSince+aging.MaxDelay,
	}
	if run.RepeatableUntil > 0 {
		s.RepeatWindowLeft = max(run.RepeatableUntil-now, 1)
	}
	s.Results, s.FanOutCounts = w.Tree.DependencyResults(ref)
	return s
}

// lookupClaim returns the workflow, claim and step of a claim that holder holds. Where it does not, it counts a stale
// report and returns a nil workflow.
func (t *Table) lookupClaim(holder string, number uint64) (*Workflow, *heldClaim, *expansion.StepRun) {
	claim := t.Claims[number]
	if claim == nil || claim.Holder != holder {
		t.StaleReports++
		return nil, nil, nil
	}
	w := t.Workflows[claim.Workflow]
	return w, claim, w.Tree.StepRun(claim.Step)
}

// releaseClaim removes a claim. What becomes of its step is up to the caller.
func (t *Table) releaseClaim(w *Workflow, number uint64) {
	holder := t.Claims[number].Holder
	held := t.claimsByHolder[holder]
	if i, ok := slices.BinarySearch(held, number); ok {
		held = slices.Delete(held, i, i+1)
		t.claimsByHolder[holder] = held
	}
	if len(held) == 0 {
		delete(t.claimsByHolder, holder)
	}
	delete(t.Claims, number)
	w.OpenClaims--
}
