package policylease

// Fault is a mistake that is planted into the model on purpose, so that a test can show that the exploration would find
// it: one that finds no planted fault would say nothing by finding nothing.
type Fault string

// The faults that the exploration must find.
const (
	NoFault               Fault = ""
	AcceptsStaleMessages  Fault = "a late or doubled message is taken for a new one"
	LeaseCountsFromAnswer Fault = "a lease counts from its answer, not from when it was asked for"
	FastCoordinatorClock  Fault = "the keepers' time runs faster than any clock"
	ReportsNotServing     Fault = "a holder says that it serves under nothing, and serves"
	SkipsClosing          Fault = "a change comes into force without waiting for leases"
	AppliesEarly          Fault = "a holder goes over to a version when it is proposed"
	ServesAfterRelease    Fault = "a holder goes on after it has left"
	ActsOnOldCheck        Fault = "a holder that was stopped acts before it looks at its lease"
	CountsTimeBeforeGrant Fault = "time that passed before a lease was given counts for it"
	LeaderForgetsLeases   Fault = "a keeper that leads anew does not know what the one before gave"
)

// Faults are all faults but NoFault.
var Faults = []Fault{AcceptsStaleMessages, LeaseCountsFromAnswer, FastCoordinatorClock, ReportsNotServing, SkipsClosing,
	AppliesEarly, ServesAfterRelease, ActsOnOldCheck, CountsTimeBeforeGrant, LeaderForgetsLeases}
