package server

import (
	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// deliver sends updates to the dispatchers that they concern, and then outcomes: a dispatcher knows what a command has
// changed before it learns that the command is carried out.
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
		for message, due := d.outbox.next(); due; message, due = d.outbox.next() {
			d.send(message)
		}
		if d.outbox.overflows() {
			d.conn.Close() // it attaches again, and one snapshot replaces the whole backlog
		}
	}
}

// send sends a message and counts its bytes as in flight.
func (d *dispatcher) send(message protocol.ControlMessage) {
	encoded := protocol.Encode(message)
	d.conn.Send(encoded)
	d.outbox.sent(len(encoded))
	d.idleTicks = 0
}

// enqueueUpdates moves updates to the outboxes of the dispatchers that they concern. A dispatcher whose snapshot is due
// gets none: the snapshot has them. What goes to all is encoded and compressed once.
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

// sharedSnapshot keeps the parts of snapshots that are the same for all dispatchers that attach at once, as after a change
// of view, so that they are encoded once.
type sharedSnapshot struct {
	state  cbor.RawMessage
	config cbor.RawMessage
}

// sendSnapshot sends a dispatcher whose session is open the whole state that concerns it.
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

// configUpdatesFor returns what brings a dispatcher from the configuration that it has to the one in force: nothing, the
// changes since, or the full configuration.
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

// sendIdleHeartbeats sends a heartbeat to the dispatchers that were sent nothing for dispatcherHeartbeatTicks.
func (s *Server) sendIdleHeartbeats() {
	for d := range s.dispatchers.attached {
		if d.idleTicks++; d.idleTicks >= dispatcherHeartbeatTicks {
			d.send(protocol.ControlMessage{ControlAddresses: s.membership.serviceAddresses()})
		}
	}
}
