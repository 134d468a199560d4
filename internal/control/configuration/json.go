package configuration

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// value is a JSON value (RFC 8259): nil, bool, float64, string, []value or object.
type value any

// object is a JSON object: its members by key.
type object map[string]value

// maxDepth limits the nesting of values, so that no body can exhaust the stack. A configuration needs 3.
const maxDepth = 32

// syntaxError describes why and at which offset a text is not valid JSON.
type syntaxError struct {
	problem string
	offset  int // bytes
}

func (e *syntaxError) Error() string { return e.problem + " at byte " + strconv.Itoa(e.offset) }

// parser is a recursive descent parser of one JSON text. Its methods read from offset, and advance it past the bytes that
// they have read.
type parser struct {
	text   []byte
	offset int
}

// parseJSON parses a whole text as one value. If it can't, the error is a *syntaxError. Stricter than RFC 8259, it rejects
// duplicate keys in an object and strings that are not UTF-8.
func parseJSON(text []byte) (value, error) {
	p := &parser{text: text}
	parsed, err := p.parseValue(0)
	if err != nil {
		return nil, err
	}
	p.skipSpace()
	if p.offset != len(text) {
		return nil, p.errorHere("more text behind the value")
	}
	return parsed, nil
}

func (p *parser) errorHere(problem string) error { return &syntaxError{problem, p.offset} }

// peek returns the next byte, and false at the end of the text.
func (p *parser) peek() (byte, bool) {
	if p.offset == len(p.text) {
		return 0, false
	}
	return p.text[p.offset], true
}

func (p *parser) skipSpace() {
	for {
		switch next, _ := p.peek(); next {
		case ' ', '\t', '\n', '\r':
			p.offset++
		default:
			return
		}
	}
}

// consume skips white space, and reads the wanted byte if it comes next. It reports whether it has read the byte.
func (p *parser) consume(want byte) bool {
	p.skipSpace()
	next, exists := p.peek()
	if !exists || next != want {
		return false
	}
	p.offset++
	return true
}

func (p *parser) parseValue(depth int) (value, error) {
	if depth > maxDepth {
		return nil, p.errorHere("nested too deep")
	}
	p.skipSpace()
	next, exists := p.peek()
	switch {
	case !exists:
		return nil, p.errorHere("text ends early")
	case next == '{':
		return p.parseObject(depth)
	case next == '[':
		return p.parseArray(depth)
	case next == '"':
		return p.parseString()
	case next == '-' || isDigit(next):
		return p.parseNumber()
	}
	return p.parseLiteral()
}

func (p *parser) parseLiteral() (value, error) {
	literals := []struct {
		text  string
		value value
	}{{"true", true}, {"false", false}, {"null", nil}}
	for _, literal := range literals {
		end := p.offset + len(literal.text)
		if end <= len(p.text) && string(p.text[p.offset:end]) == literal.text {
			p.offset = end
			return literal.value, nil
		}
	}
	return nil, p.errorHere("no JSON value")
}

func (p *parser) parseObject(depth int) (value, error) {
	p.offset++ // {
	members := object{}
	if p.consume('}') {
		return members, nil
	}
	for {
		if err := p.parseMember(members, depth); err != nil {
			return nil, err
		}
		if p.consume('}') {
			return members, nil
		}
		if !p.consume(',') {
			return nil, p.errorHere("neither comma nor brace")
		}
	}
}

// parseMember parses a key and its value, and adds them to members.
func (p *parser) parseMember(members object, depth int) error {
	p.skipSpace()
	if next, exists := p.peek(); !exists || next != '"' {
		return p.errorHere("no key")
	}
	key, err := p.parseString()
	if err != nil {
		return err
	}
	if !p.consume(':') {
		return p.errorHere("no colon")
	}
	member, err := p.parseValue(depth + 1)
	if err != nil {
		return err
	}
	if _, exists := members[key]; exists {
		return p.errorHere("key " + key + " appears twice")
	}
	members[key] = member
	return nil
}

func (p *parser) parseArray(depth int) (value, error) {
	p.offset++ // [
	elements := []value{}
	if p.consume(']') {
		return elements, nil
	}
	for {
		element, err := p.parseValue(depth + 1)
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
		if p.consume(']') {
			return elements, nil
		}
		if !p.consume(',') {
			return nil, p.errorHere("neither comma nor bracket")
		}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseNumber reads all bytes that may occur in a number and passes them to strconv. So it accepts some numbers that are
// not valid JSON, such as "1." and "-.5". It rejects leading zeros, which strconv would accept.
func (p *parser) parseNumber() (value, error) {
	start := p.offset
	for next, exists := p.peek(); exists; next, exists = p.peek() {
		if next != '-' && next != '+' && next != '.' && next != 'e' && next != 'E' && !isDigit(next) {
			break
		}
		p.offset++
	}
	text := string(p.text[start:p.offset])
	number, err := strconv.ParseFloat(text, 64)
	unsigned := text
	if unsigned[0] == '-' {
		unsigned = unsigned[1:]
	}
	hasLeadingZero := len(unsigned) > 1 && unsigned[0] == '0' && isDigit(unsigned[1])
	if err != nil || unsigned == "" || hasLeadingZero {
		return nil, p.errorHere("no number")
	}
	return number, nil
}

func (p *parser) parseString() (string, error) {
	p.offset++ // "
	var text []byte
	for {
		next, exists := p.peek()
		switch {
		case !exists:
			return "", p.errorHere("text ends early")
		case next == '"':
			p.offset++
			if !utf8.Valid(text) {
				return "", p.errorHere("no UTF-8")
			}
			return string(text), nil
		case next < ' ':
			return "", p.errorHere("control character in a string")
		case next == '\\':
			var err error
			if text, err = p.appendEscape(text); err != nil {
				return "", err
			}
		default:
			text = append(text, next)
			p.offset++
		}
	}
}

// simpleEscapes maps the character after the backslash of a two-character escape to the byte that it represents.
var simpleEscapes = map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// appendEscape parses one escape, or two that form a surrogate pair, and appends the character that it represents.
func (p *parser) appendEscape(text []byte) ([]byte, error) {
	if p.offset+1 >= len(p.text) {
		return nil, p.errorHere("text ends early")
	}
	kind := p.text[p.offset+1]
	if c, isSimple := simpleEscapes[kind]; isSimple {
		p.offset += 2
		return append(text, c), nil
	}
	if kind != 'u' {
		return nil, p.errorHere("unknown escape")
	}
	first, err := p.parseCodeUnit()
	if err != nil {
		return nil, err
	}
	if !utf16.IsSurrogate(first) {
		return utf8.AppendRune(text, first), nil
	}
	second, err := p.parseCodeUnit()
	if err != nil {
		return nil, err
	}
	return utf8.AppendRune(text, utf16.DecodeRune(first, second)), nil
}

// parseCodeUnit parses one \uXXXX escape, a code unit of UTF-16.
func (p *parser) parseCodeUnit() (rune, error) {
	const length = len(`\uXXXX`)
	if p.offset+length > len(p.text) || p.text[p.offset] != '\\' || p.text[p.offset+1] != 'u' {
		return 0, p.errorHere("no \\u escape")
	}
	unit, err := strconv.ParseUint(string(p.text[p.offset+2:p.offset+length]), 16, 32)
	if err != nil {
		return 0, p.errorHere("no \\u escape")
	}
	p.offset += length
	return rune(unit), nil
}
