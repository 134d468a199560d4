package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"yardflow/scheduling/dispatch"

	"yardflow/internal/gateway/config"
)

const testSettings = `{"Balancers": 2, "MyNumber": 1, "RoundMs": 5, "UnknownKey": {"x": [1]},
 "Classes": [{"Name": "a", "AimMs": 200, "DeadlineMs": 5000, "Semantics": "dedup", "DedupScope": "cell", "WindowMs": 7500, "Worth": 2},
  {"Name": "b", "AimMs": 250, "DeadlineMs": 10000, "Semantics": "fragile", "Worth": 5}],
 "Extra": {"ClassKind": [-1, 2], "ClassStretch": [1.75, 2], "ClassPriority": [0, 1], "TellsStart": true, "ProgressMs": 1000},
 "Limits": {"MaxAttempts": 6, "SecondCopies": true, "RetryAfter": false, "MaxRetryAfterMs": 2000},
 "LoadInfo": {"Columns": ["waiting", "x0", "odd"], "Via": "inline"},
 "Rules": {"AnswerSlackMs": 20, "AskWithinMs": 10000}, "RegistryMode": "subscribe"}`

func TestParseSettings(t *testing.T) {
	s, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Fleet.Count != 2 || s.Fleet.Index != 1 || !s.List.MustSubscribe || s.Attempts.MaxRetryAfter != 0 || s.Attempts.Max != 6 {
		t.Errorf("got %+v", s)
	}
	if c := s.Classes[1]; c.Semantics != dispatch.AtMostOnce || c.WorkerKind != 2 || c.Stretch != 2 {
		t.Errorf("class %+v", c)
	}
	if f := s.Workers.LoadFields; len(f) != 3 || f[1] != dispatch.LoadFreeSlots || f[2] != dispatch.LoadOther {
		t.Errorf("fields %v", f)
	}
	for _, bad := range []string{`{`, `[]`, `{"Classes": [{"Semantics": "often"}]}`} {
		if _, err := config.ParseSettings([]byte(bad)); err == nil {
			t.Errorf("%s accepted", bad)
		}
	}
}

func batch(records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(1000))
	return append(b, body...)
}

func record(code uint16, body []byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	return append(binary.LittleEndian.AppendUint32(b, uint32(len(body))), body...)
}

func up(settings string) []byte {
	b := binary.LittleEndian.AppendUint64(nil, 42)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(settings)))
	return record(1, append(b, settings...))
}

// An instance that was started gets its cached list and a request, and sends that.
func TestServesAnInstance(t *testing.T) {
	list := binary.LittleEndian.AppendUint64(nil, 1)
	list = append(list, 3, 1, 0, 0, 0)
	list = append(list, make([]byte, 25)...)
	ask := make([]byte, 47)
	ask[0] = 9
	binary.LittleEndian.PutUint64(ask[22:], math.Float64bits(4000))
	var out bytes.Buffer
	in := batch(record(12, []byte{7, 0, 0, 0}), up(testSettings), record(2, list), record(3, ask))
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); !bytes.Contains(b, []byte{72, 0, 22, 0, 0, 0, 9}) || !bytes.Contains(b, []byte{67, 0, 4, 0, 0, 0, 7}) {
		t.Errorf("no SUBMIT_TO by instance 7 in %x", b)
	}
}

// Input that can't be read ends the adapter with one line that names the record.
func TestBadInputErrorNamesRecord(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated":     batch(record(7, make([]byte, 8)))[:20],
		"short field":   batch(record(12, make([]byte, 4)), record(7, make([]byte, 3))),
		"bad settings":  batch(record(12, make([]byte, 4)), up(`{"Classes": 1}`)),
		"no such class": batch(record(12, make([]byte, 4)), up(`{"Balancers": 1}`)),
	} {
		err := run(bytes.NewReader(in), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", name, err)
			continue
		}
		if name != "truncated" && !strings.Contains(err.Error(), "record 1") {
			t.Errorf("%s: no record named in %v", name, err)
		}
	}
}
