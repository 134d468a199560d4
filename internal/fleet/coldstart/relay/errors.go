package relay

import "fmt"

// FenceError rejects a publication of a dispatcher that is not the reader, or no more.
type FenceError struct{ FencingToken, Current uint64 }

func (e *FenceError) Error() string {
	return fmt.Sprintf("published under fencing token %d; the reader's is %d", e.FencingToken, e.Current)
}

// Code is the fault's code in the operators' table.
func (e *FenceError) Code() string { return "relay-fence" }

// Advice is what an operator can do.
func (e *FenceError) Advice() string {
	return "nothing: another dispatcher reads for the zone; if it comes often, see why readers lose their lease"
}

// OutdatedListError rejects a list that is older than the one relayed.
type OutdatedListError struct{ Generation, Current uint64 }

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("a list of generation %d; %d is relayed already", e.Generation, e.Current)
}

// Code is the fault's code in the operators' table.
func (e *OutdatedListError) Code() string { return "relay-older" }

// Advice is what an operator can do.
func (e *OutdatedListError) Advice() string {
	return "see whether the list service was restored from an older state; if it was meant, change calls or use in the policy's [start] and back, which begins the relay anew"
}

// NeedsCompleteListError rejects a change before the complete list: what was published before it is another reader's.
type NeedsCompleteListError struct{}

func (*NeedsCompleteListError) Error() string {
	return "a change before the complete list under this fencing token"
}

// Code is the fault's code in the operators' table.
func (*NeedsCompleteListError) Code() string { return "relay-part" }

// Advice is what an operator can do.
func (*NeedsCompleteListError) Advice() string {
	return "nothing: the reader publishes the complete list next"
}
