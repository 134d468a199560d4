package server

import (
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/instancelist"
	"yardflow/internal/control/instances"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

const (
	// failuresToHandBack is the number of consecutive failed readings after which the duty is handed back to the
	// dispatcher.
	failuresToHandBack = 2
	// reportTimeout is how long a report without an outcome delays the next report. Applying a report twice is harmless.
	reportTimeout = 500 * time.Millisecond
)

// instanceListReader reads the platform's instance list on behalf of the dispatcher that has the duty to read it, while
// that dispatcher is connected to this machine. Over a dispatcher's link, which also carries the traffic of its clients,
// a whole list takes seconds, but within Bounds.DrainMs all dispatchers must know that a worker drains.
//
// The session of the dispatcher fences the readings: a report in its name has no effect once another session has the
// duty. The reader belongs to the engine; each reading runs in a goroutine of its own, at most one at a time.
type instanceListReader struct {
	client     *instancelist.Client
	configured bool // whether the settings contain the address of the platform
	ratePerS   float64

	tracker     instances.Tracker
	session     statemachine.SessionID // session on whose behalf the list is read; 0: none
	isReading   bool
	nextReadAt  time.Duration
	failures    int  // consecutive failed readings
	isReporting bool // a report has no outcome yet
	reportedAt  time.Duration
}

func newInstanceListReader(network frame.Network, cloud settings.Cloud) *instanceListReader {
	return &instanceListReader{client: instancelist.NewClient(network, cloud.Address), configured: cloud.Address != "",
		ratePerS: cloud.RatePerS}
}

// duty returns who reads the list while a dispatcher that is connected to this machine has the duty: this machine, or the
// dispatcher itself.
func (r *instanceListReader) duty() protocol.InstanceListDuty {
	if !r.configured || r.failures >= failuresToHandBack {
		return protocol.DispatcherReads
	}
	return protocol.ControlReads
}

// setSession sets the session on whose behalf the list is read; 0 means none. A new session resets the tracker.
func (r *instanceListReader) setSession(session statemachine.SessionID) {
	if session != r.session {
		r.tracker.Reset()
		r.session = session
	}
}

// localInstanceReader returns the dispatcher that has the duty to read the list, if it is connected here and delegates
// the reading to its control machine, or nil.
func (s *Server) localInstanceReader() *dispatcher {
	d := s.dispatchers.bySession[s.state.fsm.InstanceReader()]
	if d == nil || d.isShuttingDown || !d.request.DelegatesInstanceList || !s.canServe() {
		return nil
	}
	return d
}

// readInstanceList starts a reading if one is due.
func (s *Server) readInstanceList(now time.Duration) {
	r := s.instanceList
	if !r.configured {
		return
	}
	reader := s.localInstanceReader()
	if reader == nil {
		r.setSession(0)
		return
	}
	r.setSession(reader.session)
	s.assignInstanceListDuty(reader)
	if r.isReading || now < r.nextReadAt {
		return
	}
	r.isReading = true
	session := r.session
	go func() {
		reading := r.client.Read()
		s.do(func() { s.finishInstanceReading(session, now, reading) })
	}()
}

// finishInstanceReading handles the result of a reading that started at the given time on behalf of a session.
func (s *Server) finishInstanceReading(session statemachine.SessionID, startedAt time.Duration, reading instances.Reading) {
	r := s.instanceList
	r.isReading = false
	r.nextReadAt = startedAt + instancelist.Interval(reading.Pages, r.ratePerS)
	instancelist.LogReading(s.logger, &reading, s.now()-startedAt)
	if reading.Err != nil {
		r.failures++
		return
	}
	r.failures = 0
	if reader := s.localInstanceReader(); reader == nil || reader.session != session || session != r.session {
		return
	}
	s.reportInstances(&reading)
}

// assignInstanceListDuty notifies the dispatcher with the duty if the reading has passed to the dispatcher, or back to
// this machine.
func (s *Server) assignInstanceListDuty(reader *dispatcher) {
	if duty := s.instanceList.duty(); duty != reader.listDuty {
		reader.listDuty = duty
		reader.send(protocol.ControlMessage{InstanceListDuty: duty})
	}
}

// reportInstances proposes the differences between a reading and the state. The report gets the number after that of
// the newest report of the same session in the state, whichever machine sent that one. If two machines report under the
// same number, one report is ignored, and the next reading reports its changes.
func (s *Server) reportInstances(reading *instances.Reading) {
	r, fsm := s.instanceList, s.state.fsm
	if r.isReporting && s.now()-r.reportedAt < reportTimeout {
		return
	}
	report := r.tracker.Observe(reading, fsm.Workers)
	if report.IsEmpty() {
		return
	}
	command := &statemachine.InstancesChanged{Reader: r.session, Changed: report.Changed,
		Removed: report.Removed, Sequence: 1}
	if fsm.LastReader == r.session {
		command.Sequence = fsm.LastReport + 1
	}
	s.logger.Info().Uint64("reading", command.Sequence).Int("listed", len(reading.Entries)).
		Strs("changed", report.ChangedIDs()).Strs("removed", report.Removed).Msg("instance list changed")
	r.isReporting, r.reportedAt = true, s.now()
	err := s.commands.submit(&statemachine.Command{InstancesChanged: command},
		func(statemachine.Result) { r.isReporting = false })
	if err != nil {
		r.isReporting = false
		s.logger.Error().Err(err).Msg("a report of the instance list is refused")
	}
}
