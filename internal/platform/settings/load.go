package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// ReadError says that the file can't be read.
type ReadError struct{ Err error }

func (e *ReadError) Error() string {
	return fmt.Sprintf("the settings file; %s: %v", e.Advice(), e.Err)
}

// Advice says what an operator can do.
func (e *ReadError) Advice() string { return "name it in " + PathVariable }

func (e *ReadError) Unwrap() error { return e.Err }

// SyntaxError says that the file is no TOML, or that a value is of another type than its key wants. An operator corrects
// the line that it names.
type SyntaxError struct {
	Path string
	Line int // 0: not known
	Err  error
}

func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s line %d: %v", e.Path, e.Line, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

// InvalidError says that the value of a key can't be used. A process that meets it at its start exits with code 2.
type InvalidError struct {
	Key     string // as in Listen or Cloud.Address
	Problem string // what is wrong with its value
	Remedy  string // what to give instead
}

func (e *InvalidError) Error() string { return e.Key + ": " + e.Problem + "; " + e.Advice() }

// Advice says what an operator can do.
func (e *InvalidError) Advice() string { return e.Remedy }

// Load reads and checks the file. Its errors are *ReadError, *SyntaxError and *InvalidError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{err}
	}
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, newSyntaxError(path, err)
	}
	if invalid := s.check(); invalid != nil {
		return nil, invalid
	}
	return s, nil
}

func newSyntaxError(path string, err error) *SyntaxError {
	line := 0
	var decoding *toml.DecodeError
	if errors.As(err, &decoding) {
		line, _ = decoding.Position()
		err = decoding
	}
	return &SyntaxError{path, line, err}
}

// check returns the first key without which, or with whose value, a process can't start.
func (s *Settings) check() *InvalidError {
	isControl, isDispatcher := s.Listen.Control != "", s.Listen.Front != ""
	rules := []struct {
		violated bool
		invalid  InvalidError
	}{
		{s.Node == "", InvalidError{"Node", "is missing", "give this machine's name"}},
		{s.Zone == "", InvalidError{"Zone", "is missing", "give this machine's zone"}},
		{len(s.Seeds) == 0, InvalidError{"Seeds", "is empty", "give the control addresses of up to three machines"}},
		{!isControl && !isDispatcher, InvalidError{"Listen", "names no address",
			"give Control on a core machine, Front and Ready on a front machine"}},
		{isControl && s.DataDir == "", InvalidError{"DataDir", "is missing", "a control process needs a folder on its disk"}},
		{isDispatcher && s.Cloud.Address == "", InvalidError{"Cloud.Address", "is missing",
			"give the address of the platform's list"}},
		{isDispatcher && s.Bounds.HoldMaxMs <= 0, InvalidError{"Bounds.HoldMaxMs", "must be above 0",
			"give how long a worker holds what runs without renewal"}},
		{s.Tolerate.Machines < 0, InvalidError{"Tolerate.Machines", "must not be below 0",
			"give how many machines may be lost at once"}},
	}
	for i := range rules {
		if rules[i].violated {
			return &rules[i].invalid
		}
	}
	return nil
}
