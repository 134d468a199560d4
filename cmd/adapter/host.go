package main

// This file hands events to the dispatchers of this process.

import (
	"fmt"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/simwire"
	"yardflow/scheduling/dispatch"
)

// host holds the dispatchers of this process. It is the dispatch.Actions of the one whose events are being handled. Its
// buffers are used again from event to event, because the simulator counts the adapter's CPU time.
type host struct {
	dispatchers map[uint32]dispatch.Dispatcher // by instance
	reply       simwire.Reply

	current       uint32 // the instance that events are for
	instanceNamed bool   // the reply's last FOR names current

	event   simwire.Event
	workers []dispatch.Worker
	load    []float64
}

func newHost() *host { return &host{dispatchers: map[uint32]dispatch.Dispatcher{}} }

// handleBatch hands all events of a batch to their dispatchers, whose actions are in the reply then.
func (h *host) handleBatch(b *simwire.Batch) error {
	h.reply.Reset()
	now := duration(b.ClockMs)
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

// handleEvent handles the events of an instance's life, and hands on all others. Those for an instance that does not run
// are skipped.
func (h *host) handleEvent(now time.Duration) error {
	switch h.event.Code {
	case simwire.EventSelect:
		h.current, h.instanceNamed = h.event.Instance, false
	case simwire.EventUp:
		return h.startInstance()
	case simwire.EventExit:
		delete(h.dispatchers, h.current)
	default:
		if d := h.dispatchers[h.current]; d != nil {
			h.dispatchEvent(now, d)
		}
	}
	return nil
}

// startInstance puts a dispatcher without any state in the current instance's place.
func (h *host) startInstance() error {
	settings, err := config.ParseSettings(h.event.SettingsJSON)
	if err != nil {
		return settingsError(err)
	}
	d, err := dispatch.New(settings, h.event.Seed)
	if err != nil {
		return settingsError(err)
	}
	h.dispatchers[h.current] = d
	return nil
}

func settingsError(err error) error { return fmt.Errorf("settings at offset 18: %w", err) }

// dispatchEvent hands an event to a dispatcher.
func (h *host) dispatchEvent(now time.Duration, d dispatch.Dispatcher) {
	e := &h.event
	id, worker := dispatch.RequestID(e.RequestID), dispatch.WorkerID(e.Worker)
	switch e.Code {
	case simwire.EventTargets:
		d.UpdateWorkers(now, listForm(e.ListForm), h.workerList(), h)
	case simwire.EventAsk:
		d.Arrive(now, requestOf(e), h)
	case simwire.EventHeadReceived:
		d.StreamStarted(now, id, int(e.Attempt), h)
	case simwire.EventSettled:
		d.AttemptEnded(now, dispatch.Outcome{ID: id, Attempt: int(e.Attempt), Worker: worker, Code: attemptCode(e.Outcome),
			Latency: duration(e.LatencyMs), Answered: e.Answered, Load: h.loadReport()}, h)
	case simwire.EventTimedOutClient:
		d.ClientDisconnected(now, id, h)
	case simwire.EventAlarm:
		d.Timer(now, e.Tag, h)
	case simwire.EventPong:
		d.ProbeAnswered(now, worker, attemptCode(e.Outcome), h.loadReport(), h)
	case simwire.EventPeerData:
		d.PeerMessage(now, int(e.Sender), e.Message, h)
	case simwire.EventHintUpdate:
		d.Notify(now, dispatch.Notification{ID: id, Attempt: int(e.Attempt), Worker: worker,
			Kind: notificationKind(e.Topic), FractionDone: float64(e.Value)}, h)
	}
}

// workerList returns the event's entries; they are valid until the next event.
func (h *host) workerList() []dispatch.Worker {
	h.workers = h.workers[:0]
	for _, entry := range h.event.Entries {
		h.workers = append(h.workers, dispatch.Worker{
			ID: dispatch.WorkerID(entry.Worker), Zone: int(entry.Zone), Kind: int(entry.Kind), Cell: int(entry.Cell),
			State: workerState(entry.Status), Weight: float64(entry.Capacity), Launched: duration(entry.LaunchedMs)})
	}
	return h.workers
}

// loadReport returns the event's load report; it is valid until the next event.
func (h *host) loadReport() []float64 {
	h.load = h.load[:0]
	for _, v := range h.event.Load {
		h.load = append(h.load, float64(v))
	}
	return h.load
}
