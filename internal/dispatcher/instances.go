package dispatcher

import (
	"time"

	"yardflow/internal/control/instancelist"
	"yardflow/internal/control/instances"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// instanceReader reads the platform's list of workers while this dispatcher is responsible for it: the dispatcher has the
// oldest open session, and its control machine does not read the list on its behalf. The instanceReader belongs to the event
// loop. Each reading runs in its own goroutine, at most one at a time.
type instanceReader struct {
	dispatcher    *Dispatcher
	client        *instancelist.Client
	tracker       instances.Tracker
	reading       bool
	nextReadingAt time.Duration
	delegated     bool // the control machine reads the list on behalf of its dispatchers
}

func newInstanceReader(d *Dispatcher) *instanceReader {
	return &instanceReader{dispatcher: d, client: instancelist.NewClient(d.network, d.settings.Cloud.Address)}
}

// isReader reports whether this dispatcher has to read the list.
func (r *instanceReader) isReader() bool {
	d := r.dispatcher
	return d.uplink.attached && !r.delegated && len(d.sessions) > 0 && d.sessions[0] == d.uplink.session &&
		!d.readiness.shuttingDown.Load()
}

// receiveDuty records whether the control machine reads the list. DutyUnchanged changes nothing.
func (r *instanceReader) receiveDuty(duty protocol.InstanceListDuty) {
	if duty != protocol.DutyUnchanged {
		r.delegated = duty == protocol.ControlReads
	}
}

// tick starts a reading if this dispatcher has to read the list and the interval since the last reading has passed. While
// it does not have to read the list, tick resets the tracker: absences from earlier readings must not count afterwards.
func (r *instanceReader) tick(now time.Duration) {
	if !r.isReader() {
		r.tracker.Reset()
		return
	}
	if r.reading || now < r.nextReadingAt {
		return
	}
	r.reading = true
	go func() {
		reading := r.client.Read()
		r.dispatcher.post(func() { r.finishReading(now, reading) })
	}()
}

// finishReading handles the result of a reading that started at the given time.
func (r *instanceReader) finishReading(startedAt time.Duration, reading instances.Reading) {
	d := r.dispatcher
	r.reading = false
	r.nextReadingAt = startedAt + instancelist.Interval(reading.Pages, d.settings.Cloud.RatePerS)
	instancelist.LogReading(d.logger, &reading, d.now()-startedAt)
	if reading.Err == nil && r.isReader() {
		r.report(&reading)
	}
}

// report sends the changes of the list to the control machines. The report's number is the age of this process in
// milliseconds. A control machine that reads on behalf of this session increments the newest number by one for each report.
// Reports are more than 1 ms apart, so the process's age is higher than all numbers of the control machine.
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
