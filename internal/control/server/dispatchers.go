package server

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
)

// Limits of connections from dispatchers.
const (
	// dispatcherTimeout is how long a dispatcher may be silent before its connection is closed. It sends a heartbeat
	// every 250 ms.
	dispatcherTimeout = 650 * time.Millisecond
	// attachTimeout is how long a dispatcher waits for this replica to serve before it is redirected to another control
	// machine. After a view change the replica serves sooner than that.
	attachTimeout = 500 * time.Millisecond
	// dispatcherHeartbeatTicks is the number of ticks without a message to a dispatcher after which it is sent a
	// heartbeat.
	dispatcherHeartbeatTicks = 2
	// digestTicks is the number of ticks between two digests of open jobs for a dispatcher.
	digestTicks = 20
)

// dispatcher is a connection from a dispatcher. It is created with the connection, attached by the dispatcher's session
// request, and removed when the connection ends. It belongs to the engine.
type dispatcher struct {
	conn           *frame.Conn
	request        protocol.SessionRequest
	session        statemachine.SessionID // 0: none is open yet
	snapshotDue    bool                   // the session is open, and its initial snapshot has not been sent yet
	ackedConfig    int64                  // newest version of the configuration that the dispatcher has acknowledged
	outbox         outbox
	outcomes       []protocol.Outcome        // of commands that were just applied; sent after the updates of these commands
	idleTicks      int                       // ticks since the last message to it
	isShuttingDown bool                      // the dispatcher has announced its shutdown
	listDuty       protocol.InstanceListDuty // last duty sent to the dispatcher
	digestDue      bool                      // the digest of its open jobs is sent once all updates are
}

// dispatcherTable holds the dispatchers that are connected to this machine. It belongs to the engine.
type dispatcherTable struct {
	attached  map[*dispatcher]bool
	bySession map[statemachine.SessionID]*dispatcher
	waiting   map[*dispatcher]time.Duration // connected while this replica did not serve, with the time of the request
	ticks     int                           // since the start, by which digests are due
}

func newDispatcherTable() *dispatcherTable {
	return &dispatcherTable{
		attached:  map[*dispatcher]bool{},
		bySession: map[statemachine.SessionID]*dispatcher{},
		waiting:   map[*dispatcher]time.Duration{},
	}
}

// sessions returns the sessions of the dispatchers that are connected here, in no particular order.
func (t *dispatcherTable) sessions() []statemachine.SessionID {
	ids := []statemachine.SessionID{}
	for id := range t.bySession {
		ids = append(ids, id)
	}
	return ids
}

// attach adds a dispatcher whose session is about to be opened.
func (t *dispatcherTable) attach(d *dispatcher) {
	delete(t.waiting, d)
	t.attached[d] = true
}

// owns reports whether a dispatcher is attached and its session has not been resumed over another connection.
func (t *dispatcherTable) owns(d *dispatcher) bool {
	return t.attached[d] && t.bySession[d.session] == d
}

// remove removes a dispatcher, and reports whether it was attached.
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
		return // Upgrade has answered the request
	}
	process := ingress.Process(r)
	conn.SetQuota(process)
	go s.listenDispatcher(conn, process)
}

// listenDispatcher passes a dispatcher's messages to the engine until either side closes the connection or the dispatcher
// is silent for dispatcherTimeout. It then closes the connection and removes the dispatcher.
func (s *Server) listenDispatcher(conn *frame.Conn, process *ingress.ProcessConn) {
	d := &dispatcher{conn: conn}
	err := s.receiveDispatcher(d, process)
	conn.Close()
	// A connection closed by the dispatcher's machine mostly means that the process has ended; silence does not.
	disconnected := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	s.do(func() {
		if disconnected && s.dispatchers.owns(d) {
			s.reportDisconnected(d.session)
		}
		s.removeDispatcher(d)
	})
}

// receiveDispatcher passes messages to the engine. It returns the error of the connection, or nil after a message that
// can't be decoded.
func (s *Server) receiveDispatcher(d *dispatcher, process *ingress.ProcessConn) error {
	for {
		data, err := d.conn.Receive(dispatcherTimeout)
		if err != nil {
			return errors.Trace(err)
		}
		message := &protocol.DispatcherMessage{}
		if !protocol.Decode(data, message) {
			return nil
		}
		if message.SessionRequest != nil {
			process.Identified()
		}
		s.do(func() { s.receiveFromDispatcher(d, message) })
	}
}

// reportDisconnected records that a dispatcher's connection has ended, and notifies the peers, one of which may be the
// head.
func (s *Server) reportDisconnected(id statemachine.SessionID) {
	ids := []statemachine.SessionID{id}
	s.sessions.recordDisconnected(s.now(), ids)
	s.peers.broadcast(protocol.Encode(&protocol.PeerMessage{DisconnectedSessions: ids}))
}

// receiveFromDispatcher handles a dispatcher's message. Commands of a dispatcher that is not attached are dropped; the
// dispatcher submits them again once it is attached.
func (s *Server) receiveFromDispatcher(d *dispatcher, message *protocol.DispatcherMessage) {
	if message.SessionRequest != nil {
		s.attach(d, message.SessionRequest)
	}
	if message.ShuttingDown && d.session != 0 {
		d.isShuttingDown = true
		_ = s.commands.submit(&statemachine.Command{CloseSession: &statemachine.CloseSession{Session: d.session}},
			func(statemachine.Result) {})
	}
	if !s.dispatchers.attached[d] {
		return
	}
	d.ackedConfig = max(d.ackedConfig, message.ConfigVersion)
	d.outbox.acknowledge(message.ReceivedBytes)
	if len(message.Abandoned) > 0 {
		s.commands.abandonFor(d, message.Abandoned)
	}
	for i := range message.Commands {
		s.receiveCommand(d, &message.Commands[i])
	}
}

// receiveCommand submits a dispatcher's command. Its outcome is returned under the dispatcher's own tag.
func (s *Server) receiveCommand(d *dispatcher, tagged *protocol.TaggedCommand) {
	tag := tagged.Tag
	command := &statemachine.Command{}
	if !protocol.Decode(tagged.Command, command) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Invalid}})
		return
	}
	err := s.commands.submitTagged(d, tagged, command, func(result statemachine.Result) {
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: result})
	})
	if err != nil {
		s.logger.Error().Err(err).Str("node", d.request.Node).Msg("a dispatcher's command is refused")
		d.outcomes = append(d.outcomes, protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Invalid}})
	}
}

// attach opens a dispatcher's session, makes the dispatcher wait until this replica serves, or redirects it to another
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

// openSession opens a dispatcher's session if expectedLatest is still the latest session of the dispatcher's node.
func (s *Server) openSession(d *dispatcher, expectedLatest statemachine.SessionID) {
	request := &d.request
	open := &statemachine.Command{OpenSession: &statemachine.OpenSession{Node: request.Node, Zone: request.Zone,
		Incarnation: request.Incarnation, ExpectedLatest: expectedLatest}}
	_ = s.commands.submitFor(d, open, protocol.Encode(open), func(result statemachine.Result) {
		switch {
		case !s.dispatchers.attached[d]:
		case result.Code == statemachine.Conflict:
			s.openSession(d, result.Session) // there is a later session, which this replica had not applied
		default:
			d.session, d.snapshotDue = result.Session, true
			s.dispatchers.bySession[d.session] = d
		}
	})
}

// attachWaiting attaches the dispatchers that connected before this replica served. It redirects those that have waited
// for too long, or all of them if this machine is outside the chain.
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

// redirect asks a dispatcher to connect to another control machine.
func (s *Server) redirect(d *dispatcher) {
	delete(s.dispatchers.waiting, d)
	d.conn.Send(protocol.Encode(protocol.ControlMessage{Rejected: true, ControlAddresses: s.membership.serviceAddresses()}))
}

// removeDispatcher removes a dispatcher whose connection has ended, and its commands.
func (s *Server) removeDispatcher(d *dispatcher) {
	if s.dispatchers.remove(d) {
		s.commands.removeIssuer(d)
	}
}

// disconnectWithoutSessions closes the connections of dispatchers whose sessions have ended, if no session is open at
// all. An empty list of sessions is not encoded in an update, so these dispatchers would never learn that their sessions
// have ended, and jobs and workers would have no owner. They reconnect and open new sessions.
func (s *Server) disconnectWithoutSessions() {
	if len(s.state.fsm.Sessions) > 0 {
		return
	}
	for d := range s.dispatchers.attached {
		if d.session == 0 || d.snapshotDue || d.isShuttingDown {
			continue
		}
		s.logger.Warn().Uint64("session", d.session).Str("dispatcher", d.request.Node).
			Msg("no session is open any more: the dispatcher has to open another one")
		d.conn.Close()
		s.removeDispatcher(d)
	}
}

// disconnectDispatchers closes all connections to dispatchers, which then look for a control machine that serves.
func (s *Server) disconnectDispatchers() {
	for d := range s.dispatchers.attached {
		d.conn.Close()
		s.removeDispatcher(d)
	}
}
