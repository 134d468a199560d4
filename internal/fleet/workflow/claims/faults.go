package claims

// This file owns the ledger's faults, each with what an operator can do.

import (
	"fmt"
	"strings"
)

// NotFoundError names what the ledger does not have.
type NotFoundError struct {
	Kind     string // a flow, a template, a step
	Name     string
	Existing []string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no such %s: %q; expected one of %s", e.Kind, e.Name, strings.Join(e.Existing, ", "))
}

// Advice says what an operator can do.
func (e *NotFoundError) Advice() string {
	return "see keeper flow show, and the templates of the policy in force"
}

// Code is its word.
func (e *NotFoundError) Code() string { return "flow-unknown" }

// InputError is a submission that its template can't take.
type InputError struct {
	Template, Input   string
	Problem, Expected string
}

func (e *InputError) Error() string {
	return fmt.Sprintf("flow %q: %s: %s; expected %s", e.Template, e.Input, e.Problem, e.Expected)
}

// Advice says what an operator can do.
func (e *InputError) Advice() string {
	return "correct the submission and send it again under the same key"
}

// Code is its word.
func (e *InputError) Code() string { return "flow-input" }

// LimitError refuses a submission for want of room.
type LimitError struct{ Limit int }

func (e *LimitError) Error() string { return fmt.Sprintf("%d flows are under way, the most", e.Limit) }

// Advice says what an operator can do.
func (e *LimitError) Advice() string {
	return "submit it again under the same key once some have ended, or cancel some"
}

// Code is its word.
func (e *LimitError) Code() string { return "flow-full" }

// StateError is a call that the flow, or its step, is in no state for.
type StateError struct{ Workflow, Actual, Expected string }

func (e *StateError) Error() string {
	return fmt.Sprintf("flow %q: %s; expected %s", e.Workflow, e.Actual, e.Expected)
}

// Advice says what an operator can do.
func (e *StateError) Advice() string { return "see keeper flow show for how far it is" }

// Code is its word.
func (e *StateError) Code() string { return "flow-state" }

// LeaseError refuses a dispatcher that holds no lease.
type LeaseError struct{ Dispatcher string }

func (e *LeaseError) Error() string {
	return fmt.Sprintf("%s holds no lease: it claims, marks and ends nothing", e.Dispatcher)
}

// Advice says what an operator can do.
func (e *LeaseError) Advice() string {
	return "nothing: it asks again once it holds one; if it comes often, see why it loses its lease"
}

// Code is its word.
func (e *LeaseError) Code() string { return "flow-lease" }

// ResultError is a step's result that can't go to later steps.
type ResultError struct {
	Step  string
	Bytes int // 0: it is no list
	Limit int
}

func (e *ResultError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("step %q: a result of %d bytes; expected %d at most", e.Step, e.Bytes, e.Limit)
	}
	return fmt.Sprintf("step %q: its result is no list of %d items at the most", e.Step, e.Limit)
}

// Advice says what an operator can do.
func (e *ResultError) Advice() string {
	return "have the worker keep the result elsewhere and give where it is; the step counts as failed"
}

// Code is its word.
func (e *ResultError) Code() string { return "flow-result" }

// NoWorkflowsError is a call for workflows where no policy ever had any.
type NoWorkflowsError struct{}

func (e *NoWorkflowsError) Error() string { return "no workflows: no policy in force has had any yet" }

// Advice says what an operator can do.
func (e *NoWorkflowsError) Advice() string { return "propose a policy with a section [[flow]]" }

// Code is its word.
func (e *NoWorkflowsError) Code() string { return "flow-none" }

// PoolInUseError is a policy without a pool that a flow under way needs.
type PoolInUseError struct{ Pool, Workflow string }

func (e *PoolInUseError) Error() string {
	return fmt.Sprintf("pool %q: not in the policy, and flow %q, which is under way, needs it", e.Pool, e.Workflow)
}

// Advice says what an operator can do.
func (e *PoolInUseError) Advice() string {
	return "leave the pool in until that flow has ended, or cancel the flow"
}

// Code is its word.
func (e *PoolInUseError) Code() string { return "flow-pool-needed" }
