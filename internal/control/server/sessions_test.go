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

// What a head has judged is proposed to nobody once another view is in force: it may have been held up, and replaced
// meanwhile, and have judged by what it had not heard. Commands of operators and dispatchers outlive the view.
func TestJudgementsOfAHeadEndWithItsView(t *testing.T) {
	s := newIdleServer(t)
	s.commands.submitAsHead(7, &statemachine.Command{CloseSession: &statemachine.CloseSession{Session: 1}})
	submit(t, s, nil, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, func(statemachine.Result) {})
	s.commands.giveUpJudgements(7)
	if len(s.commands.pending) != 2 {
		t.Fatalf("%d commands are pending in the view of the judgement", len(s.commands.pending))
	}
	self := s.membership.self()
	next := view.View{Epoch: 8, Chain: []view.Member{self}, Electors: []view.Member{self}}
	s.membership.consensus.Receive(self.ID, &view.Message{Decided: &next})
	s.commands.proposals = nil
	s.installView(next)
	if len(s.commands.pending) != 1 || len(s.commands.proposals) != 1 {
		t.Errorf("%d commands are pending and %d proposed in the next view, want the operator's alone", len(s.commands.pending), len(s.commands.proposals))
	}
}

// A head that was held up hears of sessions only from then on: it closes none as silent before viewChangeGrace is over.
func TestHeldUpHeadClosesNoSessionAtOnce(t *testing.T) {
	const session = statemachine.SessionID(1)
	m := newSessionMonitor()
	now := time.Minute
	tick := func(after time.Duration) {
		now += after
		m.ticked(now)
	}
	tick(0)
	tick(sessionTimeout * 3) // the first one comes long after the start
	for range 100 {
		tick(tickInterval)
	}
	m.connected(now, []statemachine.SessionID{session})
	tick(sessionTimeout + tickInterval)
	if m.isExpired(session, now, 0) {
		t.Error("closed as silent right after the engine was held up")
	}
	for held := now; now-held <= viewChangeGrace; {
		if tick(tickInterval); now-held < viewChangeGrace && m.isExpired(session, now, 0) {
			t.Fatalf("closed %v after the engine was held up", now-held)
		}
	}
	if tick(tickInterval); !m.isExpired(session, now, 0) {
		t.Error("never closed, though it was silent ever since")
	}
}

// connect returns a connection to a peer that says nothing.
func connect(t *testing.T) *frame.Conn {
	t.Helper()
	conn, _ := connectPair(t)
	return conn
}

// connectPair returns both sides of a connection.
func connectPair(t *testing.T) (here, there *frame.Conn) {
	t.Helper()
	accepted := make(chan *frame.Conn, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := frame.Upgrade(w, r); err == nil {
			t.Cleanup(conn.Close)
			accepted <- conn
		}
	}))
	t.Cleanup(peer.Close)
	here, err := frame.Dial(frame.TCP{}, peer.Listener.Addr().String(), "/", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(here.Close)
	return here, <-accepted
}

// Where the last session is over, the dispatchers' connections are closed, so that they open new sessions: the update that
// names no session at all does not reach them.
func TestDispatchersAreDisconnectedWhereNoSessionIsOpen(t *testing.T) {
	s := newIdleServer(t)
	attach := func(session statemachine.SessionID) *dispatcher {
		d := &dispatcher{conn: connect(t), session: session}
		s.dispatchers.attached[d], s.dispatchers.bySession[session] = true, d
		return d
	}
	stays, leaves, opening := attach(1), attach(2), attach(0)
	leaves.isLeaving = true
	s.state.fsm.Sessions[1] = &statemachine.Session{Node: "front-1"}
	s.disconnectWithoutSessions()
	if len(s.dispatchers.attached) != 3 {
		t.Fatal("disconnected though a session is open")
	}
	delete(s.state.fsm.Sessions, 1)
	s.disconnectWithoutSessions()
	if s.dispatchers.attached[stays] || !s.dispatchers.attached[leaves] || !s.dispatchers.attached[opening] {
		t.Errorf("attached: the one whose session is over %v, the one that leaves %v, the one that has none yet %v",
			s.dispatchers.attached[stays], s.dispatchers.attached[leaves], s.dispatchers.attached[opening])
	}
}
