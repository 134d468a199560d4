package workflowsteps

// This file owns the runner's faults, each with what an operator can do.

import (
	"fmt"

	"yardflow/internal/fleet/workflow/claims"
)

// SettingsError is a step that this dispatcher's settings have no class, or no tenant, for.
type SettingsError struct{ Step *claims.ClaimedStep }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("step %q of flow %q: class %q, tenant %q: not both in the settings", e.Step.Step, e.Step.Workflow, e.Step.Class, e.Step.Tenant)
}

// Advice says what an operator can do.
func (e *SettingsError) Advice() string {
	return "give this dispatcher the settings that the others have, or propose a policy without that template and cancel its flows"
}

// Code is its word.
func (e *SettingsError) Code() string { return "flow-settings" }

// AbandonedStepsError is of steps that were out when the process ended.
type AbandonedStepsError struct{ Steps int }

func (e *AbandonedStepsError) Error() string {
	return fmt.Sprintf("%d steps are still out at the end of this process", e.Steps)
}

// Advice says what an operator can do.
func (e *AbandonedStepsError) Advice() string {
	return "see keeper flow show for flows that are held: a step that is never to be repeated is unknown now"
}

// Code is its word.
func (e *AbandonedStepsError) Code() string { return "flow-left" }
