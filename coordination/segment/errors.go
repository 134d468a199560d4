package segment

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrFull is returned if no segment is free: a snapshot must cover more of the log before records can be appended.
var ErrFull = errors.New("segment: the ring is full")

// CorruptionError names a corrupt file and the offset at which its valid content ends. Open returns it if records that were
// durable are missing.
type CorruptionError struct {
	File   string
	Offset int64 // bytes from the file's beginning
	Reason string
}

// Error returns the file, the offset, the reason and the advice.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; %s", e.File, e.Offset, e.Reason, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *CorruptionError) Advice() string {
	return "replace this machine's disk, or empty its folder so that it joins anew"
}

// RecordTooLongError reports that the data of a record is longer than Layout.MaxDataBytes, so that Open could not read it
// back. Append returns it before it writes anything.
type RecordTooLongError struct {
	Index uint64
	Bytes int64 // of the record's data
	Max   int64 // Layout.MaxDataBytes
}

// Error returns the record's index, its length, the maximum length and the advice.
func (e *RecordTooLongError) Error() string {
	return fmt.Sprintf("record %d has %d bytes, but a segment of this disk holds at most %d; %s",
		e.Index, e.Bytes, e.Max, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *RecordTooLongError) Advice() string {
	return "give this machine a larger disk (setting Limits.DiskMb), and an empty folder so that it joins anew"
}
