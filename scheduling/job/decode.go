package job

import (
	"encoding/json"
	"strconv"
	"unsafe"

	"yardflow/scheduling/jsontext"
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
	if jsontext.HasMoreElements(text, maxSteps) {
		return &TooManyStepsError{}
	}
	return json.Unmarshal(text, (*[]Step)(s))
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
