package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// deliver sends updates to the dispatchers that they concern, followed by outcomes, so that a dispatcher has the effects
// of a command before its outcome.
func (s *Server) deliver() {
	s.attachWaiting()
	s.enqueueUpdates()
	var shared sharedSnapshot
	for d := range s.dispatchers.attached {
		if d.snapshotDue {
			s.sendSnapshot(d, &shared)
		}
		for _, outcome := range d.outcomes {
			d.outbox.addOutcome(outcome)
		}
		d.outcomes = nil
		for message, ok := d.outbox.next(); ok; message, ok = d.outbox.next() {
			d.send(message)
		}
		if d.outbox.overflows() {
			d.conn.Close() // the dispatcher attaches again, and a snapshot replaces the backlog
		}
	}
	s.sendDueDigests()
}

// scheduleDigests makes the digests of open jobs due, every digestTicks.
func (s *Server) scheduleDigests() {
	if s.dispatchers.ticks++; s.dispatchers.ticks%digestTicks != 0 {
		return
	}
	for d := range s.dispatchers.attached {
		d.digestDue = d.session != 0
	}
}

// sendDueDigests sends the digest of its open jobs to each dispatcher for which one is due and which was sent all updates. The
// digests are computed once for all.
func (s *Server) sendDueDigests() {
	var digests map[statemachine.SessionID]job.Digest
	for d := range s.dispatchers.attached {
		isCurrent := s.dispatchers.owns(d) && s.state.fsm.Sessions[d.session] != nil
		if !d.digestDue || !isCurrent || d.snapshotDue || !d.outbox.isEmpty() {
			continue
		}
		if digests == nil {
			digests = s.state.fsm.OpenJobDigests()
		}
		d.digestDue = false
		digest := digests[d.session]
		d.send(protocol.ControlMessage{OpenJobs: &digest})
	}
}

// send sends a message and counts its bytes as in flight.
func (d *dispatcher) send(message protocol.ControlMessage) {
	encoded := protocol.Encode(message)
	d.conn.Send(encoded)
	d.outbox.recordSent(len(encoded))
	d.idleTicks = 0
}

// enqueueUpdates moves updates to the outboxes of the dispatchers that they concern. A dispatcher whose snapshot is due
// gets none, since the snapshot includes them. Updates for all dispatchers are encoded and compressed only once.
func (s *Server) enqueueUpdates() {
	for _, addressed := range s.state.updates {
		if addressed.To != 0 {
			if d := s.dispatchers.bySession[addressed.To]; d != nil && !d.snapshotDue {
				d.outbox.addUpdate(&addressed.Update, protocol.Encode(addressed.Update))
			}
			continue
		}
		if len(s.dispatchers.bySession) == 0 {
			continue
		}
		encoded := protocol.CompressUpdates([]cbor.RawMessage{protocol.Encode(addressed.Update)})
		for d := range s.dispatchers.attached {
			if d.session != 0 && !d.snapshotDue {
				d.outbox.addUpdate(&addressed.Update, encoded)
			}
		}
	}
	s.state.updates = nil
}

// sharedSnapshot caches the encoded parts of snapshots that are the same for all dispatchers, for the case that many of
// them attach at the same time, for example after a view change.
type sharedSnapshot struct {
	state  cbor.RawMessage
	config cbor.RawMessage
}

// sendSnapshot sends the whole state that concerns a dispatcher to that dispatcher, whose session is open.
func (s *Server) sendSnapshot(d *dispatcher, shared *sharedSnapshot) {
	if shared.state == nil {
		shared.state = protocol.CompressUpdates(encodeAll(s.state.fsm.SharedSnapshot()))
	}
	d.snapshotDue = false
	updates := append(s.configUpdatesFor(d, shared), shared.state)
	if own := s.state.fsm.SessionSnapshot(d.session); len(own) > 0 {
		updates = append(updates, protocol.CompressUpdates(encodeAll(own)))
	}
	d.listDuty = s.instanceList.duty()
	d.send(protocol.ControlMessage{Session: d.session, ControlAddresses: s.membership.serviceAddresses(), Updates: updates,
		InstanceListDuty: d.listDuty})
}

// configUpdatesFor returns the updates from the configuration that a dispatcher has to the one in force: none, the
// changes since then, or the full configuration.
func (s *Server) configUpdatesFor(d *dispatcher, shared *sharedSnapshot) []cbor.RawMessage {
	full := s.state.fsm.FullConfig()
	if full == nil || d.request.ConfigVersion == full.Version {
		return nil
	}
	if changes := s.state.configs.since(d.request.ConfigVersion); changes != nil {
		return []cbor.RawMessage{protocol.CompressUpdates(encodeAll(changes))}
	}
	if shared.config == nil {
		shared.config = protocol.CompressUpdates(encodeAll([]statemachine.Update{{Config: full}}))
	}
	return []cbor.RawMessage{shared.config}
}

func encodeAll(updates []statemachine.Update) []cbor.RawMessage {
	encoded := make([]cbor.RawMessage, len(updates))
	for i := range updates {
		encoded[i] = protocol.Encode(updates[i])
	}
	return encoded
}

// sendIdleHeartbeats sends a heartbeat to each dispatcher to which nothing was sent for dispatcherHeartbeatTicks.
func (s *Server) sendIdleHeartbeats() {
	for d := range s.dispatchers.attached {
		if d.idleTicks++; d.idleTicks >= dispatcherHeartbeatTicks {
			d.send(protocol.ControlMessage{ControlAddresses: s.membership.serviceAddresses()})
		}
	}
}
