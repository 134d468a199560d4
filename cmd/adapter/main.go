// Adapter hosts dispatchers of package dispatch on the wire of the users' bench. It
// translates both ways and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"yardflow/internal/gateway/simwire"
	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

func main() {
	// Few, small live objects and a frame at a time: collect late.
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	h := &host{dispatchers: map[uint32]dispatch.Dispatcher{}}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(b); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host carries the dispatchers of this process. It is the Actions sink of the
// one whose events are being handled.
type host struct {
	dispatchers   map[uint32]dispatch.Dispatcher
	reply         simwire.Reply
	current       uint32
	instanceNamed bool // the reply's last For names current
	event         simwire.Event
	workers       []dispatch.Worker
	load          []float64
}

func (h *host) handleBatch(b *simwire.Batch) error {
	h.reply.Reset()
	now := duration(b.Clock)
	h.current, h.instanceNamed = 0, false
	for n := 0; ; n++ {
		more, err := b.Next(&h.event)
		if err != nil || !more {
			return err
		}
		if err := h.handleEvent(now); err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
	}
}

func (h *host) handleEvent(now time.Duration) error {
	e := &h.event
	switch e.Code {
	case simwire.EventSelect:
		h.current, h.instanceNamed = e.Instance, false
		return nil
	case simwire.EventUp:
		s, err := config.ParseSettings(e.Settings)
		if err != nil {
			return fmt.Errorf("settings at offset 18: %w", err)
		}
		d, err := dispatch.New(s, e.Seed)
		if err != nil {
			return fmt.Errorf("settings at offset 18: %w", err)
		}
		h.dispatchers[h.current] = d
		return nil
	case simwire.EventExit:
		delete(h.dispatchers, h.current)
		return nil
	}
	d := h.dispatchers[h.current]
	if d == nil {
		return nil // events for an instance that is down
	}
	id := dispatch.RequestID(e.Xid)
	switch e.Code {
	case simwire.EventTargets:
		h.workers = h.workers[:0]
		for _, t := range e.Entries {
			h.workers = append(h.workers, dispatch.Worker{
				ID: dispatch.WorkerID(t.Worker), Zone: int(t.Zone), Kind: int(t.Kind), Cell: int(t.Cell),
				State: workerState(t.Status), Weight: float64(t.Capacity), Launched: duration(t.LaunchedMillis)})
		}
		d.UpdateWorkers(now, listForm(e.Form), h.workers, h)
	case simwire.EventAsk:
		r := dispatch.Request{ID: id, Class: int(e.Class), Tenant: int(e.Tenant), TimeLeft: duration(e.LeftMs),
			Slots: float64(e.Slots), Memory: float64(e.Memory), ClientRetry: e.Flags&simwire.FlagRetry != 0}
		if e.Flags&simwire.FlagHint != 0 {
			r.WorkHint = duration(e.HintMs)
		}
		d.Arrive(now, r, h)
	case simwire.EventHeadReceived:
		d.StreamStarted(now, id, int(e.Copy), h)
	case simwire.EventSettled:
		d.AttemptEnded(now, dispatch.Outcome{ID: id, Attempt: int(e.Copy), Worker: dispatch.WorkerID(e.Worker),
			Code: attemptCode(e.State), Latency: duration(e.Latency), Answered: e.Ended, Load: h.loadReport(e.Load)}, h)
	case simwire.EventTimedOutClient:
		d.ClientDisconnected(now, id, h)
	case simwire.EventAlarm:
		d.Timer(now, e.Tag, h)
	case simwire.EventPong:
		d.ProbeAnswered(now, dispatch.WorkerID(e.Worker), attemptCode(e.State), h.loadReport(e.Load), h)
	case simwire.EventPeerData:
		d.PeerMessage(now, int(e.Sender), e.Content, h)
	case simwire.EventHintUpdate:
		d.Notify(now, dispatch.Notification{ID: id, Attempt: int(e.Copy), Worker: dispatch.WorkerID(e.Worker),
			Kind: notificationKind(e.Topic), FractionDone: float64(e.Value)}, h)
	}
	return nil
}

func (h *host) loadReport(in []float32) []float64 {
	h.load = h.load[:0]
	for _, v := range in {
		h.load = append(h.load, float64(v))
	}
	return h.load
}

// nameInstance writes the For record ahead of an instance's first action.
func (h *host) nameInstance() {
	if !h.instanceNamed {
		h.reply.For(h.current)
		h.instanceNamed = true
	}
}

func (h *host) Send(id dispatch.RequestID, w dispatch.WorkerID, within time.Duration) {
	h.nameInstance()
	h.reply.SubmitTo(uint64(id), simwire.Worker(w), milliseconds(within))
}

func (h *host) Reject(id dispatch.RequestID, comeBack time.Duration) {
	h.nameInstance()
	h.reply.SayNo(uint64(id), milliseconds(comeBack))
}

func (h *host) Fail(id dispatch.RequestID) {
	h.nameInstance()
	h.reply.ReportFailure(uint64(id))
}

func (h *host) Cancel(id dispatch.RequestID, attempt int) {
	h.nameInstance()
	h.reply.DropAttempt(uint64(id), uint16(attempt))
}

func (h *host) Wake(in time.Duration, tag uint64) {
	h.nameInstance()
	h.reply.NotifyMe(milliseconds(in), tag)
}

func (h *host) Subscribe() {
	h.nameInstance()
	h.reply.Observe(true)
}

func (h *host) Probe(w dispatch.WorkerID) {
	h.nameInstance()
	h.reply.AskLoad(simwire.Worker(w))
}

func (h *host) Broadcast(msg []byte) {
	h.nameInstance()
	h.reply.Announce(msg)
}

func (h *host) Log(line string) {
	h.nameInstance()
	h.reply.Log(line)
}

func duration(v float64) time.Duration     { return time.Duration(v * float64(time.Millisecond)) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func workerState(s uint8) dispatch.WorkerState {
	switch s {
	case 0:
		return dispatch.Ready
	case 2:
		return dispatch.Removed
	}
	return dispatch.Draining // an unknown state is not one to send to
}

func listForm(f uint8) dispatch.ListForm {
	switch f {
	case 0:
		return dispatch.ListDelta
	case 2:
		return dispatch.ListFull
	case 3:
		return dispatch.ListCached
	}
	return dispatch.ListFailed
}

func notificationKind(t uint8) dispatch.NotificationKind {
	switch t {
	case 1:
		return dispatch.NotificationStarted
	case 2:
		return dispatch.NotificationProgress
	}
	return dispatch.NotificationOther
}

func attemptCode(c uint16) dispatch.Code {
	switch c {
	case 0:
		return dispatch.OK
	case 1:
		return dispatch.Cancelled
	case 4:
		return dispatch.TimedOut
	case 8:
		return dispatch.Rejected
	case 9:
		return dispatch.NotSent
	case 10:
		return dispatch.ConnectionLost
	case 13:
		return dispatch.Failed
	case 14:
		return dispatch.ConnectFailed
	}
	return dispatch.Unknown
}
