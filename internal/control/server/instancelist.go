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
	// failuresToHandBack is how many readings in a row fail before the dispatcher that has the duty is asked to read.
	failuresToHandBack = 2
	// reportTimeout is how long a report without an outcome holds the next one up. Reports may be applied twice.
	reportTimeout = 500 * time.Millisecond
)

// instanceListReader reads the platform's list on behalf of the dispatcher whose duty that is, while that one is connected
// to this machine. A whole list takes seconds over a dispatcher's link, which carries its clients' traffic too, and a worker
// that drains must be known as such to all within Bounds.DrainMs.
//
// The session of the dispatcher fences the readings: a report in its name has no effect once another one has the duty. It
// belongs to the engine; a reading has a goroutine of its own, at most one at a time.
type instanceListReader struct {
	client     *instancelist.Client
	configured bool // the settings name the platform
	ratePerS   float64

	tracker    instances.Tracker
	session    statemachine.SessionID // on whose behalf; 0: nobody's
	reading    bool
	dueAt      time.Duration
	failures   int  // readings in a row that failed
	reporting  bool // a report has no outcome yet
	reportedAt time.Duration
}

func newInstanceListReader(network frame.Network, cloud settings.Cloud) *instanceListReader {
	return &instanceListReader{client: instancelist.NewClient(network, cloud.Address), configured: cloud.Address != "",
		ratePerS: cloud.RatePerS}
}

// duty returns who reads the list while a dispatcher that is connected to this machine has the duty.
func (r *instanceListReader) duty() protocol.InstanceListDuty {
	if !r.configured || r.failures >= failuresToHandBack {
		return protocol.DispatcherReads
	}
	return protocol.ControlReads
}

// serve makes a session the one on whose behalf the list is read, 0 for none.
func (r *instanceListReader) serve(session statemachine.SessionID) {
	if session != r.session {
		r.tracker.Reset()
		r.session = session
	}
}

// instanceReaderHere returns the dispatcher whose duty it is to read the list, where it is connected here and leaves that
// to its control machine, or nil.
func (s *Server) instanceReaderHere() *dispatcher {
	d := s.dispatchers.bySession[s.state.fsm.InstanceReader()]
	if d == nil || d.isLeaving || !d.request.DelegatesInstanceList || !s.canServe() {
		return nil
	}
	return d
}

// readInstanceList begins a reading where one is due.
func (s *Server) readInstanceList(now time.Duration) {
	r := s.instanceList
	if !r.configured {
		return
	}
	reader := s.instanceReaderHere()
	if reader == nil {
		r.serve(0)
		return
	}
	r.serve(reader.session)
	s.assignInstanceListDuty(reader)
	if r.reading || now < r.dueAt {
		return
	}
	r.reading = true
	session := r.session
	go func() {
		reading := r.client.Read()
		s.do(func() { s.finishInstanceReading(session, now, reading) })
	}()
}

// finishInstanceReading takes in a reading that began at the given time on behalf of a session.
func (s *Server) finishInstanceReading(session statemachine.SessionID, startedAt time.Duration, reading instances.Reading) {
	r := s.instanceList
	r.reading = false
	r.dueAt = startedAt + instancelist.Interval(reading.Pages, r.ratePerS)
	instancelist.LogReading(s.logger, &reading, s.now()-startedAt)
	if reading.Err != nil {
		r.failures++
		return
	}
	r.failures = 0
	if reader := s.instanceReaderHere(); reader == nil || reader.session != session || session != r.session {
		return
	}
	s.reportInstances(&reading)
}

// assignInstanceListDuty tells the dispatcher with the duty where that has passed to it, or back to this machine.
func (s *Server) assignInstanceListDuty(reader *dispatcher) {
	if duty := s.instanceList.duty(); duty != reader.listDuty {
		reader.listDuty = duty
		reader.send(protocol.ControlMessage{InstanceListDuty: duty})
	}
}

// reportInstances proposes what a reading says that the state does not have. It follows the reports that the state has from
// the same session, of whichever machine; of two machines that report at once under one number, one is ignored, and the next
// reading brings what it had.
func (s *Server) reportInstances(reading *instances.Reading) {
	r, fsm := s.instanceList, s.state.fsm
	if r.reporting && s.now()-r.reportedAt < reportTimeout {
		return
	}
	report := r.tracker.Observe(reading, fsm.Workers)
	if report.IsEmpty() {
		return
	}
	command := &statemachine.InstancesChanged{Reader: r.session, Changed: report.Changed, Removed: report.Removed, Sequence: 1}
	if fsm.LastReader == r.session {
		command.Sequence = fsm.LastReport + 1
	}
	s.logger.Info().Uint64("reading", command.Sequence).Int("listed", len(reading.Entries)).
		Strs("changed", report.ChangedIDs()).Strs("removed", report.Removed).Msg("instance list changed")
	r.reporting, r.reportedAt = true, s.now()
	err := s.commands.submit(&statemachine.Command{InstancesChanged: command}, func(statemachine.Result) { r.reporting = false })
	if err != nil {
		r.reporting = false
		s.logger.Error().Err(err).Msg("a report of the instance list is refused")
	}
}
