package dispatcher

import (
	"os"
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// Bounds of the connection to a control machine.
const (
	dialTimeout = 250 * time.Millisecond
	// attachTimeout is how long the first message of a connection may take: the snapshot that opens the session.
	attachTimeout = 900 * time.Millisecond
	// receiveTimeout ends a connection on which nothing comes. Heartbeats come every 200 ms.
	receiveTimeout    = 600 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	// The pause between attempts to connect grows from minRedialPause by half each time, up to maxRedialPause.
	minRedialPause = 60 * time.Millisecond
	maxRedialPause = 150 * time.Millisecond
	// seedsEvery is how often, in attempts, the seeds of the settings file are tried instead of the known addresses: these
	// may all be out of date.
	seedsEvery = 5
	// acknowledgeBytes is after how many received bytes the control machine is told so beside heartbeats: it stops sending
	// what is not urgent while 96 kB are unacknowledged.
	acknowledgeBytes = 24 << 10
)

// uplink keeps one connection to a control machine, and a session over it. Its state belongs to the event loop; the
// goroutines of run only read and write connections, and end once the loop has ended.
type uplink struct {
	dispatcher     *Dispatcher
	settings       *settings.Settings
	logger         zerolog.Logger
	sessionRequest protocol.SessionRequest

	conn             *frame.Conn // nil: none with an open session
	attached         bool        // the session is open over conn
	session          statemachine.SessionID
	detachedAt       time.Duration
	sentAt           time.Duration
	controlAddresses []string
	commands         commandQueue

	receivedBytes     uint64 // of messages taken in on conn
	acknowledgedBytes uint64 // of these, those that the control machine was told of
}

func newUplink(d *Dispatcher, incarnation uint64) *uplink {
	return &uplink{dispatcher: d, settings: d.settings, logger: d.logger,
		commands: commandQueue{pending: map[uint64]*pendingCommand{}},
		sessionRequest: protocol.SessionRequest{Node: d.settings.Node, Zone: d.settings.Zone, Incarnation: incarnation,
			AcknowledgesBytes: true, DelegatesInstanceList: true}}
}

// submit sends a command and returns its tag; the event loop calls done with its outcome. The command may be carried out
// twice, so it has to be idempotent.
func (u *uplink) submit(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	return u.commands.add(command, done)
}

// abandon no longer waits for a command's outcome. The command is not sent again, and a copy that is still on its way is
// rejected by the replicated state once it has seen a later AcknowledgedThrough.
func (u *uplink) abandon(tag uint64) { delete(u.commands.pending, tag) }

// flush sends what has gathered: commands, acknowledgements, or a heartbeat where one is due.
func (u *uplink) flush(now time.Duration) {
	if !u.attached || u.conn == nil {
		u.commands.outgoing = nil // all pending ones are sent with the next connection
		return
	}
	owesAcknowledgement := u.receivedBytes-u.acknowledgedBytes >= acknowledgeBytes
	if len(u.commands.outgoing) == 0 && !owesAcknowledgement && now-u.sentAt < heartbeatInterval {
		return
	}
	u.sentAt, u.acknowledgedBytes = now, u.receivedBytes
	u.conn.Send(protocol.Encode(protocol.DispatcherMessage{ConfigVersion: u.dispatcher.config.version(),
		ReceivedBytes: u.receivedBytes, Commands: u.commands.takeOutgoing(u.session)}))
}

// dialTarget is a control machine to connect to, and the request to open the session there.
type dialTarget struct {
	address string // "": none is known
	request protocol.SessionRequest
}

// run connects to control machines, one after the other, until the event loop has ended.
func (u *uplink) run() {
	pause := minRedialPause
	for attempt := 0; !u.dispatcher.hasEnded(); attempt++ {
		target := u.nextTarget(attempt)
		if target.address != "" && u.serve(target) {
			pause = minRedialPause
			continue
		}
		select {
		case <-time.After(pause):
		case <-u.dispatcher.loopEnded:
		}
		pause = min(pause*3/2, maxRedialPause)
	}
}

// nextTarget returns the control machine to dial next. Those of the own zone can't be told from others by address, so the
// order is a fixed one that differs between dispatchers.
func (u *uplink) nextTarget(attempt int) dialTarget {
	d := u.dispatcher
	answer := make(chan dialTarget, 1)
	d.post(func() {
		request := u.sessionRequest
		request.ConfigVersion = d.config.bodyVersion
		addresses := append([]string{}, u.controlAddresses...)
		if attempt%seedsEvery == seedsEvery-1 || len(addresses) == 0 {
			addresses = d.reloadSeeds()
		}
		if len(addresses) == 0 {
			answer <- dialTarget{}
			return
		}
		answer <- dialTarget{addresses[(int(request.Incarnation%1024)+attempt)%len(addresses)], request}
	})
	select {
	case target := <-answer:
		return target
	case <-d.loopEnded:
		return dialTarget{}
	}
}

// reloadSeeds reads the seeds from the settings file, which may have changed without a signal. Where the file can't be
// read, those read before stay.
func (d *Dispatcher) reloadSeeds() []string {
	if fresh, err := settings.Load(os.Getenv(settings.PathVariable)); err == nil {
		d.settings.Seeds = fresh.Seeds
	}
	return d.settings.Seeds
}

// serve carries one connection to its end, and reports whether a session was open over it.
func (u *uplink) serve(target dialTarget) bool {
	conn, err := frame.Dial(u.dispatcher.network, target.address, protocol.DispatcherPath, dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Send(protocol.Encode(protocol.DispatcherMessage{SessionRequest: &target.request}))
	ended := make(chan struct{})
	defer close(ended)
	go u.keepAlive(conn, ended)
	opened := u.receiveAll(conn)
	u.dispatcher.post(func() { u.detach(conn) })
	return opened
}

// receiveAll hands the messages of a connection to the event loop until the connection ends, and reports whether a session
// was open over it.
func (u *uplink) receiveAll(conn *frame.Conn) (opened bool) {
	timeout, received := attachTimeout, uint64(0)
	for {
		data, err := conn.Receive(timeout)
		if err != nil {
			return opened
		}
		message := &protocol.ControlMessage{}
		if !protocol.Decode(data, message) {
			return opened
		}
		if message.Rejected {
			u.dispatcher.post(func() { u.learnControlAddresses(message.ControlAddresses) })
			return opened
		}
		if message.Session != 0 {
			opened, timeout = true, receiveTimeout
		}
		received += uint64(len(data))
		soFar := received // the event loop reads it while this goroutine counts on
		u.dispatcher.post(func() { u.receive(conn, message, soFar) })
	}
}

// keepAlive sends heartbeats, also before the session is open, until the connection has ended. It closes the connection
// where the event loop has ended.
func (u *uplink) keepAlive(conn *frame.Conn, ended <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	empty := protocol.Encode(protocol.DispatcherMessage{})
	for {
		select {
		case <-ticker.C:
			conn.Send(empty)
		case <-u.dispatcher.loopEnded:
			conn.Close()
			return
		case <-ended:
			return
		}
	}
}

// receive takes in a message, after which so many bytes have come on its connection. Messages of a former connection are
// dropped: the session's snapshot on the new one has what they say, and pending commands were sent again.
func (u *uplink) receive(conn *frame.Conn, message *protocol.ControlMessage, receivedBytes uint64) {
	u.learnControlAddresses(message.ControlAddresses)
	if message.Session != 0 {
		u.attach(conn, message.Session)
	}
	if u.conn != conn {
		return
	}
	u.receivedBytes = receivedBytes
	u.dispatcher.instances.receiveDuty(message.InstanceListDuty)
	u.dispatcher.receiveUpdates(message)
	for _, outcome := range message.Outcomes {
		u.receiveOutcome(outcome)
	}
}

// receiveOutcome takes in a command's outcome. A command that the session's end has overtaken stays pending and is sent
// again under the next session.
func (u *uplink) receiveOutcome(outcome protocol.Outcome) {
	waiting := u.commands.pending[outcome.Tag]
	switch {
	case waiting == nil:
	case outcome.Result.Code == statemachine.Stale:
		u.reconnect()
	default:
		delete(u.commands.pending, outcome.Tag)
		waiting.done(outcome.Result)
	}
}

func (u *uplink) attach(conn *frame.Conn, session statemachine.SessionID) {
	if u.session != session {
		u.logger.Info().Uint64("session", session).Msg("session opened")
	}
	u.conn, u.attached, u.session = conn, true, session
	u.receivedBytes, u.acknowledgedBytes = 0, 0
	u.dispatcher.instances.delegated = false // until this control machine says that it reads
	u.commands.resendAll()
}

func (u *uplink) detach(conn *frame.Conn) {
	if u.conn == conn {
		u.conn, u.attached, u.detachedAt = nil, false, u.dispatcher.now()
	}
}

func (u *uplink) learnControlAddresses(addresses []string) {
	if len(addresses) > 0 {
		u.controlAddresses = addresses
	}
}

// reconnect ends the present connection, so that the next one opens the session anew.
func (u *uplink) reconnect() {
	if u.conn != nil {
		u.conn.Close()
	}
}
