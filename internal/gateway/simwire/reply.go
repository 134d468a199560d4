package simwire

import (
	"encoding/binary"
	"math"
)

// actionCode is the kind of an action.
type actionCode uint16

// Codes of actions, by the names of the wire's page.
const (
	actionLog           actionCode = 65 // LOG
	actionAnnounce      actionCode = 66 // ANNOUNCE
	actionFor           actionCode = 67 // FOR
	actionReportFailure actionCode = 68 // REPORT_FAILURE
	actionAskLoad       actionCode = 69 // ASK_LOAD
	actionNotifyMe      actionCode = 70 // NOTIFY_ME
	actionDropAttempt   actionCode = 71 // DROP_ATTEMPT
	actionSubmitTo      actionCode = 72 // SUBMIT_TO
	actionSayNo         actionCode = 75 // SAY_NO
	actionObserve       actionCode = 76 // OBSERVE
)

const (
	// allPeers addresses a message to every other instance.
	allPeers = math.MaxUint16
	// maxTextBytes is the longest text or message that the wire can carry; what is longer is cut.
	maxTextBytes = math.MaxUint16
)

// Reply collects the actions that answer one batch. Reset begins each.
type Reply struct {
	buf     []byte
	records uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	var header [replyHeaderBytes]byte
	r.buf = append(r.buf[:0], header[:]...)
	r.records = 0
}

// Bytes returns the finished frame, which is valid until the next call of Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[0:], r.records)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderBytes))
	return r.buf
}

// begin writes the header of an action with fields of so many bytes.
func (r *Reply) begin(code actionCode, size int) {
	r.records++
	r.u16(uint16(code))
	r.u32(uint32(size))
}

func (r *Reply) u16(v uint16)  { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32)  { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) worker(w WorkerAddr) {
	r.buf = append(r.buf, byte(w>>40), byte(w>>32), byte(w>>24), byte(w>>16))
	r.u16(uint16(w))
}

// text writes a length of two bytes and so many bytes.
func (r *Reply) text(b []byte) {
	r.u16(uint16(len(b)))
	r.buf = append(r.buf, b...)
}

// For names the instance whose actions follow.
func (r *Reply) For(instance uint32) {
	r.begin(actionFor, 4)
	r.u32(instance)
}

// SubmitTo starts an attempt at a worker; a timeout of 0 ms leaves it until the client gives up.
func (r *Reply) SubmitTo(requestID uint64, w WorkerAddr, timeoutMs float64) {
	r.begin(actionSubmitTo, 22)
	r.u64(requestID)
	r.worker(w)
	r.f64(timeoutMs)
}

// SayNo rejects a request; its client is to stay away for a while, 0 ms is no advice.
func (r *Reply) SayNo(requestID uint64, retryAfterMs float64) {
	r.begin(actionSayNo, 16)
	r.u64(requestID)
	r.f64(retryAfterMs)
}

// ReportFailure fails a request.
func (r *Reply) ReportFailure(requestID uint64) {
	r.begin(actionReportFailure, 8)
	r.u64(requestID)
}

// DropAttempt cancels an attempt.
func (r *Reply) DropAttempt(requestID uint64, attempt uint16) {
	r.begin(actionDropAttempt, 10)
	r.u64(requestID)
	r.u16(attempt)
}

// NotifyMe sets a timer.
func (r *Reply) NotifyMe(delayMs float64, tag uint64) {
	r.begin(actionNotifyMe, 16)
	r.f64(delayMs)
	r.u64(tag)
}

// Observe subscribes to changes of the worker list, or ends that.
func (r *Reply) Observe(on bool) {
	r.begin(actionObserve, 1)
	var enable byte
	if on {
		enable = 1
	}
	r.buf = append(r.buf, enable)
}

// AskLoad probes a worker.
func (r *Reply) AskLoad(w WorkerAddr) {
	r.begin(actionAskLoad, 6)
	r.worker(w)
}

// Announce sends a message to every other instance.
func (r *Reply) Announce(message []byte) {
	message = message[:min(len(message), maxTextBytes)]
	r.begin(actionAnnounce, 4+len(message))
	r.u16(allPeers)
	r.text(message)
}

// Log writes a line to the simulator's report.
func (r *Reply) Log(line string) {
	text := []byte(line)[:min(len(line), maxTextBytes)]
	r.begin(actionLog, 2+len(text))
	r.text(text)
}
