// Adapter hosts linnetlift dispatchers on the wire of the users' bench. It
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

	"yardflow"
	"yardflow/internal/config"
	"yardflow/internal/wire"
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
	r, w := wire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	h := &host{dispatchers: map[uint32]linnetlift.Dispatcher{}}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answer(b); err != nil {
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
	dispatchers map[uint32]linnetlift.Dispatcher
	reply       wire.Reply
	current     uint32
	named       bool // the reply's last For names current
	event       wire.Event
	workers     []linnetlift.Worker
	load        []float64
}

func (h *host) answer(b *wire.Batch) error {
	h.reply.Reset()
	now := ms(b.Clock)
	h.current, h.named = 0, false
	for n := 0; ; n++ {
		more, err := b.Next(&h.event)
		if err != nil || !more {
			return err
		}
		if err := h.deliver(now); err != nil {
			return fmt.Errorf("record %d: %w", n, err)
		}
	}
}

func (h *host) deliver(now time.Duration) error {
	e := &h.event
	switch e.Code {
	case wire.Select:
		h.current, h.named = e.Instance, false
		return nil
	case wire.Up:
		s, err := config.ParseSettings(e.Settings)
		if err != nil {
			return fmt.Errorf("settings at offset 18: %w", err)
		}
		d, err := linnetlift.New(s, e.Seed)
		if err != nil {
			return fmt.Errorf("settings at offset 18: %w", err)
		}
		h.dispatchers[h.current] = d
		return nil
	case wire.Exit:
		delete(h.dispatchers, h.current)
		return nil
	}
	d := h.dispatchers[h.current]
	if d == nil {
		return nil // events for an instance that is down
	}
	id := linnetlift.RequestID(e.Xid)
	switch e.Code {
	case wire.Targets:
		h.workers = h.workers[:0]
		for _, t := range e.Entries {
			h.workers = append(h.workers, linnetlift.Worker{
				ID: linnetlift.WorkerID(t.Worker), Zone: int(t.Zone), Kind: int(t.Kind), Cell: int(t.Cell),
				State: state(t.Status), Weight: float64(t.Capacity), Launched: ms(t.LaunchedMillis)})
		}
		d.List(now, form(e.Form), h.workers, h)
	case wire.Ask:
		r := linnetlift.Request{ID: id, Class: int(e.Class), Tenant: int(e.Tenant), Left: ms(e.LeftMs),
			Slots: float64(e.Slots), Memory: float64(e.Memory), Retry: e.Flags&wire.FlagRetry != 0}
		if e.Flags&wire.FlagHint != 0 {
			r.Hint = ms(e.HintMs)
		}
		d.Arrive(now, r, h)
	case wire.HeadReceived:
		d.StreamStarted(now, id, int(e.Copy), h)
	case wire.Settled:
		d.Outcome(now, linnetlift.Outcome{ID: id, Attempt: int(e.Copy), Worker: linnetlift.WorkerID(e.Worker),
			Code: code(e.State), Latency: ms(e.Latency), Ended: e.Ended, Load: h.floats(e.Load)}, h)
	case wire.TimedOutClient:
		d.ClientGone(now, id, h)
	case wire.Alarm:
		d.Timer(now, e.Tag, h)
	case wire.Pong:
		d.Probed(now, linnetlift.WorkerID(e.Worker), code(e.State), h.floats(e.Load), h)
	case wire.PeerData:
		d.PeerMessage(now, int(e.Sender), e.Content, h)
	case wire.HintUpdate:
		d.Note(now, linnetlift.Note{ID: id, Attempt: int(e.Copy), Worker: linnetlift.WorkerID(e.Worker),
			Kind: note(e.Topic), Share: float64(e.Value)}, h)
	}
	return nil
}

func (h *host) floats(in []float32) []float64 {
	h.load = h.load[:0]
	for _, v := range in {
		h.load = append(h.load, float64(v))
	}
	return h.load
}

// name writes the For record ahead of an instance's first action.
func (h *host) name() {
	if !h.named {
		h.reply.For(h.current)
		h.named = true
	}
}

func (h *host) Send(id linnetlift.RequestID, w linnetlift.WorkerID, within time.Duration) {
	h.name()
	h.reply.SubmitTo(uint64(id), wire.Worker(w), millis(within))
}

func (h *host) Refuse(id linnetlift.RequestID, comeBack time.Duration) {
	h.name()
	h.reply.SayNo(uint64(id), millis(comeBack))
}

func (h *host) Fail(id linnetlift.RequestID) {
	h.name()
	h.reply.ReportFailure(uint64(id))
}

func (h *host) Cancel(id linnetlift.RequestID, attempt int) {
	h.name()
	h.reply.DropAttempt(uint64(id), uint16(attempt))
}

func (h *host) Wake(in time.Duration, tag uint64) {
	h.name()
	h.reply.NotifyMe(millis(in), tag)
}

func (h *host) Subscribe() {
	h.name()
	h.reply.Observe(true)
}

func (h *host) Probe(w linnetlift.WorkerID) {
	h.name()
	h.reply.AskLoad(wire.Worker(w))
}

func (h *host) Tell(msg []byte) {
	h.name()
	h.reply.Announce(msg)
}

func (h *host) Log(line string) {
	h.name()
	h.reply.Log(line)
}

func ms(v float64) time.Duration     { return time.Duration(v * float64(time.Millisecond)) }
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func state(s uint8) linnetlift.WorkerState {
	switch s {
	case 0:
		return linnetlift.Ready
	case 2:
		return linnetlift.Gone
	}
	return linnetlift.Draining // an unknown state is not one to send to
}

func form(f uint8) linnetlift.ListForm {
	switch f {
	case 0:
		return linnetlift.ListDelta
	case 2:
		return linnetlift.ListFull
	case 3:
		return linnetlift.ListCached
	}
	return linnetlift.ListFailed
}

func note(t uint8) linnetlift.NoteKind {
	switch t {
	case 1:
		return linnetlift.NoteStarted
	case 2:
		return linnetlift.NoteProgress
	}
	return linnetlift.NoteOther
}

func code(c uint16) linnetlift.Code {
	switch c {
	case 0:
		return linnetlift.OK
	case 1:
		return linnetlift.Cancelled
	case 4:
		return linnetlift.TimedOut
	case 8:
		return linnetlift.Full
	case 9:
		return linnetlift.NeverSent
	case 10:
		return linnetlift.Broken
	case 13:
		return linnetlift.Failed
	case 14:
		return linnetlift.ConnectFailed
	}
	return linnetlift.Unknown
}
