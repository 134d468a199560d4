package dataplane

import (
	"time"

	"github.com/rs/zerolog"

	"linnetlift/coordination/frame"
	"linnetlift/internal/control/cluster"
	"linnetlift/internal/control/link"
	"linnetlift/internal/settings"
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

// pendingCommand is a command without an outcome. It goes out again on each new connection.
type pendingCommand struct {
	tagged link.Tagged
	done   func(cluster.Result)
}

// uplink keeps one connection to a control machine. Its state belongs to the engine.
type uplink struct {
	dispatcher *Dispatcher
	settings   *settings.Settings
	logger     zerolog.Logger
	hello      link.Hello

	conn     *frame.Conn
	attached bool
	session  cluster.SessionID
	lostAt   time.Duration
	sentAt   time.Duration
	controls []string
	nextTag  uint64
	pending  map[uint64]*pendingCommand
	order    []uint64 // tags of pending, in order
	outgoing []link.Tagged
}

func newUplink(d *Dispatcher, life uint64) *uplink {
	return &uplink{dispatcher: d, settings: d.settings, logger: d.logger, pending: map[uint64]*pendingCommand{},
		hello: link.Hello{Node: d.settings.Node, Zone: d.settings.Zone, Life: life}}
}

// submit sends a command; done is called by the engine with its outcome. Every command is one
// that may be carried out twice.
func (u *uplink) submit(command *cluster.Command, done func(cluster.Result)) uint64 {
	u.nextTag++
	tagged := link.Tagged{Tag: u.nextTag, Read: command.IsRead(), Command: link.Encode(command)}
	u.pending[u.nextTag] = &pendingCommand{tagged, done}
	u.order = append(u.order, u.nextTag)
	u.outgoing = append(u.outgoing, tagged)
	return u.nextTag
}

// flush sends what has gathered.
func (u *uplink) flush(now time.Duration) {
	if !u.attached || u.conn == nil {
		u.outgoing = nil // they go out with the next connection
		return
	}
	if len(u.outgoing) == 0 && now-u.sentAt < heartbeat {
		return
	}
	u.sentAt = now
	u.conn.Send(link.Encode(link.Up{Commands: u.outgoing}))
	u.outgoing = nil
}

// run dials control machines, one after the other, for as long as the process lives.
func (u *uplink) run() {
	pause := redialPause
	for attempt := 0; !u.dispatcher.isEnded(); attempt++ {
		address := u.dispatcher.nextControl(attempt)
		if address != "" && u.serve(address) {
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
func (u *uplink) serve(address string) bool {
	conn, err := frame.Dial(u.dispatcher.network, address, link.DispatcherPath, dialWithin)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Send(link.Encode(link.Up{Hello: &u.hello}))
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
	within, useful := attachWithin, false
	for {
		data, err := conn.Receive(within)
		if err != nil {
			break
		}
		down := &link.Down{}
		if !link.Decode(data, down) {
			break
		}
		if down.Refused {
			u.dispatcher.do(func() { u.learnControls(down.Controls) })
			break
		}
		if down.Session != 0 {
			useful, within = true, downSilence
		}
		u.dispatcher.do(func() { u.receive(conn, down) })
	}
	u.dispatcher.do(func() { u.lost(conn) })
	return useful
}

// beat keeps the connection alive until the session is attached and beyond.
func beat(conn *frame.Conn, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	empty := link.Encode(link.Up{})
	for {
		select {
		case <-ticker.C:
			conn.Send(empty)
		case <-stop:
			return
		}
	}
}

func (u *uplink) receive(conn *frame.Conn, down *link.Down) {
	u.learnControls(down.Controls)
	if down.Session != 0 {
		u.attach(conn, down.Session)
	}
	if u.conn != conn {
		return
	}
	u.dispatcher.receiveUpdates(down)
	for _, outcome := range down.Outcomes {
		if waiting := u.pending[outcome.Tag]; waiting != nil {
			delete(u.pending, outcome.Tag)
			waiting.done(outcome.Result)
		}
	}
}

func (u *uplink) attach(conn *frame.Conn, session cluster.SessionID) {
	if u.session != session {
		u.logger.Info().Uint64("session", session).Msg("session open")
	}
	u.conn, u.attached, u.session = conn, true, session
	u.outgoing = nil
	order := u.order[:0]
	for _, tag := range u.order {
		if waiting := u.pending[tag]; waiting != nil {
			order = append(order, tag)
			u.outgoing = append(u.outgoing, waiting.tagged)
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
