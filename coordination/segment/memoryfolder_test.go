package segment

import (
	"math/rand/v2"

	"github.com/juju/errors"
)

// memoryFile is a file whose unsynced writes may be lost, kept or torn by a loss of power.
type memoryFile struct {
	folder  *memoryFolder
	durable []byte
	content []byte
	writes  []pendingWrite
}

type pendingWrite struct {
	offset int64
	data   []byte
}

type memoryFolder struct {
	files map[string]*memoryFile
	full  bool
}

func newMemoryFolder() *memoryFolder { return &memoryFolder{files: map[string]*memoryFile{}} }

func (f *memoryFolder) Open(name string) (File, error) {
	if f.files[name] == nil {
		f.files[name] = &memoryFile{folder: f}
	}
	return f.files[name], nil
}

func (f *memoryFolder) Sync() error { return nil }

func (f *memoryFile) ReadAt(p []byte, offset int64) (int, error) {
	if offset >= int64(len(f.content)) {
		return 0, nil
	}
	return copy(p, f.content[offset:]), nil
}

func write(content []byte, p []byte, offset int64) []byte {
	if need := int(offset) + len(p); need > len(content) {
		content = append(content, make([]byte, need-len(content))...)
	}
	copy(content[offset:], p)
	return content
}

var errDisk = errors.New("no space left")

func (f *memoryFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.folder.full {
		return 0, errDisk
	}
	f.content = write(f.content, p, offset)
	f.writes = append(f.writes, pendingWrite{offset, append([]byte(nil), p...)})
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if f.folder.full {
		return errDisk
	}
	f.durable, f.writes = append([]byte(nil), f.content...), nil
	return nil
}

func (f *memoryFile) Size() (int64, error) { return int64(len(f.content)), nil }

func (f *memoryFile) Truncate(size int64) error {
	f.content = append(f.content, make([]byte, max(0, size-int64(len(f.content))))...)
	return nil
}

// losePower leaves of each unsynced write all, nothing or a part.
func (f *memoryFolder) losePower(random *rand.Rand) {
	for _, file := range f.files {
		content := append([]byte(nil), file.durable...)
		for _, pending := range file.writes {
			switch random.IntN(3) {
			case 0:
				content = write(content, pending.data, pending.offset)
			case 1:
				content = write(content, pending.data[:random.IntN(len(pending.data)+1)], pending.offset)
			}
		}
		file.durable, file.content, file.writes = content, append([]byte(nil), content...), nil
	}
}
