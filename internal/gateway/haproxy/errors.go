package haproxy

// This file holds the errors of an import. What does not carry over is no error: it is a diagnostic.

import "fmt"

// LineError says what is wrong with a line of the file.
type LineError struct {
	Line    int
	Subject string // the directive or section; empty: the line as a whole
	Problem string
	Remedy  string // what an operator can do now
}

func (e *LineError) Error() string {
	if e.Subject == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Subject, e.Problem)
}

// Advice returns what an operator can do now.
func (e *LineError) Advice() string { return e.Remedy }

// Code returns the word for this error in the operators' table.
func (e *LineError) Code() string { return "import-line" }

// NothingToServeError says what a file lacks without which a dispatcher has nothing to do.
type NothingToServeError struct {
	Missing string
	Remedy  string // what an operator can do now
}

func (e *NothingToServeError) Error() string { return e.Missing }

// Advice returns what an operator can do now.
func (e *NothingToServeError) Advice() string { return e.Remedy }

// Code returns the word for this error in the operators' table.
func (e *NothingToServeError) Code() string { return "import-empty" }
