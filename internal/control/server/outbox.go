package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Limits of the data in transit to one dispatcher, in bytes.
const (
	// maxMessageBytes limits one message, so that heartbeats and configurations need not wait long behind it. A snapshot
	// or a single update may be larger.
	maxMessageBytes = 32 << 10
	// sendWindowBytes is the number of bytes in flight at which the backlog waits: 0.4 s of a link of 2 Mbit/s.
	sendWindowBytes = 96 << 10
	// urgentWindowBytes is the number of bytes in flight at which urgent updates wait too.
	urgentWindowBytes = 1 << 20
	// maxBacklogBytes is the size of the backlog beyond which the connection is closed: the dispatcher attaches again,
	// and a snapshot replaces the backlog.
	maxBacklogBytes = 32 << 20
	// outcomeOverheadBytes is the approximate encoded size of an outcome without its body.
	outcomeOverheadBytes = 24
)

// outbox holds the updates and outcomes to be sent to one dispatcher, in the order of sending. Changes of the
// configuration, and notices that a worker has begun to drain, are urgent and sent at once, because the time until they
// take effect is bounded. Everything else is sent in order, in messages of bounded size, while the dispatcher
// acknowledges the bytes that it has received. The backlog for a slow link waits here rather than in the connection, so
// that a configuration can overtake it and newer usage can replace older usage.
type outbox struct {
	acknowledges bool // whether the dispatcher acknowledges; earlier versions don't, and are sent everything at once
	sentBytes    uint64
	ackedBytes   uint64

	urgent         []cbor.RawMessage // changes of the configuration and notices of draining workers
	backlog        []outboxEntry
	firstPosition  uint64            // position of backlog[0], counted over all entries ever added
	backlogBytes   int               // total size of the entries in the backlog
	newestUsage    map[string]uint64 // position of the newest usage of each worker in the backlog
	newestSessions uint64            // position of the newest list of sessions, plus 1; none waits if at most firstPosition
}

// outboxEntry is an update or an outcome. An entry that a newer one has replaced is empty.
type outboxEntry struct {
	update  cbor.RawMessage
	outcome *protocol.Outcome
	worker  string // worker of a usage update; "": any other entry
}

// size returns the approximate number of bytes of the entry in a message.
func (e *outboxEntry) size() int {
	if e.outcome != nil {
		return outcomeOverheadBytes + len(e.outcome.Result.Body)
	}
	return len(e.update)
}

// addUpdate appends an update, given with its encoding, to the urgent updates or the backlog.
func (o *outbox) addUpdate(update *statemachine.Update, encoded cbor.RawMessage) {
	position := o.firstPosition + uint64(len(o.backlog))
	added := outboxEntry{update: encoded}
	switch {
	case update.Config != nil, update.WorkerDraining != "":
		o.urgent = append(o.urgent, encoded)
		return
	case update.Usage != nil:
		added.worker = update.Usage.Worker
		if older, isQueued := o.newestUsage[added.worker]; isQueued {
			o.drop(older)
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

// drop empties the entry at a position, because a newer one replaces it.
func (o *outbox) drop(position uint64) {
	dropped := &o.backlog[position-o.firstPosition]
	o.backlogBytes -= dropped.size()
	*dropped = outboxEntry{}
}

// recordSent records that a message was passed to the connection.
func (o *outbox) recordSent(bytes int) { o.sentBytes += uint64(bytes) }

// acknowledge records how many bytes the dispatcher has received on this connection.
func (o *outbox) acknowledge(bytes uint64) { o.ackedBytes = max(o.ackedBytes, bytes) }

// inFlightBytes returns the number of bytes sent that the dispatcher has not acknowledged.
func (o *outbox) inFlightBytes() uint64 {
	if !o.acknowledges || o.ackedBytes > o.sentBytes {
		return 0
	}
	return o.sentBytes - o.ackedBytes
}

// isEmpty reports whether everything that was added has been sent.
func (o *outbox) isEmpty() bool { return len(o.urgent) == 0 && len(o.backlog) == 0 }

// overflows reports whether the backlog exceeds maxBacklogBytes, so that a snapshot would be smaller.
func (o *outbox) overflows() bool { return o.backlogBytes > maxBacklogBytes }

// next removes and returns the next message that may be sent now. It returns false if there is none.
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

// fill moves entries from the backlog to a message of the given size until the message has maxMessageBytes.
func (o *outbox) fill(message *protocol.ControlMessage, size int) {
	moved := 0
	for ; moved < len(o.backlog); moved++ {
		entry := &o.backlog[moved]
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
	o.firstPosition += uint64(moved)
	if moved < len(o.backlog) {
		o.backlog = o.backlog[moved:]
		return
	}
	clear(o.backlog)
	o.backlog = o.backlog[:0]
}
