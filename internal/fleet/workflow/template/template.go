// Package template is what operators write of a workflow: its steps, what each needs, over what it
// fans out, and what becomes of it where one fails or is not known to have run. It is a value; it
// must never hold the state of a flow (package expand), and has no clock, draw or I/O.
package template

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of any template.
const (
	MaxSteps  = 64
	MaxDepth  = 3       // fan-outs within each other
	MaxFan    = 1 << 20 // items of one fan-out
	MaxWhole  = 10000   // of one whose items wait for each other
	MaxResult = 1024    // bytes of a result that goes to later steps
	MaxInput  = 512 << 10
	MaxTries  = 10
)

// Named tells whether a text can name a flow, a template or a step: 1 to 100 of A-Z, a-z, 0-9 and
// any of . _ : @ -, since names go into headers and files.
func Named(text string) bool {
	return len(text) > 0 && len(text) <= 100 && !strings.ContainsFunc(text, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("._:@-", c)
	})
}

// When is on which ends of what it needs a step runs; else it is skipped.
type When uint8

// The conditions.
const (
	Done   When = iota // all are done
	Failed             // one at least is not
	Any                // all have ended, however
)

// Act is what becomes of a flow where a step fails, or is unknown.
type Act uint8

// The reactions.
const (
	Stop Act = iota // nothing more is begun; the flow ends as failed
	Hold            // nothing more is begun until an operator has settled it
	Go              // another step is run instead, and the flow goes on
	Undo            // another step is run, and the flow ends as failed
	Pass            // the flow goes on; what needs the step sees how it ended
)

// Reaction is an act, with the step that it runs.
type Reaction struct {
	Act  Act
	Step string
}

// Step is one step of a template.
type Step struct {
	Name      string
	Class     string // of jobs, in the settings
	Pool      string // of workers; empty: any
	Needs     []string
	Each      string        // an input, or a step's result: one of this step for each item; empty: one
	When      When          // on which ends of its needs
	NotBefore time.Duration // after all it needs has ended
	At        string        // a moment given at submission, before which it does not run
	Runs      time.Duration // a typical run, by which the critical path is reckoned; 0: a second
	Tries     int           // that may have run, where it may be repeated; 0: 3
	OnFailed  Reaction
	OnUnknown Reaction
}

// Template is one kind of workflow.
type Template struct {
	Name   string
	Tenant string        // whose jobs its steps are
	Team   string        // under whose contract they come; empty: none
	Wanted time.Duration // from submission to its end
	Most   int           // items under way at once; 0: 64
	Fan    int           // items of a fan-out at the most; 0: 10000
	Share  float64       // of a dispatcher's open jobs that may be its steps while others want the room; 0: 0.2
	Steps  []Step
}

// Window is how many items may be under way at once.
func (t *Template) Window() int {
	if t.Most == 0 {
		return 64
	}
	return t.Most
}

// Widest is how many items a fan-out may have.
func (t *Template) Widest() int {
	if t.Fan == 0 {
		return 10000
	}
	return t.Fan
}

// Typical is a step's typical run.
func (s *Step) Typical() time.Duration {
	if s.Runs == 0 {
		return time.Second
	}
	return s.Runs
}

// Most is how often a step that may be repeated is tried.
func (s *Step) Most() int {
	if s.Tries == 0 {
		return 3
	}
	return s.Tries
}

// Error is a template that can't be run.
type Error struct {
	Template string
	Step     int    // its place among the steps; under 0: the template itself is at fault
	Name     string // of the step
	Key      string // that is wrong
	What     string
	Expected string
}

func (e *Error) Error() string {
	where := fmt.Sprintf("flow %q", e.Template)
	if e.Step >= 0 {
		where += fmt.Sprintf(", step %q", e.Name)
	}
	return fmt.Sprintf("%s: %s: %s; expected %s", where, e.Key, e.What, e.Expected)
}

// Advice says what an operator can do.
func (e *Error) Advice() string { return "correct the template and propose again; nothing was changed" }

// Code is its word.
func (e *Error) Code() string { return "flow-template" }
