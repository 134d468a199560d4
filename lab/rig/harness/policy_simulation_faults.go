package harness

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"yardflow/internal/fleet/statemachine"
)

// proposePolicy is an operator who proposes the next policy, and goes on doing so.
func (r *policyRun) proposePolicy() {
	r.after(r.between(time.Second, 4*time.Second), r.proposePolicy)
	c := r.coordinators[r.random.IntN(r.Coordinators)]
	if !c.up || r.now > r.Length*9/8 {
		return
	}
	base := c.state.CurrentPolicy().Version
	r.serial++
	proposal := &statemachine.Proposal{ID: fmt.Sprint("c", r.serial), Text: fmt.Appendf(nil, "attempts = %d\n", r.serial), BaseVersion: base, Author: "sim", SkipUnresponsive: r.random.IntN(2) == 0}
	r.propose(c, statemachine.Command{Proposal: proposal}, func(result statemachine.Result) {
		if result.Err == "" {
			r.proposedAt[base+1] = r.now
		}
	})
	r.processReady(c)
}

// injectFault injects one fault, and goes on doing so until faults are over.
func (r *policyRun) injectFault() {
	if r.faultsOver {
		return
	}
	r.after(r.between(100*time.Millisecond, 900*time.Millisecond), r.injectFault)
	switch r.random.IntN(6) {
	case 0, 1:
		r.crashAnyCoordinator()
	case 2:
		r.crashLeader()
	case 3:
		r.forSomeDispatchers(func(d *simulatedDispatcher) {
			d.frozen = true
			r.after(r.between(100*time.Millisecond, 4*time.Second), func() { d.frozen = false })
		})
	case 4:
		r.forSomeDispatchers(func(d *simulatedDispatcher) {
			d.partitioned = true
			r.after(r.between(100*time.Millisecond, 4*time.Second), func() { d.partitioned = false })
		})
	case 5: // they are killed, and start again
		r.forSomeDispatchers(func(d *simulatedDispatcher) {
			r.restartDispatcher(d)
			incarnation := d.incarnation
			r.after(r.between(100*time.Millisecond, 2*time.Second), func() { r.requestLease(d, incarnation) })
		})
	}
}

// crashAnyCoordinator crashes a coordinator; more than a minority only seldom.
func (r *policyRun) crashAnyCoordinator() {
	down := 0
	for _, c := range r.coordinators {
		if !c.up {
			down++
		}
	}
	c := r.coordinators[r.random.IntN(r.Coordinators)]
	if !c.up || down >= r.Coordinators/2 && r.random.IntN(4) > 0 {
		return
	}
	r.crashCoordinator(c, 4*time.Second)
}

// crashLeader crashes the first coordinator that believes that it leads.
func (r *policyRun) crashLeader() {
	for _, c := range r.coordinators {
		if c.up && c.node.BasicStatus().RaftState == raft.StateLeader {
			r.crashCoordinator(c, 2*time.Second)
			return
		}
	}
}

// crashCoordinator crashes a coordinator, and starts it again after a drawn time.
func (r *policyRun) crashCoordinator(c *simulatedCoordinator, maxDown time.Duration) {
	c.up = false
	r.after(r.between(200*time.Millisecond, maxDown), func() {
		if !c.up {
			r.startCoordinator(c, nil)
		}
	})
}

// forSomeDispatchers draws a twentieth of the dispatchers, one at the least; one may be drawn again.
func (r *policyRun) forSomeDispatchers(do func(d *simulatedDispatcher)) {
	for range 1 + len(r.dispatchers)/20 {
		do(r.dispatchers[r.random.IntN(len(r.dispatchers))])
	}
}

// stopAllCoordinators stops all coordinators, and starts them again after CoordinatorOutage.
func (r *policyRun) stopAllCoordinators() {
	r.phase = duringOutage
	for _, c := range r.coordinators {
		c.up = false
	}
	r.after(r.CoordinatorOutage, func() {
		r.phase, r.outageEnd = afterOutage, r.now
		for _, c := range r.coordinators {
			r.startCoordinator(c, nil)
		}
	})
}

// endFaults brings everything back: from here on the system comes to rest.
func (r *policyRun) endFaults() {
	r.faultsOver = true
	for _, c := range r.coordinators {
		if !c.up {
			r.startCoordinator(c, nil)
		}
	}
	for _, d := range r.dispatchers {
		d.frozen, d.partitioned = false, false
	}
}
