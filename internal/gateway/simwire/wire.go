// Package simwire reads and writes the frames of the users' bench.
package simwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// Event codes.
const (
	EventUp             = 1
	EventTargets        = 2
	EventAsk            = 3
	EventHeadReceived   = 4
	EventSettled        = 5
	EventTimedOutClient = 6
	EventAlarm          = 7
	EventPong           = 8
	EventPeerData       = 9
	EventExit           = 10
	EventHintUpdate     = 11
	EventSelect         = 12
)

// Action codes.
const (
	actLog           = 65
	actAnnounce      = 66
	actFor           = 67
	actReportFailure = 68
	actAskLoad       = 69
	actNotifyMe      = 70
	actDropAttempt   = 71
	actSubmitTo      = 72
	actSayNo         = 75
	actObserve       = 76
)

// maxFrameBytes bounds the memory one frame may ask for.
const maxFrameBytes = 1 << 30

// Worker is an address and a port, packed so that it can be returned unmodified.
type Worker uint64

// Entry is one line of a worker list.
type Entry struct {
	Worker         Worker
	Zone, Kind     uint16
	Cell           uint16
	Status         uint8
	Capacity       float32
	LaunchedMillis float64
}

// Event is one record; which fields are set depends on Code.
type Event struct {
	Code     uint16
	Instance uint32    // Select
	Seed     uint64    // Up
	Settings []byte    // Up
	Form     uint8     // Targets
	Entries  []Entry   // Targets
	Xid      uint64    // Ask, EventHeadReceived, Settled, EventHintUpdate, EventTimedOutClient
	Class    uint16    // Ask
	Tenant   uint32    // Ask
	LeftMs   float64   // Ask
	HintMs   float64   // Ask
	Slots    float32   // Ask
	Memory   float32   // Ask
	Flags    uint8     // Ask
	Copy     uint16    // EventHeadReceived, Settled, EventHintUpdate
	Worker   Worker    // EventHeadReceived, Settled, EventHintUpdate, Pong
	State    uint16    // Settled, Pong
	Latency  float64   // EventHeadReceived, Settled, Pong, in milliseconds
	Ended    bool      // Settled
	Load     []float32 // Settled, Pong
	Topic    uint8     // EventHintUpdate
	Value    float32   // EventHintUpdate
	Tag      uint64    // Alarm
	Sender   uint16    // EventPeerData
	Content  []byte    // EventPeerData
}

// Bits of Event.Flags.
const (
	FlagHint  = 1
	FlagRetry = 2
)

// Batch is a frame of events.
type Batch struct {
	Clock   float64 // milliseconds
	records int
	body    []byte
	offset  int
	record  int
}

// Reader reads batches.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewRequestReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<20)} }

// Next reads a batch. It returns io.EOF between frames when the input ends.
// The batch is valid until the next call.
func (r *Reader) Next() (*Batch, error) {
	var head [16]byte
	if n, err := io.ReadFull(r.r, head[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %d of 16 bytes", n)
	}
	b := &Batch{records: int(binary.LittleEndian.Uint32(head[0:])),
		Clock: math.Float64frombits(binary.LittleEndian.Uint64(head[8:]))}
	size := binary.LittleEndian.Uint32(head[4:])
	if size > maxFrameBytes {
		return nil, fmt.Errorf("batch header: length %d is too large", size)
	}
	if math.IsNaN(b.Clock) || math.IsInf(b.Clock, 0) {
		return nil, fmt.Errorf("batch header: clock is not a number")
	}
	// The buffer grows with what arrives, so a false length costs nothing.
	r.buf = r.buf[:0]
	for len(r.buf) < int(size) {
		step := min(int(size)-len(r.buf), 1<<20)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, step)...)
		if n, err := io.ReadFull(r.r, r.buf[at:]); err != nil {
			return nil, fmt.Errorf("batch body: %d of %d bytes", at+n, size)
		}
	}
	b.body = r.buf
	return b, nil
}

// fieldReader walks over the bytes of one record; the first shortage sticks.
type fieldReader struct {
	b         []byte
	at        int
	truncated bool
}

func (f *fieldReader) take(n int) []byte {
	if f.truncated || n < 0 || len(f.b)-f.at < n {
		f.truncated = true
		return make([]byte, 8)
	}
	f.at += n
	return f.b[f.at-n : f.at]
}
func (f *fieldReader) u8() uint8   { return f.take(1)[0] }
func (f *fieldReader) u16() uint16 { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fieldReader) u32() uint32 { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fieldReader) u64() uint64 { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fieldReader) f32() float32 {
	return math.Float32frombits(f.u32())
}
func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }
func (f *fieldReader) worker() Worker {
	a := f.take(4)
	w := Worker(a[0])<<40 | Worker(a[1])<<32 | Worker(a[2])<<24 | Worker(a[3])<<16
	return w | Worker(f.u16())
}
func (f *fieldReader) bytes(n int) []byte {
	if b := f.take(n); !f.truncated {
		return b
	}
	return nil
}
func (f *fieldReader) load(into []float32) []float32 {
	for n := int(f.u8()); n > 0 && !f.truncated; n-- {
		into = append(into, f.f32())
	}
	return into
}

// Next decodes the next record of the batch into e. It returns false at the
// end. Records of unknown code are returned with their code alone.
func (b *Batch) Next(e *Event) (bool, error) {
	if b.record == b.records {
		if b.offset != len(b.body) {
			return false, fmt.Errorf("record %d offset %d: %d bytes after the last record", b.record, b.offset, len(b.body)-b.offset)
		}
		return false, nil
	}
	if len(b.body)-b.offset < 6 {
		return false, fmt.Errorf("record %d offset %d: truncated record header", b.record, b.offset)
	}
	code := binary.LittleEndian.Uint16(b.body[b.offset:])
	size := int(binary.LittleEndian.Uint32(b.body[b.offset+2:]))
	if size > len(b.body)-b.offset-6 {
		return false, fmt.Errorf("record %d offset %d: code %d claims %d bytes, %d are left",
			b.record, b.offset, code, size, len(b.body)-b.offset-6)
	}
	f := fieldReader{b: b.body[b.offset+6 : b.offset+6+size]}
	*e = Event{Code: code, Entries: e.Entries[:0], Load: e.Load[:0]}
	e.decode(&f)
	if f.truncated {
		return false, fmt.Errorf("record %d offset %d: code %d truncated in its fields", b.record, b.offset, code)
	}
	b.offset += 6 + size
	b.record++
	return true, nil
}

func (e *Event) decode(f *fieldReader) {
	switch e.Code {
	case EventSelect:
		e.Instance = f.u32()
	case EventUp:
		e.Seed = f.u64()
		e.Settings = f.bytes(int(f.u32()))
	case EventTargets:
		f.u64()
		e.Form = f.u8()
		for n := f.u32(); n > 0 && !f.truncated; n-- {
			e.Entries = append(e.Entries, Entry{Worker: f.worker(), Zone: f.u16(), Kind: f.u16(), Cell: f.u16(),
				Status: f.u8(), Capacity: f.f32(), LaunchedMillis: f.f64()})
		}
	case EventAsk:
		e.Xid, e.Class, e.Tenant = f.u64(), f.u16(), f.u32()
		f.u64()
		e.LeftMs, e.HintMs, e.Slots, e.Memory, e.Flags = f.f64(), f.f64(), f.f32(), f.f32(), f.u8()
	case EventHeadReceived:
		e.Xid, e.Copy, e.Worker, e.Latency = f.u64(), f.u16(), f.worker(), f.f64()
	case EventSettled:
		e.Xid, e.Copy, e.Worker, e.State, e.Latency = f.u64(), f.u16(), f.worker(), f.u16(), f.f64()
		e.Ended = f.u8() != 0
		f.u8()
		e.Load = f.load(e.Load)
	case EventTimedOutClient:
		e.Xid = f.u64()
	case EventAlarm:
		e.Tag = f.u64()
	case EventPong:
		e.Worker, e.State, e.Latency = f.worker(), f.u16(), f.f64()
		e.Load = f.load(e.Load)
	case EventPeerData:
		e.Sender = f.u16()
		e.Content = f.bytes(int(f.u16()))
	case EventHintUpdate:
		e.Xid, e.Copy, e.Worker, e.Topic, e.Value = f.u64(), f.u16(), f.worker(), f.u8(), f.f32()
	}
}

// Reply collects the actions that answer one batch.
type Reply struct {
	buf     []byte
	records uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	r.records = 0
}

// Bytes returns the finished frame.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[0:], r.records)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	return r.buf
}

func (r *Reply) record(code uint16, size int) {
	r.records++
	r.buf = binary.LittleEndian.AppendUint16(r.buf, code)
	r.u32(uint32(size))
}
func (r *Reply) u16(v uint16)  { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32)  { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }
func (r *Reply) worker(w Worker) {
	r.buf = append(r.buf, byte(w>>40), byte(w>>32), byte(w>>24), byte(w>>16))
	r.u16(uint16(w))
}
func (r *Reply) text(code uint16, head int, b []byte) {
	b = b[:min(len(b), math.MaxUint16)]
	r.record(code, head+2+len(b))
}

// For names the instance whose actions follow.
func (r *Reply) For(instance uint32) { r.record(actFor, 4); r.u32(instance) }

// SubmitTo begins an attempt.
func (r *Reply) SubmitTo(xid uint64, w Worker, withinMs float64) {
	r.record(actSubmitTo, 22)
	r.u64(xid)
	r.worker(w)
	r.f64(withinMs)
}

// SayNo refuses a request.
func (r *Reply) SayNo(xid uint64, comeBackMs float64) {
	r.record(actSayNo, 16)
	r.u64(xid)
	r.f64(comeBackMs)
}

// ReportFailure fails a request.
func (r *Reply) ReportFailure(xid uint64) { r.record(actReportFailure, 8); r.u64(xid) }

// DropAttempt stops waiting for an attempt.
func (r *Reply) DropAttempt(xid uint64, copy uint16) {
	r.record(actDropAttempt, 10)
	r.u64(xid)
	r.u16(copy)
}

// NotifyMe asks for an alarm.
func (r *Reply) NotifyMe(delayMs float64, tag uint64) {
	r.record(actNotifyMe, 16)
	r.f64(delayMs)
	r.u64(tag)
}

// Observe subscribes to the worker list.
func (r *Reply) Observe(on bool) {
	r.record(actObserve, 1)
	if on {
		r.buf = append(r.buf, 1)
	} else {
		r.buf = append(r.buf, 0)
	}
}

// AskLoad probes a worker.
func (r *Reply) AskLoad(w Worker) { r.record(actAskLoad, 6); r.worker(w) }

// Announce sends a message to every peer.
func (r *Reply) Announce(content []byte) {
	r.text(actAnnounce, 2, content)
	r.u16(math.MaxUint16)
	r.u16(uint16(min(len(content), math.MaxUint16)))
	r.buf = append(r.buf, content[:min(len(content), math.MaxUint16)]...)
}

// Log writes a line to the report.
func (r *Reply) Log(line string) {
	b := []byte(line)[:min(len(line), math.MaxUint16)]
	r.text(actLog, 0, b)
	r.u16(uint16(len(b)))
	r.buf = append(r.buf, b...)
}
