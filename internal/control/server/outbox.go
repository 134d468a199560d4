package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Bounds of what is on its way to one dispatcher.
const (
	pieceBytes   = 32 << 10 // of one message, but for a snapshot and for an update that is larger by itself
	windowBytes  = 96 << 10 // that the dispatcher has not acknowledged: 0.4 s of a link of 2 Mbit/s
	urgentBytes  = 1 << 20  // likewise, past which configurations wait as well
	backlogBytes = 32 << 20 // that wait, past which the dispatcher is to attach anew
	outcomeBytes = 24       // of an outcome beside its body
)

// outbox has what one dispatcher is to be told and the order in which that goes out. A change of the configuration goes
// out at once. All else goes in order, in messages of bounded size, while the dispatcher acknowledges what it was sent:
// whatever gathers for a slow link waits here, where a configuration can overtake it and newer figures replace older
// ones.
type outbox struct {
	acknowledges bool // whether the dispatcher does; former versions don't
	sent         uint64
	acknowledged uint64

	urgent   []cbor.RawMessage // changes of the configuration
	waiting  []news
	first    uint64 // place of waiting[0] in the order of all that ever waited
	bytes    int    // that wait, but for the urgent
	uses     map[string]uint64
	sessions uint64 // place of the newest list of sessions that waits, plus 1; 0: none does
}

// news is one update or one outcome. One that a newer one has replaced has neither.
type news struct {
	update  cbor.RawMessage
	outcome *protocol.Outcome
	worker  string // whose use it tells
}

func (n *news) size() int {
	if n.outcome != nil {
		return outcomeBytes + len(n.outcome.Result.Body)
	}
	return len(n.update)
}

// addUpdate enters an update with its encoding.
func (o *outbox) addUpdate(update *statemachine.Update, encoded cbor.RawMessage) {
	place := o.first + uint64(len(o.waiting))
	added := news{update: encoded}
	switch {
	case update.Config != nil:
		o.urgent = append(o.urgent, encoded)
		return
	case update.Usage != nil:
		added.worker = update.Usage.Worker
		if former, waits := o.uses[added.worker]; waits {
			o.replace(former)
		}
		if o.uses == nil {
			o.uses = map[string]uint64{}
		}
		o.uses[added.worker] = place
	case update.Sessions != nil:
		if o.sessions > o.first {
			o.replace(o.sessions - 1)
		}
		o.sessions = place + 1
	}
	o.add(added)
}

// addOutcome enters the outcome of a command of the dispatcher.
func (o *outbox) addOutcome(outcome protocol.Outcome) { o.add(news{outcome: &outcome}) }

func (o *outbox) add(added news) {
	o.waiting = append(o.waiting, added)
	o.bytes += added.size()
}

// replace takes out what waits in a place: something newer stands for it.
func (o *outbox) replace(place uint64) {
	former := &o.waiting[place-o.first]
	o.bytes -= former.size()
	*former = news{}
}

// noteSent enters that a message was handed to the connection.
func (o *outbox) noteSent(bytes int) { o.sent += uint64(bytes) }

// noteAcknowledged enters how many bytes the dispatcher has taken in.
func (o *outbox) noteAcknowledged(bytes uint64) { o.acknowledged = max(o.acknowledged, bytes) }

// underWay returns how many bytes the dispatcher has not acknowledged.
func (o *outbox) underWay() uint64 {
	if !o.acknowledges || o.acknowledged > o.sent {
		return 0
	}
	return o.sent - o.acknowledged
}

// overflows reports whether so much waits that a snapshot would take less.
func (o *outbox) overflows() bool { return o.bytes > backlogBytes }

// next returns the next message that may go out now, and false while there is none.
func (o *outbox) next() (protocol.ControlMessage, bool) {
	down, size := protocol.ControlMessage{}, 0
	if o.underWay() < urgentBytes {
		down.Updates, o.urgent = o.urgent, nil
	}
	for _, update := range down.Updates {
		size += len(update)
	}
	if o.underWay() < windowBytes {
		o.fill(&down, size)
	}
	return down, len(down.Updates)+len(down.Outcomes) > 0
}

// fill moves what waits to a message until that is as large as it may be.
func (o *outbox) fill(down *protocol.ControlMessage, size int) {
	taken := 0
	for ; taken < len(o.waiting); taken++ {
		told := &o.waiting[taken]
		if size > 0 && size+told.size() > pieceBytes {
			break
		}
		size += told.size()
		o.bytes -= told.size()
		switch {
		case told.outcome != nil:
			down.Outcomes = append(down.Outcomes, *told.outcome)
		case told.update != nil:
			down.Updates = append(down.Updates, told.update)
		}
		if told.worker != "" {
			delete(o.uses, told.worker)
		}
	}
	o.first += uint64(taken)
	if taken < len(o.waiting) {
		o.waiting = o.waiting[taken:]
		return
	}
	clear(o.waiting)
	o.waiting = o.waiting[:0]
}
