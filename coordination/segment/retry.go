package segment

import (
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// RetryingFolder is a folder on a disk that may refuse for a while, as a full one does: what is refused is tried again
// until it is done. It serves for opening a store, which takes several steps; after StopRetrying whoever writes to the
// store gets the errors.
type RetryingFolder struct {
	folder  Folder
	wait    func(err error) bool
	stopped atomic.Bool
}

// NewRetryingFolder returns a folder that retries. Wait is called after each refusal; it waits for as long as the
// caller wants, and reports whether to try again.
func NewRetryingFolder(folder Folder, wait func(err error) bool) *RetryingFolder {
	return &RetryingFolder{folder: folder, wait: wait}
}

// StopRetrying lets all errors pass from now on, also in files that are open already.
func (r *RetryingFolder) StopRetrying() { r.stopped.Store(true) }

// Open opens a file in the folder, or makes it.
func (r *RetryingFolder) Open(name string) (File, error) {
	var file File
	err := r.retry(func() (err error) {
		file, err = r.folder.Open(name)
		return err
	})
	return &retryingFile{file, r}, errors.Trace(err)
}

// Sync makes names durable.
func (r *RetryingFolder) Sync() error { return r.retry(r.folder.Sync) }

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

func (r *RetryingFolder) retry(do func() error) error {
	for {
		err := do()
		if err == nil || r.stopped.Load() || !isRefusal(err) || !r.wait(err) {
			return err // the caller's trace says enough
		}
	}
}

// retryingFile is a file whose refused reads and writes are tried again.
type retryingFile struct {
	File
	folder *RetryingFolder
}

// WriteAt writes as the file does.
func (f *retryingFile) WriteAt(p []byte, offset int64) (n int, err error) {
	err = f.folder.retry(func() (err error) {
		n, err = f.File.WriteAt(p, offset)
		return err
	})
	return n, err
}

// ReadAt reads as the file does.
func (f *retryingFile) ReadAt(p []byte, offset int64) (n int, err error) {
	err = f.folder.retry(func() (err error) {
		n, err = f.File.ReadAt(p, offset)
		return err
	})
	return n, err
}

// Sync syncs the file.
func (f *retryingFile) Sync() error { return f.folder.retry(f.File.Sync) }

// Truncate sets the file's size in bytes.
func (f *retryingFile) Truncate(size int64) error {
	return f.folder.retry(func() error { return f.File.Truncate(size) })
}
