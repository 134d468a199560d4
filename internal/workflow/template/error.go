package template

import "fmt"

// Error says why a template cannot be run. It names the key of the policy file that is wrong.
type Error struct {
	Template  string
	StepIndex int    // index into the template's steps; negative: the template itself is wrong
	StepName  string // empty where StepIndex is negative
	Key       string // the key of the policy file
	Problem   string // what was found there
	Expected  string
}

func (e *Error) Error() string {
	where := fmt.Sprintf("flow %q", e.Template)
	if e.StepIndex >= 0 {
		where += fmt.Sprintf(", step %q", e.StepName)
	}
	return fmt.Sprintf("%s: %s: %s; expected %s", where, e.Key, e.Problem, e.Expected)
}

// Advice returns what an operator can do now.
func (e *Error) Advice() string { return "correct the template and propose again; nothing was changed" }

// Code returns the word for this error in the operators' table.
func (e *Error) Code() string { return "flow-template" }
