package buffer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// quota is a Quota with a limit.
type quota struct{ limit, held, peak int }

func (q *quota) Claim(bytes int) bool {
	if q.held+bytes > q.limit {
		return false
	}
	q.held += bytes
	q.peak = max(q.peak, q.held)
	return true
}

func (q *quota) Release(bytes int) { q.held -= bytes }

func TestBufferGrowsWithWhatArrives(t *testing.T) {
	for _, length := range []int{1, 100, firstBytes, firstBytes + 1, 262_144, 1_000_003, 64 << 20} {
		capacity := 0
		for capacity < length {
			next := NextCapacity(capacity, length)
			switch {
			case next <= capacity || next > length:
				t.Fatalf("length %d: capacity %d grows to %d", length, capacity, next)
			case capacity > 0 && next > GrowthFactor*capacity, capacity == 0 && next > firstBytes:
				t.Errorf("length %d: capacity %d grows to %d at once", length, capacity, next)
			case next == length && capacity > ceilingQuotient(length):
				t.Errorf("length %d: the last but one buffer has %d bytes", length, capacity)
			}
			capacity = next
		}
	}
}

func TestWholeTextIsReadWithinAQuarterMore(t *testing.T) {
	text := bytes.Repeat([]byte("text"), 100_000)
	for name, source := range map[string]io.Reader{"whole": bytes.NewReader(text), "by bytes": iotest.OneByteReader(bytes.NewReader(text)),
		"end with the last byte": iotest.DataErrReader(bytes.NewReader(text))} {
		q := &quota{limit: 1 << 20}
		data, err := Read(source.Read, len(text), q)
		if err != nil || !bytes.Equal(data, text) {
			t.Errorf("%s: %d bytes, error %v", name, len(data), err)
		}
		if q.held != cap(data) || q.peak > len(text)+ceilingQuotient(len(text)) {
			t.Errorf("%s: %d bytes held, %d at most", name, q.held, q.peak)
		}
	}
}

func TestTextThatStopsShortHoldsLittle(t *testing.T) {
	q := &quota{limit: 100 << 20}
	data, err := Read(bytes.NewReader(make([]byte, 1000)).Read, 64<<20, q)
	if !errors.Is(err, io.EOF) || len(data) != 1000 || q.held > firstBytes || q.held != cap(data) {
		t.Errorf("%d bytes, error %v, %d held", len(data), err, q.held)
	}
}

func TestRefusedBufferLeavesNothingHeld(t *testing.T) {
	q := &quota{limit: 100_000}
	_, err := Read(bytes.NewReader(make([]byte, 200_000)).Read, 200_000, q)
	var refused *RefusedError
	if !errors.As(err, &refused) || q.held != 0 {
		t.Errorf("error %v, %d held", err, q.held)
	}
}
