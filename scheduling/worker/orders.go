package worker

import (
	"slices"
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// act orders whatever can be ordered now.
func (a *Owner) act(now time.Duration) {
	if a.IncarnationEnded() || now < a.fencedUntil {
		return
	}
	switch {
	case a.lapsed(now):
		a.giveUp(LeaseExpired)
	case a.silentOffList(now):
		a.giveUp(UnlistedAndSilent)
	}
	settling, starting := !a.contacted, false
	for _, task := range a.tasks() {
		r := a.runs[task]
		if r.phase == running && a.mustMove(now, r) {
			r.Stopping = true
		}
		switch {
		case r.phase == owed:
			settling = true
		case r.phase == wanted && (r.Stopping || !a.reachable || a.unlistedAt > 0):
			a.release(r, taskrun.NotStarted, NeverDispatched)
		case r.phase == wanted && a.contacted && a.fresh(now):
			a.start(now, r)
		case r.phase == wanted:
			starting = true
		case r.phase == running && r.Stopping && (!r.stopSent || now-r.stopAt >= stopAgain):
			a.stop(now, r)
		}
	}
	if now >= a.holdAt {
		a.look(now, settling, starting)
	}
}

// look makes the calls that renew the hold and show what runs. Holds are renewed and starts are sent
// only right behind an answer, so that few orders are lost in a cut, and stay unsettled by that.
func (a *Owner) look(now time.Duration, settling, starting bool) {
	renew := len(a.runs) > 0 && a.mayRenew && a.contacted && a.fresh(now) && now-a.renewedAt >= renewEvery
	if a.short == 0 && (settling || starting || renew || a.suspect || a.owesNote(now) || !a.reachable && len(a.runs) > 0) {
		a.short, a.shortAt = a.hold(now, 0, renew), now
	}
	if a.long == 0 && a.reachable && !a.suspect && !settling && len(a.runs) > 0 {
		a.long = a.hold(now, waitMs, false)
	}
}

// owesNote reports whether an idle worker still waits to be told which of its ends were taken note of. One that
// is at work is told with the next hold.
func (a *Owner) owesNote(now time.Duration) bool {
	return a.reachable && a.contacted && len(a.runs) == 0 && a.lastSeen > a.told && now-a.notedAt >= tellAfter
}

// giveUp reports all that was here as over.
func (a *Owner) giveUp(evidence Evidence) {
	for _, task := range a.tasks() {
		if r := a.runs[task]; r.phase == running || r.phase == owed || r.phase == ordered {
			a.release(r, taskrun.Lost, evidence)
		}
	}
}

func (a *Owner) tasks() []string {
	tasks := make([]string, 0, len(a.runs))
	for task := range a.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

func (a *Owner) hold(now time.Duration, wait int64, renew bool) uint64 {
	a.sequence++
	a.lastSeen = a.noted()
	hold := Poll{Sequence: a.sequence, FencingToken: a.fence(), AcknowledgedEnd: a.lastSeen, WaitMs: wait}
	if renew {
		hold.LeaseUntilMs, a.renewedAt = a.untilMs(now), now
	}
	if a.highest > a.lastSeen {
		hold.WaitMs = 0 // ends that are not noted yet would be told again at once
	}
	a.out.Polls = append(a.out.Polls, hold)
	return a.sequence
}

func (a *Owner) start(now time.Duration, r *run) {
	r.phase, r.fence = ordered, a.fence()
	a.renewedAt = now // a start renews the hold as well
	a.out.Starts = append(a.out.Starts, StartCommand{Task: r.Task, Run: r.Run, Spec: r.Spec,
		LeaseUntilMs: a.untilMs(now), FencingToken: r.fence, Checkpoint: r.Checkpoint})
}

func (a *Owner) stop(now time.Duration, r *run) {
	r.stopSent, r.stopAt = true, now
	a.out.Stops = append(a.out.Stops, StopCommand{r.Task, r.Run, a.fence()})
}

// release reports that a run is not at work and never will be.
func (a *Owner) release(r *run, how taskrun.EndReason, evidence Evidence) {
	r.phase = over
	a.report(0, r.Task, r.Run, how, "", evidence)
}

func (a *Owner) report(number uint64, task string, command uint64, how taskrun.EndReason, saved string,
	evidence Evidence) {
	id, key, ok := job.ParseTaskName(task)
	if !ok {
		if number > 0 {
			a.reported[number] = true
		}
		return
	}
	a.out.Reports = append(a.out.Reports, EndReport{number, taskrun.Ended{Worker: a.id, Job: id, Task: key,
		Run: command, Reason: how, Checkpoint: saved, Token: a.token}, evidence})
}
