package dispatcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/instances"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
)

// newDispatcherWithPlatform returns a dispatcher whose event loop does not run, and the number of calls that it has made to
// the platform. The platform's list contains the worker w1.
func newDispatcherWithPlatform(t *testing.T) (*Dispatcher, *atomic.Int32) {
	t.Helper()
	calls := &atomic.Int32{}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"Instances":[{"Id":"w1","Service":"s","Address":"a:1"}]}`)
	}))
	t.Cleanup(platform.Close)
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"},
		Cloud: settings.Cloud{Address: platform.Listener.Addr().String()}}, frame.TCP{}, zerolog.Nop())
	t.Cleanup(d.instances.client.Close)
	return d, calls
}

// snapshotMessage returns the message that opens a session. It has the given duty and the list of open sessions.
func snapshotMessage(session statemachine.SessionID, duty protocol.InstanceListDuty,
	open ...statemachine.SessionID) *protocol.ControlMessage {
	sessions := protocol.Encode(statemachine.Update{Sessions: open})
	return &protocol.ControlMessage{Session: session, InstanceListDuty: duty,
		Updates: []cbor.RawMessage{sessions}}
}

// dutyMessage returns a message that has only a duty.
func dutyMessage(duty protocol.InstanceListDuty) *protocol.ControlMessage {
	return &protocol.ControlMessage{InstanceListDuty: duty}
}

// tickAndFinishReading calls tick, and waits for the end of the reading if tick has started one.
func tickAndFinishReading(t *testing.T, d *Dispatcher, now time.Duration) {
	t.Helper()
	for d.instances.tick(now); d.instances.reading; {
		select {
		case f := <-d.events:
			f()
		case <-time.After(10 * time.Second):
			t.Fatal("the reading does not finish")
		}
	}
}

// pendingReports returns the reports of changes of the list that have no outcome, in the order in which they were submitted.
func pendingReports(d *Dispatcher) []*statemachine.InstancesChanged {
	reports := []*statemachine.InstancesChanged{}
	for _, tag := range d.uplink.commands.order {
		if pending := d.uplink.commands.pending[tag]; pending != nil && pending.command.InstancesChanged != nil {
			reports = append(reports, pending.command.InstancesChanged)
		}
	}
	return reports
}

// The dispatcher with the oldest session reads the list unless its control machine announces that it reads the list itself.
// A control machine of the former version never announces anything.
func TestDispatcherReadsInstanceListUnlessControlMachineDoes(t *testing.T) {
	const own, earlier, later = 7, 5, 9
	oldestSession := func(duty protocol.InstanceListDuty) *protocol.ControlMessage {
		return snapshotMessage(own, duty, own, later)
	}
	for _, c := range []struct {
		name     string
		messages []*protocol.ControlMessage
		reads    bool
	}{
		{"no duty announced", []*protocol.ControlMessage{oldestSession(protocol.DutyUnchanged)}, true},
		{"control machine reads", []*protocol.ControlMessage{oldestSession(protocol.ControlReads)}, false},
		{"dispatcher reads", []*protocol.ControlMessage{oldestSession(protocol.DispatcherReads)}, true},
		{"control machine reads, then a heartbeat",
			[]*protocol.ControlMessage{oldestSession(protocol.ControlReads), dutyMessage(protocol.DutyUnchanged)}, false},
		{"dispatcher reads, then a heartbeat",
			[]*protocol.ControlMessage{oldestSession(protocol.DispatcherReads), dutyMessage(protocol.DutyUnchanged)}, true},
		{"control machine takes over later",
			[]*protocol.ControlMessage{oldestSession(protocol.DutyUnchanged), dutyMessage(protocol.ControlReads)}, false},
		{"control machine's readings fail",
			[]*protocol.ControlMessage{oldestSession(protocol.ControlReads), dutyMessage(protocol.DispatcherReads)}, true},
		{"control machine reads again after its readings failed",
			[]*protocol.ControlMessage{oldestSession(protocol.ControlReads), dutyMessage(protocol.DispatcherReads),
				dutyMessage(protocol.ControlReads)}, false},
		{"dispatcher reads, but another session is older",
			[]*protocol.ControlMessage{snapshotMessage(own, protocol.DispatcherReads, earlier, own)}, false},
		{"no duty announced, and another session is older",
			[]*protocol.ControlMessage{snapshotMessage(own, protocol.DutyUnchanged, earlier, own)}, false},
	} {
		d, calls := newDispatcherWithPlatform(t)
		conn := &frame.Conn{}
		for _, message := range c.messages {
			d.uplink.receive(conn, message, 0)
		}
		tickAndFinishReading(t, d, d.now())
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
		if reports := pendingReports(d); (len(reports) == 1) != c.reads {
			t.Errorf("%s: %d reports", c.name, len(reports))
		}
	}
}

// The duty that one control machine has announced does not apply to the next one, which may be of a former version or fail
// to read the list. Late announcements over a former connection are ignored.
func TestNewConnectionResetsInstanceListDuty(t *testing.T) {
	for _, c := range []struct {
		name            string
		former, present protocol.InstanceListDuty
		lateDuty        protocol.InstanceListDuty // arrives over the former connection after the present one is open
		reads           bool
	}{
		{"former reads, present announces nothing",
			protocol.ControlReads, protocol.DutyUnchanged, protocol.DutyUnchanged, true},
		{"former reads, present fails to read",
			protocol.ControlReads, protocol.DispatcherReads, protocol.DutyUnchanged, true},
		{"former fails to read, present reads",
			protocol.DispatcherReads, protocol.ControlReads, protocol.DutyUnchanged, false},
		{"former announces late that it reads",
			protocol.DispatcherReads, protocol.DutyUnchanged, protocol.ControlReads, true},
		{"former announces late that it fails",
			protocol.ControlReads, protocol.ControlReads, protocol.DispatcherReads, false},
	} {
		d, calls := newDispatcherWithPlatform(t)
		former, present := &frame.Conn{}, &frame.Conn{}
		d.uplink.receive(former, snapshotMessage(7, c.former, 7), 0)
		d.uplink.detach(former)
		d.uplink.receive(present, snapshotMessage(7, c.present, 7), 0)
		d.uplink.receive(former, dutyMessage(c.lateDuty), 0)
		tickAndFinishReading(t, d, d.now())
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
	}
}

// A dispatcher that is disconnected or shutting down does not read the list, even if that is its duty.
func TestDispatcherThatCannotReportDoesNotReadInstanceList(t *testing.T) {
	for name, prepare := range map[string]func(d *Dispatcher){
		"disconnected":  func(d *Dispatcher) { d.uplink.detach(d.uplink.conn) },
		"shutting down": func(d *Dispatcher) { d.readiness.shuttingDown.Store(true) },
	} {
		d, calls := newDispatcherWithPlatform(t)
		d.uplink.receive(&frame.Conn{}, snapshotMessage(7, protocol.DispatcherReads, 7), 0)
		prepare(d)
		tickAndFinishReading(t, d, d.now())
		if calls.Load() > 0 {
			t.Errorf("%s: reads the list", name)
		}
	}
}

// A reading takes seconds over a slow link. If the control machine takes over the duty before it ends, its result is
// dropped.
func TestReadingIsDiscardedAfterControlMachineTakesOver(t *testing.T) {
	d, _ := newDispatcherWithPlatform(t)
	conn := &frame.Conn{}
	d.uplink.receive(conn, snapshotMessage(7, protocol.DispatcherReads, 7), 0)
	d.instances.tick(d.now())
	if !d.instances.reading {
		t.Fatal("no reading was started")
	}
	d.uplink.receive(conn, dutyMessage(protocol.ControlReads), 0)
	tickAndFinishReading(t, d, d.now())
	if reports := pendingReports(d); len(reports) > 0 {
		t.Errorf("the dispatcher reports %+v", reports[0])
	}
}

// A worker is reported as removed only after its absence from 3 consecutive readings of this dispatcher. Readings before
// and after a period in which the control machine read the list must not be added up.
func TestAbsencesBeforeControlMachineTookOverDoNotCount(t *testing.T) {
	d, conn := newDispatcherWithoutLoop(), &frame.Conn{}
	d.uplink.receive(conn, snapshotMessage(7, protocol.DispatcherReads, 7), 0)
	d.workers["w1"] = &statemachine.Worker{Instance: statemachine.Instance{ID: "w1"}}
	readTwice := func() {
		for range 2 {
			d.instances.finishReading(d.now(), instances.Reading{Pages: 1})
		}
	}
	readTwice()
	d.uplink.receive(conn, dutyMessage(protocol.ControlReads), 0)
	d.instances.tick(d.now())
	d.uplink.receive(conn, dutyMessage(protocol.DispatcherReads), 0)
	readTwice()
	if reports := pendingReports(d); len(reports) > 0 {
		t.Fatalf("2 readings before and 2 after the control machine's term report %+v", reports[0])
	}
	d.instances.finishReading(d.now(), instances.Reading{Pages: 1})
	if reports := pendingReports(d); len(reports) != 1 || !slices.Equal(reports[0].Removed, []string{"w1"}) {
		t.Errorf("3 consecutive readings make %d reports, want 1 that removes w1", len(reports))
	}
}

// The replicated state ignores a report whose number is not higher than that of the newest report of the same session. The
// control machine increments the newest number, and the dispatcher uses the age of its process in milliseconds. The state
// has to accept every report, in whatever order the two take turns.
func TestReportsAreAcceptedWhenTheReaderChanges(t *testing.T) {
	for name, controlReads := range map[string]func(second int) bool{
		"the dispatcher alone":                                          func(int) bool { return false },
		"the control machine first":                                     func(second int) bool { return second < 50 },
		"the dispatcher first":                                          func(second int) bool { return second >= 50 },
		"the reader changes with every reading":                         func(second int) bool { return second%2 == 0 },
		"the reader changes every 10 readings":                          func(second int) bool { return second/10%2 == 0 },
		"the dispatcher once, after 99 readings of the control machine": func(second int) bool { return second != 99 },
	} {
		state := statemachine.New(100)
		session := state.Apply(&statemachine.Command{
			OpenSession: &statemachine.OpenSession{Node: "front-1", Incarnation: 7}}).Session
		d := newDispatcherWithoutLoop()
		d.uplink.receive(&frame.Conn{}, snapshotMessage(session, protocol.DispatcherReads, session), 0)
		d.workers = state.Workers
		for second := range 100 {
			d.startedAt = d.startedAt.Add(-time.Second)
			entry := instances.Entry{ID: "w1", Service: "s", Address: "a:1", Capacity: job.Resources{CPU: int64(second + 1)}}
			if controlReads(second) {
				state.Apply(&statemachine.Command{InstancesChanged: &statemachine.InstancesChanged{Reader: session,
					Sequence: state.LastReport + 1, Changed: []statemachine.Instance{entry.Instance()}}})
			} else {
				d.instances.report(&instances.Reading{Entries: []instances.Entry{entry}, Pages: 1})
				reports := pendingReports(d)
				state.Apply(&statemachine.Command{InstancesChanged: reports[len(reports)-1]})
			}
			if worker := state.Workers["w1"]; worker == nil || worker.Capacity != entry.Capacity {
				t.Errorf("%s: the state does not accept the report of second %d", name, second)
				break
			}
		}
	}
}

// The interval between the dispatcher's readings depends on the length of the list and on the rate of calls that the
// platform allows.
func TestReadingIntervalFollowsListLengthAndCallRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		pages   int
		elapsed time.Duration // time since the start of the last reading
		reads   bool
	}{
		{"1 page, after 0.9 s", 1, 900 * time.Millisecond, false},
		{"1 page, after 1 s", 1, time.Second, true},
		{"50 pages at 90 calls/s, after 1 s", 50, time.Second, false},
		{"50 pages at 90 calls/s, after 1.2 s", 50, 1200 * time.Millisecond, true},
	} {
		d, calls := newDispatcherWithPlatform(t)
		d.settings.Cloud.RatePerS = 90
		d.uplink.receive(&frame.Conn{}, snapshotMessage(7, protocol.DispatcherReads, 7), 0)
		startedAt := d.now()
		d.instances.finishReading(startedAt, instances.Reading{Pages: c.pages})
		tickAndFinishReading(t, d, startedAt+c.elapsed)
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
	}
}

// The session request has to say that the dispatcher leaves the list to its control machine. Otherwise no control machine
// reads the list on its behalf.
func TestSessionRequestDelegatesInstanceList(t *testing.T) {
	if !newDispatcherWithoutLoop().uplink.sessionRequest.DelegatesInstanceList {
		t.Error("DelegatesInstanceList is false in the session request")
	}
}
