package configuration

import (
	"fmt"
	"math"
	"strings"
)

// section reads the members of one JSON object by key and type. If a value is invalid, or missing though it is required, a
// method reports the problem and reading continues; only the first problem in the whole text is kept.
type section struct {
	path    string // of the object in the text; "" for the root object
	members object
	root    *section      // the section of the root object; nil in that section itself
	invalid *InvalidError // the first problem in the whole text, set only in the root section
}

// fail reports a problem with the member of that key, or with the object itself if the key is "".
func (s *section) fail(key, problem string) {
	root := s
	if s.root != nil {
		root = s.root
	}
	if root.invalid == nil {
		path := strings.Trim(s.path+"."+key, ".")
		root.invalid = &InvalidError{path, problem}
	}
}

// object returns the section of a member of the root, and reports a problem if the member is not an object.
func (s *section) object(path string, member value) *section {
	child := &section{path: path, root: s}
	members, isObject := member.(object)
	if !isObject {
		child.fail("", "is not an object")
	}
	child.members = members
	return child
}

// entry returns the section of an entry of a list in the root.
func (s *section) entry(key string, index int, entry value) *section {
	return s.object(fmt.Sprintf("%s[%d]", key, index), entry)
}

func (s *section) requiredList(key string) []value {
	member, exists := s.members[key]
	if !exists {
		s.fail(key, "is missing")
		return nil
	}
	entries, isList := member.([]value)
	if !isList {
		s.fail(key, "is not a list")
	}
	return entries
}

// requiredString returns a string, and reports a problem if it is missing, empty or not a string.
func (s *section) requiredString(key string) string {
	text, _ := s.members[key].(string)
	if text == "" {
		s.fail(key, "must be a string")
	}
	return text
}

func (s *section) optionalString(key string) string {
	return optional[string](s, key, "must be a string")
}

func (s *section) optionalBool(key string) bool {
	return optional[bool](s, key, "must be true or false")
}

func (s *section) optionalNumber(key string) float64 {
	return optional[float64](s, key, "must be a number")
}

// maxInteger limits integers: JSON numbers are parsed to float64, which represents all integers up to 2^53 exactly.
const maxInteger = 1 << 53

func (s *section) optionalInteger(key string) int64 {
	number := s.optionalNumber(key)
	if number != math.Trunc(number) || math.Abs(number) > maxInteger {
		s.fail(key, "must be a whole number")
	}
	return int64(number)
}

func (s *section) requiredInteger(key string) int64 {
	if _, exists := s.members[key]; !exists {
		s.fail(key, "is missing")
		return 0
	}
	return s.optionalInteger(key)
}

// optional returns a member of type T, or the zero value if there is none. It reports a member of another type as a problem.
func optional[T any](s *section, key, problem string) T {
	var none T
	member, exists := s.members[key]
	if !exists {
		return none
	}
	typed, isType := member.(T)
	if !isType {
		s.fail(key, problem)
	}
	return typed
}
