package template

import "strings"

// Limits on what an operator may write. A template beyond one of them is rejected when its policy is proposed.
const (
	MaxSteps       = 64 // steps of one template: package graph keeps sets of steps as the bits of a uint64
	MaxFanOutDepth = 3  // fan-outs nested in each other: the length of the path in each reference to a step
	MaxAttempts    = 10 // attempts of one repeatable step that may have run
)

// Limits on the size of one workflow. They bound the coordinators' replicated state and the entries of their log.
const (
	MaxFanOut          = 1 << 20   // items of one fan-out
	MaxUnwindowedItems = 10_000    // items of a fan-out that has to have all of them live at once
	MaxInputBytes      = 512 << 10 // bytes of all input items of one submission together
	MaxResultBytes     = 1024      // bytes of a step's result that is passed on to later steps
)

// maxNameLength is the longest name of a workflow, template or step, in bytes.
const maxNameLength = 100

// ValidName reports whether text can name a workflow, a template or a step: 1 to 100 characters of A-Z, a-z, 0-9 and
// ". _ : @ -". Names are written into HTTP headers and file names, so nothing that these give a meaning to is allowed.
func ValidName(text string) bool {
	return len(text) > 0 && len(text) <= maxNameLength && !strings.ContainsFunc(text, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("._:@-", c)
	})
}
