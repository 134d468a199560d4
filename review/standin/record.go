//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, one event a line with the seconds since its start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		r.out.Flush()
		r.file.Close()
		r.file = nil
	}
}
