package claimant

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/claims"
)

// RequestIntent has the intent to dispatch a step recorded. One that differs from the step's last intent gets the next
// sequence number, and the step may not be sent before it is recorded.
func (c *Claimant) RequestIntent(intent claims.DispatchIntent) {
	s := c.steps[intent.ClaimNumber]
	if s == nil || s.stage == stageEnded {
		return
	}
	intent.Sequence = s.intent.Sequence
	if s.stage == stageClaimed || s.intent != intent {
		intent.Sequence++
		s.stage, s.intent = stageIntentRequested, intent
	}
}

// IntentRecorded reports whether the coordinators have recorded a step's last intent.
func (c *Claimant) IntentRecorded(claim uint64) bool {
	s := c.steps[claim]
	return s != nil && s.stage == stageIntentRecorded
}

// MaySend reports whether a step may be sent at this moment. The caller asks just before the first byte, and does not
// keep the answer.
func (c *Claimant) MaySend(now time.Duration, claim uint64) bool {
	if !c.CheckLease(now) {
		return false
	}
	s := c.steps[claim]
	if s == nil || s.stage != stageIntentRecorded || s.revoked {
		return false
	}
	return s.RepeatWindowLeft == 0 || now-s.askedAt < s.RepeatWindowLeft
}

// Revoked reports whether a step may be another dispatcher's by now.
func (c *Claimant) Revoked(claim uint64) bool {
	s := c.steps[claim]
	return s == nil || s.revoked
}

// EndStep notes how a step has ended here, to be reported. Only the first end of a claim counts.
func (c *Claimant) EndStep(e claims.StepEnd) {
	if s := c.steps[e.ClaimNumber]; s != nil && s.stage != stageEnded {
		s.stage, s.end = stageEnded, e
	}
}

// NextReport returns what is to be reported next, of limit steps at most: intents to record, or ends, in turns where
// there are both. It returns nil where there is nothing. Steps whose claim is revoked wait for its confirmation.
func (c *Claimant) NextReport(limit int) *claims.Command {
	var intents []claims.DispatchIntent
	var ends []claims.StepEnd
	for _, number := range slices.Sorted(maps.Keys(c.steps)) {
		switch s := c.steps[number]; {
		case s.revoked:
		case s.stage == stageIntentRequested && len(intents) < limit:
			intents = append(intents, s.intent)
		case s.stage == stageEnded && len(ends) < limit:
			ends = append(ends, s.end)
		}
	}
	switch {
	case len(intents) > 0 && (len(ends) == 0 || !c.intentsSentLast):
		c.intentsSentLast = true
		return &claims.Command{RecordIntents: &claims.DispatchIntents{Dispatcher: c.Dispatcher, Incarnation: c.Incarnation, Intents: intents}}
	case len(ends) > 0:
		c.intentsSentLast = false
		return &claims.Command{EndSteps: &claims.StepEnds{Dispatcher: c.Dispatcher, Incarnation: c.Incarnation, Ends: ends}}
	}
	return nil
}

// ReportAnswered takes in the coordinators' answer to a command of NextReport. What has no answer is reported again.
func (c *Claimant) ReportAnswered(command *claims.Command, a claims.Answer) {
	if command.RecordIntents != nil {
		for _, intent := range command.RecordIntents.Intents {
			c.intentAnswered(intent, a)
		}
	}
	if command.EndSteps != nil {
		for _, e := range command.EndSteps.Ends {
			delete(c.steps, e.ClaimNumber) // rejected or not: the claim is not held any more
		}
	}
}

func (c *Claimant) intentAnswered(intent claims.DispatchIntent, a claims.Answer) {
	number := intent.ClaimNumber
	s := c.steps[number]
	switch {
	case s == nil:
	case slices.Contains(a.Rejected, number):
		delete(c.steps, number)
	case s.stage == stageIntentRequested && s.intent == intent && slices.Contains(a.Recorded, number):
		s.stage = stageIntentRecorded
		if left := a.RepeatWindows[number]; left > 0 {
			s.RepeatWindowLeft = left
		}
	}
}
