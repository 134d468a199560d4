//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record file of a case, with the time since the case began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// now returns the time since the case began.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", r.now().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}
