package workflowsteps

import (
	"fmt"

	"yardflow/internal/workflow/claims"
)

// SettingsError says that this dispatcher's settings lack a step's class or tenant.
type SettingsError struct{ Step *claims.ClaimedStep }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("step %q of flow %q: class %q, tenant %q: not both in the settings", e.Step.Step, e.Step.Workflow, e.Step.Class, e.Step.Tenant)
}

// Advice returns what an operator can do now.
func (e *SettingsError) Advice() string {
	return "give this dispatcher the settings that the others have, or propose a policy without that template and cancel its flows"
}

// Code returns the word for this error in the operators' table.
func (e *SettingsError) Code() string { return "flow-settings" }

// AbandonedStepsError says how many claimed steps had not ended when the process ended.
type AbandonedStepsError struct{ Steps int }

func (e *AbandonedStepsError) Error() string {
	return fmt.Sprintf("%d steps are still running at the end of this process", e.Steps)
}

// Advice returns what an operator can do now.
func (e *AbandonedStepsError) Advice() string {
	return "see keeper flow show for flows that are held: a step that is never to be repeated is unknown now"
}

// Code returns the word for this error in the operators' table.
func (e *AbandonedStepsError) Code() string { return "flow-left" }
