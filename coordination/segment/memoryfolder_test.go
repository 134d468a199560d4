package segment

import (
	"math/rand/v2"

	"github.com/juju/errors"
)

// memoryFile is a File in memory whose unsynced writes may be lost, kept or torn by a loss of power.
type memoryFile struct {
	folder  *memoryFolder
	durable []byte
	content []byte
	writes  []pendingWrite
}

// pendingWrite is a write that is not synced yet.
type pendingWrite struct {
	offset int64
	data   []byte
}

// memoryFolder is a Folder in memory.
type memoryFolder struct {
	files map[string]*memoryFile
	full  bool // writes and syncs fail
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

// write writes p at an offset into content, extending it as needed, and returns the result.
func write(content []byte, p []byte, offset int64) []byte {
	if size := int(offset) + len(p); size > len(content) {
		content = append(content, make([]byte, size-len(content))...)
	}
	copy(content[offset:], p)
	return content
}

var errNoSpace = errors.New("no space left")

func (f *memoryFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.folder.full {
		return 0, errNoSpace
	}
	f.content = write(f.content, p, offset)
	f.writes = append(f.writes, pendingWrite{offset, append([]byte(nil), p...)})
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if f.folder.full {
		return errNoSpace
	}
	f.durable, f.writes = append([]byte(nil), f.content...), nil
	return nil
}

func (f *memoryFile) Size() (int64, error) { return int64(len(f.content)), nil }

func (f *memoryFile) Truncate(size int64) error {
	f.content = append(f.content, make([]byte, max(0, size-int64(len(f.content))))...)
	return nil
}

// losePower simulates a loss of power: of each unsynced write, all, nothing or a prefix reaches the disk.
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
