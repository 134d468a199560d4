package segment

import (
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// RetryingFolder is a folder on a disk that may refuse for a while, as a full one does: what is refused is tried again
// until it is done. It serves for opening a store, which takes several steps; End ends the patience, and whoever
// writes to the store from then on is told of refusals.
type RetryingFolder struct {
	folder Folder
	wait   func(err error) bool
	ended  atomic.Bool
}

// NewRetryingFolder returns a patient folder. Wait is called after each refusal; it waits for as long as the caller
// wants, and reports whether to try again.
func NewRetryingFolder(folder Folder, wait func(err error) bool) *RetryingFolder {
	return &RetryingFolder{folder: folder, wait: wait}
}

// StopRetrying lets all refusals pass from now on.
func (p *RetryingFolder) StopRetrying() { p.ended.Store(true) }

// Open opens a file in the folder, or makes it.
func (p *RetryingFolder) Open(name string) (File, error) {
	var file File
	err := p.insist(func() (err error) {
		file, err = p.folder.Open(name)
		return err
	})
	return &patientFile{file, p}, errors.Trace(err)
}

// Sync makes names durable.
func (p *RetryingFolder) Sync() error { return p.insist(p.folder.Sync) }

// refusals are the errors by which a disk refuses for now; all others are faults that waiting does not mend.
var refusals = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS}

func isRefusal(err error) bool {
	for _, refusal := range refusals {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

func (p *RetryingFolder) insist(do func() error) error {
	for {
		err := do()
		if err == nil || p.ended.Load() || !isRefusal(err) || !p.wait(err) {
			return err // the caller's trace says enough
		}
	}
}

type patientFile struct {
	File
	patience *RetryingFolder
}

// WriteAt writes as the file does, again and again while the disk refuses.
func (f *patientFile) WriteAt(p []byte, offset int64) (n int, err error) {
	err = f.patience.insist(func() (err error) {
		n, err = f.File.WriteAt(p, offset)
		return err
	})
	return n, err
}

// ReadAt reads as the file does, again and again while the disk refuses.
func (f *patientFile) ReadAt(p []byte, offset int64) (n int, err error) {
	err = f.patience.insist(func() (err error) {
		n, err = f.File.ReadAt(p, offset)
		return err
	})
	return n, err
}

// Sync syncs the file, again and again while the disk refuses.
func (f *patientFile) Sync() error { return f.patience.insist(f.File.Sync) }

// Truncate sets the file's size, again and again while the disk refuses.
func (f *patientFile) Truncate(size int64) error {
	return f.patience.insist(func() error { return f.File.Truncate(size) })
}
