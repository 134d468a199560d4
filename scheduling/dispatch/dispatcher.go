package dispatch

// Every decision and every constant of the dispatcher is in this file; the
// interface it serves (settings, events, actions) is in api.go, what it
// remembers in state.go.
//
// Reading order: constants; events; the ordinary path (choose, pick);
// actor-critic; request lifecycle and rules (send, settle, finish); worker
// knowledge (speed, room, health, slow start); list following; overload.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/workerpool"
)

const (
	sharpness   = 2.0  // sigma of the soft threshold
	actorStep   = 0.02 // alpha, per unit of mean cost
	criticStep  = 0.05 // beta, per squared length of the features
	averageStep = 0.01 // zeta
	bufferSize  = 64   // l_M: largest held queue the features are scaled for
	tdBound     = 5.0  // TD errors beyond this many mean costs are cut

	tickEvery    = 25 * time.Millisecond
	refreshEvery = time.Second            // speeds of kinds, thresholds, decay
	nearEqual    = 0.25                   // speeds this close (ln) are ranked in an own order
	crossCheap   = 0.05                   // price of crossing, in worths, up to which shares span zones
	crossWeight  = 4.0                    // price of crossing zones, in aims
	foreignCost  = 0.5                    // rank (ln) that a worker outside the own share loses
	holdShare    = 0.25                   // part of the spare time that may be spent holding
	overdueAt    = 3.0                    // a job past this many expected runs is overdue
	surprise     = 1.5                    // bound (ln) on what one job tells of speed
	fullPauses   = 3                      // times the pause after a refusal or late start doubles
	failPauses   = 3                      // and after failures
	trustAt      = 0.1                    // error share above which unsafe jobs stay away
	coldSafety   = 0.3                    // part of the slow-start budget that is used
	guessWeight  = 8.0                    // how much worse a guessed wait is than a known slow run
	sightings    = 4                      // times a higher slot count must be seen
	places       = 8                      // workers looked at for room for a large job
	roomLead     = 2 * time.Second        // before the latest start, room is held from then on
	crowdedAt    = 0.6                    // part of the slots taken from which room is held
	lotPower     = 1.3                    // of speed, in the odds of a lot
	lotRange     = 0.02                   // waits (s) so close are drawn among; shorter ones are none
	lotOwn       = 3.0                    // wait (s) that own jobs in all slots of a worker stand for
	lotAway      = 0.8                    // and being no home
	lotOther     = 0.4                    // and being another class's
	lotOnce      = 1.3                    // times its work that a class with one life has workers for
	lotHomes     = 4.0                    // shares of the fleet that are home then
	takeBack     = 200 * time.Millisecond // unstarted for so long, what may be repeated tries elsewhere
	backShare    = 0.3                    // of first sends: so many taken back, since it may stop no work
	backsMost    = 2.0                    // and so many at once
	lotHope      = 1.5                    // waits of so many times that to spare are mostly tried
	coldFew      = 4                      // dispatchers up to which each may use any cold worker
	lotCold      = 1.2                    // part of the slow-start budget then, over all dispatchers
	lookAhead    = 4                      // held jobs tried when the head fits nowhere
	overtake     = 400 * time.Millisecond // connecting may delay a job so long against a later one
	failWeight   = 0.15                   // error share that one failure tells of
	breakWeight  = 0.07                   // and one broken connection
	logEvery     = 10 * time.Second
)

// ---- events

func (d *dispatcher) Arrive(now time.Duration, q Request, out Actions) {
	d.begin(now, out)
	if d.requests[q.ID] != nil {
		return
	}
	if q.Slots = max(q.Slots, 1); q.ResolvedClass == nil {
		q.ResolvedClass = &d.Classes[min(max(q.Class, 0), len(d.Classes)-1)]
	}
	r := &request{Request: q, class: q.ResolvedClass, stat: d.statOf(q.ResolvedClass), arrived: now,
		deadline: now + q.TimeLeft}
	work := d.work(r)
	aim := r.class.LatencyTarget.Seconds() + r.class.Stretch*work
	spare := max(aim-work*math.Exp(d.midSlow), r.class.LatencyTarget.Seconds()/4)
	if q.ClientRetry {
		// The client's own retry belongs to its first try, whose time ran meanwhile.
		spare -= max(r.class.Deadline-q.TimeLeft, 0).Seconds()
	}
	r.inTime = now + min(max(seconds(spare), 0), q.TimeLeft)
	r.holdUntil = now + time.Duration(holdShare*float64(r.inTime-now))
	r.worth = r.class.Value / r.Slots
	if !d.ValuePerWork {
		r.worth /= work
	}
	if !d.withinQuota(q.Tenant) {
		r.worth *= d.OverQuotaValueShare
	}
	if q.BestEffort { // behind all else, and never to where there is no room
		r.inTime, r.holdUntil, r.worth = r.deadline, r.deadline, 0
	}
	if q.EarlierWorker != nil {
		r.mayRun, r.mayRunAt = &worker{Worker: *q.EarlierWorker}, now-q.EarlierRunAge
	}
	d.enlist(r)
	d.hold(r)
	d.decide(out)
	// The next look at the held queue may come too late for a short-lived retry.
	if r.held && (d.ending(r) || d.hopeless(r)) {
		d.finish(r, out)
	}
}

func (d *dispatcher) AttemptEnded(now time.Duration, o Outcome, out Actions) {
	d.begin(now, out)
	if w := d.workers[o.Worker]; w != nil {
		d.report(w, o.Load, o.Code != Rejected)
	}
	r := d.requests[o.ID]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.pending, func(a *attempt) bool { return a.n == o.Attempt })
	if i < 0 {
		return
	}
	d.settle(r, r.pending[i], o, out)
	d.decide(out)
	if r.held && d.hopeless(r) {
		d.finish(r, out) // no room at once, and nothing to wait for
	}
}

func (d *dispatcher) Notify(now time.Duration, n Notification, out Actions) {
	d.begin(now, out)
	r := d.requests[n.ID]
	if r == nil {
		return
	}
	for _, a := range r.pending {
		if a.n != n.Attempt {
			continue
		}
		a.heard = now
		switch {
		case n.Kind == NotificationStarted && a.started == 0:
			a.started = now
			a.w.startSent = max(a.w.startSent, a.sent)
			d.pace(a, false)
			d.plan(a)
			if a.orphan { // it was only late: it holds a slot after all
				a.orphan = false
				a.w.own += r.Slots
				a.w.ownMem += r.Memory
			}
			a.w.running += r.Slots
			// A low quantile: a mean would take waiting at the workers for the
			// ordinary delay and stop seeing it just when every worker is full.
			delay, typical := (now - a.sent).Seconds(), &d.startDelay[zoneIndex(a.w)]
			a.w.wait.Observe(now, delay)
			d.usual.Observe(delay)
			if delay < *typical {
				*typical += 0.2 * (delay - *typical)
			} else {
				*typical *= 1.02
			}
		case n.Kind == NotificationProgress && n.FractionDone > 0.02 && n.FractionDone <= 1:
			// The share done shows the whole run long before the end.
			if run := (now - a.began()).Seconds() / n.FractionDone; run > 0 {
				d.learnSpeed(r, a.w, run)
			}
		}
	}
}

func (d *dispatcher) StreamStarted(now time.Duration, id RequestID, _ int, out Actions) {
	d.begin(now, out)
	if r := d.requests[id]; r != nil {
		r.deadline = math.MaxInt64 // the answer is the client's now; no deadline runs
	}
}

// Reconfigure takes up new settings: shares anew, and no attempt beyond those allowed now.
func (d *dispatcher) Reconfigure(now time.Duration, s Settings, out Actions) {
	d.begin(now, out)
	d.settings(s)
	d.setHomes()
	d.refresh()
	for _, r := range slices.Clone(d.held) {
		if r.attempts >= d.MaxAttempts {
			d.finish(r, out)
		}
	}
}

func (d *dispatcher) Timer(now time.Duration, _ uint64, out Actions) {
	d.ticking = false
	d.begin(now, out)
	if d.listAt != 0 && now >= d.listAt {
		d.askList(out)
	}
	for _, a := range d.out {
		d.watch(a, out)
	}
	if now >= d.refreshAt {
		d.fadeFlows()
		d.refresh()
	}
	d.tidyRoom()
	d.overdueHeld(out)
	d.tell(out)
}

// ---- the ordinary path

// choose takes ACHQ's decisions at an arrival or completion: the head of the
// held queue goes to the fastest worker with room, at once if that is the
// fastest overall, else with the probability of its soft threshold.
func (d *dispatcher) choose(out Actions) {
	d.step()
	d.rooms(out)
	misfits := 0
	for i := 0; i < len(d.held) && misfits < lookAhead; {
		r := d.held[i]
		f, fastest := d.pick(r)
		if f == nil {
			// A job bound to few workers must not block those behind it.
			misfits++
			if r.Slots == 1 && len(r.refusedBy) == 0 && r.class.WorkerKind < 0 &&
				r.mayRun == nil && r.Pools == 0 {
				break
			}
			i++
			continue
		}
		if f.time > fastest.time*(1+nearEqual) && d.now < r.holdUntil {
			p := 1 / (1 + math.Exp(-sharpness*(float64(len(d.held))-f.theta)))
			d.actor, d.gradient = f, -sharpness*(1-p)
			if d.rnd.Float64() >= p {
				d.gradient = sharpness * p
				d.openStep()
				return
			}
		}
		if !d.send(r, f, out) {
			misfits++
			i++
			continue
		}
		d.openStep() // the next decision of this event is a step of no length
		d.step()
	}
	d.openStep()
}

// pick returns the fastest worker with room for r and the fastest that could run it at all.
func (d *dispatcher) pick(r *request) (f, fastest *worker) {
	if t := d.trial; t != nil && t.Health == OnProbation && t.listed && d.able(t, r) && d.mayStart(t, r) {
		return t, t // one job is to show whether it is good again: a dispatcher may have few for it
	}
	if d.sparse() {
		f = d.lot(r)
		return f, f
	}
	for _, w := range d.rank {
		never := w.limit < 1 && w.home == 0 && d.now-w.reportAt >= d.run // has room, seen at a glance
		if fastest != nil && never || !d.able(w, r) {
			continue
		}
		if fastest == nil {
			fastest = w
		}
		if !d.fits(w, r) || !d.mayStart(w, r) || !d.clear(w, r) ||
			f != nil && d.spare(w) >= d.spare(f) {
			continue
		}
		if f = w; !d.tight { // else the tightest fit, so that slots stay free together
			break
		}
	}
	return f, fastest
}

// rooms sends large jobs that would else miss their time to wherever there is room,
// and has room held for them where they would end first (package room).
func (d *dispatcher) rooms(out Actions) {
	d.tight = false
	if !d.crowded() {
		return
	}
	for i := 0; i < len(d.held); i++ {
		r := d.held[i]
		if d.now >= r.inTime || !d.Backfill.IsLarge(r.Slots, d.work(r)/d.run.Seconds()) {
			continue
		}
		d.tight = true
		w, at := d.soonest(r)
		if w == nil || d.room.ReservationOf(uint64(r.ID)) == nil && at+roomLead < r.inTime {
			continue // nowhere, or in time without
		}
		if f, _ := d.pick(r); f != nil && d.send(r, f, out) {
			i--
		} else {
			d.room.Reserve(d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.capacity(w),
				d.ramp(w), at)
		}
	}
}

// soonest is where r would end first with the room it needs, and when that is free.
func (d *dispatcher) soonest(r *request) (best *worker, at time.Duration) {
	least := time.Duration(math.MaxInt64)
	for _, w := range d.rank[:min(len(d.rank), places)] {
		if d.now < w.trialAt || !d.able(w, r) || !d.mayStart(w, r) {
			continue
		}
		ramp := d.ramp(w)
		free, _, ok := d.room.ShadowTime(d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.capacity(w), ramp)
		if end := free + ramp.RunTimeFrom(free, d.length(r, w).Quantile(0.5)); ok && end < least {
			best, at, least = w, free, end
		}
	}
	return best, at
}

// crowded tells that room may be needed: most slots are taken, and large jobs come.
func (d *dispatcher) crowded() bool {
	return d.room != nil && !d.sparse() && d.room.WarmedUp(d.now) && d.now < d.largeUntil &&
		d.room.UsedSlots() >= crowdedAt*d.fleet
}

// sparse tells that this dispatcher's share is less than one worker.
func (d *dispatcher) sparse() bool { return d.DispatcherCount > len(d.rank) && !d.exact() }

// lot draws the worker for r where shares are too small for counting slots: too few
// jobs pass here to know who has room. Where the last jobs had the least wait this one
// should, at home for as long as it will do, so that a worker's few know its queue; among
// equals by slots and speed. Not by when r would end: all would rush the fastest first.
func (d *dispatcher) lot(r *request) (best *worker) {
	least := math.Inf(1)
	for _, w := range d.rank {
		if d.now < w.trialAt || !d.able(w, r) || !d.mayStart(w, r) {
			continue
		}
		tie := lotRange * d.rnd.ExpFloat64() / (d.slots(w) * math.Pow(d.rate(w), lotPower))
		wait := max(w.wait.Expected(d.now, &d.usual), lotRange) + lotOwn*w.own/d.slots(w) + tie
		if w.pool != r.stat.pool {
			wait += lotOther
		}
		if wait += lotAway * (1 - w.home); wait < least {
			best, least = w, wait
		}
	}
	// Past what the fleet can do, what would wait too long takes the place of what need not.
	if spare := (r.inTime - d.now).Seconds(); best != nil && d.usual.Mean() > spare &&
		d.rnd.Float64() >= lotHope*spare/best.wait.Expected(d.now, &d.usual) {
		r.inTime = d.now
		return nil
	}
	return best
}

// able tells whether w may be given r at all, room aside.
func (d *dispatcher) able(w *worker, r *request) bool {
	switch {
	case r.class.WorkerKind >= 0 && r.class.WorkerKind != w.Kind, r.Pools != 0 && r.Pools&w.Pools == 0,
		!d.allowed(r, w), d.most != 0 && w.jobs >= d.most,
		r.BestEffort && w.busy()+r.Slots > d.homeSlots(w): // room that is surely its own
		return false
	case r.class.Semantics == AtMostOnce && w.bad > trustAt && d.now < r.inTime:
		return false // an unsafe job has one life: not where errors were seen
	case w.Health == Ejected, w.Health == OnProbation && (r.class.Semantics == AtMostOnce || w.jobs > 0):
		return false
	}
	return !slices.Contains(r.refusedBy, w)
}

// overdueHeld sends what has been held as long as holding can pay, demotes
// what can no longer be in time and ends what nobody waits for.
func (d *dispatcher) overdueHeld(out Actions) {
	misfits := 0
	for i := 0; i < len(d.held); {
		r := d.held[i]
		if d.ending(r) || d.hopeless(r) {
			d.finish(r, out)
			continue
		}
		if !r.demoted && d.now >= r.inTime {
			r.demoted = true
			r.worth *= r.class.LateValueShare
			d.unhold(r)
			d.hold(r)
			continue
		}
		// Sent to where it does not fit, a large job would keep a queue waiting; so would any
		// while one is due.
		if d.now >= r.holdUntil && misfits < lookAhead && d.now >= d.forceAt &&
			(!d.crowded() || r.Slots == 1 && !d.tight) {
			r.refusedBy = r.refusedBy[:0]
			f := d.guess(r)
			if d.exact() {
				f, _ = d.pick(r) // where all is known, what has no room would only wait at a worker
			}
			if f != nil && d.send(r, f, out) {
				d.out[len(d.out)-1].forced = true
				d.forceAt = d.now + seconds(d.forceGap*(0.5+d.rnd.Float64()))
				continue
			}
			misfits++
		}
		i++
	}
}

// ---- actor-critic

// step closes the open step with the state reached now: Algorithm 1, lines 5
// to 10. Cost is the job count times elapsed time over the mean step length.
func (d *dispatcher) step() {
	if !d.open {
		return
	}
	d.open = false
	dt := (d.now - d.stepAt).Seconds()
	if dt > 0 {
		if d.meanStep == 0 {
			d.meanStep = dt
		}
		d.meanStep += averageStep * (dt - d.meanStep)
	}
	c := 0.0
	if d.meanStep > 0 {
		c = d.stepJobs * dt / d.meanStep
	}
	d.next = d.features(d.next[:0])
	delta := c - d.eta + d.value(d.next) - d.value(d.phi)
	// A gap or a burst must not throw the learner: bound the TD error.
	bound := tdBound * (1 + d.eta)
	delta = min(max(delta, -bound), bound)
	d.eta += averageStep * (c - d.eta)
	length := 0.0
	for _, f := range d.phi {
		length += f.x * f.x
	}
	k := float64(1 + len(d.rank))
	beta := criticStep / (length + 1/(k*k))
	for _, f := range d.phi {
		o := d.omegaOf(f.w)
		d.omegaLen -= *o * *o
		*o += beta * delta * f.x
		d.omegaLen += *o * *o
	}
	if radius := bufferSize * k; d.omegaLen > radius*radius {
		d.project(radius / math.Sqrt(d.omegaLen))
	}
	if d.actor != nil {
		d.actor.theta -= actorStep / (1 + d.eta) * delta * d.gradient
		d.actor.theta = min(max(d.actor.theta, 0), bufferSize)
		d.actor.visits++
		d.actor = nil
	}
}

// ---- request lifecycle and rules

// allowed keeps rule 2: whether one more attempt may go to w.
func (d *dispatcher) allowed(r *request, w *worker) bool {
	if r.mayRun == nil {
		return true
	}
	if r.out > 0 && !d.Hedging || r.class.Semantics == AtMostOnce {
		return false
	}
	if r.class.Semantics == Retryable {
		return true
	}
	m := r.mayRun
	return d.now < r.mayRunAt+r.class.DedupWindow*9/10 && (r.class.DedupScope == ScopeAll ||
		r.class.DedupScope == ScopeZone && m.Zone == w.Zone ||
		r.class.DedupScope == ScopeCell && m.Cell == w.Cell)
}

// send is the one way to begin an attempt. It keeps rule 1 (nothing after the
// end), rule 2 (allowed), rule 3 (only to workers that are listed as ready)
// and rule 4 (the slow-start budget).
func (d *dispatcher) send(r *request, w *worker, out Actions) bool {
	if r.ended || r.attempts >= d.MaxAttempts || !w.listed || d.now >= r.deadline || !d.allowed(r, w) ||
		!d.mayStart(w, r) {
		return false
	}
	d.spend(w, r)
	d.unhold(r)
	if r.attempts == 0 {
		d.backs = min(d.backs+backShare, backsMost)
	}
	a := &attempt{r: r, w: w, n: r.attempts, at: len(d.out), sent: d.now, heard: d.now}
	d.out = append(d.out, a)
	r.pending = append(r.pending, a)
	r.attempts++
	r.out++
	if r.mayRun == nil {
		r.mayRun, r.mayRunAt = w, d.now
	}
	w.own += r.Slots
	w.ownMem += r.Memory
	w.jobs++
	d.moved()
	w.limit = max(w.limit, 1)
	d.plan(a)
	out.Send(r.ID, w.ID, 0)
	return true
}

// settle takes the end of an attempt: it frees the room, learns, and answers,
// requeues or fails the request.
func (d *dispatcher) settle(r *request, a *attempt, o Outcome, out Actions) {
	w := a.w
	full := w.busy() >= w.limit
	d.drop(r, a)
	run := (d.now - a.began()).Seconds()
	neverRan := o.Code == Rejected || o.Code == ConnectFailed || o.Code == NotSent
	d.pace(a, neverRan)
	switch o.Code {
	case OK:
		w.okSent = max(w.okSent, a.sent)
		d.learnSpeed(r, w, run)
		r.stat.flow.Add(run * r.Slots)
		w.bad *= 0.7
		w.late = 0
		if full && !a.late && !a.overdue {
			d.grow(w, r.Slots)
		}
	case Rejected:
		d.shrink(w, fullPauses)
	case ConnectionLost:
		d.blame(w, breakWeight, out)
	case Failed, TimedOut, ConnectFailed, Unknown:
		if !a.orphan {
			d.blame(w, failWeight, out)
		}
	}
	if neverRan {
		r.refusedBy = append(r.refusedBy, w)
		// Spread the attempts left over the time in which they are of use.
		until := r.inTime
		if d.now >= until {
			until = r.deadline
		}
		r.holdUntil = d.now + (until-d.now)/time.Duration(1+max(d.MaxAttempts-r.attempts, 0))
	}
	d.reprice(w)
	if neverRan && r.mayRun == w && r.mayRunAt == a.sent {
		r.mayRun = nil // the earliest attempt did not run: the next one out counts
		if len(r.pending) > 0 {
			r.mayRun, r.mayRunAt = r.pending[0].w, r.pending[0].sent
		}
	}
	if o.Answered || r.ended {
		d.end(r)
		return
	}
	if r.out > 0 {
		return
	}
	if r.attempts >= d.MaxAttempts || o.FinalAttempt || d.ending(r) || r.mayRun != nil && !d.retryPays(r) {
		d.finish(r, out)
		return
	}
	d.hold(r)
}

// retryPays tells whether a request that may have run can be sent again.
func (d *dispatcher) retryPays(r *request) bool {
	if r.class.Semantics == AtMostOnce {
		return false
	}
	return r.class.Semantics == Retryable || d.now < r.mayRunAt+r.class.DedupWindow/2
}

// recalls tells whether an attempt of r that stands still is cancelled, to try elsewhere.
func (d *dispatcher) recalls(r *request) bool {
	return d.Cancellation && r.attempts < d.MaxAttempts && d.now < r.inTime && d.retryPays(r) && !r.BestEffort
}

// ending tells that r has no time left to be held until the next look but one.
func (d *dispatcher) ending(r *request) bool { return d.now+2*(tickEvery+d.MinEventGap) >= r.deadline }

// hopeless tells that r can no longer be in time and is worth nothing late. It
// is given up, so its answer is due now: held on to near its deadline it would
// only keep the client from asking again.
func (d *dispatcher) hopeless(r *request) bool {
	return d.now >= r.inTime && r.class.LateValueShare == 0
}

// finish gives the final answer of a request that will not be served. The advice
// is to stay away until a slot may come free.
func (d *dispatcher) finish(r *request, out Actions) {
	refusable := r.mayRun == nil || r.class.Semantics == Retryable ||
		r.class.Semantics == Deduplicated && r.class.DedupScope == ScopeAll
	if refusable {
		at := max(d.run, seconds(d.forceGap))
		if span := min(seconds(d.cold*d.SlowStartTime.Seconds()), d.MaxRetryAfter-at); span > 0 {
			at += time.Duration(d.rnd.Float64() * float64(span)) // while much is cold no one wave comes back
		}
		out.Reject(r.ID, min(d.MaxRetryAfter, at))
	} else {
		out.Fail(r.ID)
	}
	d.end(r)
}

// hold puts r into the held queue: most worth per slot-time first, then oldest.
func (d *dispatcher) hold(r *request) {
	if r.held || r.ended {
		return
	}
	r.held = true
	i, _ := slices.BinarySearchFunc(d.held, r, func(a, b *request) int {
		if c := cmp.Compare(b.worth, a.worth); c != 0 {
			return c
		}
		return cmp.Compare(a.arrived, b.arrived+1)
	})
	d.held = slices.Insert(d.held, i, r)
}

// ---- worker knowledge

// price works out the time a job is taken to need at w, the measure of rank.
func (d *dispatcher) price(w *worker) {
	w.time = math.Exp(d.meanRun + d.kindOf(w).slow + w.slow + w.late)
	if w.cross {
		w.time += d.crossing
	}
	w.time *= math.Exp(nearEqual*w.order+foreignCost*(1-w.home)+3*w.bad) / d.warmth(w)
}

// refresh ages what is known and sets thresholds that have not learned yet:
// the paper's ratio of service rates, less the jobs' own run, for own share.
func (d *dispatcher) refresh() {
	d.refreshAt = d.now + refreshEvery
	d.setPools()
	for i := range d.kinds {
		d.kinds[i].more *= 0.9 // once a kind: faded once a worker, sightings never added up
	}
	aim := 0.0
	for i := range d.Classes {
		aim += d.Classes[i].LatencyTarget.Seconds() + d.Classes[i].Stretch*d.run.Seconds()
	}
	d.crossing = d.startDelay[1] + crossWeight*d.CrossZoneCost*aim/float64(len(d.Classes))
	for _, w := range d.rank {
		w.bad *= 0.9
		w.late *= 0.8 // a job still overdue raises it again
		// What was gained beyond the own share is given back where it is not used.
		if home := d.homeSlots(w); w.limit > home && w.busy() < w.limit {
			w.limit = max(home, w.limit-0.5)
		}
		d.price(w)
	}
	slices.SortStableFunc(d.rank, func(a, b *worker) int { return cmp.Compare(a.time, b.time) })
	for i, w := range d.rank {
		w.pos = i
	}
	rates, slots, mid, cold := 0.0, 0.0, 0.0, 0.0
	for _, w := range d.rank {
		n, mu := d.slots(w), 1/w.time
		if w.visits < 5 {
			w.theta = min(max(rates/mu-slots, 0)/float64(d.DispatcherCount), bufferSize)
		}
		rates += n * mu
		slots += n
		mid += n * (d.kindOf(w).slow + w.slow)
		cold += n * (1 - d.warmth(w))
	}
	d.fleet = slots
	if slots > 0 {
		d.midSlow, d.cold = mid/slots, cold/slots
	}
}

// fits tells whether w has room for r. Beyond the slot limit there is room where
// a fresh report leaves a slot to spare for other dispatchers that saw it too; not
// where room is held, since a report may be older than what was sent.
func (d *dispatcher) fits(w *worker, r *request) bool {
	if w.reportAt != 0 && d.now-w.reportAt < d.run && !d.exact() {
		spare := w.free - w.own - r.Slots
		if spare < 0 || w.freeMem >= 0 && w.freeMem-w.ownMem < r.Memory {
			return false
		} else if spare >= 1 && !d.crowded() {
			return true
		}
	}
	if w.home > 0 && d.now >= w.trialAt {
		w.limit = max(w.limit, d.homeSlots(w)) // back to the own share after a pause
	}
	if w.busy() > 0 && w.ownMem+w.othersMem+r.Memory > d.slots(w) {
		return false
	}
	return w.busy()+r.Slots <= w.limit || w.busy() == 0 && w.limit >= 1
}

// guess picks for a job that can be held no longer the worker where it should end first by what
// is known, room or not: a report fades into the worker's average, and trialAt counts as busy.
func (d *dispatcher) guess(r *request) *worker {
	var best *worker
	least := math.Inf(1)
	for _, w := range d.rank {
		if w.time >= least {
			break // ranked by time: none behind can end sooner
		}
		if !d.able(w, r) || !d.mayStart(w, r) || !d.clear(w, r) {
			continue
		}
		wait := d.wait(w, r)
		if wait > 0 && r.demoted {
			continue
		}
		if t := w.time + wait; t < least {
			best, least = w, t
		}
	}
	return best
}

// wait is the time that r is taken to wait for room at w.
func (d *dispatcher) wait(w *worker, r *request) float64 {
	run := d.run.Seconds()
	free := max(w.limit, 1) - w.busy()
	if w.reported {
		fade := max(1-(d.now-w.reportAt).Seconds()/(2*run), 0)
		free = w.freeMean - w.own + (w.free-w.freeMean)*fade
	}
	if d.now < w.trialAt {
		free = min(free, 0)
	}
	return guessWeight * max(r.Slots-free, 0) * run / d.slots(w)
}

// setHomes gives this dispatcher its own share of the workers' slots. All
// dispatchers lay the workers on one circle by size and each takes an arc of its
// fair length, from its own number on: with many dispatchers that see each worker
// rarely, equal limits everywhere would add up to many times what the fleet holds.
// What lies outside is reached by trial, once holding is used up. Where crossing
// zones is dear the circle is that of the own zone, and arcs may overlap. Each pool has
// a circle of its own.
func (d *dispatcher) setHomes() {
	for _, c := range d.circles(d.CrossZoneCost < crossCheap) {
		arc := c.all / float64(d.DispatcherCount)
		start := math.Mod(arc*float64(d.DispatcherIndex), max(c.near, 1e-9))
		if d.sparse() {
			arc = min(lotHomes*arc, c.near)
		} else if d.exact() {
			arc = c.near // what others fill is known: every worker is everyone's
		}
		c.lay(start, arc)
	}
}

// setPools parts the workers among the classes where shares are small, in the measure of
// the work that each brings; they are then its own, at a price to others (lot).
func (d *dispatcher) setPools() {
	shares := []float64{1}
	if d.sparse() {
		shares = shares[:0]
		for i := range d.Classes {
			share := d.statOf(&d.Classes[i]).flow.Estimate()
			if d.Classes[i].Semantics == AtMostOnce {
				share *= lotOnce // its jobs can't be taken back, so more of its workers must be free
			}
			shares = append(shares, share)
		}
	}
	if workerpool.SharesChanged(d.shares, shares) {
		d.shares = shares
		d.setHomes()
	}
}

func (d *dispatcher) homeSlots(w *worker) float64 { return math.Round(w.home * d.slots(w)) }

// grow raises the slot limit after a clean completion at it. Not during the
// pause after a shrink: at a steady load every raise costs a job that waits.
func (d *dispatcher) grow(w *worker, freed float64) {
	if !d.StartNotifications && len(d.LoadFields) == 0 {
		d.seeSlots(w, w.own+freed)
	}
	if k := d.kindOf(w); d.now >= w.trialAt && (w.limit < k.slots || d.now >= k.growAt && !d.crowded()) {
		w.limit++
		w.misses /= 2
	}
}

// shrink lowers the slot limit to what runs there now; the way back is one
// trial after a jittered pause.
func (d *dispatcher) shrink(w *worker, pauses int) {
	pause := d.run.Seconds() * (0.5 + d.rnd.Float64())
	if k := d.kindOf(w); w.limit > k.slots {
		// The whole kind was tried beyond what it was seen to run; ask less and less often.
		k.growAt = d.now + seconds(pause*math.Exp2(float64(min(k.misses, 8))))
		k.misses++
	}
	w.limit = min(w.limit, w.busy())
	w.reportAt = 0
	w.trialAt = d.now + seconds(pause*math.Exp2(float64(min(w.misses, pauses))))
	w.misses++
}

// watch looks at an attempt that is still out: no start note, an overdue run
// or silence lowers its worker's limit and rank before any outcome does.
func (d *dispatcher) watch(a *attempt, out Actions) {
	w, r := a.w, a.r
	if !a.orphan && d.lost(a) {
		a.orphan = true
		if a.started != 0 {
			w.running -= r.Slots
		}
		w.own, w.ownMem = max(w.own-r.Slots, 0), max(w.ownMem-r.Memory, 0)
		d.unplan(a)
		if d.recalls(r) {
			d.backs = max(d.backs-1, 0)
			out.Cancel(r.ID, a.n)
		}
	}
	if a.orphan {
		return
	}
	if a.started == 0 {
		w.wait.ObserveAtLeast(d.now, (d.now - a.sent).Seconds(), &d.usual)
	}
	if d.StartNotifications && a.started == 0 && !a.late &&
		(d.now-a.sent).Seconds() > 3*d.startDelay[zoneIndex(w)]+(2*d.MinEventGap).Seconds()+0.01 {
		a.late = true
		d.pace(a, true)
		w.own -= r.Slots
		d.shrink(w, fullPauses)
		w.own += r.Slots
	}
	if a.started != 0 {
		d.seeSlots(w, w.running)
	}
	age, expect := (d.now - a.began()).Seconds(), d.expect(r, w)
	if age <= overdueAt*expect {
		return
	}
	if !a.overdue {
		a.overdue = true
		w.limit = min(w.limit, max(w.busy(), 1))
	}
	if a.started != 0 && d.ProgressInterval > 0 && d.now-a.heard < d.ProgressInterval*3/2 {
		return // a long job that still tells its progress
	}
	if late := math.Log(age / (overdueAt * expect)); late > w.late+0.1 {
		w.late = late
		d.reprice(w)
	}
}

// lost tells that no more is to be heard of a, and that its worker is not to
// blame: in strict order a job sent well after it could not have started first,
// and a run very far past what is expected, while later ones end well, is a stream that stopped.
func (d *dispatcher) lost(a *attempt) bool {
	if a.started == 0 {
		return d.FIFOWorkers && d.StartNotifications && (a.w.startSent > a.sent+overtake ||
			d.sparse() && d.now-a.sent > takeBack && d.backs >= 1 && d.recalls(a.r))
	}
	return a.w.okSent > a.sent && (d.now-a.started).Seconds() > 4*overdueAt*d.expect(a.r, a.w) &&
		(d.ProgressInterval == 0 || d.now-a.heard > 2*d.ProgressInterval)
}

// blame counts a failure. The worker loses rank and, if it isn't a single broken
// connection, its slots for a pause that grows while it goes on failing and ends in
// a trial. When all fail, all lose alike. One failure after a good time is mostly
// chance: it costs a few seconds, and each that follows soon costs more.
func (d *dispatcher) blame(w *worker, weight float64, out Actions) {
	w.bad = min(1.5*w.bad+weight, 1)
	if w.bad > trustAt {
		d.shrink(w, failPauses)
	}
	if w.bad > 0.75 {
		d.log(out, "failing", fmt.Sprintf("worker %x fails, next trial in %v", uint64(w.ID), w.trialAt-d.now))
	}
}

// warmth is the share of its capacity a worker has at the least.
func (d *dispatcher) warmth(w *worker) float64 {
	age := d.now - w.Launched
	if w.Launched == 0 || age >= d.SlowStartTime {
		return 1
	}
	return max(d.SlowStartShare+(1-d.SlowStartShare)*float64(max(age, 0))/float64(d.SlowStartTime), 0.05)
}

// mayStart keeps the slow-start budget: part of what a cold worker bears, split by own
// share (split evenly, its few owners could hardly use it), from a random phase.
func (d *dispatcher) mayStart(w *worker, r *request) bool {
	if d.warmth(w) == 1 {
		return true
	}
	share := w.home
	if d.coldPart >= 0 {
		share = d.coldPart // all parts that the fleet hands out come to one whole
	} else if d.sparse() {
		share *= lotCold / lotHomes
	} else if d.exact() {
		share /= float64(d.DispatcherCount)
	} else if d.DispatcherCount <= coldFew {
		share = max(share, 0.5/float64(d.DispatcherCount)) // its one home may have taken it out, or be down
	}
	cost := r.Slots * d.expect(r, w)
	bears := d.CrashLoadFactor * d.warmth(w) * d.slots(w)
	if share == 0 || bears*d.CrashLoadTime.Seconds() < 2*cost {
		return false
	}
	rate := coldSafety * bears * share
	if w.tokensFor != w.Launched {
		w.tokensFor, w.tokensAt = w.Launched, d.now
		w.tokens = -d.rnd.Float64() * cost
	}
	w.tokens = min(w.tokens+rate*(d.now-w.tokensAt).Seconds(), cost/2)
	w.tokensAt = d.now
	return w.tokens >= 0
}

// ---- list following

func (d *dispatcher) UpdateWorkers(now time.Duration, form ListForm, list []Worker, out Actions) {
	d.begin(now, out)
	if form == ListFailed {
		d.listFails++
		pause := 0.2 * math.Exp2(float64(min(d.listFails, 5))) * (0.5 + d.rnd.Float64())
		d.listAt = now + min(seconds(pause), max(d.ListRefreshInterval/2, tickEvery))
		if d.listFails == 8 {
			d.log(out, "list", "list service fails; going on with the last list")
		}
		return
	}
	d.listStamp++
	changed := false
	for _, l := range list {
		changed = d.enter(l) || changed
	}
	for _, w := range d.rank {
		if form != ListDelta && form != ListOverride && w.stamp != d.listStamp {
			w.listed, changed = false, true
		}
	}
	if changed { // shares and ranks are dear on a large fleet
		d.rank = slices.DeleteFunc(d.rank, d.left)
		d.setHomes()
		d.refresh()
	}
	switch {
	case form == ListOverride: // whatever is owed by the list service stays owed
	case form != ListCached:
		d.listAt, d.listFails = 0, 0
	case d.MustSubscribe:
		d.askList(out)
	}
	d.decide(out)
}

func (d *dispatcher) askList(out Actions) {
	d.listAt = 0 // exactly one list answers, a failed one at the worst
	out.Subscribe()
}

// enter takes in one entry and tells whether it changes the fleet.
func (d *dispatcher) enter(l Worker) bool {
	w := d.know(l.ID)
	restarted := w.Launched != l.Launched
	if restarted {
		w.slow, w.seen, w.bad, w.late, w.limit = 0, 0, 0, 0, 0
		w.trialAt, w.misses, w.reportAt = 0, 0, 0 // what its last life was blamed for
		w.wait.Observe(d.now, 0)                  // nothing waits there yet
	}
	if w.Worker = l; l.Health == OnProbation {
		d.trial = w
	}
	if w.stamp, w.Kind = d.listStamp, max(l.Kind, 0); w.Weight <= 0 {
		w.Weight = 1
	}
	w.cross = l.Zone != d.Zone
	was := w.listed
	w.listed = l.State == Ready
	if ranked := w.pos < len(d.rank) && d.rank[w.pos] == w; w.listed && !ranked {
		w.pos = len(d.rank)
		d.rank = append(d.rank, w)
	}
	return w.listed != was || restarted
}

// ---- overload

// pace spaces out forced sends while most of them are refused or kept waiting:
// such attempts cost workers and dispatchers time, use up the attempts of their
// requests and move the queue to where nothing can be taken back or reordered.
func (d *dispatcher) pace(a *attempt, wasted bool) {
	if run := d.run.Seconds(); a.forced && wasted {
		d.forceGap = min(max(d.forceGap*1.3, run/256), 4*run)
	} else if a.forced {
		d.forceGap /= 2
	}
	a.forced = false
}
