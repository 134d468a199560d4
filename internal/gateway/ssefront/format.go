package ssefront

// This file reads and writes the event stream format (WHATWG HTML, "Server-sent events", 9.2). An event whose end was not
// seen is never returned, and at most one event, of bounded size, is held.

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

// ErrEventTooLarge is the error of a stream with an event over the scanner's limit.
var ErrEventTooLarge = errors.New("sse: event over the limit")

// Event is one event of a stream.
type Event struct {
	Type string // empty: the default, "message"
	ID   string // the last one that the stream has given, with this event or an earlier one
	Data string
}

// Scanner reads events from a stream.
type Scanner struct {
	r           *bufio.Reader
	limit       int // bytes of an event
	line        []byte
	atStart     bool // nothing was read yet: a byte order mark may come
	afterCR     bool // the last line ended in CR: an LF now belongs to it
	lastEventID string
}

// NewScanner returns a scanner of events of at most limit bytes.
func NewScanner(r *bufio.Reader, limit int) *Scanner {
	return &Scanner{r: r, limit: limit, atStart: true}
}

// Next returns the next event. The end of the stream is io.EOF, whatever unfinished event stood before it: an event ends
// with a blank line. An event over the limit is ErrEventTooLarge.
func (s *Scanner) Next() (Event, error) {
	var data strings.Builder
	var eventType string
	size, dataLines := 0, 0
	for {
		if err := s.readLine(s.limit - size); err != nil {
			return Event{}, err
		}
		if len(s.line) == 0 {
			if dataLines == 0 {
				eventType, size = "", 0 // without data it is no event
				continue
			}
			return Event{Type: eventType, ID: s.lastEventID, Data: data.String()}, nil
		}
		field, value, _ := bytes.Cut(s.line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if len(field) == 0 {
			continue // a comment counts towards no event
		}
		size += len(s.line) + 1
		switch string(field) {
		case "event":
			eventType = string(value)
		case "data":
			dataLines++
			if dataLines > 1 {
				data.WriteByte('\n')
			}
			data.Write(value)
		case "id":
			if bytes.IndexByte(value, 0) < 0 { // one with NUL is ignored
				s.lastEventID = string(value)
			}
		}
	}
}

// readLine reads up to CR, LF or CRLF, of at most left bytes. It never waits for the LF of a CRLF: the line ends with its
// CR, and an event must not wait for the next read.
func (s *Scanner) readLine(left int) error {
	s.line = s.line[:0]
	for {
		c, err := s.r.ReadByte()
		if err != nil {
			return err
		}
		restOfCRLF := s.afterCR && c == '\n'
		s.afterCR = c == '\r'
		if restOfCRLF {
			continue
		}
		if c == '\n' || c == '\r' {
			if s.atStart {
				s.line = bytes.TrimPrefix(s.line, []byte("\xef\xbb\xbf"))
			}
			s.atStart = false
			return nil
		}
		if len(s.line) >= left {
			return ErrEventTooLarge
		}
		s.line = append(s.line, c)
	}
}

// newlines turns each of the format's line ends into LF.
var newlines = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// oneLine keeps a value from breaking out of its field's line.
var oneLine = strings.NewReplacer("\r", " ", "\n", " ", "\x00", "")

// Append appends e to b as it is written to a stream, its data split into lines.
func (e Event) Append(b []byte) []byte {
	if e.Type != "" {
		b = append(append(append(b, "event: "...), oneLine.Replace(e.Type)...), '\n')
	}
	if e.ID != "" {
		b = append(append(append(b, "id: "...), oneLine.Replace(e.ID)...), '\n')
	}
	for line := range strings.SplitSeq(newlines.Replace(e.Data), "\n") {
		b = append(append(append(b, "data: "...), line...), '\n')
	}
	return append(b, '\n')
}
