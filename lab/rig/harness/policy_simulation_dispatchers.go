package harness

import (
	"fmt"
	"slices"
	"time"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
)

const (
	requestTimeout    = time.Second
	frozenCheck       = 100 * time.Millisecond // after which a frozen dispatcher is looked at again
	requestSlotLength = 100 * time.Millisecond // for PeakRequests
)

// simulatedDispatcher is one dispatcher of a PolicySimulation: its half of the lease.
type simulatedDispatcher struct {
	lease       *policylease.Holder
	name        string
	incarnation uint64
	frozen      bool // stopped: it does nothing, and its clock goes on
	partitioned bool
	coordinator int     // which it calls
	clockRate   float64 // of its own clock, 1 without drift
}

func (r *policyRun) startDispatchers() {
	for i := range r.Dispatchers {
		d := &simulatedDispatcher{name: fmt.Sprintf("d%d", i), coordinator: r.random.IntN(r.Coordinators), clockRate: 1 + policylease.MaxClockDrift*(r.random.Float64()-0.5)}
		r.dispatchers = append(r.dispatchers, d)
		r.restartDispatcher(d)
		r.after(r.between(0, policyLeaseDuration/4), func() { r.requestLease(d, d.incarnation) })
		r.after(r.between(0, policyTick), func() { r.observe(d) })
	}
}

// restartDispatcher begins a new incarnation of a dispatcher.
func (r *policyRun) restartDispatcher(d *simulatedDispatcher) {
	r.serial++
	d.incarnation = r.serial
	d.lease = policylease.New(d.name, d.incarnation, "", r.OnLeaseLoss)
}

// clock is the dispatcher's own, which may run a little fast or slow.
func (r *policyRun) clock(d *simulatedDispatcher) time.Duration {
	return time.Duration(float64(r.now) * d.clockRate)
}

// requestLease has an incarnation ask for a lease, and go on doing so.
func (r *policyRun) requestLease(d *simulatedDispatcher, incarnation uint64) {
	if d.incarnation != incarnation {
		return
	}
	again := func(delay time.Duration) { r.after(delay, func() { r.requestLease(d, incarnation) }) }
	if d.frozen {
		again(frozenCheck)
		return
	}
	sentAt := r.clock(d)
	request := d.lease.NextRequest(sentAt)
	r.sendRequest(d, statemachine.Command{LeaseRequest: &request}, func(result statemachine.Result, ok bool) {
		switch {
		case d.incarnation != incarnation:
		case ok:
			again(r.handleLease(d, sentAt, result))
		default:
			d.coordinator = r.random.IntN(r.Coordinators)
			again(r.between(50*time.Millisecond, 300*time.Millisecond))
		}
	})
}

// handleLease takes in the answer to a lease request, and returns when the next one is due.
func (r *policyRun) handleLease(d *simulatedDispatcher, sentAt time.Duration, result statemachine.Result) time.Duration {
	actions := d.lease.HandleResult(sentAt, result)
	if actions.ApplyPolicy != nil {
		d.lease.PolicyApplied(*actions.ApplyPolicy)
	}
	if actions.CheckChange != nil {
		incarnation := d.incarnation
		vote := d.lease.Vote(actions.CheckChange, "")
		r.sendRequest(d, statemachine.Command{Vote: &vote}, func(_ statemachine.Result, ok bool) {
			if !ok && d.incarnation == incarnation {
				d.lease.VoteLost()
			}
		})
	}
	switch {
	case actions.RequestAgain || actions.ApplyPolicy != nil || actions.CheckChange != nil:
		return 5 * time.Millisecond
	case result.LeaseDuration == 0: // a watch would notify it of what it waits for
		return 20 * time.Millisecond
	default:
		// A watch wakes it at a change; here it asks a little more often instead.
		return r.between(d.lease.RenewalInterval()/4, d.lease.RenewalInterval()/2)
	}
}

// sendRequest has a coordinator carry out a command; done is called once, with the result or, at the time-out, without.
func (r *policyRun) sendRequest(d *simulatedDispatcher, command statemachine.Command, done func(statemachine.Result, bool)) {
	r.countRequest(command)
	over := false
	finish := func(result statemachine.Result, ok bool) {
		if !over {
			over = true
			done(result, ok)
		}
	}
	receive := func(result statemachine.Result) {
		if !d.frozen && !d.partitioned {
			finish(result, true)
		}
	}
	c := r.coordinators[d.coordinator]
	if !d.partitioned {
		r.deliver(func() {
			if c.up {
				r.propose(c, command, receive)
				r.processReady(c)
			}
		})
	}
	r.after(requestTimeout, func() {
		if !d.frozen {
			finish(statemachine.Result{}, false)
		} else if !over {
			r.after(frozenCheck, func() { finish(statemachine.Result{}, false) })
		}
	})
}

// countRequest counts a request, and those of each 100 ms while dispatchers come back after the coordinators were down.
func (r *policyRun) countRequest(command statemachine.Command) {
	r.result.Requests++
	if encoded, err := statemachine.Encode(command); err == nil {
		r.result.RequestBytes += len(encoded)
	}
	if r.phase != afterOutage || r.result.RecoveredAfter > 0 {
		return
	}
	if slot := int(r.now / requestSlotLength); slot != r.requestSlot {
		r.requestSlot, r.slotRequests = slot, 0
	}
	r.slotRequests++
	r.result.PeakRequests = max(r.result.PeakRequests, r.slotRequests)
}

// observe is a request that comes to a dispatcher: what must hold is checked there.
func (r *policyRun) observe(d *simulatedDispatcher) {
	r.after(r.between(20*time.Millisecond, 60*time.Millisecond), func() { r.observe(d) })
	if d.frozen {
		return
	}
	admission := d.lease.Admission(r.clock(d))
	r.admissions.add(admission.Allowed)
	if r.now >= policyLeaseDuration { // before that all are at their start
		r.byPhase[r.phase].add(admission.Allowed)
	}
	if r.phase == afterOutage && r.result.RecoveredAfter == 0 && !slices.ContainsFunc(r.dispatchers, func(o *simulatedDispatcher) bool { return !r.holdsLease(o) }) {
		r.result.RecoveredAfter = r.now - r.outageEnd
	}
	if !admission.Allowed || admission.Unconfirmed { // unconfirmed: by the last policy that it knows, which no lease bounds
		return
	}
	fmt.Fprint(r.digest, d.name, admission.Version)
	r.checkOverlap(d, admission.Version)
	if proposedAt, ok := r.proposedAt[admission.Version]; ok && r.allHaveVersion(admission.Version) {
		r.result.ChangeDurations = append(r.result.ChangeDurations, r.now-proposedAt)
		delete(r.proposedAt, admission.Version)
	}
}

func (r *policyRun) holdsLease(d *simulatedDispatcher) bool { return d.lease.HoldsLease(r.clock(d)) }

// checkOverlap records how long after the first admission under a later version one under this version comes.
func (r *policyRun) checkOverlap(d *simulatedDispatcher, version uint64) {
	if _, ok := r.firstAdmission[version]; !ok {
		r.firstAdmission[version] = r.now
	}
	for later, at := range r.firstAdmission { // the longest, in whatever order
		if later > version && at < r.now {
			r.result.MaxOverlap = max(r.result.MaxOverlap, r.now-at)
			if r.OnLeaseLoss == statemachine.RefuseWork {
				r.addViolation("%s admits under %d, %v after another did under %d", d.name, version, r.now-at, later)
			}
		}
	}
}

// allHaveVersion reports whether all dispatchers that can be reached hold leases under a version, or under a later one.
func (r *policyRun) allHaveVersion(version uint64) bool {
	return !slices.ContainsFunc(r.dispatchers, func(d *simulatedDispatcher) bool {
		return !d.frozen && !d.partitioned && (!r.holdsLease(d) || d.lease.Policy().Version < version)
	})
}
