// Package template holds workflow templates as operators write them in a policy (section [[flow]]): the steps, the steps
// that each of them needs, the lists that it fans out over, and what happens when it fails or may have run without a
// known outcome.
//
// A template is an immutable value. Package graph validates and compiles it, package expansion holds the run state of
// one workflow that was submitted for it. This package has no run state, clock, randomness or I/O.
//
// Templates are part of the coordinators' replicated state and of policy proposals: a field whose Go name changes keeps
// its stored name by tag.
package template

import "time"

// Values that stand for a key of the policy file that is not set.
const (
	defaultLiveItems    = 64
	defaultFanOut       = 10_000
	defaultStepDuration = time.Second
	defaultAttempts     = 3
)

// TriggerRule says which outcomes of the steps that a step needs let it run. Where they do not, it is skipped.
type TriggerRule uint8

// The trigger rules. All of them wait until every needed step has ended, except that AllDone skips at the first that
// has not ended as done.
const (
	AllDone    TriggerRule = iota // "done": all needed steps are done
	AnyNotDone                    // "failed": at least one needed step has ended other than as done
	AllEnded                      // "any": all needed steps have ended, with whatever outcome
)

// Action is what happens to a workflow when one of its steps fails, or may have run without a known outcome.
type Action uint8

// The actions.
const (
	FailWorkflow    Action = iota // "stop": no further step is started, and the workflow ends as failed
	HoldForOperator               // "hold": no further step is started until an operator has resolved the step
	RunAlternative                // "go STEP": another step runs instead, and the workflow goes on
	Compensate                    // "undo STEP": another step takes back what was done, and the workflow ends as failed
	Continue                      // "pass": the workflow goes on, and steps that need this one see its outcome
)

// Reaction is an action together with the step that it runs.
type Reaction struct {
	Action Action `cbor:"Act" json:"Act"`
	Step   string // the handler that RunAlternative and Compensate run; empty for other actions
}

// Step is one step of a template.
type Step struct {
	Name            string
	Class           string        // job class in the dispatchers' settings, which says whether the step may be repeated
	Pool            string        // pool of workers that it runs in; empty: any worker
	Needs           []string      // names of the steps that have to end before it
	FanOutOver      string        `cbor:"Each" json:"Each"`           // name of an input, or of a step whose result lists the items; empty: no fan-out
	Trigger         TriggerRule   `cbor:"When" json:"When"`           // which outcomes of Needs let it run
	StartDelay      time.Duration `cbor:"NotBefore" json:"NotBefore"` // minimum time between the end of all it needs and its start
	StartMoment     string        `cbor:"At" json:"At"`               // name of a moment given at submission, before which it does not start; empty: none
	TypicalDuration time.Duration `cbor:"Runs" json:"Runs"`           // expected run time, for the critical path; 0: 1 s
	MaxAttempts     int           `cbor:"Tries" json:"Tries"`         // attempts that may have run, where its class may be repeated; 0: 3
	OnFailed        Reaction
	OnUnknown       Reaction
}

// ExpectedDuration returns how long the step typically runs, which the critical path is computed from.
func (s *Step) ExpectedDuration() time.Duration {
	if s.TypicalDuration == 0 {
		return defaultStepDuration
	}
	return s.TypicalDuration
}

// AttemptLimit returns how many attempts of the step may have run before it counts as failed. It applies only where the
// step's class may be repeated.
func (s *Step) AttemptLimit() int {
	if s.MaxAttempts == 0 {
		return defaultAttempts
	}
	return s.MaxAttempts
}

// Template is one kind of workflow.
type Template struct {
	Name            string
	Tenant          string        // tenant that its steps are accounted to; empty where the settings have no tenants
	Team            string        // team whose contract its steps run under; empty: none
	TargetMakespan  time.Duration `cbor:"Wanted" json:"Wanted"` // wanted time from submission to end; 0: none, steps are ordered by age alone
	MaxLiveItems    int           `cbor:"Most" json:"Most"`     // items of all fan-outs that may be live at once; 0: 64
	MaxFanOut       int           `cbor:"Fan" json:"Fan"`       // items of one fan-out; 0: 10,000
	DispatcherShare float64       `cbor:"Share" json:"Share"`   // fraction of a dispatcher's open requests that may be its steps while clients' requests queue; 0: 0.2
	Steps           []Step
}

// Window returns how many items of fan-outs may be live at once.
func (t *Template) Window() int {
	if t.MaxLiveItems == 0 {
		return defaultLiveItems
	}
	return t.MaxLiveItems
}

// FanOutLimit returns how many items one fan-out may have.
func (t *Template) FanOutLimit() int {
	if t.MaxFanOut == 0 {
		return defaultFanOut
	}
	return t.MaxFanOut
}
