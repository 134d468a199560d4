package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/statemachine"
)

// TestHeadCommandsAreDroppedWithTheirView checks that commands that a head has decided on are not proposed once another
// view is in force: the head may have been paused, replaced in the meantime, and have decided on outdated information.
// Commands of operators and dispatchers survive the view change.
func TestHeadCommandsAreDroppedWithTheirView(t *testing.T) {
	s := newIdleServer(t)
	s.commands.submitAsHead(7, &statemachine.Command{CloseSession: &statemachine.CloseSession{Session: 1}})
	submit(t, s, nil, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, func(statemachine.Result) {})
	s.commands.dropHeadCommands(7)
	if len(s.commands.pending) != 2 {
		t.Fatalf("%d commands pending while the view is in force, want 2", len(s.commands.pending))
	}
	self := s.membership.self()
	next := view.View{Epoch: 8, Chain: []view.Member{self}, Electors: []view.Member{self}}
	s.membership.consensus.Receive(self.ID, &view.Message{Decided: &next})
	s.commands.proposals = nil
	s.installView(next)
	if len(s.commands.pending) != 1 || len(s.commands.proposals) != 1 {
		t.Errorf("%d commands pending and %d proposed in the next view, want only the operator's",
			len(s.commands.pending), len(s.commands.proposals))
	}
}

// TestPausedHeadClosesNoSessionDuringTheGracePeriod checks that a head that was paused, and thus received nothing, closes
// no session as silent until viewChangeGrace has passed.
func TestPausedHeadClosesNoSessionDuringTheGracePeriod(t *testing.T) {
	const session = statemachine.SessionID(1)
	m := newSessionMonitor()
	now := time.Minute
	tick := func(after time.Duration) {
		now += after
		m.recordTick(now, true)
	}
	tick(0)
	tick(sessionTimeout * 3) // the first tick after the start is late
	for range 100 {
		tick(tickInterval)
	}
	m.recordConnected(now, []statemachine.SessionID{session})
	tick(sessionTimeout + tickInterval) // the engine was paused
	if m.isExpired(session, now, 0) {
		t.Error("session expired right after the engine was paused")
	}
	for resumedAt := now; now-resumedAt <= viewChangeGrace; {
		if tick(tickInterval); now-resumedAt < viewChangeGrace && m.isExpired(session, now, 0) {
			t.Fatalf("session expired %v after the engine was paused", now-resumedAt)
		}
	}
	if tick(tickInterval); !m.isExpired(session, now, 0) {
		t.Error("session did not expire although it was silent for viewChangeGrace")
	}
}

// TestSilenceCountsOverSeveralViews checks that a session which is silent in each of several short views expires, and that
// time in which this machine did not hear all members, or was paused, does not count.
func TestSilenceCountsOverSeveralViews(t *testing.T) {
	const session, shortView = statemachine.SessionID(1), 2 * time.Second
	for name, c := range map[string]struct {
		hearsAll bool
		expires  bool
	}{
		"all members are heard":   {true, true},
		"one member is not heard": {false, false},
	} {
		m, now, viewInstalledAt := newSessionMonitor(), time.Minute, time.Minute
		m.recordTick(now, true)
		m.recordConnected(now, []statemachine.SessionID{session})
		lastSeen, expiredAfter := now, time.Duration(0)
		for expiredAfter == 0 && now-lastSeen < 20*time.Second {
			now += tickInterval
			m.recordTick(now, c.hearsAll)
			if now-viewInstalledAt >= shortView {
				viewInstalledAt = now
			}
			if m.isExpired(session, now, viewInstalledAt) {
				expiredAfter = now - lastSeen
			}
		}
		if (expiredAfter > 0) != c.expires {
			t.Errorf("%s: expired after %v, want an end: %v", name, expiredAfter, c.expires)
		}
		if c.expires && expiredAfter <= viewChangeGrace+sessionTimeout {
			t.Errorf("%s: expired after %v, within the grace period", name, expiredAfter)
		}
	}
}

// connect returns a connection to a peer that sends nothing.
func connect(t *testing.T) *frame.Conn {
	t.Helper()
	conn, _ := connectPair(t)
	return conn
}

// connectPair returns both ends of a connection.
func connectPair(t *testing.T) (local, remote *frame.Conn) {
	t.Helper()
	accepted := make(chan *frame.Conn, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := frame.Upgrade(w, r); err == nil {
			t.Cleanup(conn.Close)
			accepted <- conn
		}
	}))
	t.Cleanup(peer.Close)
	local, err := frame.Dial(frame.TCP{}, peer.Listener.Addr().String(), "/", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(local.Close)
	return local, <-accepted
}

// TestDispatchersAreDisconnectedWhenNoSessionIsOpen checks that the connections of dispatchers are closed when the last
// session has ended, so that they open new sessions: an update does not encode an empty list of sessions.
func TestDispatchersAreDisconnectedWhenNoSessionIsOpen(t *testing.T) {
	s := newIdleServer(t)
	attach := func(session statemachine.SessionID) *dispatcher {
		d := &dispatcher{conn: connect(t), session: session}
		s.dispatchers.attached[d], s.dispatchers.bySession[session] = true, d
		return d
	}
	expired, shuttingDown, opening := attach(1), attach(2), attach(0)
	shuttingDown.isShuttingDown = true
	s.state.fsm.Sessions[1] = &statemachine.Session{Node: "front-1"}
	s.disconnectWithoutSessions()
	if len(s.dispatchers.attached) != 3 {
		t.Fatal("a dispatcher was disconnected although a session is open")
	}
	delete(s.state.fsm.Sessions, 1)
	s.disconnectWithoutSessions()
	if s.dispatchers.attached[expired] || !s.dispatchers.attached[shuttingDown] || !s.dispatchers.attached[opening] {
		t.Errorf("dispatchers attached: with an expired session %v, shutting down %v, without a session yet %v",
			s.dispatchers.attached[expired], s.dispatchers.attached[shuttingDown], s.dispatchers.attached[opening])
	}
}
