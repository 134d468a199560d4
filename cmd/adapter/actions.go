package main

// This file writes the actions of the dispatcher whose events are being handled.

import (
	"time"

	"yardflow/internal/gateway/simwire"
	"yardflow/scheduling/dispatch"
)

// nameInstance names the current instance ahead of its first action.
func (h *host) nameInstance() {
	if !h.instanceNamed {
		h.reply.For(h.current)
		h.instanceNamed = true
	}
}

func (h *host) Send(id dispatch.RequestID, worker dispatch.WorkerID, timeout time.Duration) {
	h.nameInstance()
	h.reply.SubmitTo(uint64(id), simwire.WorkerAddr(worker), milliseconds(timeout))
}

func (h *host) Reject(id dispatch.RequestID, retryAfter time.Duration) {
	h.nameInstance()
	h.reply.SayNo(uint64(id), milliseconds(retryAfter))
}

func (h *host) Fail(id dispatch.RequestID) {
	h.nameInstance()
	h.reply.ReportFailure(uint64(id))
}

func (h *host) Cancel(id dispatch.RequestID, attempt int) {
	h.nameInstance()
	h.reply.DropAttempt(uint64(id), uint16(attempt))
}

func (h *host) Wake(after time.Duration, tag uint64) {
	h.nameInstance()
	h.reply.NotifyMe(milliseconds(after), tag)
}

func (h *host) Subscribe() {
	h.nameInstance()
	h.reply.Observe(true)
}

func (h *host) Probe(worker dispatch.WorkerID) {
	h.nameInstance()
	h.reply.AskLoad(simwire.WorkerAddr(worker))
}

func (h *host) Broadcast(msg []byte) {
	h.nameInstance()
	h.reply.Announce(msg)
}

func (h *host) Log(line string) {
	h.nameInstance()
	h.reply.Log(line)
}
