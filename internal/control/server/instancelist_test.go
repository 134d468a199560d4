package server

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/instances"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// testPlatform is a platform whose instance list contains one worker. It answers with a configurable status code.
type testPlatform struct {
	address string
	status  atomic.Int32
	calls   atomic.Int32
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{}
	p.status.Store(http.StatusOK)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	return p
}

func (p *testPlatform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.calls.Add(1)
	w.WriteHeader(int(p.status.Load()))
	fmt.Fprint(w, `{"Instances":[{"Id":"w1","Service":"s","Address":"a:1"}]}`)
}

// newServingServer returns an idle server that is the only member of its chain and serves, with a platform at the given
// address.
func newServingServer(t *testing.T, platform string) *Server {
	t.Helper()
	s := newIdleServer(t)
	self := s.membership.self()
	alone := view.View{Epoch: 8, Chain: []view.Member{self}, Electors: []view.Member{self}, ReplicationFactor: 1}
	s.membership.consensus.Receive(self.ID, &view.Message{Decided: &alone})
	s.installView(alone)
	s.replica.CompletenessPersisted(alone.Epoch)
	s.instanceList = newInstanceListReader(frame.TCP{}, settings.Cloud{Address: platform})
	t.Cleanup(s.instanceList.client.Close)
	if !s.canServe() {
		t.Fatal("the only member of the chain does not serve")
	}
	return s
}

// attachDispatcher adds a dispatcher with an open session that delegates the reading of the list to its control machine.
// It also returns the dispatcher's end of the connection.
func attachDispatcher(t *testing.T, s *Server, session statemachine.SessionID) (*dispatcher, *frame.Conn) {
	t.Helper()
	local, remote := connectPair(t)
	d := &dispatcher{conn: local, session: session, request: protocol.SessionRequest{DelegatesInstanceList: true}}
	s.dispatchers.attached[d], s.dispatchers.bySession[session] = true, d
	s.state.fsm.Sessions[session] = &statemachine.Session{Node: fmt.Sprint("front-", session)}
	return d, remote
}

// advanceTime advances the server's clock, without waiting.
func advanceTime(s *Server, elapsed time.Duration) { s.startedAt = s.startedAt.Add(-elapsed) }

// finishReading calls the functions in the inbox until the reading in progress, if any, has ended.
func finishReading(t *testing.T, s *Server) {
	t.Helper()
	for s.instanceList.isReading {
		select {
		case f := <-s.inbox:
			f()
		case <-time.After(10 * time.Second):
			t.Fatal("the reading does not end")
		}
	}
}

// receivedDuties returns the duties that were sent to a dispatcher since the last call, as received at its end of the
// connection.
func receivedDuties(t *testing.T, d *dispatcher, remote *frame.Conn) []protocol.InstanceListDuty {
	t.Helper()
	const endMarker = "end marker"
	duties := []protocol.InstanceListDuty{}
	for d.send(protocol.ControlMessage{ControlAddresses: []string{endMarker}}); ; {
		data, err := remote.Receive(10 * time.Second)
		message := protocol.ControlMessage{}
		if err != nil || !protocol.Decode(data, &message) {
			t.Fatalf("expected message not received: %v", err)
		}
		if slices.Equal(message.ControlAddresses, []string{endMarker}) {
			return duties
		}
		if message.InstanceListDuty != protocol.DutyUnchanged {
			duties = append(duties, message.InstanceListDuty)
		}
	}
}

// pendingReports returns the reports of the list that were proposed and have no outcome.
func pendingReports(s *Server) []*statemachine.InstancesChanged {
	reports := []*statemachine.InstancesChanged{}
	for _, command := range s.commands.pending {
		if command.command.InstancesChanged != nil {
			reports = append(reports, command.command.InstancesChanged)
		}
	}
	return reports
}

// completeReports completes all pending commands with an outcome of the given code.
func completeReports(s *Server, code statemachine.Code) {
	for tag := range s.commands.pending {
		s.commands.complete(tag, statemachine.Result{Code: code})
	}
}

// successfulReading returns a complete reading that contains the given workers.
func successfulReading(ids ...string) instances.Reading {
	reading := instances.Reading{Pages: 1}
	for _, id := range ids {
		reading.Entries = append(reading.Entries, instances.Entry{ID: id, Service: "s", Address: "a:1"})
	}
	return reading
}

// TestListIsReadForTheLocallyConnectedReader checks that this machine reads the list on behalf of the dispatcher that has
// the duty, if that dispatcher is connected here and delegates the reading. A dispatcher of an earlier version does not,
// and reads the list itself.
func TestListIsReadForTheLocallyConnectedReader(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrange func(s *Server, d *dispatcher)
		reads   bool
	}{
		{"the dispatcher with the oldest session is connected here", func(*Server, *dispatcher) {}, true},
		{"another dispatcher connected here has a later session", func(s *Server, _ *dispatcher) {
			s.state.fsm.Sessions[9] = &statemachine.Session{Node: "front-9"}
			s.dispatchers.bySession[9] = &dispatcher{session: 9}
		}, true},
		{"the oldest session is connected to another machine", func(s *Server, _ *dispatcher) {
			s.state.fsm.Sessions[1] = &statemachine.Session{Node: "front-1"}
		}, false},
		{"dispatcher of an earlier version", func(_ *Server, d *dispatcher) { d.request.DelegatesInstanceList = false },
			false},
		{"the dispatcher shuts down", func(_ *Server, d *dispatcher) { d.isShuttingDown = true }, false},
		{"the dispatcher has disconnected", func(s *Server, d *dispatcher) { s.removeDispatcher(d) }, false},
		{"no session is open", func(s *Server, _ *dispatcher) { clear(s.state.fsm.Sessions) }, false},
		{"this machine does not serve", func(s *Server, _ *dispatcher) {
			s.membership.detector = view.NewDetector(view.Member{ID: 99}, 0, 1)
		}, false},
		{"the settings name no platform", func(s *Server, _ *dispatcher) { s.instanceList.configured = false }, false},
	} {
		platform := newTestPlatform(t)
		s := newServingServer(t, platform.address)
		d, remote := attachDispatcher(t, s, 3)
		c.arrange(s, d)
		s.readInstanceList(s.now())
		finishReading(t, s)
		if reads := platform.calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: server reads the list: %v", c.name, reads)
		}
		if received := receivedDuties(t, d, remote); (len(received) > 0) != c.reads {
			t.Errorf("%s: duties sent to the dispatcher: %v", c.name, received)
		}
		if reports := pendingReports(s); (len(reports) == 1) != c.reads {
			t.Errorf("%s: %d reports pending", c.name, len(reports))
		}
	}
}

// TestSnapshotMessageContainsTheListDuty checks that a dispatcher receives with its snapshot who reads the list, before
// it could start a reading itself.
func TestSnapshotMessageContainsTheListDuty(t *testing.T) {
	for name, c := range map[string]struct {
		platform string
		failing  bool
		want     protocol.InstanceListDuty
	}{
		"the settings name the platform":      {"cloud:1", false, protocol.ControlReads},
		"the settings name no platform":       {"", false, protocol.DispatcherReads},
		"this machine's readings have failed": {"cloud:1", true, protocol.DispatcherReads},
	} {
		s := newServingServer(t, c.platform)
		if c.failing {
			s.instanceList.failures = failuresToHandBack
		}
		d, remote := attachDispatcher(t, s, 3)
		d.snapshotDue = true
		s.deliver()
		if received := receivedDuties(t, d, remote); !slices.Equal(received, []protocol.InstanceListDuty{c.want}) {
			t.Errorf("%s: duties sent to the dispatcher: %v, want %v", name, received, c.want)
		}
	}
}

// TestUnchangedDutyIsSentOnce checks that the ticks after the snapshot do not repeat the duty that the snapshot message
// contained.
func TestUnchangedDutyIsSentOnce(t *testing.T) {
	s := newServingServer(t, newTestPlatform(t).address)
	d, remote := attachDispatcher(t, s, 3)
	d.snapshotDue = true
	s.deliver()
	for range 3 {
		s.readInstanceList(s.now())
		finishReading(t, s)
		advanceTime(s, tickInterval)
	}
	if received := receivedDuties(t, d, remote); !slices.Equal(received,
		[]protocol.InstanceListDuty{protocol.ControlReads}) {
		t.Errorf("duties sent to the dispatcher: %v, want ControlReads once", received)
	}
}

// TestDutyGoesToTheDispatcherWhileReadingsFail checks that failuresToHandBack consecutive failed readings hand the duty
// to the dispatcher, and that the first successful reading takes it back. Each change is sent once, and this machine
// continues to read in between.
func TestDutyGoesToTheDispatcherWhileReadingsFail(t *testing.T) {
	platform := newTestPlatform(t)
	s := newServingServer(t, platform.address)
	d, remote := attachDispatcher(t, s, 3)
	expectDuties(t, "initially", tickUntilDutySent(t, s, d, remote, 1), protocol.ControlReads)
	platform.status.Store(http.StatusTooManyRequests)
	expectHandBack(t, s, d, remote)
	before := platform.calls.Load()
	expectDuties(t, "while readings fail", tickUntilDutySent(t, s, d, remote, 50))
	if platform.calls.Load() == before {
		t.Error("this machine no longer reads the list")
	}
	platform.status.Store(http.StatusOK)
	expectDuties(t, "after a successful reading", tickUntilDutySent(t, s, d, remote, 12), protocol.ControlReads)
	expectDuties(t, "while readings succeed", tickUntilDutySent(t, s, d, remote, 50))
}

// tickInstanceList does the part of a tick that reads the list, waits for the end of the reading that it starts, and
// returns the duties sent to the dispatcher.
func tickInstanceList(t *testing.T, s *Server, d *dispatcher, remote *frame.Conn) []protocol.InstanceListDuty {
	t.Helper()
	s.readInstanceList(s.now())
	finishReading(t, s)
	return receivedDuties(t, d, remote)
}

// tickUntilDutySent runs ticks, at most the given number, until a duty is sent to the dispatcher, and returns the duties.
func tickUntilDutySent(t *testing.T, s *Server, d *dispatcher, remote *frame.Conn, ticks int) []protocol.InstanceListDuty {
	t.Helper()
	for range ticks {
		advanceTime(s, tickInterval)
		if received := tickInstanceList(t, s, d, remote); len(received) > 0 {
			return received
		}
	}
	return nil
}

func expectDuties(t *testing.T, when string, received []protocol.InstanceListDuty, want ...protocol.InstanceListDuty) {
	t.Helper()
	if !slices.Equal(received, want) {
		t.Fatalf("%s: duties sent to the dispatcher: %v, want %v", when, received, want)
	}
}

// expectHandBack runs ticks until the duty is handed back to the dispatcher, which must happen once failuresToHandBack
// consecutive readings have failed and not before.
func expectHandBack(t *testing.T, s *Server, d *dispatcher, remote *frame.Conn) {
	t.Helper()
	const maxTicks = 50
	for range maxTicks {
		advanceTime(s, tickInterval)
		failures := s.instanceList.failures
		received := tickInstanceList(t, s, d, remote)
		if failures < failuresToHandBack {
			expectDuties(t, fmt.Sprintf("after %d failed readings", failures), received)
			continue
		}
		expectDuties(t, fmt.Sprintf("after %d failed readings", failures), received, protocol.DispatcherReads)
		return
	}
	t.Fatal("the duty is not handed back")
}

// TestSlowReadingsKeepTheDuty checks that the duty is not handed back while readings succeed, however long the interval
// between them is.
func TestSlowReadingsKeepTheDuty(t *testing.T) {
	s := newServingServer(t, newTestPlatform(t).address)
	s.instanceList.ratePerS = 1 // interval of two seconds between readings of one page
	d, remote := attachDispatcher(t, s, 3)
	expectDuties(t, "initially", tickUntilDutySent(t, s, d, remote, 1), protocol.ControlReads)
	expectDuties(t, "for five more seconds", tickUntilDutySent(t, s, d, remote, 50))
}

// TestFailuresCountForTheNextDispatcherToo checks that a machine whose readings have failed hands back the duty of the
// next dispatcher at once.
func TestFailuresCountForTheNextDispatcherToo(t *testing.T) {
	platform := newTestPlatform(t)
	platform.status.Store(http.StatusInternalServerError)
	s := newServingServer(t, platform.address)
	former, formerRemote := attachDispatcher(t, s, 3)
	expectDuties(t, "initially", tickUntilDutySent(t, s, former, formerRemote, 1), protocol.ControlReads)
	expectHandBack(t, s, former, formerRemote)
	s.removeDispatcher(former)
	delete(s.state.fsm.Sessions, 3)
	next, remote := attachDispatcher(t, s, 5)
	expectDuties(t, "initially", tickUntilDutySent(t, s, next, remote, 1), protocol.DispatcherReads)
	platform.status.Store(http.StatusOK)
	expectDuties(t, "after a successful reading", tickUntilDutySent(t, s, next, remote, 12), protocol.ControlReads)
}

// TestReportNumberFollowsTheNewestReportOfTheSession checks that a report gets the number after that of the newest report
// of the same session, whichever process sent that one, since the state ignores a report whose number is not higher.
func TestReportNumberFollowsTheNewestReportOfTheSession(t *testing.T) {
	for _, c := range []struct {
		name       string
		lastReader statemachine.SessionID
		lastReport uint64
		want       uint64
	}{
		{"no report so far", 0, 0, 1},
		{"the newest report is of this session", 3, 41, 42},
		{"the dispatcher itself has reported, numbered by milliseconds", 3, 7_200_001, 7_200_002},
		{"the newest report is of a previous session", 2, 41, 1},
	} {
		s := newServingServer(t, "cloud:1")
		attachDispatcher(t, s, 3)
		s.instanceList.setSession(3)
		s.state.fsm.LastReader, s.state.fsm.LastReport = c.lastReader, c.lastReport
		s.finishInstanceReading(3, s.now(), successfulReading("w1"))
		reports := pendingReports(s)
		if len(reports) != 1 || reports[0].Reader != 3 || reports[0].Sequence != c.want {
			t.Errorf("%s: reports %+v, want number %d of session 3", c.name, reports, c.want)
			continue
		}
		s.state.fsm.Apply(&statemachine.Command{InstancesChanged: reports[0]})
		if s.state.fsm.Workers["w1"] == nil {
			t.Errorf("%s: the state ignores the report", c.name)
		}
	}
}

// TestReportWaitsForTheOutcomeOfTheLastOne checks that no reading is reported while an earlier report has no outcome: the
// state may lack that report, so the same changes would be reported again under the same number. After any outcome, the
// next reading is reported.
func TestReportWaitsForTheOutcomeOfTheLastOne(t *testing.T) {
	for name, answer := range map[string]func(s *Server){
		"executed":                          func(s *Server) { completeReports(s, statemachine.OK) },
		"of a session that has ended":       func(s *Server) { completeReports(s, statemachine.Conflict) },
		"abandoned with the chain position": func(s *Server) { s.commands.abandon() },
	} {
		s := newServingServer(t, "cloud:1")
		attachDispatcher(t, s, 3)
		s.instanceList.setSession(3)
		for range 3 {
			s.finishInstanceReading(3, s.now(), successfulReading("w1"))
		}
		if reports := pendingReports(s); len(reports) != 1 {
			t.Errorf("%s: %d reports pending before the first outcome, want 1", name, len(reports))
		}
		answer(s)
		s.finishInstanceReading(3, s.now(), successfulReading("w1"))
		if reports := pendingReports(s); len(reports) != 1 {
			t.Errorf("%s: %d reports pending after the first outcome, want 1", name, len(reports))
		}
	}
}

// TestRejectedReportDoesNotBlockLaterReports checks that a report that is too long for the log does not block later
// reports.
func TestRejectedReportDoesNotBlockLaterReports(t *testing.T) {
	s := newServingServer(t, "cloud:1")
	attachDispatcher(t, s, 3)
	s.instanceList.setSession(3)
	longest := s.commands.maxBytes
	s.commands.maxBytes = 1
	s.finishInstanceReading(3, s.now(), successfulReading("w1"))
	s.commands.maxBytes = longest
	s.finishInstanceReading(3, s.now(), successfulReading("w1"))
	if reports := pendingReports(s); len(reports) != 1 {
		t.Errorf("%d reports pending, want 1", len(reports))
	}
}

// TestReadingWithoutChangesReportsNothing checks that a reading that matches the state, or that failed, reports nothing.
func TestReadingWithoutChangesReportsNothing(t *testing.T) {
	failed := successfulReading("w1", "w2")
	failed.Err = fmt.Errorf("the second page is missing")
	for name, reading := range map[string]instances.Reading{"a reading that matches the state": successfulReading("w1"),
		"a failed reading": failed} {
		s := newServingServer(t, "cloud:1")
		attachDispatcher(t, s, 3)
		s.instanceList.setSession(3)
		s.state.fsm.Workers["w1"] = &statemachine.Worker{
			Instance: statemachine.Instance{ID: "w1", Service: "s", Address: "a:1"}}
		s.finishInstanceReading(3, s.now(), reading)
		if reports := pendingReports(s); len(reports) > 0 {
			t.Errorf("%s: reports %+v", name, reports[0])
		}
	}
}

// TestReadingReportsNothingOnceTheDutyHasMoved checks that a reading is discarded if the duty has moved while the reading
// was in progress, which takes seconds.
func TestReadingReportsNothingOnceTheDutyHasMoved(t *testing.T) {
	for name, moveDuty := range map[string]func(s *Server, d *dispatcher){
		"another session has become the oldest": func(s *Server, d *dispatcher) {
			s.removeDispatcher(d)
			delete(s.state.fsm.Sessions, d.session)
			s.state.fsm.Sessions[5] = &statemachine.Session{Node: "front-5"}
			s.dispatchers.bySession[5] = &dispatcher{session: 5, request: d.request}
		},
		"the dispatcher has moved to another machine": func(s *Server, d *dispatcher) { s.removeDispatcher(d) },
		"the dispatcher shuts down":                   func(_ *Server, d *dispatcher) { d.isShuttingDown = true },
		"this machine no longer serves": func(s *Server, _ *dispatcher) {
			s.membership.detector = view.NewDetector(view.Member{ID: 99}, 0, 1)
		},
	} {
		s := newServingServer(t, newTestPlatform(t).address)
		d, _ := attachDispatcher(t, s, 3)
		s.readInstanceList(s.now())
		if !s.instanceList.isReading {
			t.Fatal("no reading starts")
		}
		moveDuty(s, d)
		finishReading(t, s)
		if reports := pendingReports(s); len(reports) > 0 {
			t.Errorf("%s: reports %+v", name, reports[0])
		}
	}
}

// TestReadingRateIsKeptAcrossSessions checks that a reading in progress for a previous session does not delay the reading
// for the next session, and that the rate limit of the platform holds across sessions, so that a dispatcher that attaches
// repeatedly does not cause a reading each time.
func TestReadingRateIsKeptAcrossSessions(t *testing.T) {
	for name, c := range map[string]struct {
		readForFormer func(s *Server)
		wait          time.Duration
	}{
		"a reading is in progress": {func(s *Server) { s.readInstanceList(s.now()) }, time.Second},
		"the next reading is due in twenty seconds": {
			func(s *Server) { s.finishInstanceReading(3, s.now(), instances.Reading{Pages: 10}) }, 20 * time.Second},
	} {
		platform := newTestPlatform(t)
		s := newServingServer(t, platform.address)
		if c.wait > time.Second {
			s.instanceList.ratePerS = 1
		}
		former, _ := attachDispatcher(t, s, 3)
		s.instanceList.setSession(3)
		c.readForFormer(s)
		s.removeDispatcher(former)
		delete(s.state.fsm.Sessions, 3)
		attachDispatcher(t, s, 5)
		s.readInstanceList(s.now())
		finishReading(t, s)
		calls := platform.calls.Load()
		advanceTime(s, c.wait-200*time.Millisecond)
		s.readInstanceList(s.now())
		if s.instanceList.isReading || platform.calls.Load() != calls {
			t.Errorf("%s: a reading starts before it is due", name)
		}
		advanceTime(s, 300*time.Millisecond)
		s.readInstanceList(s.now())
		finishReading(t, s)
		if reports := pendingReports(s); len(reports) != 1 || reports[0].Reader != 5 {
			t.Errorf("%s: reports %+v, want one of session 5", name, reports)
		}
	}
}

// TestReportWithoutOutcomeDelaysTheNextForReportTimeout checks that a report whose outcome is late, for example because a
// disk stalls, delays the next report for no longer than reportTimeout.
func TestReportWithoutOutcomeDelaysTheNextForReportTimeout(t *testing.T) {
	s := newServingServer(t, "cloud:1")
	attachDispatcher(t, s, 3)
	s.instanceList.setSession(3)
	s.finishInstanceReading(3, s.now(), successfulReading("w1"))
	advanceTime(s, reportTimeout)
	s.finishInstanceReading(3, s.now(), successfulReading("w1", "w2"))
	if reports := pendingReports(s); len(reports) != 2 {
		t.Errorf("%d reports pending, want 2", len(reports))
	}
}

// TestAbsencesAreNotCountedAcrossSessions checks that a worker counts as removed only if it is missing in three readings
// on behalf of the same session.
func TestAbsencesAreNotCountedAcrossSessions(t *testing.T) {
	s := newServingServer(t, "cloud:1")
	s.state.fsm.Workers["w1"] = &statemachine.Worker{Instance: statemachine.Instance{ID: "w1"}}
	former, _ := attachDispatcher(t, s, 3)
	s.instanceList.setSession(3)
	for range 2 {
		s.finishInstanceReading(3, s.now(), successfulReading())
	}
	s.removeDispatcher(former)
	delete(s.state.fsm.Sessions, 3)
	attachDispatcher(t, s, 5)
	s.instanceList.setSession(5)
	for range 2 {
		s.finishInstanceReading(5, s.now(), successfulReading())
	}
	if reports := pendingReports(s); len(reports) > 0 {
		t.Fatalf("two readings for each of two sessions report %+v", reports[0])
	}
	s.finishInstanceReading(5, s.now(), successfulReading())
	if reports := pendingReports(s); len(reports) != 1 || !slices.Equal(reports[0].Removed, []string{"w1"}) {
		t.Errorf("three readings for one session: %d reports pending, want one that removes w1", len(reports))
	}
}

// TestReadingIntervalFollowsThePlatformRate checks that readings start a second apart, or further apart for long lists,
// as determined by instancelist.Interval.
func TestReadingIntervalFollowsThePlatformRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		pages int
		after time.Duration // since the start of the last reading
		reads bool
	}{
		{"a short list, in less than a second", 1, 900 * time.Millisecond, false},
		{"a short list, after a second", 1, time.Second, true},
		{"50 pages at 90 calls a second, after a second", 50, time.Second, false},
		{"50 pages at 90 calls a second, after 1.2 s", 50, 1200 * time.Millisecond, true},
	} {
		s := newServingServer(t, newTestPlatform(t).address)
		s.instanceList.ratePerS = 90
		attachDispatcher(t, s, 3)
		startedAt := s.now()
		s.instanceList.setSession(3)
		s.finishInstanceReading(3, startedAt, instances.Reading{Pages: c.pages})
		s.readInstanceList(startedAt + c.after)
		if s.instanceList.isReading != c.reads {
			t.Errorf("%s: reading in progress: %v", c.name, s.instanceList.isReading)
		}
		finishReading(t, s)
	}
}

// TestOneReadingInFlight checks that no reading starts while another one is in progress, however long that takes.
func TestOneReadingInFlight(t *testing.T) {
	platform := newTestPlatform(t)
	s := newServingServer(t, platform.address)
	attachDispatcher(t, s, 3)
	s.readInstanceList(s.now())
	for range 5 {
		advanceTime(s, time.Second)
		s.readInstanceList(s.now())
	}
	finishReading(t, s)
	if calls := platform.calls.Load(); calls != 1 {
		t.Errorf("%d calls of the platform, want 1", calls)
	}
}

// TestEngineReadsTheListForADelegatingDispatcher covers the path from a dispatcher's session request to the worker in the
// state: the engine's ticks and flushes read and report the list. For a dispatcher of an earlier version, whose request
// lacks the field, the engine does not read it.
func TestEngineReadsTheListForADelegatingDispatcher(t *testing.T) {
	for name, c := range map[string]struct {
		request protocol.SessionRequest
		reads   bool
	}{
		"a dispatcher that delegates the reading": {
			protocol.SessionRequest{Node: "front-1", Incarnation: 7, DelegatesInstanceList: true}, true},
		"a dispatcher of an earlier version": {protocol.SessionRequest{Node: "front-1", Incarnation: 7}, false},
	} {
		platform := newTestPlatform(t)
		s := newServingServer(t, platform.address)
		local, _ := connectPair(t)
		d := &dispatcher{conn: local}
		s.receiveFromDispatcher(d, &protocol.DispatcherMessage{SessionRequest: &c.request})
		runEngine(t, s, func() bool { return d.session != 0 && !d.snapshotDue })
		s.tick()
		runEngine(t, s, func() bool { return !s.instanceList.isReading && !s.instanceList.isReporting })
		if reads := platform.calls.Load() > 0; reads != c.reads || (s.state.fsm.LastReader == d.session) != c.reads {
			t.Errorf("%s: server reads the list: %v; the last report is of session %d", name, reads, s.state.fsm.LastReader)
		}
	}
}

// runEngine calls the functions in the inbox and flushes until a condition holds.
func runEngine(t *testing.T, s *Server, holds func() bool) {
	t.Helper()
	for s.flush(); !holds(); s.flush() {
		select {
		case f := <-s.inbox:
			f()
		case <-time.After(10 * time.Second):
			t.Fatal("the condition does not hold in time")
		}
	}
}
