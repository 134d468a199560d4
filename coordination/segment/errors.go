package segment

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrFull says that no segment is free: a snapshot must cover more of the log first.
var ErrFull = errors.New("segment: the ring is full")

// CorruptionError says which file can't be relied upon, and from where on. Open returns it where records are missing
// that were durable once.
type CorruptionError struct {
	File   string
	Offset int64 // bytes from the file's beginning
	Reason string
}

// Error names the file, the offset and what is wrong there, and what to do.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; %s", e.File, e.Offset, e.Reason, e.Advice())
}

// Advice says what an operator can do now.
func (e *CorruptionError) Advice() string {
	return "replace this machine's disk, or empty its folder so that it joins anew"
}

// RecordTooLongError says that a record's data is longer than Layout.MaxDataBytes: Open could not read it back. Append
// returns it before it has written anything.
type RecordTooLongError struct {
	Index uint64
	Bytes int64 // of the record's data
	Max   int64 // bytes that the layout bears
}

// Error names the record and both lengths, and what to do.
func (e *RecordTooLongError) Error() string {
	return fmt.Sprintf("record %d has %d bytes, %d is the most that this disk's segments take; %s", e.Index, e.Bytes, e.Max, e.Advice())
}

// Advice says what an operator can do now.
func (e *RecordTooLongError) Advice() string {
	return "give this machine a larger disk (setting Limits.DiskMb), and an empty folder so that it joins anew"
}
