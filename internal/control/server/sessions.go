package server

import (
	"time"

	"yardflow/internal/control/statemachine"
)

// Timeouts after which the head closes sessions of dispatchers.
const (
	// sessionTimeout is how long a dispatcher may be disconnected from all control machines before its session is closed
	// and its jobs and workers get other owners. It is longer than dispatcherTimeout, so that a session survives the loss
	// of one connection.
	sessionTimeout = 1100 * time.Millisecond
	// disconnectTimeout is how long a dispatcher has to reconnect if its connection was closed rather than silent.
	disconnectTimeout = 300 * time.Millisecond
	// viewChangeGrace is how long dispatchers have to reconnect after a view change, which may have removed the control
	// machine that they were connected to. Where views follow each other faster, it counts over all of them.
	viewChangeGrace = 3 * time.Second
	// pauseThreshold is the delay of a tick beyond which the engine counts as paused: its process or its machine was
	// stopped. The head then applies the same grace period as after a view change, since it has received nothing during
	// the pause.
	pauseThreshold = 300 * time.Millisecond
)

// sessionMonitor tracks the dispatchers' connections for the head, from this machine's own connections and from the
// heartbeats of its peers. Every member keeps one, since any member may become the head. It belongs to the engine.
type sessionMonitor struct {
	lastSeen       map[statemachine.SessionID]time.Duration // when it was last connected to a control machine
	disconnectedAt map[statemachine.SessionID]time.Duration // when its connection was closed
	// listenedFor is for how long this machine has served and heard all members of the chain, over all views, so that it
	// would have noticed each connected dispatcher. seenAfter is what it was when a session was last seen.
	listenedFor time.Duration
	seenAfter   map[statemachine.SessionID]time.Duration
	tickedAt    time.Duration // time of the last tick
	resumedAt   time.Duration // when the engine last resumed after a pause
}

func newSessionMonitor() *sessionMonitor {
	return &sessionMonitor{lastSeen: map[statemachine.SessionID]time.Duration{},
		disconnectedAt: map[statemachine.SessionID]time.Duration{}, seenAfter: map[statemachine.SessionID]time.Duration{}}
}

// recordTick records a tick, and whether this machine is listening: it serves and hears all members of the chain. It detects
// whether the engine was paused before the tick.
func (m *sessionMonitor) recordTick(now time.Duration, isListening bool) {
	if now-m.tickedAt > tickInterval+pauseThreshold {
		m.resumedAt = now
	} else if isListening {
		m.listenedFor += now - m.tickedAt
	}
	m.tickedAt = now
}

// recordConnected records that sessions were connected to this machine or to a peer at the given time.
func (m *sessionMonitor) recordConnected(at time.Duration, ids []statemachine.SessionID) {
	for _, id := range ids {
		m.lastSeen[id] = max(m.lastSeen[id], at)
		m.seenAfter[id] = m.listenedFor
	}
}

// recordOpen records the sessions that are open, so that the silence of each counts from now on if it was not seen yet.
func (m *sessionMonitor) recordOpen(now time.Duration, open map[statemachine.SessionID]*statemachine.Session) {
	for id := range open {
		if _, known := m.lastSeen[id]; !known {
			m.recordConnected(now, []statemachine.SessionID{id})
		}
	}
}

// recordDisconnected records that the connections of sessions were closed at the given time.
func (m *sessionMonitor) recordDisconnected(at time.Duration, ids []statemachine.SessionID) {
	for _, id := range ids {
		m.disconnectedAt[id] = at
	}
}

// isExpired reports whether a session must be closed because it has been silent or disconnected for too long. After a
// view was installed or the engine was paused, no session expires because of silence for viewChangeGrace, and none
// because its connection was closed for sessionTimeout. A session that was silent in several views expires once this
// machine has listened for viewChangeGrace and sessionTimeout in all of them together.
func (m *sessionMonitor) isExpired(id statemachine.SessionID, now, viewInstalledAt time.Duration) bool {
	listeningSince := max(viewInstalledAt, m.resumedAt)
	lastSeen := m.lastSeen[id]
	closedAt, isClosed := m.disconnectedAt[id]
	if isClosed && lastSeen <= closedAt && now-closedAt > disconnectTimeout && now-listeningSince > sessionTimeout {
		return true
	}
	if m.listenedFor-m.seenAfter[id] > viewChangeGrace+sessionTimeout {
		return true
	}
	return now-max(lastSeen, listeningSince+viewChangeGrace-sessionTimeout) > sessionTimeout
}

// forgetClosed deletes the records of sessions that are no longer open and were not seen for sessionTimeout.
func (m *sessionMonitor) forgetClosed(now time.Duration, open map[statemachine.SessionID]*statemachine.Session) {
	for id := range m.lastSeen {
		if open[id] == nil && now-m.lastSeen[id] > sessionTimeout {
			delete(m.lastSeen, id)
			delete(m.disconnectedAt, id)
			delete(m.seenAfter, id)
		}
	}
}

// trackSessions records which dispatchers are connected here, and whether this machine would hear of the other ones. Every
// member does so, since any may become the head.
func (s *Server) trackSessions(now time.Duration) {
	m, open := s.sessions, s.state.fsm.Sessions
	m.recordTick(now, s.canServe() && s.hearsWholeChain(now))
	m.recordConnected(now, s.dispatchers.sessions())
	m.recordOpen(now, open)
	m.forgetClosed(now, open)
}

// hearsWholeChain reports whether this machine hears all members of the chain, to which dispatchers may be connected.
func (s *Server) hearsWholeChain(now time.Duration) bool {
	for _, member := range s.membership.view().Chain {
		if !s.membership.detector.IsAlive(now, member.ID) {
			return false
		}
	}
	return true
}

// headTick does the periodic work that only the head does.
func (s *Server) headTick(now time.Duration) {
	s.closeExpiredSessions(now)
	s.advanceClock(now)
}

// closeExpiredSessions closes the sessions of dispatchers that are no longer connected to any control machine.
func (s *Server) closeExpiredSessions(now time.Duration) {
	m := s.sessions
	for id, session := range s.state.fsm.Sessions {
		if !m.isExpired(id, now, s.membership.viewInstalledAt) {
			continue
		}
		delete(m.disconnectedAt, id)
		// so that the close command is submitted again only after another timeout
		m.recordConnected(now, []statemachine.SessionID{id})
		s.logger.Info().Uint64("session", id).Str("dispatcher", session.Node).Msg("session expired: dispatcher silent")
		s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{
			CloseSession: &statemachine.CloseSession{Session: id}})
	}
}
