package transport

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
)

// Hooks connect a LeaseSession with the parts of its dispatcher. All are called from the goroutine of Run, except
// ListMark, which the watch calls. CheckPolicy, ApplyPolicy and Log have to be set, and ReportsUndelivered where
// AddReports is; any other may be nil: the dispatcher has no such part. QuotaGranted is called with the session locked
// and must not call it. Moments are durations since the session's epoch.
type Hooks struct {
	CheckPolicy func(p statemachine.Policy) error // whether the dispatcher could run a policy
	ApplyPolicy func(p statemachine.Policy) error // runs a policy from here on
	Log         func(line string)

	// Fleet-wide limits.
	QuotaRequests  func() []quota.Request                          // what is asked for
	QuotaGranted   func(until time.Duration, grants []quota.Share) // what may be used until then
	QuotaExhausted func() bool                                     // whether to ask for more at once

	// Outlier detection.
	AddReports         func(request *statemachine.LeaseRequest) // adds what was seen of workers
	ReportsUndelivered func(reports []outlier.Report)           // the call failed: they may not have arrived
	EjectionsReceived  func(until time.Duration, verdicts []outlier.EjectionNotice, reportsWanted []outlier.Incarnation, fromWatch bool)

	// Cold starts.
	Zone             int                                                     // of the dispatcher
	ColdStartRequest func() *coldstart.Request                               // what is asked for; nil: nothing
	ColdStartGranted func(asked, until time.Duration, w *coldstart.Response) // the answer to what was asked for at asked
	ListMark         func() relay.Watermark                                  // how far the dispatcher has the relayed list
	ListReceived     func(u *relay.Update)                                   // what came behind that mark

	// Workflows.
	ClaimLeaseRenewed func(asked, length time.Duration, generation uint64, stepsReady bool) // length counts from asked
	StepsReady        func()                                                                // steps can be claimed
}
