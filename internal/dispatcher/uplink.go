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
	// attachTimeout is how long the dispatcher waits for the first message of a connection, the snapshot that opens the
	// session.
	attachTimeout = 900 * time.Millisecond
	// receiveTimeout is how long a connection may be silent before the dispatcher closes it. Control machines send
	// heartbeats every 200 ms.
	receiveTimeout    = 600 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	// The pause between connection attempts grows by half each time, from minRedialPause up to maxRedialPause.
	minRedialPause = 60 * time.Millisecond
	maxRedialPause = 150 * time.Millisecond
	// seedAttemptInterval is the interval, in connection attempts, at which a seed of the settings file is tried instead of
	// a known address: the known addresses may all be out of date.
	seedAttemptInterval = 5
	// acknowledgeThreshold is the number of received bytes that are acknowledged at once, without waiting for a heartbeat.
	// The control machine stops sending updates that are not urgent while 96 kB are unacknowledged.
	acknowledgeThreshold = 24 << 10
)

// uplink maintains one connection to a control machine, and a session over it. Its state belongs to the event loop. The
// goroutines that run starts only read and write connections, and end once the loop has ended.
type uplink struct {
	dispatcher     *Dispatcher
	settings       *settings.Settings
	logger         zerolog.Logger
	sessionRequest protocol.SessionRequest

	conn             *frame.Conn // nil if no session is open
	attached         bool        // a session is open over conn
	session          statemachine.SessionID
	detachedAt       time.Duration
	sentAt           time.Duration
	controlAddresses []string
	commands         commandQueue

	receivedBytes     uint64 // bytes of the messages handled on conn
	acknowledgedBytes uint64 // the part of receivedBytes that has been acknowledged to the control machine
}

func newUplink(d *Dispatcher, incarnation uint64) *uplink {
	return &uplink{dispatcher: d, settings: d.settings, logger: d.logger,
		commands: commandQueue{pending: map[uint64]*pendingCommand{}},
		sessionRequest: protocol.SessionRequest{Node: d.settings.Node, Zone: d.settings.Zone, Incarnation: incarnation,
			AcknowledgesBytes: true, DelegatesInstanceList: true}}
}

// submit queues a command for sending and returns its tag. The event loop calls done with the command's outcome. The command
// may be carried out twice, so it has to be idempotent.
func (u *uplink) submit(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	return u.commands.add(command, done)
}

// abandon stops waiting for a command's outcome. The command is not sent again, the control machine is asked not to propose
// it again, and the replicated state rejects a copy in flight once it has received a later AcknowledgedThrough.
func (u *uplink) abandon(tag uint64) { u.commands.abandon(tag) }

// flush sends a message if there are queued commands or bytes to acknowledge, or if the heartbeat interval has passed.
func (u *uplink) flush(now time.Duration) {
	if !u.attached || u.conn == nil {
		u.commands.outgoing = nil // attach makes all pending commands outgoing again
		return
	}
	u.commands.addFenceIfDue()
	acknowledgementDue := u.receivedBytes-u.acknowledgedBytes >= acknowledgeThreshold
	if len(u.commands.outgoing)+len(u.commands.abandoned) == 0 && !acknowledgementDue && now-u.sentAt < heartbeatInterval {
		return
	}
	u.sentAt, u.acknowledgedBytes = now, u.receivedBytes
	u.conn.Send(protocol.Encode(protocol.DispatcherMessage{ConfigVersion: u.dispatcher.config.version(),
		ReceivedBytes: u.receivedBytes, Abandoned: u.commands.takeAbandoned(),
		Commands: u.commands.takeOutgoing(u.session)}))
}

// dialTarget is the address of a control machine to connect to, and the request that opens a session there.
type dialTarget struct {
	address string // empty if no address is known
	request protocol.SessionRequest
}

// run connects to one control machine after the other until the event loop has ended.
func (u *uplink) run() {
	pause := minRedialPause
	for attempt := 0; !u.dispatcher.hasEnded(); attempt++ {
		target := u.nextTarget(attempt)
		if target.address != "" && u.runConnection(target) {
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

// nextTarget returns the control machine to dial next. An address does not show whether a control machine is in the
// dispatcher's own zone, so the order is fixed. It starts at a place that depends on the incarnation, so that dispatchers
// differ in it.
func (u *uplink) nextTarget(attempt int) dialTarget {
	d := u.dispatcher
	targets := make(chan dialTarget, 1)
	d.post(func() {
		request := u.sessionRequest
		request.ConfigVersion = d.config.bodyVersion
		addresses := append([]string{}, u.controlAddresses...)
		if attempt%seedAttemptInterval == seedAttemptInterval-1 || len(addresses) == 0 {
			addresses = d.reloadSeeds()
		}
		if len(addresses) == 0 {
			targets <- dialTarget{}
			return
		}
		targets <- dialTarget{addresses[(int(request.Incarnation%1024)+attempt)%len(addresses)], request}
	})
	select {
	case target := <-targets:
		return target
	case <-d.loopEnded:
		return dialTarget{}
	}
}

// reloadSeeds reads the seeds from the settings file, which may have changed without a signal, and returns them. If the file
// can't be read, the previous seeds are kept.
func (d *Dispatcher) reloadSeeds() []string {
	if reloaded, err := settings.Load(os.Getenv(settings.PathVariable)); err == nil {
		d.settings.Seeds = reloaded.Seeds
	}
	return d.settings.Seeds
}

// runConnection connects to the target and handles the connection until it ends. It reports whether a session was opened.
func (u *uplink) runConnection(target dialTarget) bool {
	conn, err := frame.Dial(u.dispatcher.network, target.address, protocol.DispatcherPath, dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Send(protocol.Encode(protocol.DispatcherMessage{SessionRequest: &target.request}))
	ended := make(chan struct{})
	defer close(ended)
	go u.keepAlive(conn, ended)
	opened := u.receiveMessages(conn)
	u.dispatcher.post(func() { u.detach(conn) })
	return opened
}

// receiveMessages posts the messages of a connection to the event loop until the connection ends. It reports whether a
// session was opened.
func (u *uplink) receiveMessages(conn *frame.Conn) (opened bool) {
	timeout, receivedBytes := attachTimeout, uint64(0)
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
		receivedBytes += uint64(len(data))
		bytesSoFar := receivedBytes // copied because the event loop reads it concurrently
		u.dispatcher.post(func() { u.receive(conn, message, bytesSoFar) })
	}
}

// keepAlive sends heartbeats until the connection has ended, also while no session is open yet. When the event loop ends, it
// closes the connection.
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

// receive handles a message. ReceivedBytes counts all bytes received on its connection so far, the message included.
// Messages of a former connection are dropped: the snapshot on the new connection has their updates, and pending commands
// were sent again there.
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
	if message.OpenJobs != nil {
		u.dispatcher.compareOpenJobs(*message.OpenJobs)
	}
}

// receiveOutcome handles the outcome of a command. If the session ended before the command was applied (Stale), the command
// stays pending and is sent again under the next session.
func (u *uplink) receiveOutcome(outcome protocol.Outcome) {
	pending := u.commands.pending[outcome.Tag]
	switch {
	case pending == nil:
	case outcome.Result.Code == statemachine.Stale:
		u.reconnect()
	default:
		delete(u.commands.pending, outcome.Tag)
		pending.done(outcome.Result)
	}
}

func (u *uplink) attach(conn *frame.Conn, session statemachine.SessionID) {
	if u.session != session {
		u.logger.Info().Uint64("session", session).Msg("session opened")
		u.commands.beginSession()
	}
	u.conn, u.attached, u.session = conn, true, session
	u.receivedBytes, u.acknowledgedBytes = 0, 0
	u.dispatcher.instances.delegated = false // until this control machine announces that it reads the list
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

// reconnect closes the current connection. The next connection then requests a session again.
func (u *uplink) reconnect() {
	if u.conn != nil {
		u.conn.Close()
	}
}
