// Package jsontext counts what a JSON text consists of before it is decoded, so that a decoder's caller can bound the memory
// that decoding takes. It does not check the syntax; a decoder does that afterwards.
package jsontext

// Counts is what a text consists of. Brackets and separators inside of strings do not count.
type Counts struct {
	Objects    int // opening braces
	Arrays     int // opening brackets
	Separators int // commas and colons
}

// Count counts what a text consists of.
func Count(text []byte) Counts {
	counts := Counts{}
	scan(text, func(structural byte, _ int) bool {
		switch structural {
		case '{':
			counts.Objects++
		case '[':
			counts.Arrays++
		case ',', ':':
			counts.Separators++
		}
		return true
	})
	return counts
}

// HasMoreElements reports whether a text that is an array has more than limit elements. It reads no further than it has to.
func HasMoreElements(text []byte, limit int) bool {
	elements := 1
	scan(text, func(structural byte, depth int) bool {
		if structural == ',' && depth == 1 {
			elements++
		}
		return elements <= limit
	})
	return elements > limit
}

// scan calls visit with each bracket, brace, comma and colon outside of strings, until visit returns false. The depth counts
// the brackets and braces around it.
func scan(text []byte, visit func(structural byte, depth int) bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringLength(text[i:])
			continue
		case ']', '}':
			depth--
		case '[', '{', ',', ':':
		default:
			continue
		}
		if !visit(text[i], depth) {
			return
		}
		if text[i] == '[' || text[i] == '{' {
			depth++
		}
	}
}

// stringLength returns the length of the string with which a text begins, up to its closing quotation mark.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
