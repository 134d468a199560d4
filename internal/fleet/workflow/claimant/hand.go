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
	claims.Task
	told time.Duration // no later than this it was given
	at   stage
	mark claims.Marked
	end  claims.Ended
	void bool // it may be another's by now
}

// Hand is one dispatcher's. It holds nothing until its stay is renewed.
type Hand struct {
	Name  string
	Life  uint64
	stay  lease.Held
	era   uint64 // of the keepers
	lapse uint64 // how often the stay has lapsed
	calls uint64 // claims asked for
	told  bool   // marks were, last: it is the ends' turn
	blind bool   // claims may have been given of which nothing was heard
	heard uint64
	steps map[uint64]*step
}

// New makes the half of one life of a dispatcher.
func New(name string, life uint64) *Hand {
	return &Hand{Name: name, Life: life, steps: map[uint64]*step{}}
}

// Renew takes up a stay that was asked for at a moment and is heard of at another, from keepers of
// an era. It tells whether what was held is doubted.
func (h *Hand) Renew(asked, now, length time.Duration, era uint64) (doubt bool) {
	if doubt = !h.stay.Holds(now) || era != h.era; doubt {
		h.doubt()
	}
	h.era = era
	h.stay.Take(asked, length)
	return doubt
}

// Look tells whether the stay holds now. Where it does not, all that is held is doubted from here on.
func (h *Hand) Look(now time.Duration) bool {
	if h.stay.Holds(now) {
		return true
	}
	h.doubt()
	return false
}

// Until is when the stay ends, unless it is renewed.
func (h *Hand) Until() time.Duration { return h.stay.Until() }

// Doubt notes that the keepers hold none of it for this life's.
func (h *Hand) Doubt() { h.doubt() }

// doubt trusts nothing any more that is held; the keepers are asked to tell of it again.
func (h *Hand) doubt() {
	h.lapse++
	h.heard, h.blind = 0, h.blind || h.calls > 0
	h.stay.Leave()
	for _, s := range h.steps { // each by itself
		s.void = true
	}
}

// Asked is a claim that was asked for, as its answer is taken by.
type Asked struct {
	at                  time.Duration
	lapse, heard, calls uint64
}

// Claim asks, at a moment, for so many steps to be held at once, those held already among them.
func (h *Hand) Claim(now time.Duration, want int, pools []string) (*claims.Claim, Asked) {
	h.calls++
	h.blind = true // until its answer is taken in
	return &claims.Claim{Name: h.Name, Life: h.Life, Want: want, Heard: h.heard, Pools: pools}, Asked{now, h.lapse, h.heard, h.calls}
}

// Took takes in the answer to a claim, and tells the steps to begin. Those held that the answer
// should have told of again and has not are gone. An answer to what was asked before a lapse, or
// before a later claim, tells nothing: it may be older than what is known.
func (h *Hand) Took(a Asked, tasks []claims.Task) (begin []claims.Task) {
	if a.lapse != h.lapse || a.heard != h.heard || a.calls != h.calls {
		return nil // told again at the next
	}
	heard := a.heard
	h.blind = false
	last := uint64(1<<64 - 1)
	if len(tasks) == claims.MostTasks {
		last = tasks[len(tasks)-1].No
	}
	for no, s := range h.steps { // each by itself
		if s.void && no > heard && no <= last && !slices.ContainsFunc(tasks, func(t claims.Task) bool { return t.No == no }) {
			delete(h.steps, no)
		}
	}
	for _, t := range tasks {
		h.heard = max(h.heard, t.No)
		if s := h.steps[t.No]; s != nil {
			s.void = false
			continue
		}
		h.steps[t.No] = &step{Task: t, told: a.at}
		begin = append(begin, t)
	}
	return begin
}

// Held is how many steps are held.
func (h *Hand) Held() int { return len(h.steps) }

// Doubts tells whether something held is in doubt, or may be held without its knowing: the keepers are
// to be asked, whether steps are ready or not.
func (h *Hand) Doubts() bool {
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

// Ask wants a step's mark written. Another mark than the last is one anew.
func (h *Hand) Ask(m claims.Marked) {
	s := h.steps[m.No]
	if s == nil || s.at == ended {
		return
	}
	if m.Turn = s.mark.Turn; s.at == taken || s.mark != m {
		m.Turn++
		s.at, s.mark = asked, m
	}
}

// Written tells whether the keepers have written a step's last mark.
func (h *Hand) Written(no uint64) bool { s := h.steps[no]; return s != nil && s.at == marked }

// May tells whether a step may be sent, at this moment: it is asked just before the first byte.
func (h *Hand) May(now time.Duration, no uint64) bool {
	s := h.steps[no]
	return h.Look(now) && s != nil && s.at == marked && !s.void && (s.Left == 0 || now-s.told < s.Left)
}

// Void tells whether a step may be another's by now.
func (h *Hand) Void(no uint64) bool { s := h.steps[no]; return s == nil || s.void }

// End notes how a step has ended here.
func (h *Hand) End(e claims.Ended) {
	if s := h.steps[e.No]; s != nil && s.at != ended {
		s.at, s.end = ended, e
	}
}

// Say is what the keepers are to be told next, at most so many words; nil: nothing.
func (h *Hand) Say(most int) *claims.Command {
	var marks []claims.Marked
	var ends []claims.Ended
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
		return &claims.Command{Mark: &claims.Mark{Name: h.Name, Life: h.Life, All: marks}}
	case len(ends) > 0:
		h.told = false
		return &claims.Command{End: &claims.End{Name: h.Name, Life: h.Life, All: ends}}
	}
	return nil
}

// Said takes in the keepers' answer to what Say gave. Words without an answer are said again.
func (h *Hand) Said(c *claims.Command, a claims.Answer) {
	if c.Mark != nil {
		for _, m := range c.Mark.All {
			s := h.steps[m.No]
			switch {
			case s == nil:
			case slices.Contains(a.Refused, m.No):
				delete(h.steps, m.No)
			case s.at == asked && s.mark == m && slices.Contains(a.Written, m.No):
				if s.at = marked; a.Lefts[m.No] > 0 {
					s.Left = a.Lefts[m.No]
				}
			}
		}
	}
	if c.End != nil {
		for _, e := range c.End.All {
			delete(h.steps, e.No)
		}
	}
}
