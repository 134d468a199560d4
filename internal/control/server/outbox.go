package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Limits of what is on its way to one dispatcher, in bytes.
const (
	// maxMessageBytes bounds one message, so that heartbeats and configurations need not wait long behind it. A snapshot
	// and a single update may be larger.
	maxMessageBytes = 32 << 10
	// sendWindowBytes is how much may be in flight, beyond which the backlog waits: 0.4 s of a link of 2 Mbit/s.
	sendWindowBytes = 96 << 10
	// urgentWindowBytes is how much may be in flight, beyond which urgent updates wait too.
	urgentWindowBytes = 1 << 20
	// maxBacklogBytes is how large the backlog may grow, beyond which the connection is closed: the dispatcher attaches
	// again, and a snapshot takes the backlog's place.
	maxBacklogBytes = 32 << 20
	// outcomeOverheadBytes is what an outcome takes beside its body.
	outcomeOverheadBytes = 24
)

// outbox has what one dispatcher is to be sent, in the order in which that goes out. A change of the configuration, and that
// a worker has begun to drain, go out at once: how late they may take effect is bounded. All else goes in order, in messages of bounded size, while the dispatcher acknowledges the bytes that it
// has received: the backlog for a slow link waits here, where a configuration can overtake it and newer usage can replace
// older usage.
type outbox struct {
	acknowledges bool // whether the dispatcher acknowledges; former versions don't, and are sent all at once
	sentBytes    uint64
	ackedBytes   uint64

	urgent         []cbor.RawMessage // changes of the configuration, and workers that have begun to drain
	backlog        []outboxEntry
	firstPosition  uint64            // of backlog[0] among all that was ever in the backlog
	backlogBytes   int               // size of the backlog
	newestUsage    map[string]uint64 // positions of the newest usage of each worker in the backlog
	newestSessions uint64            // position of the newest list of sessions, plus 1; at most firstPosition: none waits
}

// outboxEntry is an update or an outcome. One that a newer entry has replaced is empty.
type outboxEntry struct {
	update  cbor.RawMessage
	outcome *protocol.Outcome
	worker  string // whose usage the update has; "": it has none
}

// size returns about how many bytes the entry takes in a message.
func (e *outboxEntry) size() int {
	if e.outcome != nil {
		return outcomeOverheadBytes + len(e.outcome.Result.Body)
	}
	return len(e.update)
}

// addUpdate appends an update, given with its encoding.
func (o *outbox) addUpdate(update *statemachine.Update, encoded cbor.RawMessage) {
	position := o.firstPosition + uint64(len(o.backlog))
	added := outboxEntry{update: encoded}
	switch {
	case update.Config != nil, update.WorkerDraining != "":
		o.urgent = append(o.urgent, encoded)
		return
	case update.Usage != nil:
		added.worker = update.Usage.Worker
		if former, waits := o.newestUsage[added.worker]; waits {
			o.drop(former)
		}
		if o.newestUsage == nil {
			o.newestUsage = map[string]uint64{}
		}
		o.newestUsage[added.worker] = position
	case update.Sessions != nil:
		if o.newestSessions > o.firstPosition {
			o.drop(o.newestSessions - 1)
		}
		o.newestSessions = position + 1
	}
	o.add(added)
}

// addOutcome appends the outcome of one of the dispatcher's commands.
func (o *outbox) addOutcome(outcome protocol.Outcome) { o.add(outboxEntry{outcome: &outcome}) }

func (o *outbox) add(added outboxEntry) {
	o.backlog = append(o.backlog, added)
	o.backlogBytes += added.size()
}

// drop empties the entry at a position: a newer one replaces it.
func (o *outbox) drop(position uint64) {
	former := &o.backlog[position-o.firstPosition]
	o.backlogBytes -= former.size()
	*former = outboxEntry{}
}

// sent notes that a message was handed to the connection.
func (o *outbox) sent(bytes int) { o.sentBytes += uint64(bytes) }

// acknowledge notes how many bytes the dispatcher has received on this connection.
func (o *outbox) acknowledge(bytes uint64) { o.ackedBytes = max(o.ackedBytes, bytes) }

// inFlightBytes returns how many bytes the dispatcher has not acknowledged.
func (o *outbox) inFlightBytes() uint64 {
	if !o.acknowledges || o.ackedBytes > o.sentBytes {
		return 0
	}
	return o.sentBytes - o.ackedBytes
}

// overflows reports whether the backlog is so large that a snapshot would take less.
func (o *outbox) overflows() bool { return o.backlogBytes > maxBacklogBytes }

// next returns the next message that may go out now, and false while there is none.
func (o *outbox) next() (protocol.ControlMessage, bool) {
	message, size := protocol.ControlMessage{}, 0
	if o.inFlightBytes() < urgentWindowBytes {
		message.Updates, o.urgent = o.urgent, nil
	}
	for _, update := range message.Updates {
		size += len(update)
	}
	if o.inFlightBytes() < sendWindowBytes {
		o.fill(&message, size)
	}
	return message, len(message.Updates)+len(message.Outcomes) > 0
}

// fill moves entries from the backlog to a message of the given size until that has maxMessageBytes.
func (o *outbox) fill(message *protocol.ControlMessage, size int) {
	taken := 0
	for ; taken < len(o.backlog); taken++ {
		entry := &o.backlog[taken]
		if size > 0 && size+entry.size() > maxMessageBytes {
			break
		}
		size += entry.size()
		o.backlogBytes -= entry.size()
		switch {
		case entry.outcome != nil:
			message.Outcomes = append(message.Outcomes, *entry.outcome)
		case entry.update != nil:
			message.Updates = append(message.Updates, entry.update)
		}
		if entry.worker != "" {
			delete(o.newestUsage, entry.worker)
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
