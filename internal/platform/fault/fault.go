// Package fault is how the program in service reports an error to whoever is on call. An error that an operator or
// caller may meet has a type of its own, with fields for what failed, where and what was expected, and it says what can
// be done now: such a type is a [Fault]. Two tests of this package hold the others to it: packages that are listed there
// make no error without a type, and the code of each type is in the operators' table (docs/ON-CALL.md).
//
// The package only words errors. It never logs, retries or decides what an error means.
package fault

import "errors"

// Fault is an error that says what its reader can do.
type Fault interface {
	error
	// Advice returns what an operator can do now, one sentence without a full stop.
	Advice() string
	// Code returns a word that never changes, by which the fault is found in the operators' table.
	Code() string
}

// Of returns the first Fault in the tree of err, or nil where there is none.
func Of(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// Text returns the text of err with code and advice, as logs, the console and answers to staff show it. An error that is
// no Fault has its own text alone.
func Text(err error) string {
	if f := Of(err); f != nil {
		return err.Error() + " [" + f.Code() + ": " + f.Advice() + "]"
	}
	return err.Error()
}
