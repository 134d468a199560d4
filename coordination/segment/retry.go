package segment

import (
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// RetryingFolder is a folder that retries operations which fail with a transient disk error, for example on a full disk,
// until they succeed. It is meant for opening a store, which takes several operations; after StopRetrying, errors are
// returned to the caller of each operation.
type RetryingFolder struct {
	folder  Folder
	wait    func(err error) bool
	stopped atomic.Bool
}

// NewRetryingFolder returns a folder that retries operations of the given folder. wait is called after each transient
// error; it blocks until the operation should be retried, or returns false to give up.
func NewRetryingFolder(folder Folder, wait func(err error) bool) *RetryingFolder {
	return &RetryingFolder{folder: folder, wait: wait}
}

// StopRetrying ends retries: from now on all errors are returned, also those of files that are already open.
func (r *RetryingFolder) StopRetrying() { r.stopped.Store(true) }

// Open opens a file in the folder, and creates it if it does not exist.
func (r *RetryingFolder) Open(name string) (File, error) {
	var file File
	err := r.retry(func() (err error) {
		file, err = r.folder.Open(name)
		return err
	})
	return &retryingFile{file, r}, errors.Trace(err)
}

// Sync makes the names of new files durable.
func (r *RetryingFolder) Sync() error { return r.retry(r.folder.Sync) }

// transientErrors are the disk errors that may disappear with time; all other errors persist, so retrying does not help.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS}

func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (r *RetryingFolder) retry(operation func() error) error {
	for {
		err := operation()
		if err == nil || r.stopped.Load() || !isTransient(err) || !r.wait(err) {
			return err // not traced: the caller adds its trace
		}
	}
}

// retryingFile is a file that retries operations which fail with a transient error.
type retryingFile struct {
	File
	folder *RetryingFolder
}

// WriteAt writes like File.WriteAt, with retries.
func (f *retryingFile) WriteAt(p []byte, offset int64) (n int, err error) {
	err = f.folder.retry(func() (err error) {
		n, err = f.File.WriteAt(p, offset)
		return err
	})
	return n, err
}

// ReadAt reads like File.ReadAt, with retries.
func (f *retryingFile) ReadAt(p []byte, offset int64) (n int, err error) {
	err = f.folder.retry(func() (err error) {
		n, err = f.File.ReadAt(p, offset)
		return err
	})
	return n, err
}

// Sync syncs the file, with retries.
func (f *retryingFile) Sync() error { return f.folder.retry(f.File.Sync) }

// Truncate sets the file's size in bytes, with retries.
func (f *retryingFile) Truncate(size int64) error {
	return f.folder.retry(func() error { return f.File.Truncate(size) })
}
