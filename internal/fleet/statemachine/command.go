package statemachine

// This file owns what the keepers are asked and what they answer: the commands of the log, each a
// small typed value, and their result. It must never act on one.

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/template"
	"yardflow/internal/platform/fault"
)

// Command is one of the commands below; just one of its parts is set.
type Command struct {
	Tick         *Tick           `cbor:"1,keyasint,omitempty"`
	LeaseRequest *LeaseRequest   `cbor:"2,keyasint,omitempty"`
	Vote         *Vote           `cbor:"3,keyasint,omitempty"`
	LeaseRelease *LeaseRelease   `cbor:"4,keyasint,omitempty"`
	Proposal     *Proposal       `cbor:"5,keyasint,omitempty"`
	Withdrawal   *Withdrawal     `cbor:"6,keyasint,omitempty"`
	ListUpdate   *ListUpdate     `cbor:"7,keyasint,omitempty"`
	Workflow     *claims.Command `cbor:"8,keyasint,omitempty"`
}

// Tick tells that time has passed, by a clock that was read when so many grants were seen.
type Tick struct {
	Elapsed    time.Duration `cbor:"Passed"`
	GrantsSeen uint64        `cbor:"Seen"`
	LeaderTerm uint64        `cbor:"Lead"` // the term of whoever leads, and how often it has told time in it
	Number     uint64        `cbor:"No"`
}

// LeaseRequest asks for a lease, or for another.
type LeaseRequest struct {
	Name           string
	Incarnation    uint64 `cbor:"Life"`
	Seq            uint64 // grows with each message of this life; one that is not newer is late or doubled
	KnownVersion   uint64 `cbor:"Knows"`  // the newest version that it has whole; a lease is given under no other
	ServingVersion uint64 `cbor:"Serves"` // the version under which it admits work now; 0: it admits none
	Program        string
	CurrentGrant   uint64          `cbor:"Heard"` // the latest grant that it has heard of, and goes by
	QuotaRequests  []quota.Request `cbor:"Wants"` // of the limits of the fleet
	Zone           int
	WorkerCount    int                `cbor:"Workers"` // that it knows
	OutlierReports []outlier.Report   `cbor:"Saw"`     // of them
	ColdStart      *coldstart.Request `cbor:"Start"`
}

// ListUpdate is what the reader of a zone was told by the list service.
type ListUpdate struct {
	Name         string
	Incarnation  uint64 `cbor:"Life"`
	Zone         int
	FencingToken uint64            `cbor:"Fence"` // of its seat
	Update       relay.Publication `cbor:"Word"`
}

// Vote tells whether a holder could run the change, having taken it in whole.
type Vote struct {
	Name        string
	Incarnation uint64 `cbor:"Life"`
	ChangeID    string `cbor:"Change"`
	Objection   string `cbor:"Why"` // it could not; empty: it could
}

// LeaseRelease gives a lease back: its holder admits nothing any more.
type LeaseRelease struct {
	Name        string
	Incarnation uint64 `cbor:"Life"`
	Seq         uint64
}

// Proposal asks for a change of policy. Base is the version that it was made from.
type Proposal struct {
	ID               string
	Text             []byte
	Limits           []quota.Limit       // as the text has them; a holder that reads others can't run it
	OutlierSettings  *outlier.Settings   `cbor:"Judges"`
	ColdStart        *coldstart.Settings `cbor:"Start"`
	Workflows        []template.Template `cbor:"Flows"`
	Pools            []string            // that the text has
	BaseVersion      uint64              `cbor:"Base"`
	Author           string              `cbor:"Who"`
	Reason           string              `cbor:"Why"`
	SkipUnresponsive bool                `cbor:"WithoutSilent"` // wait for the leases of those that say nothing, and do without them
}

// Withdrawal ends a change that is not in force yet.
type Withdrawal struct {
	ID     string
	Author string `cbor:"Who"`
	Reason string `cbor:"Why"`
}

// Result is what came of a command.
type Result struct {
	Err            string // why nothing was done
	Code           string // of a fault: its word in the operators' table
	Revision       uint64
	Generation     uint64        `cbor:"Era"`   // of the keepers; who has heard of a later one takes nothing of this
	LeaseDuration  time.Duration `cbor:"Lease"` // of the lease given, from when it was asked for; 0: none was given
	Grant          uint64        // its number
	QuotaGrants    []quota.Share `cbor:"Parts"` // of the limits of the fleet, for as long
	Ejections      []outlier.EjectionNotice
	ReportsWanted  []outlier.Incarnation `cbor:"Accused"` // of whom it is to say what it knows
	ColdStart      *coldstart.Response   `cbor:"Start"`
	Workflow       *claims.Answer        `cbor:"Flow"`
	ClaimLease     time.Duration         `cbor:"Stay"`    // its claims on workflows are its own for so long from when it asked; 0: there are none
	StepsReady     bool                  `cbor:"Steps"`   // of workflows are ready
	NoLeaseReason  string                `cbor:"Why"`     // none was given
	CurrentVersion uint64                `cbor:"InForce"` // the version in force
	Policy         *Policy               // in force, where the asker does not have it
	Change         *PolicyChange         // under way, where the asker has yet to say something, or to stop
	StopAdmitting  bool                  `cbor:"Stop"` // admit nothing until a lease is given again
}

// fault words an error, and tells whether there is one.
func (r *Result) fault(err error) bool {
	if err == nil {
		return false
	}
	r.Err = fault.Text(err)
	if f := fault.Of(err); f != nil {
		r.Code = f.Code()
	}
	return true
}
