package configuration

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// value is one JSON value: nil, bool, float64, string, []value or *object.
type value any

// object keeps the members of a JSON object. A key that stands twice is a fault.
type object struct {
	members map[string]value
}

// maxDepth bounds how deep values may nest, so that a body cannot exhaust the stack.
const maxDepth = 32

// reader reads one JSON text, strictly and to its end.
type reader struct {
	text []byte
	at   int
}

// readJSON reads a whole text as one value. The fault is "" where it could be read.
func readJSON(text []byte) (v value, fault string) {
	r := &reader{text: text}
	v, fault = r.value(0)
	if fault != "" {
		return nil, fault
	}
	r.space()
	if r.at != len(text) {
		return nil, r.fault("more text behind the value")
	}
	return v, ""
}

func (r *reader) fault(what string) string { return what + " at byte " + strconv.Itoa(r.at) }

func (r *reader) space() {
	for r.at < len(r.text) {
		switch r.text[r.at] {
		case ' ', '\t', '\n', '\r':
			r.at++
		default:
			return
		}
	}
}

func (r *reader) value(depth int) (value, string) {
	if depth > maxDepth {
		return nil, r.fault("nested too deep")
	}
	r.space()
	if r.at == len(r.text) {
		return nil, r.fault("text ends early")
	}
	switch c := r.text[r.at]; {
	case c == '{':
		return r.object(depth)
	case c == '[':
		return r.array(depth)
	case c == '"':
		return r.string()
	case c == '-' || c >= '0' && c <= '9':
		return r.number()
	}
	return r.word()
}

func (r *reader) word() (value, string) {
	words := []struct {
		text  string
		value value
	}{{"true", true}, {"false", false}, {"null", nil}}
	for _, word := range words {
		end := r.at + len(word.text)
		if end <= len(r.text) && string(r.text[r.at:end]) == word.text {
			r.at = end
			return word.value, ""
		}
	}
	return nil, r.fault("no JSON value")
}

// next consumes c behind spaces, and reports whether it stood there.
func (r *reader) next(c byte) bool {
	r.space()
	if r.at < len(r.text) && r.text[r.at] == c {
		r.at++
		return true
	}
	return false
}

func (r *reader) object(depth int) (value, string) {
	r.at++
	o := &object{map[string]value{}}
	if r.next('}') {
		return o, ""
	}
	for {
		r.space()
		if r.at == len(r.text) || r.text[r.at] != '"' {
			return nil, r.fault("no key")
		}
		key, fault := r.string()
		if fault != "" {
			return nil, fault
		}
		if !r.next(':') {
			return nil, r.fault("no colon")
		}
		member, fault := r.value(depth + 1)
		if fault != "" {
			return nil, fault
		}
		if _, twice := o.members[key.(string)]; twice {
			return nil, r.fault("key " + key.(string) + " stands twice")
		}
		o.members[key.(string)] = member
		if r.next('}') {
			return o, ""
		}
		if !r.next(',') {
			return nil, r.fault("neither comma nor brace")
		}
	}
}

func (r *reader) array(depth int) (value, string) {
	r.at++
	list := []value{}
	if r.next(']') {
		return list, ""
	}
	for {
		element, fault := r.value(depth + 1)
		if fault != "" {
			return nil, fault
		}
		list = append(list, element)
		if r.next(']') {
			return list, ""
		}
		if !r.next(',') {
			return nil, r.fault("neither comma nor bracket")
		}
	}
}

func (r *reader) number() (value, string) {
	start := r.at
	for r.at < len(r.text) {
		c := r.text[r.at]
		if c != '-' && c != '+' && c != '.' && c != 'e' && c != 'E' && (c < '0' || c > '9') {
			break
		}
		r.at++
	}
	digits := string(r.text[start:r.at])
	number, err := strconv.ParseFloat(digits, 64)
	unsigned := digits
	if unsigned[0] == '-' {
		unsigned = unsigned[1:]
	}
	if err != nil || unsigned == "" || len(unsigned) > 1 && unsigned[0] == '0' && unsigned[1] >= '0' && unsigned[1] <= '9' {
		return nil, r.fault("no number")
	}
	return number, ""
}

func (r *reader) string() (value, string) {
	r.at++
	var out []byte
	for r.at < len(r.text) {
		c := r.text[r.at]
		switch {
		case c == '"':
			r.at++
			if !utf8.Valid(out) {
				return nil, r.fault("no UTF-8")
			}
			return string(out), ""
		case c < ' ':
			return nil, r.fault("control character in a string")
		case c == '\\':
			var fault string
			if out, fault = r.escape(out); fault != "" {
				return nil, fault
			}
		default:
			out = append(out, c)
			r.at++
		}
	}
	return nil, r.fault("text ends early")
}

func (r *reader) escape(out []byte) ([]byte, string) {
	if r.at+1 >= len(r.text) {
		return nil, r.fault("text ends early")
	}
	plain := map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}
	if c, known := plain[r.text[r.at+1]]; known {
		r.at += 2
		return append(out, c), ""
	}
	if r.text[r.at+1] != 'u' {
		return nil, r.fault("unknown escape")
	}
	first, fault := r.unit()
	if fault != "" {
		return nil, fault
	}
	if !utf16.IsSurrogate(first) {
		return utf8.AppendRune(out, first), ""
	}
	second, fault := r.unit()
	if fault != "" {
		return nil, fault
	}
	return utf8.AppendRune(out, utf16.DecodeRune(first, second)), ""
}

// unit reads one \uXXXX.
func (r *reader) unit() (rune, string) {
	if r.at+6 > len(r.text) || r.text[r.at] != '\\' || r.text[r.at+1] != 'u' {
		return 0, r.fault("no \\u escape")
	}
	unit, err := strconv.ParseUint(string(r.text[r.at+2:r.at+6]), 16, 32)
	if err != nil {
		return 0, r.fault("no \\u escape")
	}
	r.at += 6
	return rune(unit), ""
}
