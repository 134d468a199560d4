package claims

import (
	"time"

	"yardflow/internal/workflow/expansion"
)

// forever is the RepeatableUntil of steps whose class may be repeated at any time.
const forever = time.Duration(1<<63 - 1)

// hasRepeatWindow reports whether a step may be repeated for a limited time only.
func hasRepeatWindow(run *expansion.StepRun) bool {
	return run.RepeatableUntil > 0 && run.RepeatableUntil < forever
}

// intentVerdict is what becomes of a dispatch intent.
type intentVerdict uint8

const (
	intentRecorded intentVerdict = iota // the step counts as possibly executed, and may be sent
	intentRejected                      // the step must not be sent, and its claim is not held
	intentDeferred                      // nothing changed: the dispatcher asks again, unless a later intent of its own has overtaken this one
)

// recordIntents records that claimed steps are possibly executed from now on.
func (t *Table) recordIntents(now time.Duration, c *DispatchIntents, leases LeaseChecks) (a Answer, err error) {
	holder := DispatcherKey(c.Dispatcher, c.Incarnation)
	if !leases.MayHold(holder) {
		return a, &LeaseError{c.Dispatcher}
	}
	for _, intent := range c.Intents {
		verdict, windowLeft := t.recordIntent(now, holder, intent)
		switch verdict {
		case intentRejected:
			a.Rejected = append(a.Rejected, intent.ClaimNumber)
		case intentRecorded:
			a.Recorded = append(a.Recorded, intent.ClaimNumber)
			if windowLeft > 0 {
				if a.RepeatWindows == nil {
					a.RepeatWindows = map[uint64]time.Duration{}
				}
				a.RepeatWindows[intent.ClaimNumber] = windowLeft
			}
		}
	}
	return a, nil
}

// recordIntent records one intent. For a repeat of a step whose repeat window is limited it also returns what is left of
// the window.
func (t *Table) recordIntent(now time.Duration, holder string, intent DispatchIntent) (v intentVerdict, windowLeft time.Duration) {
	w, claim, run := t.lookupClaim(holder, intent.ClaimNumber)
	if w == nil {
		return intentRejected, 0
	}
	if run.IntentSequence == 0 && w.State != WorkflowRunning {
		t.returnUnstarted(now, w, claim, intent.ClaimNumber, run)
		return intentRejected, 0
	}
	if intent.Sequence < run.IntentSequence {
		return intentDeferred, 0
	}
	duplicate := intent.Sequence == run.IntentSequence
	if hasRepeatWindow(run) && !intent.NotRunBefore {
		// It is sent again while workers drop repeats. How much of that time has passed is known only by a tick whose
		// clock was read after the claim was granted.
		if claim.GrantNumber > t.GrantsSeen {
			return intentDeferred, 0
		}
		if run.RepeatableUntil <= now && !duplicate {
			t.releaseClaim(w, intent.ClaimNumber)
			t.endStep(now, w, claim.Step, endAs(expansion.Unknown, reasonRepeatWindowOver))
			t.finishIfEnded(now, w)
			return intentRejected, 0
		}
		windowLeft = max(run.RepeatableUntil-now, 1)
	}
	if !duplicate {
		markPossiblyExecuted(now, run, intent)
	}
	return intentRecorded, windowLeft
}

// returnUnstarted takes a claimed step back that is not to be started: its workflow is held, closing or compensated.
func (t *Table) returnUnstarted(now time.Duration, w *Workflow, claim *heldClaim, number uint64, run *expansion.StepRun) {
	t.releaseClaim(w, number)
	if run.PossiblyExecutedAt > 0 && w.State > WorkflowHeld {
		t.endStep(now, w, claim.Step, endAs(expansion.Unknown, reasonEndedBeforeRepeat))
	} else {
		t.requeue(now, w, claim.Step, run, 0)
	}
	t.finishIfEnded(now, w)
}

// markPossiblyExecuted changes a step by an intent. Cell and window are those of the first intent, since a worker drops a
// repeat only where and while it remembers the first; NotRunBefore says that there is none.
func markPossiblyExecuted(now time.Duration, run *expansion.StepRun, intent DispatchIntent) {
	if run.IntentSequence == 0 {
		run.Attempts++
	}
	run.IntentSequence = intent.Sequence
	run.StateSince = max(now, 1) // 0 would read as not executed
	if run.PossiblyExecutedAt == 0 || intent.NotRunBefore {
		run.PinnedCell = intent.PinnedCell
		switch {
		case intent.AtMostOnce:
			run.RepeatableUntil = 0
		case intent.DedupWindow > 0:
			run.RepeatableUntil = run.StateSince + intent.DedupWindow
		default:
			run.RepeatableUntil = forever
		}
	}
	run.PossiblyExecutedAt = run.StateSince
}
