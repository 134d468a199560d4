// Package claimant is a dispatcher's half of workflows: which steps it has claimed, which of them may be
// sent now, and what it has yet to tell the keepers. The other half is package ledger.
//
// A step is sent only once the keepers have written that it may have run, only while the stay holds
// under which it was claimed, and once at a time. Words that may have been lost are said again: the
// ledger takes each once. Where the stay has lapsed for a moment nothing that was claimed before is
// trusted until the keepers have told of it again: they may have given it to another.
//
// It has no clock, draw or I/O; moments are of the dispatcher's own monotonic clock.
package claimant

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/lease"
	"yardflow/internal/fleet/workflow/claims"
)

// stage is how far a claimed step is here.
type stage uint8

const (
	taken  stage = iota // told of
	asked               // that it may run: the keepers are to write it first
	marked              // they have
	ended               // here; the keepers are to be told
)

type step struct {
	claims.ClaimedStep
	told time.Duration // no later than this it was given
	at   stage
	mark claims.DispatchIntent
	end  claims.StepEnd
	void bool // it may be another's by now
}

// Claimant is one dispatcher's. It holds nothing until its stay is renewed.
type Claimant struct {
	Dispatcher  string
	Incarnation uint64
	stay        lease.Holder
	era         uint64 // of the keepers
	lapse       uint64 // how often the stay has lapsed
	calls       uint64 // claims asked for
	told        bool   // marks were, last: it is the ends' turn
	blind       bool   // claims may have been given of which nothing was heard
	heard       uint64
	steps       map[uint64]*step
}

// New makes the half of one life of a dispatcher.
func New(name string, life uint64) *Claimant {
	return &Claimant{Dispatcher: name, Incarnation: life, steps: map[uint64]*step{}}
}

// Renew takes up a stay that was asked for at a moment and is heard of at another, from keepers of
// an era. It tells whether what was held is doubted.
func (h *Claimant) Renew(asked, now, length time.Duration, era uint64) (doubt bool) {
	if doubt = !h.stay.Valid(now) || era != h.era; doubt {
		h.doubt()
	}
	h.era = era
	h.stay.Renew(asked, length)
	return doubt
}

// CheckLease tells whether the stay holds now. Where it does not, all that is held is doubted from here on.
func (h *Claimant) CheckLease(now time.Duration) bool {
	if h.stay.Valid(now) {
		return true
	}
	h.doubt()
	return false
}

// LeaseExpiry is when the stay ends, unless it is renewed.
func (h *Claimant) LeaseExpiry() time.Duration { return h.stay.Expiry() }

// Invalidate notes that the keepers hold none of it for this life's.
func (h *Claimant) Invalidate() { h.doubt() }

// doubt trusts nothing any more that is held; the keepers are asked to tell of it again.
func (h *Claimant) doubt() {
	h.lapse++
	h.heard, h.blind = 0, h.blind || h.calls > 0
	h.stay.Release()
	for _, s := range h.steps { // each by itself
		s.void = true
	}
}

// PendingClaim is a claim that was asked for, as its answer is taken by.
type PendingClaim struct {
	at                  time.Duration
	lapse, heard, calls uint64
}

// NextClaim asks, at a moment, for so many steps to be held at once, those held already among them.
func (h *Claimant) NextClaim(now time.Duration, want int, pools []string) (*claims.ClaimRequest, PendingClaim) {
	h.calls++
	h.blind = true // until its answer is taken in
	return &claims.ClaimRequest{Dispatcher: h.Dispatcher, Incarnation: h.Incarnation, WantedSteps: want, LastSeenClaim: h.heard, Pools: pools}, PendingClaim{now, h.lapse, h.heard, h.calls}
}

// AcceptClaimed takes in the answer to a claim, and tells the steps to begin. Those held that the answer
// should have told of again and has not are gone. An answer to what was asked before a lapse, or
// before a later claim, tells nothing: it may be older than what is known.
func (h *Claimant) AcceptClaimed(a PendingClaim, tasks []claims.ClaimedStep) (begin []claims.ClaimedStep) {
	if a.lapse != h.lapse || a.heard != h.heard || a.calls != h.calls {
		return nil // told again at the next
	}
	heard := a.heard
	h.blind = false
	last := uint64(1<<64 - 1)
	if len(tasks) == claims.MaxClaimsPerAnswer {
		last = tasks[len(tasks)-1].ClaimNumber
	}
	for no, s := range h.steps { // each by itself
		if s.void && no > heard && no <= last && !slices.ContainsFunc(tasks, func(t claims.ClaimedStep) bool { return t.ClaimNumber == no }) {
			delete(h.steps, no)
		}
	}
	for _, t := range tasks {
		h.heard = max(h.heard, t.ClaimNumber)
		if s := h.steps[t.ClaimNumber]; s != nil {
			s.void = false
			continue
		}
		h.steps[t.ClaimNumber] = &step{ClaimedStep: t, told: a.at}
		begin = append(begin, t)
	}
	return begin
}

// HeldSteps is how many steps are held.
func (h *Claimant) HeldSteps() int { return len(h.steps) }

// NeedsResync tells whether something held is in doubt, or may be held without its knowing: the keepers are
// to be asked, whether steps are ready or not.
func (h *Claimant) NeedsResync() bool {
	if h.blind {
		return true
	}
	for _, s := range h.steps {
		if s.void {
			return true
		}
	}
	return false
}

// RequestIntent wants a step's mark written. Another mark than the last is one anew.
func (h *Claimant) RequestIntent(m claims.DispatchIntent) {
	s := h.steps[m.ClaimNumber]
	if s == nil || s.at == ended {
		return
	}
	if m.Sequence = s.mark.Sequence; s.at == taken || s.mark != m {
		m.Sequence++
		s.at, s.mark = asked, m
	}
}

// IntentRecorded tells whether the keepers have written a step's last mark.
func (h *Claimant) IntentRecorded(no uint64) bool {
	s := h.steps[no]
	return s != nil && s.at == marked
}

// MaySend tells whether a step may be sent, at this moment: it is asked just before the first byte.
func (h *Claimant) MaySend(now time.Duration, no uint64) bool {
	s := h.steps[no]
	return h.CheckLease(now) && s != nil && s.at == marked && !s.void && (s.RepeatWindowLeft == 0 || now-s.told < s.RepeatWindowLeft)
}

// Revoked tells whether a step may be another's by now.
func (h *Claimant) Revoked(no uint64) bool { s := h.steps[no]; return s == nil || s.void }

// EndStep notes how a step has ended here.
func (h *Claimant) EndStep(e claims.StepEnd) {
	if s := h.steps[e.ClaimNumber]; s != nil && s.at != ended {
		s.at, s.end = ended, e
	}
}

// NextReport is what the keepers are to be told next, at most so many words; nil: nothing.
func (h *Claimant) NextReport(most int) *claims.Command {
	var marks []claims.DispatchIntent
	var ends []claims.StepEnd
	for _, no := range slices.Sorted(maps.Keys(h.steps)) {
		switch s := h.steps[no]; {
		case s.void:
		case s.at == asked && len(marks) < most:
			marks = append(marks, s.mark)
		case s.at == ended && len(ends) < most:
			ends = append(ends, s.end)
		}
	}
	switch {
	case len(marks) > 0 && (len(ends) == 0 || !h.told):
		h.told = true
		return &claims.Command{RecordIntents: &claims.DispatchIntents{Dispatcher: h.Dispatcher, Incarnation: h.Incarnation, Intents: marks}}
	case len(ends) > 0:
		h.told = false
		return &claims.Command{EndSteps: &claims.StepEnds{Dispatcher: h.Dispatcher, Incarnation: h.Incarnation, Ends: ends}}
	}
	return nil
}

// ReportAnswered takes in the keepers' answer to what Say gave. Words without an answer are said again.
func (h *Claimant) ReportAnswered(c *claims.Command, a claims.Answer) {
	if c.RecordIntents != nil {
		for _, m := range c.RecordIntents.Intents {
			s := h.steps[m.ClaimNumber]
			switch {
			case s == nil:
			case slices.Contains(a.Rejected, m.ClaimNumber):
				delete(h.steps, m.ClaimNumber)
			case s.at == asked && s.mark == m && slices.Contains(a.Recorded, m.ClaimNumber):
				if s.at = marked; a.RepeatWindows[m.ClaimNumber] > 0 {
					s.RepeatWindowLeft = a.RepeatWindows[m.ClaimNumber]
				}
			}
		}
	}
	if c.EndSteps != nil {
		for _, e := range c.EndSteps.Ends {
			delete(h.steps, e.ClaimNumber)
		}
	}
}
