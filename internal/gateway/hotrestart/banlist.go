// Package hotrestart is what two processes of one dispatcher share while one takes over from the other: the ids of workers
// that operators have banned, the policy that was in force last, the server table, and that there are two.
//
// Invariants:
//   - a file is never left half-written, and no change that another process made to it is lost;
//   - nothing here stops a start: a process that does not answer is counted and left alone, and what a killed process
//     left behind is replaced.
package hotrestart

// This file keeps the banned ids.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// privateFile is the mode of all files here: they belong to the user that the dispatcher runs as.
const privateFile fs.FileMode = 0o600

// BanList is the set of banned ids, one a line in a file. Without a folder for that it is kept in memory alone, and ends
// with the process.
type BanList struct {
	path string // empty: in memory alone

	mu  sync.Mutex
	ids []string // sorted, as last read or written
}

// OpenBanList reads the set of a dispatcher; where there is no file yet it is empty. An empty dir keeps it in memory.
func OpenBanList(dir, name string) (*BanList, error) {
	b := &BanList{}
	if dir == "" {
		return b, nil
	}
	b.path = filepath.Join(dir, filePrefix(name)+".bans")
	_, err := b.Reload()
	return b, err
}

// filePrefix is how the files of a dispatcher begin. No name makes it a path.
func filePrefix(name string) string {
	return "yardflow-" + strings.Map(func(r rune) rune {
		if r == '-' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, name)
}

// Reload reads the file again and returns the set.
func (b *BanList) Reload() ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readFile()
}

// readFile is Reload for a caller that holds mu.
func (b *BanList) readFile() ([]string, error) {
	if b.path != "" {
		text, err := os.ReadFile(b.path)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("the banned ids: %w", err)
		}
		b.ids = strings.Fields(string(text))
	}
	return slices.Clone(b.ids), nil
}

// Contains reports whether an id is banned, as last read or written.
func (b *BanList) Contains(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ids, id)
}

// Set bans an id, or lifts its ban, and returns the whole set. Other processes may do the same at the same time.
func (b *BanList) Set(id string, banned bool) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.path != "" {
		lock, err := lockFile(b.path + ".lock")
		if err != nil {
			return nil, err
		}
		defer lock.Close()
	}
	ids, err := b.readFile()
	if err != nil {
		return nil, err
	}
	ids = slices.DeleteFunc(ids, func(former string) bool { return former == id })
	if banned {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if err := b.writeFile(ids); err != nil {
		return nil, err
	}
	b.ids = ids
	return slices.Clone(ids), nil
}

// lockFile blocks until it holds the lock of a file. The lock is the kernel's: it ends when the file is closed, and so
// also with a process that is killed.
func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, privateFile)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		lock.Close()
		return nil, err
	}
	return lock, nil
}

// writeFile replaces the file in one step: a reader sees the former set or the new one. The caller holds the lock.
func (b *BanList) writeFile(ids []string) error {
	if b.path == "" {
		return nil
	}
	if err := os.WriteFile(b.path+".new", []byte(strings.Join(ids, "\n")+"\n"), privateFile); err != nil {
		return err
	}
	return os.Rename(b.path+".new", b.path)
}
