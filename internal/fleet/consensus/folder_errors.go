package consensus

import "fmt"

// FolderError is a folder that a node does not start from. It is refused as it is: nothing in it is repaired or made
// anew, since a member that forgets what it has voted for or acknowledged may break what others rely on.
//
// Errors that carry more detail wrap one of the values below.
type FolderError struct {
	code    string
	problem string
	advice  string
}

// Error returns the problem, for most with the advice.
func (e *FolderError) Error() string { return e.problem }

// Advice returns what an operator can do now.
func (e *FolderError) Advice() string { return e.advice }

// Code returns a stable word for the problem.
func (e *FolderError) Code() string { return e.code }

// newFolderError makes an error whose text gives the advice.
func newFolderError(code, problem, advice string) *FolderError {
	return &FolderError{code: code, problem: problem + ": " + advice, advice: advice}
}

// Why a folder is refused. The texts stand in the operators' table of docs/FLEET-CONTROL.md.
var (
	ErrNoData = newFolderError("folder-empty", "the folder holds no keeper",
		"start it with --new if it never was one; a keeper that lost its folder is taken out and comes in again as another member")
	ErrAlreadyInitialized = newFolderError("folder-taken", "the folder holds a keeper already",
		"start it without --new")
	ErrOtherOwner = &FolderError{code: "folder-foreign", problem: "the folder is another's",
		advice: "name this keeper's own folder, fleet and member in its file"}
	ErrOutdatedCopy = newFolderError("folder-older", "the folder is an older copy",
		"take this keeper out and let another member come in")
	ErrCorrupt = newFolderError("folder-damaged", "the folder is damaged",
		"take this keeper out and let another member come in, or restore a majority from a snapshot")
)

// corrupt returns an error that wraps ErrCorrupt, with what was found where.
func corrupt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}
