package hotrestart

// This file keeps the policy that a dispatcher ran by last, for its next process to start with where no coordinator can be
// reached. A file that was damaged counts as none, with an error that says so.

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// PolicyFile keeps the text of the last policy: its SHA-256 in hexadecimal on a line, then the text.
type PolicyFile struct{ path string }

// OpenPolicyFile returns the file of a dispatcher; with an empty dir nothing is kept.
func OpenPolicyFile(dir, name string) *PolicyFile {
	if dir == "" {
		return &PolicyFile{}
	}
	return &PolicyFile{filepath.Join(dir, filePrefix(name)+".policy")}
}

// Read returns the text that was saved last; nil where there is none.
func (p *PolicyFile) Read() ([]byte, error) {
	if p.path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(p.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	sum, text, _ := bytes.Cut(content, []byte("\n"))
	if checksum(text) != string(sum) {
		return nil, fmt.Errorf("%s: not whole", p.path)
	}
	return text, nil
}

// Save keeps a text: written to a file beside, flushed to the disk and renamed, because the machine may fail at any time.
func (p *PolicyFile) Save(text []byte) error {
	if p.path == "" {
		return nil
	}
	f, err := os.CreateTemp(filepath.Dir(p.path), filepath.Base(p.path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // without effect once it was renamed
	_, err = f.Write(append([]byte(checksum(text)+"\n"), text...))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), p.path)
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
