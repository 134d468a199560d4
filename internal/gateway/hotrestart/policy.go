package hotrestart

// This file owns the last policy that a dispatcher ran by, for its next process to go on by
// where the keepers are away. A file that is not whole is none.

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

// PolicyFile keeps the last policy's text in the folder that outlasts the process.
type PolicyFile struct{ path string }

// OpenPolicyFile makes one for a dispatcher; without a folder nothing is kept.
func OpenPolicyFile(dir, name string) *PolicyFile {
	if dir == "" {
		return &PolicyFile{}
	}
	return &PolicyFile{filepath.Join(dir, filePrefix(name)+".policy")}
}

// Read is what was kept last; nothing if none was.
func (p *PolicyFile) Read() ([]byte, error) {
	if p.path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(p.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	sum, rest, _ := bytes.Cut(text, []byte("\n"))
	if own := sha256.Sum256(rest); hex.EncodeToString(own[:]) != string(sum) {
		return nil, fmt.Errorf("%s: not whole", p.path)
	}
	return rest, nil
}

// Save keeps a text: written whole, flushed and renamed.
func (p *PolicyFile) Save(text []byte) error {
	if p.path == "" {
		return nil
	}
	sum := sha256.Sum256(text)
	f, err := os.CreateTemp(filepath.Dir(p.path), filepath.Base(p.path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append([]byte(hex.EncodeToString(sum[:])+"\n"), text...))
	if err == nil {
		err = f.Sync()
	}
	if end := f.Close(); err == nil {
		err = end
	}
	if err == nil {
		err = os.Rename(f.Name(), p.path)
	}
	return err
}
