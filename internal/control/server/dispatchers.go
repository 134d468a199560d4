package server

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// Limits of connections from dispatchers.
const (
	// dispatcherTimeout is how long a dispatcher may be silent before its connection is closed. It sends a heartbeat
	// every 250 ms.
	dispatcherTimeout = 650 * time.Millisecond
	// attachTimeout is how long a dispatcher waits for this replica to serve before it is redirected to another control
	// machine. After a change of view the replica serves sooner than that.
	attachTimeout = 500 * time.Millisecond
	// dispatcherHeartbeatTicks is how many ticks a dispatcher may go without a message before it is sent a heartbeat.
	dispatcherHeartbeatTicks = 2
)

// dispatcher is a connection from a dispatcher. It is made with the connection, attached by the dispatcher's session
// request, and removed when the connection ends. It belongs to the engine.
type dispatcher struct {
	conn        *frame.Conn
	request     protocol.SessionRequest
	session     statemachine.SessionID // 0: none is open yet
	snapshotDue bool                   // the session is open, and the snapshot that it begins with was not sent yet
	ackedConfig int64                  // newest version of the configuration that the dispatcher has acknowledged
	outbox      outbox
	outcomes    []protocol.Outcome        // of commands that were just applied; they follow the updates of the same commands
	idleTicks   int                       // since it was last sent something
	isLeaving   bool                      // it has said that it shuts down
	listDuty    protocol.InstanceListDuty // as it was last told
}

// dispatcherTable knows the dispatchers that are connected to this machine. It belongs to the engine.
type dispatcherTable struct {
	attached  map[*dispatcher]bool
	bySession map[statemachine.SessionID]*dispatcher
	waiting   map[*dispatcher]time.Duration // connected while this replica did not serve: since when
}

func newDispatcherTable() *dispatcherTable {
	return &dispatcherTable{
		attached:  map[*dispatcher]bool{},
		bySession: map[statemachine.SessionID]*dispatcher{},
		waiting:   map[*dispatcher]time.Duration{},
	}
}

// sessions returns the sessions of the dispatchers that are connected here, in no order.
func (t *dispatcherTable) sessions() []statemachine.SessionID {
	ids := []statemachine.SessionID{}
	for id := range t.bySession {
		ids = append(ids, id)
	}
	return ids
}

// attach enters a dispatcher whose session is about to be opened.
func (t *dispatcherTable) attach(d *dispatcher) {
	delete(t.waiting, d)
	t.attached[d] = true
}

// owns reports whether a dispatcher is attached and its session was not resumed over another connection.
func (t *dispatcherTable) owns(d *dispatcher) bool {
	return t.attached[d] && t.bySession[d.session] == d
}

// remove forgets a dispatcher, and reports whether it was attached.
func (t *dispatcherTable) remove(d *dispatcher) bool {
	delete(t.waiting, d)
	if !t.attached[d] {
		return false
	}
	delete(t.attached, d)
	if t.bySession[d.session] == d {
		delete(t.bySession, d.session)
	}
	return true
}

// acceptDispatcher serves a dispatcher's connection.
func (s *Server) acceptDispatcher(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Upgrade(w, r)
	if err != nil {
		return // the caller was answered by Upgrade
	}
	go s.listenDispatcher(conn)
}

// listenDispatcher hands a dispatcher's messages to the engine until its connection ends, by whichever side, or it is
// silent for dispatcherTimeout. It owns the connection's end.
func (s *Server) listenDispatcher(conn *frame.Conn) {
	d := &dispatcher{conn: conn}
	err := s.receiveDispatcher(d)
	conn.Close()
	// An end that the dispatcher's machine has announced mostly means that the process has ended; silence does not.
	disconnected := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	s.do(func() {
		if disconnected && s.dispatchers.owns(d) {
			s.reportDisconnected(d.session)
		}
		s.removeDispatcher(d)
	})
}

// receiveDispatcher hands messages to the engine. It returns the connection's error, and nil for a message that can't be
// read.
func (s *Server) receiveDispatcher(d *dispatcher) error {
	for {
		data, err := d.conn.Receive(dispatcherTimeout)
		if err != nil {
			return errors.Trace(err)
		}
		message := &protocol.DispatcherMessage{}
		if !protocol.Decode(data, message) {
			return nil
		}
		s.do(func() { s.receiveFromDispatcher(d, message) })
	}
}

// reportDisconnected notes that a dispatcher's connection has ended, and notifies the peers, one of which may be the head.
func (s *Server) reportDisconnected(id statemachine.SessionID) {
	ids := []statemachine.SessionID{id}
	s.sessions.disconnected(s.now(), ids)
	s.peers.broadcast(protocol.Encode(&protocol.PeerMessage{DisconnectedSessions: ids}))
}

// receiveFromDispatcher takes in a dispatcher's message. Commands of a dispatcher that is not attached are dropped: it
// submits them again once it is.
func (s *Server) receiveFromDispatcher(d *dispatcher, message *protocol.DispatcherMessage) {
	if message.SessionRequest != nil {
		s.attach(d, message.SessionRequest)
	}
	if message.ShuttingDown && d.session != 0 {
		d.isLeaving = true
		_ = s.commands.submit(&statemachine.Command{CloseSession: &statemachine.CloseSession{Session: d.session}}, func(statemachine.Result) {})
	}
	if !s.dispatchers.attached[d] {
		return
	}
	d.ackedConfig = max(d.ackedConfig, message.ConfigVersion)
	d.outbox.acknowledge(message.ReceivedBytes)
	for i := range message.Commands {
		s.receiveCommand(d, &message.Commands[i])
	}
}

// receiveCommand submits a dispatcher's command; its outcome goes back under the dispatcher's own tag.
func (s *Server) receiveCommand(d *dispatcher, tagged *protocol.TaggedCommand) {
	tag := tagged.Tag
	command := &statemachine.Command{}
	if !protocol.Decode(tagged.Command, command) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Invalid}})
		return
	}
	err := s.commands.submitFor(d, command, tagged.Command, func(result statemachine.Result) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: result})
	})
	if err != nil {
		s.logger.Error().Err(err).Str("node", d.request.Node).Msg("a dispatcher's command is refused")
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Invalid}})
	}
}

// attach opens a dispatcher's session, or lets the dispatcher wait until this replica serves, or redirects it to another
// control machine.
func (s *Server) attach(d *dispatcher, request *protocol.SessionRequest) {
	d.request = *request
	d.outbox.acknowledges = request.AcknowledgesBytes
	switch {
	case s.membership.isOutsideChain():
		s.redirect(d)
	case !s.canServe():
		s.dispatchers.waiting[d] = s.now()
	default:
		s.dispatchers.attach(d)
		s.openSession(d, s.state.fsm.LatestSession(request.Node))
	}
}

// openSession opens a dispatcher's session, where the latest one of its node is still the expected one.
func (s *Server) openSession(d *dispatcher, expectedLatest statemachine.SessionID) {
	request := &d.request
	open := &statemachine.Command{OpenSession: &statemachine.OpenSession{Node: request.Node, Zone: request.Zone,
		Incarnation: request.Incarnation, ExpectedLatest: expectedLatest}}
	_ = s.commands.submitFor(d, open, protocol.Encode(open), func(result statemachine.Result) {
		switch {
		case !s.dispatchers.attached[d]:
		case result.Code == statemachine.Conflict:
			s.openSession(d, result.Session) // there was a later one, which this replica had not applied
		default:
			d.session, d.snapshotDue = result.Session, true
			s.dispatchers.bySession[d.session] = d
		}
	})
}

// attachWaiting attaches the dispatchers that connected before this replica served, and redirects those that it makes
// wait for too long.
func (s *Server) attachWaiting() {
	for d, since := range s.dispatchers.waiting {
		switch {
		case s.canServe():
			s.attach(d, &d.request)
		case s.membership.isOutsideChain() || s.now()-since > attachTimeout:
			s.redirect(d)
		}
	}
}

// redirect asks a dispatcher to try another control machine.
func (s *Server) redirect(d *dispatcher) {
	delete(s.dispatchers.waiting, d)
	d.conn.Send(protocol.Encode(protocol.ControlMessage{Rejected: true, ControlAddresses: s.membership.serviceAddresses()}))
}

// removeDispatcher forgets a dispatcher whose connection has ended, and its commands.
func (s *Server) removeDispatcher(d *dispatcher) {
	if s.dispatchers.remove(d) {
		s.commands.forgetIssuer(d)
	}
}

// disconnectWithoutSessions closes the connections of dispatchers whose sessions are over while no session is open at all:
// an empty list of sessions leaves no trace in an update, so they would not hear of it, and nobody would own anything for
// good. They open new sessions over other connections.
func (s *Server) disconnectWithoutSessions() {
	if len(s.state.fsm.Sessions) > 0 {
		return
	}
	for d := range s.dispatchers.attached {
		if d.session == 0 || d.snapshotDue || d.isLeaving {
			continue
		}
		s.logger.Warn().Uint64("session", d.session).Str("dispatcher", d.request.Node).Msg("no session is open any more: the dispatcher has to open another one")
		d.conn.Close()
		s.removeDispatcher(d)
	}
}

// disconnectDispatchers closes all connections to dispatchers: they look for a control machine that serves.
func (s *Server) disconnectDispatchers() {
	for d := range s.dispatchers.attached {
		d.conn.Close()
		s.removeDispatcher(d)
	}
}
