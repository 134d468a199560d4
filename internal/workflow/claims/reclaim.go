package claims

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/expansion"
)

// Holders returns the DispatcherKeys that hold claims, in order.
func (t *Table) Holders() []string { return slices.Sorted(maps.Keys(t.claimsByHolder)) }

// ReclaimFrom reclaims the claims of a dispatcher whose claim lease has expired: a step that may have run and is not to
// be repeated ends as unknown, any other is ready again. It reports whether dispatchers that wait for steps should ask.
func (t *Table) ReclaimFrom(now time.Duration, holder string) (readyNews bool) {
	for _, number := range slices.Clone(t.claimsByHolder[holder]) {
		claim := t.Claims[number]
		w := t.Workflows[claim.Workflow]
		run := w.Tree.StepRun(claim.Step)
		t.releaseClaim(w, number)
		t.ExpiredClaims++
		if run.IntentSequence == 0 {
			t.requeue(now, w, claim.Step, run, 0)
		} else {
			t.retryOrEnd(now, w, claim.Step, run, expansion.Unknown, "its dispatcher "+holder+" was lost while it may have run", run.RepeatableUntil > 0)
		}
		t.finishIfEnded(now, w)
	}
	return t.takeReadyNews()
}

// ResetAfterRestore makes a table safe to go on from that was restored from a single coordinator, whose state may be
// older than what a majority had agreed on. Whatever had not ended by it may have run since: claimed steps that are not
// to be repeated end as unknown, all other steps of active workflows are handed out as uncertain. skip is added to the
// numbers of claims, so that none is given a second time.
func (t *Table) ResetAfterRestore(now time.Duration, skip uint64) {
	t.LastNumber += skip
	for _, number := range slices.Sorted(maps.Keys(t.Claims)) {
		claim := t.Claims[number]
		w := t.Workflows[claim.Workflow]
		run := w.Tree.StepRun(claim.Step)
		t.releaseClaim(w, number)
		t.retryOrEnd(now, w, claim.Step, run, expansion.Unknown, reasonRestored, run.RepeatableUntil > 0)
	}
	for _, key := range slices.Sorted(maps.Keys(t.Workflows)) {
		if w := t.Workflows[key]; !w.ended() {
			w.RunUncertain = true
			t.finishIfEnded(now, w)
		}
	}
	t.takeReadyNews() // each dispatcher asks anyway when it has found the coordinators again
}
