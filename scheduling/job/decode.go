package job

import (
	"encoding/json"
	"strconv"
	"unsafe"
)

// Steps are the steps of a job.
type Steps []Step

// TooManyStepsError reports that a job has more steps than it may have. Its steps were not decoded.
type TooManyStepsError struct{}

// Error says how many steps a job may have.
func (*TooManyStepsError) Error() string {
	return "a job has at most " + strconv.Itoa(maxSteps) + " steps"
}

// UnmarshalJSON decodes the steps of a job. It counts them before it allocates any: a list of empty steps takes fifty times the
// memory of its text.
func (s *Steps) UnmarshalJSON(text []byte) error {
	if countElements(text) > maxSteps {
		return &TooManyStepsError{}
	}
	return json.Unmarshal(text, (*[]Step)(s))
}

// countElements returns the number of elements of a well-formed JSON array, up to the first one more than maxSteps. For any
// other value the number is one at most.
func countElements(text []byte) int {
	depth, count := 0, 0
	for i := 0; i < len(text) && count <= maxSteps; i++ {
		switch text[i] {
		case '"':
			i += stringLength(text[i:])
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				count++
			}
		}
	}
	return count + 1 // an empty array counts as one
}

// stringLength returns the length of a JSON string up to its closing quotation mark.
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

// MemoryBytes returns how much memory the decoded request takes.
func (r *Request) MemoryBytes() int64 {
	bytes := int64(len(r.Spec)) + int64(unsafe.Sizeof(*r)) + int64(cap(r.Steps))*int64(unsafe.Sizeof(Step{}))
	for i := range r.Steps {
		step := &r.Steps[i]
		bytes += int64(cap(step.DependsOn))*int64(unsafe.Sizeof(0)) + int64(len(step.RequiredLabel)+len(step.Affinity))
	}
	return bytes
}
