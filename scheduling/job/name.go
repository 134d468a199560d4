package job

import (
	"strconv"
	"strings"
)

// TaskKey identifies a task within its job.
type TaskKey struct {
	Repetition int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	Index      int `cbor:"3,keyasint,omitempty"` // index within the step, from 0
}

// StepKey identifies one repetition of a step within its job.
type StepKey struct {
	Repetition int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
}

// Name returns the task's name on the wire: the job's ID, the repetition, the step and the index, joined by full stops.
func (k TaskKey) Name(jobID string) string {
	name := make([]byte, 0, len(jobID)+16)
	name = append(name, jobID...)
	for _, number := range [3]int{k.Repetition, k.Step, k.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(number), 10)
	}
	return string(name)
}

// ParseTaskName is the inverse of TaskKey.Name. It returns false for text of another form. It does not check that the ID is
// valid or that the job has such a task.
func ParseTaskName(name string) (jobID string, key TaskKey, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskKey{}, false
	}
	numbers := [3]int{}
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return "", TaskKey{}, false
		}
		numbers[i] = number
	}
	return parts[0], TaskKey{numbers[0], numbers[1], numbers[2]}, true
}

// idLength is the number of hexadecimal digits in a job's ID, as the protocol defines it.
const idLength = 16

// ValidID reports whether id is a job's ID: 16 hexadecimal digits of either case.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for i := range len(id) {
		if !isHexDigit(id[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
