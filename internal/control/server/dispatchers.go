package server

import (
	"net/http"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Spans of connections with dispatchers.
const (
	dispatcherTimeout        = 650 * time.Millisecond // heartbeats come every 250 ms
	attachTimeout            = 500 * time.Millisecond // for this replica to serve, which takes less after a change of view
	dispatcherHeartbeatTicks = 2                      // of tickInterval, between heartbeats to dispatchers
)

// dispatcher is a connected dispatcher. It belongs to the engine.
type dispatcher struct {
	conn        *frame.Conn
	request     protocol.SessionRequest
	session     statemachine.SessionID
	snapshotDue bool  // its session is open, and the snapshot is due
	ackedConfig int64 // version that it has acknowledged
	outbox      outbox
	outcomes    []protocol.Outcome // of commands that were just applied; they follow the updates of the same commands
	idleTicks   int
}

func (s *Server) acceptDispatcher(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Upgrade(w, r)
	if err != nil {
		return
	}
	go s.listenDispatcher(conn)
}

func (s *Server) listenDispatcher(conn *frame.Conn) {
	d := &dispatcher{conn: conn}
	broken := false
	defer func() {
		conn.Close()
		s.do(func() {
			if broken && s.dispatchers[d] && s.bySession[d.session] == d {
				s.reportDisconnected(d.session)
			}
			s.removeDispatcher(d)
		})
	}()
	for {
		data, err := conn.Receive(dispatcherTimeout)
		if err != nil {
			broken = !errors.Is(err, os.ErrDeadlineExceeded)
			return
		}
		up := &protocol.DispatcherMessage{}
		if !protocol.Decode(data, up) {
			return
		}
		s.do(func() { s.receiveFromDispatcher(d, up) })
	}
}

// reportDisconnected tells the head that a dispatcher's connection has ended. An end that its machine has
// told mostly means that the process is gone.
func (s *Server) reportDisconnected(id statemachine.SessionID) {
	s.disconnectedAt[id] = s.now()
	s.peers.broadcast(protocol.Encode(&protocol.PeerMessage{DisconnectedSessions: []statemachine.SessionID{id}}))
}

func (s *Server) receiveFromDispatcher(d *dispatcher, up *protocol.DispatcherMessage) {
	if up.SessionRequest != nil {
		s.attach(d, up.SessionRequest)
	}
	if up.ShuttingDown && d.session != 0 {
		s.submit(&statemachine.Command{CloseSession: &statemachine.CloseSession{Session: d.session}}, func(statemachine.Result) {})
	}
	if !s.dispatchers[d] {
		return
	}
	d.ackedConfig = max(d.ackedConfig, up.ConfigVersion)
	d.outbox.acknowledge(up.ReceivedBytes)
	for i := range up.Commands {
		s.receiveCommand(d, &up.Commands[i])
	}
}

func (s *Server) attach(d *dispatcher, hello *protocol.SessionRequest) {
	d.request = *hello
	d.outbox.acknowledges = hello.AcknowledgesBytes
	switch {
	case s.isOutsideChain():
		s.redirect(d)
		return
	case !s.canServe():
		s.waiting[d] = s.now()
		return
	}
	delete(s.waiting, d)
	s.dispatchers[d] = true
	s.openSession(d, s.cluster.LatestSession(hello.Node))
}

// openSession opens a dispatcher's session behind the newest one that its node has had.
func (s *Server) openSession(d *dispatcher, behind statemachine.SessionID) {
	open := &statemachine.Command{OpenSession: &statemachine.OpenSession{Node: d.request.Node, Zone: d.request.Zone, Incarnation: d.request.Incarnation,
		ExpectedLatest: behind}}
	s.submitFor(d, open, protocol.Encode(open), func(result statemachine.Result) {
		switch {
		case !s.dispatchers[d]:
		case result.Code == statemachine.Conflict:
			s.openSession(d, result.Session) // there was a newer one, which this replica had not applied
		default:
			d.session, d.snapshotDue = result.Session, true
			s.bySession[d.session] = d
		}
	})
}

// attachWaiting serves those who came too early, and sends those away who have waited for long.
func (s *Server) attachWaiting() {
	for d, since := range s.waiting {
		switch {
		case s.canServe():
			s.attach(d, &d.request)
		case s.isOutsideChain() || s.now()-since > attachTimeout:
			s.redirect(d)
		}
	}
}

// redirect tells a dispatcher to try another control machine.
func (s *Server) redirect(d *dispatcher) {
	delete(s.waiting, d)
	d.conn.Send(protocol.Encode(protocol.ControlMessage{Rejected: true, ControlAddresses: s.serviceAddresses()}))
}

// isOutsideChain reports whether the newest view known here has this machine not in its chain, so that no dispatcher can be
// served before another view. One that has its place, but has no part in the view since it was started, is not outside:
// a view may follow at once.
func (s *Server) isOutsideChain() bool {
	return !s.register.IsInitialMember() && s.register.View().ChainPosition(s.register.Self().ID) < 0
}

func (s *Server) receiveCommand(d *dispatcher, tagged *protocol.TaggedCommand) {
	command := &statemachine.Command{}
	if !protocol.Decode(tagged.Command, command) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tagged.Tag, Result: statemachine.Result{Code: statemachine.Invalid}})
		return
	}
	tag := tagged.Tag
	s.submitFor(d, command, tagged.Command, func(result statemachine.Result) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: result})
	})
}

func (s *Server) removeDispatcher(d *dispatcher) {
	delete(s.waiting, d)
	if !s.dispatchers[d] {
		return
	}
	delete(s.dispatchers, d)
	s.forgetIssuer(d)
	if s.bySession[d.session] == d {
		delete(s.bySession, d.session)
	}
}

// dropDispatchers ends all connections to dispatchers: they look for a control machine in touch.
func (s *Server) dropDispatchers() {
	for d := range s.dispatchers {
		d.conn.Close()
		s.removeDispatcher(d)
	}
}

// serviceAddresses returns the addresses at which dispatchers are served: those of the chain, and before the first view those
// of the electors.
func (s *Server) serviceAddresses() []string {
	v := s.register.View()
	members := v.Chain
	if len(members) == 0 {
		members = v.Electors
	}
	return addressesOf(members)
}

func addressesOf(members []view.Member) []string {
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.Address
	}
	return addresses
}

func (s *Server) connectedSessions() []statemachine.SessionID {
	ids := []statemachine.SessionID{}
	for id := range s.bySession {
		ids = append(ids, id)
	}
	return ids
}

// deliver sends updates to those whom they concern, then outcomes.
func (s *Server) deliver() {
	s.attachWaiting()
	s.enqueueUpdates()
	var shared sharedSnapshot
	for d := range s.dispatchers {
		if d.snapshotDue {
			s.sendSnapshot(d, &shared)
		}
		for _, outcome := range d.outcomes {
			d.outbox.addOutcome(outcome)
		}
		d.outcomes = nil
		for down, due := d.outbox.next(); due; down, due = d.outbox.next() {
			s.send(d, down)
		}
		if d.outbox.overflows() {
			d.conn.Close() // it attaches again, and a snapshot stands for all that waits
		}
	}
}

func (s *Server) send(d *dispatcher, down protocol.ControlMessage) {
	message := protocol.Encode(down)
	d.conn.Send(message)
	d.outbox.sent(len(message))
	d.idleTicks = 0
}

func (s *Server) enqueueUpdates() {
	for _, addressed := range s.updates {
		if addressed.To != 0 {
			if d := s.bySession[addressed.To]; d != nil && !d.snapshotDue {
				d.outbox.addUpdate(&addressed.Update, protocol.Encode(addressed.Update))
			}
			continue
		}
		if len(s.bySession) == 0 {
			continue
		}
		encoded := protocol.CompressUpdates([]cbor.RawMessage{protocol.Encode(addressed.Update)})
		for d := range s.dispatchers {
			if d.session != 0 && !d.snapshotDue {
				d.outbox.addUpdate(&addressed.Update, encoded)
			}
		}
	}
	s.updates = nil
}

// sharedSnapshot keeps the parts of snapshots that are the same for all dispatchers that come at once, as
// after a change of view.
type sharedSnapshot struct {
	state  cbor.RawMessage
	config cbor.RawMessage
}

// sendSnapshot tells a dispatcher whose session is open the whole state that concerns it.
func (s *Server) sendSnapshot(d *dispatcher, shared *sharedSnapshot) {
	if shared.state == nil {
		shared.state = protocol.CompressUpdates(encodeAll(s.cluster.SharedSnapshot()))
	}
	d.snapshotDue = false
	updates := append(s.configUpdatesFor(d, shared), shared.state)
	if own := s.cluster.SessionSnapshot(d.session); len(own) > 0 {
		updates = append(updates, protocol.CompressUpdates(encodeAll(own)))
	}
	s.send(d, protocol.ControlMessage{Session: d.session, ControlAddresses: s.serviceAddresses(), Updates: updates})
}

// configUpdatesFor returns what brings a dispatcher from the configuration that it has to the one in force: nothing, the
// changes since, or the whole.
func (s *Server) configUpdatesFor(d *dispatcher, shared *sharedSnapshot) []cbor.RawMessage {
	whole := s.cluster.FullConfig()
	if whole == nil || d.request.ConfigVersion == whole.Version {
		return nil
	}
	if since := s.configHistory.since(d.request.ConfigVersion); since != nil {
		return []cbor.RawMessage{protocol.CompressUpdates(encodeAll(since))}
	}
	if shared.config == nil {
		shared.config = protocol.CompressUpdates(encodeAll([]statemachine.Update{{Config: whole}}))
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

func (s *Server) sendIdleHeartbeats() {
	for d := range s.dispatchers {
		if d.idleTicks++; d.idleTicks >= dispatcherHeartbeatTicks {
			s.send(d, protocol.ControlMessage{ControlAddresses: s.serviceAddresses()})
		}
	}
}
