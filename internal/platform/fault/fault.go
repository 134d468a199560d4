// Package fault is how the program words what went wrong for whoever is on call: an error that
// an operator or caller may meet has a type of its own, with what, where and what was expected
// in its fields, and says what can be done now. It must never log, retry or judge.
package fault

import "errors"

// Fault is an error that says what its reader can do.
type Fault interface {
	error
	Advice() string // what an operator can do now, one sentence without a full stop
	Code() string   // a stable word, by which it is found in the operators' table
}

// Of is the first fault in err's tree; nil: there is none.
func Of(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// Text words err with its advice, as logs, the console and staff's calls print it.
func Text(err error) string {
	if f := Of(err); f != nil {
		return err.Error() + " [" + f.Code() + ": " + f.Advice() + "]"
	}
	return err.Error()
}
