package dispatcher

import (
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// Spans of the connection with the control machines.
const (
	dialWithin   = 250 * time.Millisecond
	downSilence  = 600 * time.Millisecond // heartbeats come every 200 ms
	heartbeat    = 250 * time.Millisecond
	redialPause  = 60 * time.Millisecond
	redialMost   = 150 * time.Millisecond
	attachWithin = 900 * time.Millisecond
)

// acknowledgeEvery is after how many bytes the control machine is told that they have come, beside heartbeats.
const acknowledgeEvery = 24 << 10

// pendingCommand is a command without an outcome. It goes out again on each new connection.
type pendingCommand struct {
	command *statemachine.Command
	done    func(statemachine.Result)
}

// uplink keeps one connection to a control machine. Its state belongs to the engine.
type uplink struct {
	dispatcher *Dispatcher
	settings   *settings.Settings
	logger     zerolog.Logger
	hello      protocol.SessionRequest

	conn     *frame.Conn
	attached bool
	session  statemachine.SessionID
	lostAt   time.Duration
	sentAt   time.Duration
	controls []string
	nextTag  uint64
	pending  map[uint64]*pendingCommand
	order    []uint64 // tags of pending, in order
	outgoing []uint64 // tags of commands to be sent

	received     uint64 // bytes of messages taken in on the connection
	acknowledged uint64 // of these, bytes of which the control machine was told
}

func newUplink(d *Dispatcher, life uint64) *uplink {
	return &uplink{dispatcher: d, settings: d.settings, logger: d.logger, pending: map[uint64]*pendingCommand{},
		hello: protocol.SessionRequest{Node: d.settings.Node, Zone: d.settings.Zone, Incarnation: life, AcknowledgesBytes: true}}
}

// submit sends a command; done is called by the engine with its outcome. Every command is one
// that may be carried out twice.
func (u *uplink) submit(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	u.nextTag++
	u.pending[u.nextTag] = &pendingCommand{command, done}
	u.order = append(u.order, u.nextTag)
	u.outgoing = append(u.outgoing, u.nextTag)
	return u.nextTag
}

// forget gives up waiting for a command's outcome. It is not sent again, and a copy of it that is still on its
// way is refused by the state once it knows.
func (u *uplink) forget(tag uint64) { delete(u.pending, tag) }

// settled returns the number up to which no command waits for its outcome.
func (u *uplink) settled() uint64 {
	for len(u.order) > 0 && u.pending[u.order[0]] == nil {
		u.order = u.order[1:]
	}
	if len(u.order) == 0 {
		return u.nextTag
	}
	return u.order[0] - 1
}

// encode writes a command with the fences of the present session.
func (u *uplink) encode(tag uint64, command *statemachine.Command, settled uint64) protocol.TaggedCommand {
	if !command.IsRead() {
		command.Session, command.Sequence, command.AcknowledgedThrough = u.session, tag, settled
	}
	return protocol.TaggedCommand{Tag: tag, Command: protocol.Encode(command)}
}

// flush sends what has gathered.
func (u *uplink) flush(now time.Duration) {
	if !u.attached || u.conn == nil {
		u.outgoing = nil // they go out with the next connection
		return
	}
	owesAcknowledgement := u.received-u.acknowledged >= acknowledgeEvery
	if len(u.outgoing) == 0 && !owesAcknowledgement && now-u.sentAt < heartbeat {
		return
	}
	u.sentAt, u.acknowledged = now, u.received
	up := protocol.DispatcherMessage{ConfigVersion: u.dispatcher.configInForce(), ReceivedBytes: u.received}
	settled := u.settled()
	for _, tag := range u.outgoing {
		if waiting := u.pending[tag]; waiting != nil {
			up.Commands = append(up.Commands, u.encode(tag, waiting.command, settled))
		}
	}
	u.outgoing = nil
	u.conn.Send(protocol.Encode(up))
}

// run dials control machines, one after the other, for as long as the process lives.
func (u *uplink) run() {
	pause := redialPause
	for attempt := 0; !u.dispatcher.isEnded(); attempt++ {
		next := u.dispatcher.nextControl(attempt)
		if next.address != "" && u.serve(next) {
			pause = redialPause
			continue
		}
		select {
		case <-time.After(pause):
		case <-u.dispatcher.ended:
		}
		pause = min(pause*3/2, redialMost)
	}
}

// serve carries one connection to its end, and reports whether it was of use.
func (u *uplink) serve(next attempt) bool {
	conn, err := frame.Dial(u.dispatcher.network, next.address, protocol.DispatcherPath, dialWithin)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Send(protocol.Encode(protocol.DispatcherMessage{SessionRequest: &next.hello}))
	stop := make(chan struct{})
	defer close(stop)
	go beat(conn, stop)
	go func() {
		select {
		case <-u.dispatcher.ended:
			conn.Close()
		case <-stop:
		}
	}()
	within, useful, received := attachWithin, false, uint64(0)
	for {
		data, err := conn.Receive(within)
		if err != nil {
			break
		}
		down := &protocol.ControlMessage{}
		if !protocol.Decode(data, down) {
			break
		}
		if down.Rejected {
			u.dispatcher.do(func() { u.learnControls(down.ControlAddresses) })
			break
		}
		if down.Session != 0 {
			useful, within = true, downSilence
		}
		received += uint64(len(data))
		sofar := received // the engine reads it while this goroutine counts on
		u.dispatcher.do(func() { u.receive(conn, down, sofar) })
	}
	u.dispatcher.do(func() { u.lost(conn) })
	return useful
}

// beat keeps the connection alive until the session is attached and beyond.
func beat(conn *frame.Conn, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	empty := protocol.Encode(protocol.DispatcherMessage{})
	for {
		select {
		case <-ticker.C:
			conn.Send(empty)
		case <-stop:
			return
		}
	}
}

// receive takes in a message, with which so many bytes have come on its connection.
func (u *uplink) receive(conn *frame.Conn, down *protocol.ControlMessage, received uint64) {
	u.learnControls(down.ControlAddresses)
	if down.Session != 0 {
		u.attach(conn, down.Session)
	}
	if u.conn != conn {
		return
	}
	u.received = received
	u.dispatcher.receiveUpdates(down)
	for _, outcome := range down.Outcomes {
		u.receiveOutcome(outcome)
	}
}

func (u *uplink) receiveOutcome(outcome protocol.Outcome) {
	waiting := u.pending[outcome.Tag]
	switch {
	case waiting == nil:
	case outcome.Result.Code == statemachine.Stale:
		u.reconnect() // the session is over; the command goes out again under the next one
	default:
		delete(u.pending, outcome.Tag)
		waiting.done(outcome.Result)
	}
}

func (u *uplink) attach(conn *frame.Conn, session statemachine.SessionID) {
	if u.session != session {
		u.logger.Info().Uint64("session", session).Msg("session open")
	}
	u.conn, u.attached, u.session = conn, true, session
	u.received, u.acknowledged = 0, 0
	u.outgoing = nil
	order := u.order[:0]
	for _, tag := range u.order {
		if waiting := u.pending[tag]; waiting != nil {
			order = append(order, tag)
			u.outgoing = append(u.outgoing, tag)
		}
	}
	u.order = order
}

func (u *uplink) lost(conn *frame.Conn) {
	if u.conn == conn {
		u.conn, u.attached, u.lostAt = nil, false, u.dispatcher.now()
	}
}

func (u *uplink) learnControls(controls []string) {
	if len(controls) > 0 {
		u.controls = controls
	}
}

// reconnect gives the present connection up, so that another one opens the session anew.
func (u *uplink) reconnect() {
	if u.conn != nil {
		u.conn.Close()
	}
}
