package server

import (
	"net/http"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"linnetlift/coordination/frame"
	"linnetlift/internal/control/cluster"
	"linnetlift/internal/control/link"
)

// Spans of connections with dispatchers.
const (
	dispatcherSilence = 650 * time.Millisecond // heartbeats come every 250 ms
	attachPatience    = 500 * time.Millisecond // for this replica to serve, which takes less after a change of view
	heartbeatTicks    = 2                      // of tickEvery, between heartbeats to dispatchers
)

// dispatcher is a connected dispatcher. It belongs to the engine.
type dispatcher struct {
	conn     *frame.Conn
	hello    link.Hello
	session  cluster.SessionID
	snapshot bool  // its session is open, and the snapshot is due
	config   int64 // version that it has acknowledged
	down     link.Down
	quiet    int
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
				s.reportBroken(d.session)
			}
			s.removeDispatcher(d)
		})
	}()
	for {
		data, err := conn.Receive(dispatcherSilence)
		if err != nil {
			broken = !errors.Is(err, os.ErrDeadlineExceeded)
			return
		}
		up := &link.Up{}
		if !link.Decode(data, up) {
			return
		}
		s.do(func() { s.receiveUp(d, up) })
	}
}

// reportBroken tells the head that a dispatcher's connection has ended. An end that its machine has
// told mostly means that the process is gone.
func (s *Server) reportBroken(id cluster.SessionID) {
	s.broken[id] = s.now()
	s.peers.broadcast(link.Encode(&link.Peer{Broken: []cluster.SessionID{id}}))
}

func (s *Server) receiveUp(d *dispatcher, up *link.Up) {
	if up.Hello != nil {
		s.attach(d, up.Hello)
	}
	if up.Goodbye && d.session != 0 {
		s.submit(&cluster.Command{CloseSession: &cluster.CloseSession{Session: d.session}}, func(cluster.Result) {})
	}
	if !s.dispatchers[d] {
		return
	}
	d.config = max(d.config, up.Config)
	for i := range up.Commands {
		s.receiveCommand(d, &up.Commands[i])
	}
}

func (s *Server) attach(d *dispatcher, hello *link.Hello) {
	d.hello = *hello
	if !s.inTouch() {
		s.waiting[d] = s.now()
		return
	}
	delete(s.waiting, d)
	s.dispatchers[d] = true
	s.openSession(d, s.cluster.NewestSession(hello.Node))
}

// openSession opens a dispatcher's session behind the newest one that its node has had.
func (s *Server) openSession(d *dispatcher, behind cluster.SessionID) {
	open := &cluster.Command{OpenSession: &cluster.OpenSession{Node: d.hello.Node, Zone: d.hello.Zone, Life: d.hello.Life,
		Behind: behind}}
	s.submitFor(d, open, link.Encode(open), func(result cluster.Result) {
		switch {
		case !s.dispatchers[d]:
		case result.Code == cluster.Conflict:
			s.openSession(d, result.Session) // there was a newer one, which this replica had not applied
		default:
			d.session, d.snapshot = result.Session, true
			s.bySession[d.session] = d
		}
	})
}

// attachWaiting serves those who came too early, and sends those away who have waited for long.
func (s *Server) attachWaiting() {
	for d, since := range s.waiting {
		switch {
		case s.inTouch():
			s.attach(d, &d.hello)
		case s.now()-since > attachPatience:
			delete(s.waiting, d)
			d.conn.Send(link.Encode(link.Down{Refused: true, Controls: s.controls()}))
		}
	}
}

func (s *Server) receiveCommand(d *dispatcher, tagged *link.Tagged) {
	command := &cluster.Command{}
	if !link.Decode(tagged.Command, command) {
		d.down.Outcomes = append(d.down.Outcomes, link.Outcome{Tag: tagged.Tag, Result: cluster.Result{Code: cluster.Invalid}})
		return
	}
	tag := tagged.Tag
	s.submitFor(d, command, tagged.Command, func(result cluster.Result) {
		d.down.Outcomes = append(d.down.Outcomes, link.Outcome{Tag: tag, Result: result})
	})
}

func (s *Server) removeDispatcher(d *dispatcher) {
	delete(s.waiting, d)
	if !s.dispatchers[d] {
		return
	}
	delete(s.dispatchers, d)
	s.forgetRequests(d)
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

func (s *Server) controls() []string {
	addresses := []string{}
	for _, member := range s.register.View().Electors {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func (s *Server) sessionsInTouch() []cluster.SessionID {
	ids := []cluster.SessionID{}
	for id := range s.bySession {
		ids = append(ids, id)
	}
	return ids
}

// deliver sends updates to those whom they concern, then outcomes.
func (s *Server) deliver() {
	s.attachWaiting()
	s.addUpdates()
	var shared sharedSnapshot
	for d := range s.dispatchers {
		if d.snapshot {
			s.addSnapshot(d, &shared)
		}
		if len(d.down.Updates) == 0 && len(d.down.Outcomes) == 0 && d.down.Session == 0 {
			continue
		}
		s.sendDown(d)
	}
}

func (s *Server) sendDown(d *dispatcher) {
	d.conn.Send(link.Encode(d.down))
	d.down, d.quiet = link.Down{}, 0
}

func (s *Server) addUpdates() {
	if len(s.bySession) == 0 {
		s.updates = nil
		return
	}
	last := map[string]int{} // the newest figure of a worker's use stands for those before it
	for i, addressed := range s.updates {
		if used := addressed.Update.Used; used != nil {
			last[used.Worker] = i
		}
	}
	for i, addressed := range s.updates {
		if used := addressed.Update.Used; used != nil && last[used.Worker] != i {
			continue
		}
		if addressed.To != 0 {
			if d := s.bySession[addressed.To]; d != nil && !d.snapshot {
				d.down.Updates = append(d.down.Updates, link.Encode(addressed.Update))
			}
			continue
		}
		data := link.Pack([]cbor.RawMessage{link.Encode(addressed.Update)})
		for d := range s.dispatchers {
			if d.session != 0 && !d.snapshot {
				d.down.Updates = append(d.down.Updates, data)
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

func (s *Server) addSnapshot(d *dispatcher, shared *sharedSnapshot) {
	if shared.state == nil {
		shared.state = link.Pack(encodeAll(s.cluster.SharedSnapshot()))
	}
	d.snapshot = false
	d.down.Session = d.session
	d.down.Controls = s.controls()
	d.down.Updates = s.configFor(d, shared)
	d.down.Updates = append(d.down.Updates, shared.state)
	d.down.Updates = append(d.down.Updates, encodeAll(s.cluster.OwnSnapshot(d.session))...)
}

// configFor returns what brings a dispatcher from the configuration that it has to the one in force: nothing, the
// changes since, or the whole.
func (s *Server) configFor(d *dispatcher, shared *sharedSnapshot) []cbor.RawMessage {
	whole := s.cluster.WholeConfig()
	if whole == nil || d.hello.Config == whole.Version {
		return nil
	}
	if since := s.changes.since(d.hello.Config); since != nil {
		return []cbor.RawMessage{link.Pack(encodeAll(since))}
	}
	if shared.config == nil {
		shared.config = link.Pack(encodeAll([]cluster.Update{{Config: whole}}))
	}
	return []cbor.RawMessage{shared.config}
}

func encodeAll(updates []cluster.Update) []cbor.RawMessage {
	encoded := make([]cbor.RawMessage, len(updates))
	for i := range updates {
		encoded[i] = link.Encode(updates[i])
	}
	return encoded
}

func (s *Server) dispatcherTick() {
	for d := range s.dispatchers {
		if d.quiet++; d.quiet >= heartbeatTicks {
			d.down.Controls = s.controls()
			s.sendDown(d)
		}
	}
}
