// Package buffer reads texts of announced length into buffers that grow with what arrives, not with what is announced, and
// asks a quota before it allocates.
package buffer

import (
	"fmt"
	"io"
)

// Quota bounds the memory of several readers together.
type Quota interface {
	// Claim asks for bytes before they are allocated, and reports whether they are granted.
	Claim(bytes int) bool
	// Release gives bytes back that were granted.
	Release(bytes int)
}

// RefusedError reports that a quota has not granted a buffer. Nothing is held any more.
type RefusedError struct {
	Bytes int // of the buffer
}

// Error includes the size of the buffer.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no quota for a buffer of %d bytes", e.Bytes)
}

// Sizes of buffers.
const (
	// firstBytes is the largest first buffer.
	firstBytes = 16 << 10
	// GrowthFactor is the ratio between a buffer and the next one.
	GrowthFactor = 4
)

// NextCapacity returns the capacity to which a full buffer grows that holds length bytes in the end. The last buffer has
// exactly length bytes, and the one before it a quarter. So a text holds at most GrowthFactor times what has arrived of it,
// and a quarter more than its length while it is copied for the last time.
func NextCapacity(capacity, length int) int {
	next := length
	for next > firstBytes && ceilingQuotient(next) > capacity {
		next = ceilingQuotient(next)
	}
	return next
}

func ceilingQuotient(bytes int) int { return (bytes + GrowthFactor - 1) / GrowthFactor }

// Read reads length bytes, or fewer where the source ends before; then the error is io.EOF. The capacity of the returned
// buffer is granted by the quota; the caller releases it. After any other error nothing is held. A nil quota grants all.
func Read(read func([]byte) (int, error), length int, quota Quota) ([]byte, error) {
	var data []byte
	for len(data) < length {
		if len(data) == cap(data) {
			grown, err := grow(data, length, quota)
			if err != nil {
				release(quota, cap(data))
				return nil, err
			}
			data = grown
		}
		n, err := read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself, by its contract
			if len(data) == length {
				return data, nil
			}
			return data, io.EOF
		}
		if err != nil && len(data) < length {
			release(quota, cap(data))
			return nil, err
		}
	}
	return data, nil
}

// grow returns a larger buffer with the same content, and releases the present one.
func grow(data []byte, length int, quota Quota) ([]byte, error) {
	capacity := NextCapacity(cap(data), length)
	if quota != nil && !quota.Claim(capacity) {
		return nil, &RefusedError{capacity}
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	release(quota, cap(data))
	return grown, nil
}

func release(quota Quota, bytes int) {
	if quota != nil && bytes > 0 {
		quota.Release(bytes)
	}
}
