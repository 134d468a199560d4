// Package ruleversion decides which version of the state machine's rules the control machines should put in force.
//
// Each control machine states with its heartbeats the newest version that it supports; a build from before there were
// versions states none, which counts as 0. A [Tracker] collects these statements and derives the desired version:
//
//   - It is raised only by the head, and only once all members of the view have been heard with a sufficient version for
//     raiseDelay without a break, so that no member applies an entry by rules that another one does not know.
//   - It is lowered at once, by whichever member hears a control machine that does not support the version in force, be it
//     a member or a machine that is about to join. So an operator may go back to an earlier build, one machine at a time.
//
// The package has no I/O and reads no clock.
package ruleversion

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
)

const (
	// hearingTimeout is how long a peer's statement counts without another heartbeat. It is longer than a peer may be
	// silent before the view excludes it.
	hearingTimeout = time.Second
	// raiseDelay is how long all members must have supported a higher version before it is put in force.
	raiseDelay = time.Second
	// forgetAfter is how long a silent peer is remembered.
	forgetAfter = time.Minute
)

// statement is what a peer has last stated, and when.
type statement struct {
	supported statemachine.RulesVersion
	heardAt   time.Duration
}

// Tracker collects the versions that the control machines support. It is not safe for concurrent use.
type Tracker struct {
	own        statemachine.RulesVersion // supported by this machine
	statements map[view.MemberID]statement
	isRaisable bool          // at the last call of Desired, all members supported a higher version
	raisableAt time.Duration // since when, if isRaisable
}

// NewTracker returns the tracker of a machine that supports the versions up to own.
func NewTracker(own statemachine.RulesVersion) *Tracker {
	return &Tracker{own: own, statements: map[view.MemberID]statement{}}
}

// Own returns the newest version that this machine supports.
func (t *Tracker) Own() statemachine.RulesVersion { return t.own }

// Receive records a peer's heartbeat.
func (t *Tracker) Receive(now time.Duration, peer view.MemberID, supported statemachine.RulesVersion) {
	t.statements[peer] = statement{supported, now}
}

// Lowered returns the version to which the rules must be lowered, if a machine that was heard recently does not support
// the version in force.
func (t *Tracker) Lowered(now time.Duration, inForce statemachine.RulesVersion) (to statemachine.RulesVersion, due bool) {
	to = t.lowest(now)
	return to, to < inForce
}

// Raised returns the version to which the head may raise the rules, if all other members have supported it for raiseDelay.
// The head calls it with each tick.
func (t *Tracker) Raised(now time.Duration, inForce statemachine.RulesVersion, members []view.MemberID) (
	to statemachine.RulesVersion, due bool) {
	t.forgetSilent(now)
	to = t.lowest(now)
	if to <= inForce || !t.hasHeardAll(now, members) {
		t.isRaisable = false
		return inForce, false
	}
	if !t.isRaisable {
		t.isRaisable, t.raisableAt = true, now
	}
	return to, now-t.raisableAt >= raiseDelay
}

// lowest returns the newest version that this machine and all machines that were heard recently support.
func (t *Tracker) lowest(now time.Duration) statemachine.RulesVersion {
	lowest := t.own
	for _, stated := range t.statements {
		if now-stated.heardAt <= hearingTimeout {
			lowest = min(lowest, stated.supported)
		}
	}
	return lowest
}

func (t *Tracker) hasHeardAll(now time.Duration, members []view.MemberID) bool {
	for _, member := range members {
		stated, known := t.statements[member]
		if !known || now-stated.heardAt > hearingTimeout {
			return false
		}
	}
	return true
}

func (t *Tracker) forgetSilent(now time.Duration) {
	for peer, stated := range t.statements {
		if now-stated.heardAt > forgetAfter {
			delete(t.statements, peer)
		}
	}
}
