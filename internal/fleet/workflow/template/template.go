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
	MaxSteps           = 64
	MaxFanOutDepth     = 3       // fan-outs within each other
	MaxFanOut          = 1 << 20 // items of one fan-out
	MaxUnwindowedItems = 10000   // of one whose items wait for each other
	MaxResultBytes     = 1024    // bytes of a result that goes to later steps
	MaxInputBytes      = 512 << 10
	MaxAttempts        = 10
)

// ValidName tells whether a text can name a flow, a template or a step: 1 to 100 of A-Z, a-z, 0-9 and
// any of . _ : @ -, since names go into headers and files.
func ValidName(text string) bool {
	return len(text) > 0 && len(text) <= 100 && !strings.ContainsFunc(text, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("._:@-", c)
	})
}

// TriggerRule is on which ends of what it needs a step runs; else it is skipped.
type TriggerRule uint8

// The conditions.
const (
	AllDone    TriggerRule = iota // all are done
	AnyNotDone                    // one at least is not
	AllEnded                      // all have ended, however
)

// Action is what becomes of a flow where a step fails, or is unknown.
type Action uint8

// The reactions.
const (
	FailWorkflow    Action = iota // nothing more is begun; the flow ends as failed
	HoldForOperator               // nothing more is begun until an operator has settled it
	RunAlternative                // another step is run instead, and the flow goes on
	Compensate                    // another step is run, and the flow ends as failed
	Continue                      // the flow goes on; what needs the step sees how it ended
)

// Reaction is an act, with the step that it runs.
type Reaction struct {
	Action Action `cbor:"Act" json:"Act"`
	Step   string
}

// Step is one step of a template.
type Step struct {
	Name            string
	Class           string // of jobs, in the settings
	Pool            string // of workers; empty: any
	Needs           []string
	FanOutOver      string        `cbor:"Each" json:"Each"`           // an input, or a step's result: one of this step for each item; empty: one
	Trigger         TriggerRule   `cbor:"When" json:"When"`           // on which ends of its needs
	StartDelay      time.Duration `cbor:"NotBefore" json:"NotBefore"` // after all it needs has ended
	StartMoment     string        `cbor:"At" json:"At"`               // a moment given at submission, before which it does not run
	TypicalDuration time.Duration `cbor:"Runs" json:"Runs"`           // a typical run, by which the critical path is reckoned; 0: a second
	MaxAttempts     int           `cbor:"Tries" json:"Tries"`         // that may have run, where it may be repeated; 0: 3
	OnFailed        Reaction
	OnUnknown       Reaction
}

// Template is one kind of workflow.
type Template struct {
	Name            string
	Tenant          string        // whose jobs its steps are
	Team            string        // under whose contract they come; empty: none
	TargetMakespan  time.Duration `cbor:"Wanted" json:"Wanted"` // from submission to its end
	MaxLiveItems    int           `cbor:"Most" json:"Most"`     // items under way at once; 0: 64
	MaxFanOut       int           `cbor:"Fan" json:"Fan"`       // items of a fan-out at the most; 0: 10000
	DispatcherShare float64       `cbor:"Share" json:"Share"`   // of a dispatcher's open jobs that may be its steps while others want the room; 0: 0.2
	Steps           []Step
}

// Window is how many items may be under way at once.
func (t *Template) Window() int {
	if t.MaxLiveItems == 0 {
		return 64
	}
	return t.MaxLiveItems
}

// FanOutLimit is how many items a fan-out may have.
func (t *Template) FanOutLimit() int {
	if t.MaxFanOut == 0 {
		return 10000
	}
	return t.MaxFanOut
}

// ExpectedDuration is a step's typical run.
func (s *Step) ExpectedDuration() time.Duration {
	if s.TypicalDuration == 0 {
		return time.Second
	}
	return s.TypicalDuration
}

// MaxLiveItems is how often a step that may be repeated is tried.
func (s *Step) AttemptLimit() int {
	if s.MaxAttempts == 0 {
		return 3
	}
	return s.MaxAttempts
}

// Error is a template that can't be run.
type Error struct {
	Template  string
	StepIndex int    // its place among the steps; under 0: the template itself is at fault
	StepName  string // of the step
	Key       string // that is wrong
	Problem   string
	Expected  string
}

func (e *Error) Error() string {
	where := fmt.Sprintf("flow %q", e.Template)
	if e.StepIndex >= 0 {
		where += fmt.Sprintf(", step %q", e.StepName)
	}
	return fmt.Sprintf("%s: %s: %s; expected %s", where, e.Key, e.Problem, e.Expected)
}

// Advice says what an operator can do.
func (e *Error) Advice() string { return "correct the template and propose again; nothing was changed" }

// Code is its word.
func (e *Error) Code() string { return "flow-template" }
