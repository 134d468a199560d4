// Package simwire reads and writes the wire of the users' simulator: batches of events come in, and a reply with actions
// goes out for each. The wire's own page fixes all bytes; records and actions have its names here (UP is EventUp,
// SUBMIT_TO is Reply.SubmitTo), fields the terms of this program.
//
// The package decides nothing and keeps nothing between batches. No input makes it use more memory than has arrived, and
// errors name the record and the offset at fault.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	// maxFrameBytes bounds a frame; batches reach several megabytes.
	maxFrameBytes = 1 << 30
	// readStepBytes is how much of a frame is read at once. The buffer grows with what arrives, so that a false length
	// costs nothing.
	readStepBytes = 1 << 20

	batchHeaderBytes  = 16 // u32 records, u32 bytes of body, f64 clock
	recordHeaderBytes = 6  // u16 code, u32 bytes of body
	replyHeaderBytes  = 8  // u32 records, u32 bytes of body
)

// Reader reads batches.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader of batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readStepBytes)} }

// Next reads a batch, which is valid until the next call. It returns io.EOF where the input ends between frames.
func (r *Reader) Next() (*Batch, error) {
	var header [batchHeaderBytes]byte
	if n, err := io.ReadFull(r.r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %d of 16 bytes", n)
	}
	b := &Batch{
		records: int(binary.LittleEndian.Uint32(header[0:])),
		ClockMs: math.Float64frombits(binary.LittleEndian.Uint64(header[8:])),
	}
	size := binary.LittleEndian.Uint32(header[4:])
	if size > maxFrameBytes {
		return nil, fmt.Errorf("batch header: length %d is too large", size)
	}
	if math.IsNaN(b.ClockMs) || math.IsInf(b.ClockMs, 0) {
		return nil, fmt.Errorf("batch header: clock is not a number")
	}
	r.buf = r.buf[:0]
	for len(r.buf) < int(size) {
		step := min(int(size)-len(r.buf), readStepBytes)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, step)...)
		if n, err := io.ReadFull(r.r, r.buf[at:]); err != nil {
			return nil, fmt.Errorf("batch body: %d of %d bytes", at+n, size)
		}
	}
	b.body = r.buf
	return b, nil
}

// Batch is a frame of events, all at one time.
type Batch struct {
	ClockMs float64

	records int // in the frame
	body    []byte
	offset  int // of the next record in body
	record  int // its number, from 0
}

// Next decodes the next event into e and reports false at the end of the batch. An event of an unknown code has its code
// alone; bytes behind the fields of a known one are skipped.
func (b *Batch) Next(e *Event) (bool, error) {
	left := len(b.body) - b.offset
	if b.record == b.records {
		if left != 0 {
			return false, b.errorf("%d bytes after the last record", left)
		}
		return false, nil
	}
	if left < recordHeaderBytes {
		return false, b.errorf("truncated record header")
	}
	code := binary.LittleEndian.Uint16(b.body[b.offset:])
	size := int(binary.LittleEndian.Uint32(b.body[b.offset+2:]))
	if size > left-recordHeaderBytes {
		return false, b.errorf("code %d claims %d bytes, %d are left", code, size, left-recordHeaderBytes)
	}
	start := b.offset + recordHeaderBytes
	fields := fieldReader{b: b.body[start : start+size]}
	*e = Event{Code: EventCode(code), Entries: e.Entries[:0], Load: e.Load[:0]}
	e.decode(&fields)
	if fields.truncated {
		return false, b.errorf("code %d truncated in its fields", code)
	}
	b.offset = start + size
	b.record++
	return true, nil
}

func (b *Batch) errorf(format string, args ...any) error {
	return fmt.Errorf("record %d offset %d: %s", b.record, b.offset, fmt.Sprintf(format, args...))
}

// fieldReader reads the fields of one record in their order. The first that is missing sets truncated, and all after it
// are zero.
type fieldReader struct {
	b         []byte
	at        int
	truncated bool
}

func (f *fieldReader) take(n int) []byte {
	if f.truncated || n < 0 || len(f.b)-f.at < n {
		f.truncated = true
		return make([]byte, 8) // the longest number
	}
	f.at += n
	return f.b[f.at-n : f.at]
}

func (f *fieldReader) u8() uint8    { return f.take(1)[0] }
func (f *fieldReader) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fieldReader) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fieldReader) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fieldReader) f32() float32 { return math.Float32frombits(f.u32()) }
func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }

// worker reads four bytes of address, the first byte first, and a port.
func (f *fieldReader) worker() WorkerAddr {
	a := f.take(4)
	w := WorkerAddr(a[0])<<40 | WorkerAddr(a[1])<<32 | WorkerAddr(a[2])<<24 | WorkerAddr(a[3])<<16
	return w | WorkerAddr(f.u16())
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
