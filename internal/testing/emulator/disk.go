package emulator

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"yardflow/coordination/segment"
)

// Disk is a machine's disk. It keeps what was synced over a loss of power.
type Disk struct {
	mu       sync.Mutex
	files    map[string]*file
	syncTime time.Duration
	random   *rand.Rand
	lies     bool // planted: what is synced is lost with the power all the same
	full     bool
	gate     gate // closed while the process is frozen
}

// NewDisk returns an empty disk on which a sync takes so long.
func NewDisk(syncTime time.Duration, random *rand.Rand) *Disk {
	return &Disk{files: map[string]*file{}, syncTime: syncTime, random: random}
}

// file is a file's content as it is read, and as it would be after a loss of power: durable, with any part of pending.
type file struct {
	disk    *Disk
	durable []byte
	content []byte
	pending []change // writes that were not synced, in order
}

type change struct {
	offset int64
	data   []byte
}

// handle is a file opened by one process.
type handle struct{ *file }

// Open opens a file, or makes it.
func (d *Disk) Open(name string) (segment.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		d.files[name] = &file{disk: d}
	}
	return handle{d.files[name]}, nil
}

// Sync makes names durable.
func (d *Disk) Sync() error { return nil }

// LosePower leaves of each write that was not synced all, a part or nothing.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := map[string]*file{}
	for name, f := range d.files {
		content := append([]byte(nil), f.durable...)
		for _, c := range f.pending {
			switch d.random.IntN(3) {
			case 0:
				content = patch(content, c.data, c.offset)
			case 1:
				content = patch(content, c.data[:d.random.IntN(len(c.data)+1)], c.offset)
			}
		}
		// The process that still holds the old file writes into the void.
		files[name] = &file{disk: d, durable: content, content: append([]byte(nil), content...)}
	}
	d.files = files
}

// Crash leaves files as they are, but for what the process that has ended still does.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := map[string]*file{}
	for name, f := range d.files {
		files[name] = &file{disk: d, durable: append([]byte(nil), f.durable...), content: append([]byte(nil), f.content...),
			pending: append([]change(nil), f.pending...)}
	}
	d.files = files
}

// Fill lets the disk refuse every write, or take writes again.
func (d *Disk) Fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = map[string]*file{}
}

func patch(content, p []byte, offset int64) []byte {
	if need := int(offset) + len(p); need > len(content) {
		content = append(content, make([]byte, need-len(content))...)
	}
	copy(content[offset:], p)
	return content
}

func (f handle) ReadAt(p []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if offset >= int64(len(f.content)) {
		return 0, nil
	}
	return copy(p, f.content[offset:]), nil
}

func (f handle) WriteAt(p []byte, offset int64) (int, error) {
	f.disk.gate.pass()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.full {
		return 0, syscall.ENOSPC
	}
	f.content = patch(f.content, p, offset)
	f.pending = append(f.pending, change{offset, append([]byte(nil), p...)})
	return len(p), nil
}

// Sync makes durable what was written before it was called, once the disk's time for it has passed.
func (f handle) Sync() error {
	f.disk.mu.Lock()
	covered, size := len(f.pending), len(f.content)
	f.disk.mu.Unlock()
	time.Sleep(f.disk.syncTime)
	f.disk.gate.pass()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if !f.disk.lies {
		f.makeDurable(covered, size)
	}
	return nil
}

// makeDurable applies the oldest unsynced writes, so many, to what is durable of a file that had so many bytes. It costs
// what was written, not what the file has.
func (f *file) makeDurable(covered, size int) {
	f.durable = append(f.durable, make([]byte, max(0, size-len(f.durable)))...)
	for _, c := range f.pending[:covered] {
		f.durable = patch(f.durable, c.data, c.offset)
	}
	f.pending = f.pending[covered:]
}

func (f handle) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(len(f.content)), nil
}

func (f handle) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.full {
		return syscall.ENOSPC
	}
	f.content = append(f.content, make([]byte, max(0, size-int64(len(f.content))))...)
	return nil
}
