// Package hotrestart is what two processes of one dispatcher share while one takes
// over from the other: the ids taken out by operators, the server table as last
// told, and that there are two.
//
// This file owns the file of banned ids. It must never leave a half-written one,
// and never lose a change made by another process.
package hotrestart

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

// BanList is the set of ids taken out, one a line in a file of dir. Without a dir
// it is kept in memory alone, and ends with the process.
type BanList struct {
	path string

	mu  sync.Mutex
	ids []string // sorted
}

// OpenBanList reads the set; a file that is not there is an empty one.
func OpenBanList(dir, name string) (*BanList, error) {
	b := &BanList{}
	if dir == "" {
		return b, nil
	}
	b.path = filepath.Join(dir, filePrefix(name)+".bans")
	_, err := b.Reload()
	return b, err
}

// filePrefix keeps a name of any kind from being a path.
func filePrefix(name string) string {
	return "yardflow-" + strings.Map(func(r rune) rune {
		if r == '-' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, name)
}

// Reload takes in what the file says now.
func (b *BanList) Reload() ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readFile()
}

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

// Contains tells whether the id is out, as last read.
func (b *BanList) Contains(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ids, id)
}

// Set takes an id out, or in again, and returns the whole set. The lock is the
// system's, so it ends with a process that is killed in here.
func (b *BanList) Set(id string, out bool) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.path != "" {
		lock, err := os.OpenFile(b.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		defer lock.Close()
		if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
			return nil, err
		}
	}
	ids, err := b.readFile()
	if err != nil {
		return nil, err
	}
	ids = slices.DeleteFunc(ids, func(have string) bool { return have == id })
	if out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if b.path != "" {
		// Written whole and renamed: a reader sees the old set or the new one.
		if err := os.WriteFile(b.path+".new", []byte(strings.Join(ids, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		if err := os.Rename(b.path+".new", b.path); err != nil {
			return nil, err
		}
	}
	b.ids = ids
	return slices.Clone(ids), nil
}
