package claims

import (
	"fmt"
	"strings"
)

// NotFoundError rejects a command on a workflow or template that does not exist.
type NotFoundError struct {
	Kind     string // "flow" or "template"
	Name     string
	Existing []string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no such %s: %q; expected one of %s", e.Kind, e.Name, strings.Join(e.Existing, ", "))
}

// Advice returns what an operator can do now.
func (e *NotFoundError) Advice() string {
	return "see keeper flow show, and the templates of the policy in force"
}

// Code returns the word for this error in the operators' table.
func (e *NotFoundError) Code() string { return "flow-unknown" }

// InputError rejects a submission that does not fit its template.
type InputError struct {
	Template, Input   string
	Problem, Expected string
}

func (e *InputError) Error() string {
	return fmt.Sprintf("flow %q: %s: %s; expected %s", e.Template, e.Input, e.Problem, e.Expected)
}

// Advice returns what an operator can do now.
func (e *InputError) Advice() string {
	return "correct the submission and send it again under the same key"
}

// Code returns the word for this error in the operators' table.
func (e *InputError) Code() string { return "flow-input" }

// LimitError rejects a submission while too many workflows are active.
type LimitError struct{ Limit int }

func (e *LimitError) Error() string { return fmt.Sprintf("%d flows are under way, the most", e.Limit) }

// Advice returns what an operator can do now.
func (e *LimitError) Advice() string {
	return "submit it again under the same key once some have ended, or cancel some"
}

// Code returns the word for this error in the operators' table.
func (e *LimitError) Code() string { return "flow-full" }

// StateError rejects a command that the workflow, or its step, is in no state for.
type StateError struct{ Workflow, Actual, Expected string }

func (e *StateError) Error() string {
	return fmt.Sprintf("flow %q: %s; expected %s", e.Workflow, e.Actual, e.Expected)
}

// Advice returns what an operator can do now.
func (e *StateError) Advice() string { return "see keeper flow show for how far it is" }

// Code returns the word for this error in the operators' table.
func (e *StateError) Code() string { return "flow-state" }

// LeaseError rejects a command of a dispatcher whose claim lease has expired.
type LeaseError struct{ Dispatcher string }

func (e *LeaseError) Error() string {
	return fmt.Sprintf("%s holds no lease: it claims, marks and ends nothing", e.Dispatcher)
}

// Advice returns what an operator can do now.
func (e *LeaseError) Advice() string {
	return "nothing: it asks again once it holds one; if it comes often, see why it loses its lease"
}

// Code returns the word for this error in the operators' table.
func (e *LeaseError) Code() string { return "flow-lease" }

// ResultError says why a step's result cannot be passed on to later steps. Its text is stored as the reason why the step
// has failed, and must not change (see reasonRestored).
type ResultError struct {
	Step  string
	Bytes int // the result's size where it is too large; 0: it is no list, or has too many items
	Limit int // in bytes, or in items
}

func (e *ResultError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("step %q: a result of %d bytes; expected %d at most", e.Step, e.Bytes, e.Limit)
	}
	return fmt.Sprintf("step %q: its result is no list of %d items at the most", e.Step, e.Limit)
}

// Advice returns what an operator can do now.
func (e *ResultError) Advice() string {
	return "have the worker keep the result elsewhere and give where it is; the step counts as failed"
}

// Code returns the word for this error in the operators' table.
func (e *ResultError) Code() string { return "flow-result" }

// NoWorkflowsError rejects a command on workflows where no policy has had any so far.
type NoWorkflowsError struct{}

func (e *NoWorkflowsError) Error() string { return "no workflows: no policy in force has had any yet" }

// Advice returns what an operator can do now.
func (e *NoWorkflowsError) Advice() string { return "propose a policy with a section [[flow]]" }

// Code returns the word for this error in the operators' table.
func (e *NoWorkflowsError) Code() string { return "flow-none" }

// PoolInUseError rejects a policy that lacks a pool which an active workflow needs.
type PoolInUseError struct{ Pool, Workflow string }

func (e *PoolInUseError) Error() string {
	return fmt.Sprintf("pool %q: not in the policy, and flow %q, which is under way, needs it", e.Pool, e.Workflow)
}

// Advice returns what an operator can do now.
func (e *PoolInUseError) Advice() string {
	return "leave the pool in until that flow has ended, or cancel the flow"
}

// Code returns the word for this error in the operators' table.
func (e *PoolInUseError) Code() string { return "flow-pool-needed" }
