package segment

import (
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Dir is a Folder in the file system of the operating system, given by its path.
type Dir string

// Open opens a file in the folder, and creates it if it does not exist.
func (d Dir) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return osFile{file}, nil
}

// Sync makes the names of new files durable.
func (d Dir) Sync() error {
	folder, err := os.Open(string(d))
	if err != nil {
		return errors.Trace(err)
	}
	defer folder.Close()
	return errors.Trace(folder.Sync())
}

// osFile is a File in the file system of the operating system.
type osFile struct{ *os.File }

// ReadAt reads like os.File.ReadAt, except that reading beyond the end of the file is no error: the rest of p is left
// unchanged.
func (f osFile) ReadAt(p []byte, offset int64) (int, error) {
	n, err := f.File.ReadAt(p, offset)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, errors.Trace(err)
}

// Size returns the file's length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.Trace(err)
	}
	return info.Size(), nil
}
