package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame puts records into a batch at a time in milliseconds.
func frame(clock float64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(records)))
	n := 0
	for _, r := range records {
		n += len(r)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(n))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	for _, r := range records {
		b = append(b, r...)
	}
	return b
}

func record(code EventCode, body []byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, uint16(code))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

// events decodes everything in a stream of frames.
func events(in []byte) (got []Event, err error) {
	r := NewReader(bytes.NewReader(in))
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		for {
			var e Event
			more, err := b.Next(&e)
			if err != nil {
				return got, err
			}
			if !more {
				break
			}
			got = append(got, e)
		}
	}
}

func TestDecodesRequest(t *testing.T) {
	ask := unhex(t, `0300 2f000000 c4913a5d0a650200 0000 00000000 640ad2557c3bf091 0000000000006e40
		0000000000002840 00000040 0000c03f 01`)
	got, err := events(frame(5, record(EventSelect, []byte{3, 0, 0, 0}), ask))
	if err != nil || len(got) != 2 {
		t.Fatalf("%v, %v", got, err)
	}
	e := got[1]
	if got[0].Instance != 3 || e.Code != EventAsk || e.TimeLeftMs != 240 || e.WorkHintMs != 12 || e.Slots != 2 ||
		e.Memory != 1.5 || e.Flags != FlagHint {
		t.Errorf("got %+v", e)
	}
}

func TestDecodesListAndOutcome(t *testing.T) {
	list := unhex(t, `0200 3f000000 2900000000000000 03 02000000
		0a124a07 c32b 0000 0000 0000 00 0000803f 0000000000000000
		0a9011f2 ec2b 0100 0000 0000 00 0000c03f 0000000000d4b740`)
	settled := unhex(t, `0500 2d000000 c4913a5d0a650200 0000 0a124a07 c32b 0000 0000000000803240 01 00 04
		0000404000000c43cdcccc3e0000a03f`)
	got, err := events(frame(5, list, settled))
	if err != nil || len(got) != 2 {
		t.Fatalf("%v, %v", got, err)
	}
	l := got[0].Entries
	if len(l) != 2 || l[1].Zone != 1 || l[1].Capacity != 1.5 || l[1].LaunchedMs != 6100 || got[0].ListForm != 3 {
		t.Errorf("list %+v", got[0])
	}
	s := got[1]
	if s.Worker != l[0].Worker || !s.Answered || s.LatencyMs != 18.5 || len(s.Load) != 4 || s.Load[0] != 3 {
		t.Errorf("outcome %+v", s)
	}
}

// Records of an unknown code are skipped by their length, extra bytes of a known one too.
func TestUnknownRecordsAreSkipped(t *testing.T) {
	got, err := events(frame(1, record(999, []byte{1, 2, 3}), record(EventAlarm, append(make([]byte, 8), 7))))
	if err != nil || len(got) != 2 || got[1].Code != EventAlarm {
		t.Fatalf("%v, %v", got, err)
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	whole := frame(1, record(EventAlarm, make([]byte, 8)))
	long := frame(1, record(EventAlarm, make([]byte, 8)))
	binary.LittleEndian.PutUint32(long[18:], 900)
	extra := append(frame(1), 1, 2)
	binary.LittleEndian.PutUint32(extra[4:], 2)
	for name, in := range map[string][]byte{
		"half a header":       whole[:9],
		"half a body":         whole[:len(whole)-3],
		"record too long":     long,
		"field truncated":     frame(1, record(EventAlarm, make([]byte, 7))),
		"list count lies":     frame(1, record(EventTargets, append(make([]byte, 9), 255, 255, 255, 255))),
		"settings cut":        frame(1, record(EventUp, append(make([]byte, 8), 9, 0, 0, 0, '{'))),
		"bytes after the end": extra,
		"clock not a number":  frame(math.NaN()),
	} {
		if _, err := events(in); err == nil {
			t.Errorf("%s: accepted", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %v", name, err)
		}
	}
}

func TestEncodesReply(t *testing.T) {
	var r Reply
	r.Reset()
	w := WorkerAddr(0x0a124a07)<<16 | 11203
	r.For(3)
	r.SubmitTo(0x2650a5d3a91c4, w, 80)
	r.NotifyMe(500, 77)
	r.For(5)
	r.Log("two servers known")
	want := unhex(t, `05000000 5f000000 4300 04000000 03000000
		4800 16000000 c4913a5d0a650200 0a124a07 c32b 0000000000005440
		4600 10000000 0000000000407f40 4d00000000000000
		4300 04000000 05000000
		4100 13000000 1100 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(r.Bytes(), want) {
		t.Errorf("got\n%x, want\n%x", r.Bytes(), want)
	}
}

// An address and port come back as they went in.
func TestWorkerRoundTrip(t *testing.T) {
	var r Reply
	r.Reset()
	body := append([]byte{1, 2, 3, 4, 0xfe, 0xca}, make([]byte, 11)...)
	got, err := events(frame(0, record(EventPong, body)))
	if err != nil {
		t.Fatal(err)
	}
	r.AskLoad(got[0].Worker)
	if b := r.Bytes(); !bytes.Equal(b[len(b)-6:], body[:6]) {
		t.Errorf("sent %x, got back %x", body[:6], b[len(b)-6:])
	}
}

func FuzzReader(f *testing.F) {
	f.Add(frame(1, record(EventAlarm, make([]byte, 8)), record(EventSelect, make([]byte, 4))))
	f.Add(frame(1, record(EventTargets, append(make([]byte, 9), 1, 0, 0, 0))))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := events(in)
		if err == nil && len(in) > 0 && len(in) < 16 {
			t.Errorf("accepted %d bytes as frames: %v", len(in), got)
		}
	})
}
