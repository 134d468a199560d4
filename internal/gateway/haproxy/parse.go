package haproxy

import (
	"bufio"
	"io"
	"strings"
)

// directive is one line of a section, in words.
type directive struct {
	line  int
	words []string
}

// section is a section's header and body.
type section struct {
	kind, name string
	line       int
	body       []directive // the first may be what stands behind the section's name
}

// headDirective is what stands behind the section's name, if anything does.
func (s *section) headDirective() (directive, bool) {
	if len(s.body) > 0 && s.body[0].line == s.line {
		return s.body[0], true
	}
	return directive{}, false
}

// sectionKinds are the words that begin a section (HAProxy's configuration manual, up
// to 3.3).
var sectionKinds = wordSet(`global defaults frontend backend listen peers resolvers userlist mailers
	program http-errors ring log-forward cache fcgi-app crt-store traces`)

// maxLine bounds a line of the file, in bytes.
const maxLine = 1 << 20

// parse splits a configuration into sections and words.
func parse(r io.Reader) ([]section, error) {
	var out []section
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for n := 1; in.Scan(); n++ {
		words, problem := split(in.Text())
		switch {
		case problem != "":
			return nil, &LineError{Line: n, Problem: problem, Remedy: "end the quote, or what the backslash begins, on the same line"}
		case len(words) == 0:
		case sectionKinds[words[0]]:
			s, err := newSection(n, words)
			if err != nil {
				return nil, err
			}
			out = append(out, s)
		case len(out) == 0:
			return nil, &LineError{Line: n, Subject: words[0], Problem: "outside any section",
				Remedy: "begin a section such as frontend NAME above it"}
		default:
			last := &out[len(out)-1]
			last.body = append(last.body, directive{n, words})
		}
	}
	return out, in.Err()
}

// newSection reads a section's header: its kind, its name, and what stands behind.
func newSection(n int, words []string) (section, error) {
	s := section{kind: words[0], line: n}
	if len(words) > 1 {
		s.name = words[1]
	}
	if s.name == "" && (s.kind == "frontend" || s.kind == "backend" || s.kind == "listen") {
		return s, &LineError{Line: n, Subject: s.kind, Problem: "a name is missing", Remedy: "name the section"}
	}
	if s.kind == "defaults" && len(words) > 3 && words[2] == "from" {
		s.body = append(s.body, directive{n, words[2:4]})
	} else if len(words) > 2 {
		s.body = append(s.body, directive{n, words[2:]})
	}
	return s, nil
}

// split splits a line into words by HAProxy's rules of quoting: nothing is special
// between single quotes, a backslash is between double ones, and # begins a comment. problem is what is wrong with the line, empty for nothing.
func split(text string) (words []string, problem string) {
	var word strings.Builder
	inWord, quote := false, rune(0)
	runes := []rune(text)
	for i := 0; i < len(runes); i++ {
		c := runes[i]
		switch {
		case quote == '\'' && c != '\'', quote == '"' && c != '"' && c != '\\':
			word.WriteRune(c)
		case quote != 0 && c == quote:
			quote = 0
		case c == '\\':
			if i++; i == len(runes) {
				return nil, "a backslash ends the line"
			}
			word.WriteRune(runes[i])
			inWord = true
		case c == '"' || c == '\'':
			quote, inWord = c, true
		case c == '#':
			i = len(runes)
		case c == ' ' || c == '\t' || c == '\r':
			if inWord {
				words = append(words, word.String())
				word.Reset()
			}
			inWord = false
		default:
			word.WriteRune(c)
			inWord = true
		}
	}
	if quote != 0 {
		return nil, "a quote is not closed"
	}
	if inWord {
		words = append(words, word.String())
	}
	return words, ""
}

func wordSet(text string) map[string]bool {
	out := map[string]bool{}
	for _, w := range strings.Fields(text) {
		out[w] = true
	}
	return out
}
