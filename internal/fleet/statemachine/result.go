package statemachine

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/platform/fault"
	"yardflow/internal/workflow/claims"
)

// Result is what came of a command. Err to Generation and CurrentVersion are set for every command, Workflow for one on
// workflows, and the others for a lease request.
type Result struct {
	Err            string // why nothing was done; empty: it was
	Code           string // of the fault in Err (see fault.Fault), if it is one
	Revision       uint64
	Generation     uint64                   `cbor:"Era"`   // an answer of an older generation than one heard of before is void
	LeaseDuration  time.Duration            `cbor:"Lease"` // counts from when the lease was asked for; 0: none is granted
	Grant          uint64                   // number of the lease
	QuotaGrants    []quota.Share            `cbor:"Parts"` // usable for as long as the lease
	Ejections      []outlier.EjectionNotice `cbor:"Verdicts"`
	ReportsWanted  []outlier.Incarnation    `cbor:"Accused"` // workers that the caller is to report on
	ColdStart      *coldstart.Response      `cbor:"Start"`
	Workflow       *claims.Answer           `cbor:"Flow"`
	ClaimLease     time.Duration            `cbor:"Stay"`  // counts from when it was asked for; 0: there are no workflows
	StepsReady     bool                     `cbor:"Steps"` // steps of workflows can be claimed
	NoLeaseReason  string                   `cbor:"Why"`
	CurrentVersion uint64                   `cbor:"InForce"` // of the policy in force
	Policy         *Policy                  // in force, where the caller does not have it
	Change         *PolicyChange            // proposed, where the caller has not voted on it
	StopAdmitting  bool                     `cbor:"Stop"` // admit nothing until a lease is granted
}

// setError records an error, and reports whether there is one.
func (r *Result) setError(err error) bool {
	if err == nil {
		return false
	}
	r.Err = fault.Text(err)
	if f := fault.Of(err); f != nil {
		r.Code = f.Code()
	}
	return true
}
