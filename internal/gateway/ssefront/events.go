package ssefront

// This file owns the event stream format as published (WHATWG HTML, server-sent
// events): events read off a stream and written to one. It must never hand on
// an event whose end was not seen, and never hold more than one bounded event.

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

// ErrEventTooLarge ends a stream with an event over the bound.
var ErrEventTooLarge = errors.New("sse: an event is over the bound")

// Event is one event of a stream.
type Event struct {
	Type string // empty: the default, "message"
	ID   string // the stream's last id
	Data string
}

// Scanner reads events.
type Scanner struct {
	r     *bufio.Reader
	max   int
	line  []byte
	first bool // nothing read yet: a byte order mark may come
	cr    bool // the last line ended in CR: an LF now belongs to it
	id    string
}

// NewScanner reads events of at most limit bytes from r.
func NewScanner(r *bufio.Reader, limit int) *Scanner { return &Scanner{r: r, max: limit, first: true} }

// Next returns the next event. The end of the stream is io.EOF, whatever stood
// unfinished before it: by the format, an event ends with a blank line.
func (s *Scanner) Next() (Event, error) {
	var data strings.Builder
	var kind string
	size, lines := 0, 0
	for {
		if err := s.readLine(s.max - size); err != nil {
			return Event{}, err
		}
		if len(s.line) == 0 {
			if lines == 0 {
				kind, size = "", 0 // no data: no event
				continue
			}
			return Event{Type: kind, ID: s.id, Data: data.String()}, nil
		}
		field, value, _ := bytes.Cut(s.line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if len(field) == 0 {
			continue // a comment counts towards no event
		}
		size += len(s.line) + 1
		switch string(field) {
		case "event":
			kind = string(value)
		case "data":
			if lines++; lines > 1 {
				data.WriteByte('\n')
			}
			data.Write(value)
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				s.id = string(value)
			}
		}
	}
}

// readLine reads up to CR, LF or CRLF. It never waits for the LF of a CRLF: the
// line is whole with its CR, and an event must not hang on the next read.
func (s *Scanner) readLine(left int) error {
	s.line = s.line[:0]
	for {
		c, err := s.r.ReadByte()
		if err != nil {
			return err
		}
		lf := s.cr && c == '\n'
		s.cr = c == '\r'
		if lf {
			continue
		}
		if c == '\n' || c == '\r' {
			if s.first {
				s.line = bytes.TrimPrefix(s.line, []byte("\xef\xbb\xbf"))
			}
			s.first = false
			return nil
		}
		if len(s.line) >= left {
			return ErrEventTooLarge
		}
		s.line = append(s.line, c)
	}
}

// newlines are the line ends of the format; all are one break inside data.
var newlines = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// oneLine keeps a value from breaking out of its field.
var oneLine = strings.NewReplacer("\r", " ", "\n", " ", "\x00", "")

// Append writes e behind b, its data split into lines.
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
