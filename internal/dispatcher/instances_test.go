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

// newStoppedWithPlatform returns a dispatcher whose event loop does not run, with a platform whose list names the worker
// w1, and the number of calls that the platform has had.
func newStoppedWithPlatform(t *testing.T) (*Dispatcher, *atomic.Int32) {
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

// snapshotOf returns the message that opens a session, with who is to read the list, among the open sessions.
func snapshotOf(session statemachine.SessionID, duty protocol.InstanceListDuty, open ...statemachine.SessionID) *protocol.ControlMessage {
	sessions := protocol.Encode(statemachine.Update{Sessions: open})
	return &protocol.ControlMessage{Session: session, InstanceListDuty: duty,
		Updates: []cbor.RawMessage{sessions}}
}

func says(duty protocol.InstanceListDuty) *protocol.ControlMessage {
	return &protocol.ControlMessage{InstanceListDuty: duty}
}

// tickAndFinish lets a tick begin a reading where one is due, and waits for its end.
func tickAndFinish(t *testing.T, d *Dispatcher, now time.Duration) {
	t.Helper()
	for d.instances.tick(now); d.instances.reading; {
		select {
		case f := <-d.events:
			f()
		case <-time.After(10 * time.Second):
			t.Fatal("a reading does not end")
		}
	}
}

// pendingReports returns the reports of the list that have no outcome, in the order in which they were made.
func pendingReports(d *Dispatcher) []*statemachine.InstancesChanged {
	reports := []*statemachine.InstancesChanged{}
	for _, tag := range d.uplink.commands.order {
		if waiting := d.uplink.commands.pending[tag]; waiting != nil && waiting.command.InstancesChanged != nil {
			reports = append(reports, waiting.command.InstancesChanged)
		}
	}
	return reports
}

// The dispatcher with the oldest session reads the list unless its control machine says that it does so itself. A control
// machine of the former version says nothing.
func TestDispatcherReadsTheListUnlessItsControlMachineDoes(t *testing.T) {
	const own, earlier, later = 7, 5, 9
	oldest := func(duty protocol.InstanceListDuty) *protocol.ControlMessage {
		return snapshotOf(own, duty, own, later)
	}
	for _, c := range []struct {
		name     string
		messages []*protocol.ControlMessage
		reads    bool
	}{
		{"told nothing", []*protocol.ControlMessage{oldest(protocol.DutyUnchanged)}, true},
		{"told that the control machine reads", []*protocol.ControlMessage{oldest(protocol.ControlReads)}, false},
		{"told to read", []*protocol.ControlMessage{oldest(protocol.DispatcherReads)}, true},
		{"told that the control machine reads, then a heartbeat",
			[]*protocol.ControlMessage{oldest(protocol.ControlReads), says(protocol.DutyUnchanged)}, false},
		{"told to read, then a heartbeat",
			[]*protocol.ControlMessage{oldest(protocol.DispatcherReads), says(protocol.DutyUnchanged)}, true},
		{"told later that the control machine reads",
			[]*protocol.ControlMessage{oldest(protocol.DutyUnchanged), says(protocol.ControlReads)}, false},
		{"told that the control machine's readings fail",
			[]*protocol.ControlMessage{oldest(protocol.ControlReads), says(protocol.DispatcherReads)}, true},
		{"told that the control machine reads again",
			[]*protocol.ControlMessage{oldest(protocol.ControlReads), says(protocol.DispatcherReads), says(protocol.ControlReads)}, false},
		{"told to read, with a later session",
			[]*protocol.ControlMessage{snapshotOf(own, protocol.DispatcherReads, earlier, own)}, false},
		{"told nothing, with a later session",
			[]*protocol.ControlMessage{snapshotOf(own, protocol.DutyUnchanged, earlier, own)}, false},
	} {
		d, calls := newStoppedWithPlatform(t)
		conn := &frame.Conn{}
		for _, message := range c.messages {
			d.uplink.receive(conn, message, 0)
		}
		tickAndFinish(t, d, d.now())
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
		if reports := pendingReports(d); (len(reports) == 1) != c.reads {
			t.Errorf("%s: %d reports", c.name, len(reports))
		}
	}
}

// What one control machine has said says nothing about another one, which may be of a former version or fail to read.
func TestNewConnectionForgetsWhoReadTheListBefore(t *testing.T) {
	for _, c := range []struct {
		name            string
		former, present protocol.InstanceListDuty
		late            protocol.InstanceListDuty // comes over the former connection once the present one stands
		reads           bool
	}{
		{"from one that reads to one that says nothing", protocol.ControlReads, protocol.DutyUnchanged, protocol.DutyUnchanged, true},
		{"from one that reads to one that fails to", protocol.ControlReads, protocol.DispatcherReads, protocol.DutyUnchanged, true},
		{"from one that fails to read to one that does", protocol.DispatcherReads, protocol.ControlReads, protocol.DutyUnchanged, false},
		{"the former one says late that it reads", protocol.DispatcherReads, protocol.DutyUnchanged, protocol.ControlReads, true},
		{"the former one says late that it fails to", protocol.ControlReads, protocol.ControlReads, protocol.DispatcherReads, false},
	} {
		d, calls := newStoppedWithPlatform(t)
		former, present := &frame.Conn{}, &frame.Conn{}
		d.uplink.receive(former, snapshotOf(7, c.former, 7), 0)
		d.uplink.detach(former)
		d.uplink.receive(present, snapshotOf(7, c.present, 7), 0)
		d.uplink.receive(former, says(c.late), 0)
		tickAndFinish(t, d, d.now())
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
	}
}

// A dispatcher that is not connected, or shuts down, reads nothing, whatever it was told.
func TestDispatcherThatCannotReportReadsNothing(t *testing.T) {
	for name, arrange := range map[string]func(d *Dispatcher){
		"it is not connected": func(d *Dispatcher) { d.uplink.detach(d.uplink.conn) },
		"it shuts down":       func(d *Dispatcher) { d.readiness.shuttingDown.Store(true) },
	} {
		d, calls := newStoppedWithPlatform(t)
		d.uplink.receive(&frame.Conn{}, snapshotOf(7, protocol.DispatcherReads, 7), 0)
		arrange(d)
		tickAndFinish(t, d, d.now())
		if calls.Load() > 0 {
			t.Errorf("%s: reads the list", name)
		}
	}
}

// A reading takes seconds over a slow link. Where the control machine has taken the duty meanwhile, it reports nothing.
func TestReadingThatTheControlMachineHasOvertakenReportsNothing(t *testing.T) {
	d, _ := newStoppedWithPlatform(t)
	conn := &frame.Conn{}
	d.uplink.receive(conn, snapshotOf(7, protocol.DispatcherReads, 7), 0)
	d.instances.tick(d.now())
	if !d.instances.reading {
		t.Fatal("no reading begins")
	}
	d.uplink.receive(conn, says(protocol.ControlReads), 0)
	tickAndFinish(t, d, d.now())
	if reports := pendingReports(d); len(reports) > 0 {
		t.Errorf("reports %+v", reports[0])
	}
}

// Readings from before the control machine took the duty do not show, with those after it, that a worker has gone.
func TestAbsencesBeforeTheControlMachineReadDoNotCount(t *testing.T) {
	d, conn := newStopped(), &frame.Conn{}
	d.uplink.receive(conn, snapshotOf(7, protocol.DispatcherReads, 7), 0)
	d.workers["w1"] = &statemachine.Worker{Instance: statemachine.Instance{ID: "w1"}}
	readTwice := func() {
		for range 2 {
			d.instances.finishReading(d.now(), instances.Reading{Pages: 1})
		}
	}
	readTwice()
	d.uplink.receive(conn, says(protocol.ControlReads), 0)
	d.instances.tick(d.now())
	d.uplink.receive(conn, says(protocol.DispatcherReads), 0)
	readTwice()
	if reports := pendingReports(d); len(reports) > 0 {
		t.Fatalf("two readings of each of two terms report %+v", reports[0])
	}
	d.instances.finishReading(d.now(), instances.Reading{Pages: 1})
	if reports := pendingReports(d); len(reports) != 1 || !slices.Equal(reports[0].Removed, []string{"w1"}) {
		t.Errorf("three readings of one term: %d reports", len(reports))
	}
}

// The state ignores a report whose number is not above that of the newest one of the same session. The control machine
// counts from the state's, the dispatcher numbers by its milliseconds: whoever reads, the state takes each report.
func TestReportsAreTakenHoweverTheDutyPasses(t *testing.T) {
	for name, controlReads := range map[string]func(second int) bool{
		"the dispatcher alone":                       func(int) bool { return false },
		"the control machine first":                  func(second int) bool { return second < 50 },
		"the dispatcher first":                       func(second int) bool { return second >= 50 },
		"the duty passes with every reading":         func(second int) bool { return second%2 == 0 },
		"the duty passes with every tenth":           func(second int) bool { return second/10%2 == 0 },
		"the dispatcher once, after many of control": func(second int) bool { return second != 99 },
	} {
		state := statemachine.New(100)
		session := state.Apply(&statemachine.Command{OpenSession: &statemachine.OpenSession{Node: "front-1", Incarnation: 7}}).Session
		d := newStopped()
		d.uplink.receive(&frame.Conn{}, snapshotOf(session, protocol.DispatcherReads, session), 0)
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
				t.Errorf("%s: the state does not take the report of second %d", name, second)
				break
			}
		}
	}
}

// The pace of the dispatcher's own readings follows the list's length and the calls that the platform takes.
func TestReadingsOfADispatcherFollowThePaceOfThePlatform(t *testing.T) {
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
		d, calls := newStoppedWithPlatform(t)
		d.settings.Cloud.RatePerS = 90
		d.uplink.receive(&frame.Conn{}, snapshotOf(7, protocol.DispatcherReads, 7), 0)
		begun := d.now()
		d.instances.finishReading(begun, instances.Reading{Pages: c.pages})
		tickAndFinish(t, d, begun+c.after)
		if reads := calls.Load() > 0; reads != c.reads {
			t.Errorf("%s: reads the list: %v", c.name, reads)
		}
	}
}

// A dispatcher says in its request that it leaves the list to its control machine: without that none reads for it.
func TestRequestSaysThatTheListIsLeftToTheControlMachine(t *testing.T) {
	if !newStopped().uplink.sessionRequest.DelegatesInstanceList {
		t.Error("the request does not say so")
	}
}
