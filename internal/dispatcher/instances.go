package dispatcher

import (
	"time"

	"yardflow/internal/control/instancelist"
	"yardflow/internal/control/instances"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// instanceReader reads the platform's list of workers while that is this dispatcher's duty: it has the oldest open session,
// and the control machine that it is connected to does not read on its behalf. It belongs to the event loop; a reading has a
// goroutine of its own, at most one at a time.
type instanceReader struct {
	dispatcher *Dispatcher
	client     *instancelist.Client
	tracker    instances.Tracker
	reading    bool
	dueAt      time.Duration
	delegated  bool // the control machine reads on behalf of whichever of its dispatchers has the duty
}

func newInstanceReader(d *Dispatcher) *instanceReader {
	return &instanceReader{dispatcher: d, client: instancelist.NewClient(d.network, d.settings.Cloud.Address)}
}

// isReader reports whether it is for this dispatcher to read the list.
func (r *instanceReader) isReader() bool {
	d := r.dispatcher
	return d.uplink.attached && !r.delegated && len(d.sessions) > 0 && d.sessions[0] == d.uplink.session &&
		!d.readiness.shuttingDown.Load()
}

// receiveDuty takes in who reads the list, where the control machine says so.
func (r *instanceReader) receiveDuty(duty protocol.InstanceListDuty) {
	if duty != protocol.DutyUnchanged {
		r.delegated = duty == protocol.ControlReads
	}
}

// tick begins a reading where one is due.
func (r *instanceReader) tick(now time.Duration) {
	if !r.isReader() {
		r.tracker.Reset()
		return
	}
	if r.reading || now < r.dueAt {
		return
	}
	r.reading = true
	go func() {
		reading := r.client.Read()
		r.dispatcher.post(func() { r.finishReading(now, reading) })
	}()
}

// finishReading takes in a reading that began at the given time.
func (r *instanceReader) finishReading(startedAt time.Duration, reading instances.Reading) {
	d := r.dispatcher
	r.reading = false
	r.dueAt = startedAt + instancelist.Interval(reading.Pages, d.settings.Cloud.RatePerS)
	instancelist.LogReading(d.logger, &reading, d.now()-startedAt)
	if reading.Err == nil && r.isReader() {
		r.report(&reading)
	}
}

// report sends what has changed to the control machines. Reports are numbered by the milliseconds of this process: a
// control machine that reads on behalf of this session counts them up by one, so this number is higher than any of its own.
func (r *instanceReader) report(reading *instances.Reading) {
	d := r.dispatcher
	report := r.tracker.Observe(reading, d.workers)
	if report.IsEmpty() {
		return
	}
	command := &statemachine.InstancesChanged{Reader: d.uplink.session, Changed: report.Changed, Removed: report.Removed,
		Sequence: uint64(d.now().Milliseconds()) + 1}
	d.logger.Info().Uint64("reading", command.Sequence).Int("listed", len(reading.Entries)).
		Strs("changed", report.ChangedIDs()).Strs("removed", report.Removed).Msg("instance list changed")
	d.uplink.submit(&statemachine.Command{InstancesChanged: command}, func(statemachine.Result) {})
}
