package server

import (
	"time"

	"yardflow/internal/control/statemachine"
)

// Time-outs by which the head closes sessions of dispatchers.
const (
	// sessionTimeout is how long a dispatcher may be connected to no control machine before its session is closed, and
	// its jobs and workers get other owners. It is longer than dispatcherTimeout, so that a session outlives the loss
	// of one connection.
	sessionTimeout = 1100 * time.Millisecond
	// disconnectTimeout is how long a dispatcher whose connection was closed, rather than silent, has to come back.
	disconnectTimeout = 300 * time.Millisecond
	// viewChangeGrace is how long dispatchers have to come back after a change of view, which may have taken their control
	// machine away from them.
	viewChangeGrace = 3 * time.Second
	// heldUpThreshold is by how much a tick comes late when the engine counts as held up: the process was stopped, or its
	// machine was. The head then judges as after a change of view, since it has heard nobody meanwhile.
	heldUpThreshold = 300 * time.Millisecond
)

// sessionMonitor is what the head knows of the dispatchers' connections, from its own and from heartbeats of its peers.
// Every member keeps one, since any of them may become the head. It belongs to the engine.
type sessionMonitor struct {
	lastSeen        map[statemachine.SessionID]time.Duration // when the session was last known to be connected somewhere
	disconnectedAt  map[statemachine.SessionID]time.Duration // when its connection was closed
	clockAdvancedAt time.Duration
	tickedAt        time.Duration // the last tick
	heldUpAt        time.Duration // when the engine last went on after it was held up
}

func newSessionMonitor() *sessionMonitor {
	return &sessionMonitor{lastSeen: map[statemachine.SessionID]time.Duration{}, disconnectedAt: map[statemachine.SessionID]time.Duration{}}
}

// ticked notes a tick, and whether the engine was held up before it.
func (m *sessionMonitor) ticked(now time.Duration) {
	if now-m.tickedAt > tickInterval+heldUpThreshold {
		m.heldUpAt = now
	}
	m.tickedAt = now
}

// connected notes that sessions were connected to a peer at a time.
func (m *sessionMonitor) connected(at time.Duration, ids []statemachine.SessionID) {
	for _, id := range ids {
		m.lastSeen[id] = max(m.lastSeen[id], at)
	}
}

// disconnected notes that the connections of sessions were closed.
func (m *sessionMonitor) disconnected(at time.Duration, ids []statemachine.SessionID) {
	for _, id := range ids {
		m.disconnectedAt[id] = at
	}
}

// isExpired reports whether a session that was not seen lately is to be closed. For viewChangeGrace after a view was
// installed, or the engine was held up, none is for being silent, and for sessionTimeout none for having been disconnected.
func (m *sessionMonitor) isExpired(id statemachine.SessionID, now, viewInstalledAt time.Duration) bool {
	hearsSince := max(viewInstalledAt, m.heldUpAt)
	lastSeen := m.lastSeen[id]
	closedAt, isClosed := m.disconnectedAt[id]
	if isClosed && lastSeen <= closedAt && now-closedAt > disconnectTimeout && now-hearsSince > sessionTimeout {
		return true
	}
	return now-max(lastSeen, hearsSince+viewChangeGrace-sessionTimeout) > sessionTimeout
}

// forgetClosed drops what is known of sessions that are not open any more.
func (m *sessionMonitor) forgetClosed(now time.Duration, open map[statemachine.SessionID]*statemachine.Session) {
	for id := range m.lastSeen {
		if open[id] == nil && now-m.lastSeen[id] > sessionTimeout {
			delete(m.lastSeen, id)
			delete(m.disconnectedAt, id)
		}
	}
}

// headTick does what the head alone does, at each tick.
func (s *Server) headTick(now time.Duration) {
	s.closeExpiredSessions(now)
	s.sessions.forgetClosed(now, s.state.fsm.Sessions)
	s.advanceClock(now)
}

// closeExpiredSessions closes the sessions of dispatchers that are connected to no control machine any more.
func (s *Server) closeExpiredSessions(now time.Duration) {
	m := s.sessions
	for id := range s.dispatchers.bySession {
		m.lastSeen[id] = now
	}
	for id, session := range s.state.fsm.Sessions {
		if _, known := m.lastSeen[id]; !known {
			m.lastSeen[id] = now
		}
		if !m.isExpired(id, now, s.membership.viewInstalledAt) {
			continue
		}
		delete(m.disconnectedAt, id)
		m.lastSeen[id] = now // so that it is closed again only after another sessionTimeout
		s.logger.Info().Uint64("session", id).Str("dispatcher", session.Node).Msg("session expired: dispatcher silent")
		s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{CloseSession: &statemachine.CloseSession{Session: id}})
	}
}

// advanceClock advances the state machine's clock, by which it forgets old jobs and sessions, every clockInterval.
func (s *Server) advanceClock(now time.Duration) {
	if now-s.sessions.clockAdvancedAt < clockInterval {
		return
	}
	s.sessions.clockAdvancedAt = now
	advance := &statemachine.AdvanceClock{Tick: s.state.fsm.ClockTicks + 1}
	s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{AdvanceClock: advance})
}
