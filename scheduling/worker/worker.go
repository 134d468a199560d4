// Package worker is the part of a dispatcher that owns a worker: it starts what
// is placed there, renews the hold, collects ends and settles orders that got no
// answer. At most one run of a task is at work because an order without an answer
// is settled by a list that the worker gave under a higher fence token.
//
// An Agent has no I/O, clock or randomness: it is handed events with the time and
// returns the calls to make and the reports to bring to the control machines.
package worker

import (
	"time"

	"yardflow/scheduling/taskrun"
)

// Bounds of an agent.
const (
	tokenShift        = 20   // an owner's token has room for this many bits of own settlements
	waitMs            = 600  // a look waits so long for an end
	holdMs            = 3200 // a hold lasts so long: longer than a takeover takes, short enough to give up lost workers
	clockSlow         = 0.98 // a worker's clock runs at this rate at least
	renewEvery        = 600 * time.Millisecond
	freshFor          = 15 * time.Millisecond    // an answer shows for so long that orders will arrive
	lateBound         = 12500 * time.Millisecond // an order without an answer may still be carried out for so long
	quickFailure      = 60 * time.Millisecond    // a call that fails sooner broke with its connection
	lapseMargin       = 150 * time.Millisecond
	foreignHold       = 40 * time.Second // for what a former owner may have ordered, where the worker never answered
	retryPause        = 250 * time.Millisecond
	fencesBeforePause = 3                      // rejections of one run's orders for a higher token
	tellAfter         = 800 * time.Millisecond // an idle worker is told of noted ends so late, all at once
	notedWithin       = 500 * time.Millisecond // ends wait so long for the control machines before the next hold
	stopAgain         = 600 * time.Millisecond
	stuckAfter        = 3500 * time.Millisecond // a run whose progress stands still so long is moved
	stuckFactor       = 1.2                     // and for this many times its estimate
	endsAtOnce        = 500                     // ends in a list at most: a full list does not show what it lacks
	otherLivesProve   = 2                       // answers of another life in a row, before this one counts as over
	offListSilence    = time.Second             // for which one that is not listed any more must have been silent
)

type phase uint8

const (
	wanted  phase = iota // to be started
	ordered              // the order is under way
	owed                 // the order got no answer
	running
	over // reported as ended
)

type run struct {
	taskrun.Placement
	phase     phase
	fence     uint64 // of the last order
	knownFrom uint64 // holds from this sequence on know of the run
	stopAt    time.Duration
	stopSent  bool
	saved     string
	percent   int
	movedAt   time.Duration
	startedAt time.Duration
	fences    int
	outdated  bool // the worker will not start this run any more
}

// Owner owns one worker.
type Owner struct {
	id        string
	token     uint64
	bumps     uint64
	holdMaxMs int64 // that this owner gives
	mostMs    int64 // that any owner can have given
	runs      map[string]*run

	clockMs  int64 // of the worker, at clockAt here
	clockAt  time.Duration
	hasClock bool

	contacted     bool // a list was answered under this token
	reachable     bool // the last short look was answered
	suspect       bool // a long one was not
	shortAt       time.Duration
	quickFailures int // short looks in a row whose connections broke at once
	answeredAt    time.Duration
	createdAt     time.Duration
	renewedAt     time.Duration
	untilMax      int64         // the longest hold that any order gave, on the worker's clock
	lateUntil     time.Duration // until then, an order without an answer may lengthen the hold
	lateFence     uint64        // of the newest such order
	mayRenew      bool

	sequence    uint64
	long        uint64        // sequence of the waiting hold under way, or 0
	short       uint64        // sequence of the settling hold under way, or 0
	holdAt      time.Duration // no look before then
	lastSeen    uint64
	told        uint64          // AcknowledgedEnd of the newest hold that was answered
	notedAt     time.Duration   // when the control machines last had ends that the worker is to be told of
	checkpoints uint64          // reported under this token
	reported    map[uint64]bool // ends reported, true once the control machines have them
	highest     uint64
	fencedUntil time.Duration // no orders before then: a higher token than this owner's was there again and again
	otherLives  int           // answers in a row that came from another life at the address
	unlistedAt  time.Duration // since when the platform's list lacks the worker; 0: it is listed
	leavesAt    time.Duration // the worker drains and leaves then; 0: nothing is known of that
	out         Actions
}

// NewOwner returns the agent of a worker under an owner's token.
func NewOwner(now time.Duration, id string, token uint64, holdMaxMs int64) *Owner {
	return &Owner{id: id, token: token, holdMaxMs: min(holdMaxMs, holdMs), mostMs: holdMaxMs, runs: map[string]*run{},
		reported: map[uint64]bool{}, createdAt: now, answeredAt: now - time.Second, renewedAt: now - time.Second,
		reachable: true, mayRenew: true}
}

// Token returns the owner's token.
func (a *Owner) Token() uint64 { return a.token }

// IncarnationEnded reports whether the worker's life is proven to be over.
func (a *Owner) IncarnationEnded() bool { return a.otherLives >= otherLivesProve }

func (a *Owner) fence() uint64 { return a.token<<tokenShift | min(a.bumps, 1<<tokenShift-1) }

// untilMs returns until when an order is to hold, and keeps that it may have given so much.
func (a *Owner) untilMs(now time.Duration) int64 {
	until := a.clockMs + (now - a.clockAt).Milliseconds() + a.holdMaxMs
	a.untilMax = max(a.untilMax, until)
	return until
}

// fresh reports whether the worker has answered so lately that an order will reach it.
func (a *Owner) fresh(now time.Duration) bool { return a.hasClock && now-a.answeredAt <= freshFor }

// mayLengthen keeps that an order without an answer may be carried out later, and its time count from then.
func (a *Owner) mayLengthen(now time.Duration, fence uint64) {
	hold := time.Duration(float64(a.holdMaxMs)/clockSlow) * time.Millisecond
	a.lateUntil = max(a.lateUntil, now+lateBound+hold)
	a.lateFence = max(a.lateFence, fence)
}

// lapsed reports whether everything that ran at a silent worker is over for certain.
func (a *Owner) lapsed(now time.Duration) bool {
	if a.reachable {
		return false
	}
	if !a.contacted {
		return now-a.createdAt > foreignHold
	}
	return a.holdsOver(now) && now > a.lateUntil
}

// holdsOver reports whether every hold is over that orders gave which were carried out at once. Orders carried out
// late may have given longer ones.
func (a *Owner) holdsOver(now time.Duration) bool {
	from, left := a.clockAt, max(a.untilMax-a.clockMs, 0)
	if !a.contacted {
		from, left = a.createdAt, a.mostMs // a former owner may have given so much until then
	}
	return now > from+time.Duration(float64(left)/clockSlow)*time.Millisecond+lapseMargin
}

// silentOffList reports whether a worker that the platform's list lacks has given no sign since, and its holds are
// over. The list alone is no proof: one that answers goes on, and one that is cut off runs on until its hold is over.
// What the list adds is that no late order is carried out there any more.
func (a *Owner) silentOffList(now time.Duration) bool {
	silent := !a.reachable && a.answeredAt < a.unlistedAt && now-a.unlistedAt >= offListSilence
	return a.unlistedAt > 0 && silent && a.holdsOver(now)
}

// SetListed enters whether the platform's list has the worker.
func (a *Owner) SetListed(now time.Duration, listed bool) {
	switch {
	case listed:
		a.unlistedAt = 0
	case a.unlistedAt == 0:
		a.unlistedAt, a.suspect = max(now, 1), true // a look shows whether it is there
	}
	a.act(now)
}

// SetPlacement enters what is to run, or that it is to stop. One that is not fresh may have been ordered by a
// former owner, which the first list under this owner's token settles.
func (a *Owner) SetPlacement(now time.Duration, placement taskrun.Placement) {
	known := a.runs[placement.Task]
	if known != nil && known.Run == placement.Run {
		known.Stopping = known.Stopping || placement.Stopping
		a.act(now)
		return
	}
	if known != nil && known.Run > placement.Run {
		return
	}
	entered := &run{Placement: placement, phase: owed, movedAt: now, saved: placement.Checkpoint}
	if placement.Undispatched {
		entered.phase = wanted
	}
	a.runs[placement.Task] = entered
	a.act(now)
}

// RemovePlacement enters that a run is over for the system.
func (a *Owner) RemovePlacement(now time.Duration, task string, number uint64) {
	if known := a.runs[task]; known != nil && known.Run == number {
		delete(a.runs, task)
	}
	a.act(now)
}

// RetainPlacements drops all runs that are not named: a new snapshot does not have them.
func (a *Owner) RetainPlacements(named map[string]uint64) {
	for task, known := range a.runs {
		if named[task] != known.Run {
			delete(a.runs, task)
		}
	}
}

// Tick is called now and then. Without mayRenew, holds are no longer renewed: the owner has been out
// of touch with the control machines for so long that another one may count on that.
func (a *Owner) Tick(now time.Duration, mayRenew bool) {
	a.mayRenew = mayRenew
	a.act(now)
}

// TakeActions returns the calls to make since the last one.
func (a *Owner) TakeActions() Actions {
	out := a.out
	a.out = Actions{}
	return out
}

// noted returns the number up to which the control machines have all ends.
func (a *Owner) noted() uint64 {
	seen := a.lastSeen
	for a.reported[seen+1] {
		seen++
		delete(a.reported, seen)
	}
	if seen > a.lastSeen {
		a.lastSeen = seen
	}
	return a.lastSeen
}

// AcknowledgeEnd enters that the control machines have an end.
func (a *Owner) AcknowledgeEnd(now time.Duration, number uint64) {
	if number > a.lastSeen {
		a.reported[number] = true
	}
	if before := a.lastSeen; a.noted() > before {
		a.notedAt = now
	}
	if a.lastSeen >= a.highest {
		a.holdAt = 0
	}
	a.act(now)
}
