package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Bounds of what is on its way to one dispatcher.
const (
	maxMessageBytes      = 32 << 10 // of one message, but for a snapshot and for an update that is larger by itself
	sendWindowBytes      = 96 << 10 // that the dispatcher has not acknowledged: 0.4 s of a link of 2 Mbit/s
	configWindowBytes    = 1 << 20  // likewise, past which configurations wait as well
	maxBacklogBytes      = 32 << 20 // that wait, past which the dispatcher is to attach anew
	outcomeOverheadBytes = 24       // of an outcome beside its body
)

// outbox has what one dispatcher is to be told and the order in which that goes out. A change of the configuration goes
// out at once. All else goes in order, in messages of bounded size, while the dispatcher acknowledges what it was sent:
// whatever gathers for a slow link waits here, where a configuration can overtake it and newer figures replace older
// ones.
type outbox struct {
	acknowledges bool // whether the dispatcher does; former versions don't
	sentBytes    uint64
	ackedBytes   uint64

	configs        []cbor.RawMessage // changes of the configuration
	backlog        []outboxEntry
	firstPosition  uint64 // place of waiting[0] in the order of all that ever waited
	backlogBytes   int    // that wait, but for the urgent
	newestUsage    map[string]uint64
	newestSessions uint64 // place of the newest list of sessions that waits, plus 1; 0: none does
}

// outboxEntry is one update or one outcome. One that a newer one has replaced has neither.
type outboxEntry struct {
	update  cbor.RawMessage
	outcome *protocol.Outcome
	worker  string // whose use it tells
}

func (n *outboxEntry) size() int {
	if n.outcome != nil {
		return outcomeOverheadBytes + len(n.outcome.Result.Body)
	}
	return len(n.update)
}

// addUpdate enters an update with its encoding.
func (o *outbox) addUpdate(update *statemachine.Update, encoded cbor.RawMessage) {
	place := o.firstPosition + uint64(len(o.backlog))
	added := outboxEntry{update: encoded}
	switch {
	case update.Config != nil:
		o.configs = append(o.configs, encoded)
		return
	case update.Usage != nil:
		added.worker = update.Usage.Worker
		if former, waits := o.newestUsage[added.worker]; waits {
			o.drop(former)
		}
		if o.newestUsage == nil {
			o.newestUsage = map[string]uint64{}
		}
		o.newestUsage[added.worker] = place
	case update.Sessions != nil:
		if o.newestSessions > o.firstPosition {
			o.drop(o.newestSessions - 1)
		}
		o.newestSessions = place + 1
	}
	o.add(added)
}

// addOutcome enters the outcome of a command of the dispatcher.
func (o *outbox) addOutcome(outcome protocol.Outcome) { o.add(outboxEntry{outcome: &outcome}) }

func (o *outbox) add(added outboxEntry) {
	o.backlog = append(o.backlog, added)
	o.backlogBytes += added.size()
}

// drop takes out what waits in a place: something newer stands for it.
func (o *outbox) drop(place uint64) {
	former := &o.backlog[place-o.firstPosition]
	o.backlogBytes -= former.size()
	*former = outboxEntry{}
}

// sent enters that a message was handed to the connection.
func (o *outbox) sent(bytes int) { o.sentBytes += uint64(bytes) }

// acknowledge enters how many bytes the dispatcher has taken in.
func (o *outbox) acknowledge(bytes uint64) { o.ackedBytes = max(o.ackedBytes, bytes) }

// inFlightBytes returns how many bytes the dispatcher has not acknowledged.
func (o *outbox) inFlightBytes() uint64 {
	if !o.acknowledges || o.ackedBytes > o.sentBytes {
		return 0
	}
	return o.sentBytes - o.ackedBytes
}

// overflows reports whether so much waits that a snapshot would take less.
func (o *outbox) overflows() bool { return o.backlogBytes > maxBacklogBytes }

// next returns the next message that may go out now, and false while there is none.
func (o *outbox) next() (protocol.ControlMessage, bool) {
	down, size := protocol.ControlMessage{}, 0
	if o.inFlightBytes() < configWindowBytes {
		down.Updates, o.configs = o.configs, nil
	}
	for _, update := range down.Updates {
		size += len(update)
	}
	if o.inFlightBytes() < sendWindowBytes {
		o.fill(&down, size)
	}
	return down, len(down.Updates)+len(down.Outcomes) > 0
}

// fill moves what waits to a message until that is as large as it may be.
func (o *outbox) fill(down *protocol.ControlMessage, size int) {
	taken := 0
	for ; taken < len(o.backlog); taken++ {
		told := &o.backlog[taken]
		if size > 0 && size+told.size() > maxMessageBytes {
			break
		}
		size += told.size()
		o.backlogBytes -= told.size()
		switch {
		case told.outcome != nil:
			down.Outcomes = append(down.Outcomes, *told.outcome)
		case told.update != nil:
			down.Updates = append(down.Updates, told.update)
		}
		if told.worker != "" {
			delete(o.newestUsage, told.worker)
		}
	}
	o.firstPosition += uint64(taken)
	if taken < len(o.backlog) {
		o.backlog = o.backlog[taken:]
		return
	}
	clear(o.backlog)
	o.backlog = o.backlog[:0]
}
