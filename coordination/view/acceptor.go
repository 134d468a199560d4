package view

// receivePrepare answers with a promise to accept nothing under a lower ballot, or with a rejection that names the higher
// ballot already promised.
func (c *Consensus) receivePrepare(from MemberID, m *Prepare) {
	if !c.adopt(from, &m.BaseView) || !c.View().IsElector(c.hardState.Self.ID) {
		return
	}
	answer := &Promise{BaseEpoch: m.BaseView.Epoch, Ballot: m.Ballot}
	if m.Ballot.less(c.hardState.PromisedBallot) {
		answer.Rejected, answer.Ballot = true, c.hardState.PromisedBallot
	} else {
		if m.Seal {
			c.seal()
		}
		c.hardState.PromisedBallot, c.changed = m.Ballot, true
		answer.AcceptedBallot, answer.AcceptedView = c.hardState.AcceptedBallot, c.hardState.AcceptedView
		answer.EligibleAsHead = c.EligibleAsHead()
		answer.Completeness = &Completeness{CompleteEpoch: c.hardState.CompleteEpoch, ExactSince: c.hardState.ExactSince,
			Sealed: c.IsSealed(), ActiveEpoch: c.activeEpoch}
	}
	c.send(from, Message{Promise: answer})
}

// seal prevents this member from becoming complete in the view in force, unless it is complete already.
func (c *Consensus) seal() {
	if epoch := c.View().Epoch; c.hardState.CompleteEpoch < epoch {
		c.hardState.SealedEpoch = epoch
	}
}

// adopt puts the base view of a message in force if it is newer, sends the view in force to a sender with an older one, and
// reports whether both sides have the same view in force. Before the first view it bootstraps with the sender's electors.
func (c *Consensus) adopt(from MemberID, base *View) bool {
	if base.Epoch > c.hardState.View.Epoch {
		c.decide(base)
	}
	if base.Epoch == 0 && c.hardState.View.Epoch == 0 {
		c.Bootstrap(base.Electors)
	}
	if base.Epoch < c.hardState.View.Epoch {
		c.send(from, c.DecidedMessage())
	}
	return base.Epoch == c.hardState.View.Epoch
}

// receiveAccept accepts the view of a message unless a higher ballot is promised.
func (c *Consensus) receiveAccept(from MemberID, m *Accept) {
	if m.BaseEpoch != c.hardState.View.Epoch || m.Ballot.less(c.hardState.PromisedBallot) ||
		!c.View().IsElector(c.hardState.Self.ID) {
		return
	}
	view := m.View
	c.hardState.PromisedBallot, c.hardState.AcceptedBallot, c.hardState.AcceptedView = m.Ballot, m.Ballot, &view
	c.changed = true
	c.send(from, Message{Accepted: &Accepted{m.BaseEpoch, m.Ballot}})
}
