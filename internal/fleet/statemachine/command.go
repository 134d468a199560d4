package statemachine

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/template"
)

// Command is one entry of the log. Exactly one field is set; a command whose field this version does not know is
// answered with an error and changes nothing.
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

// Tick moves the state's clock on. The leader proposes it; it reads State.GrantCount before it reads its clock.
type Tick struct {
	Elapsed    time.Duration `cbor:"Passed"`
	GrantsSeen uint64        `cbor:"Seen"` // leases up to this number count from this tick on
	LeaderTerm uint64        `cbor:"Lead"`
	Number     uint64        `cbor:"No"` // of this term's ticks; a gap: time has passed that was not counted
}

// LeaseRequest asks for a lease, or renews one. A dispatcher sends it every third of a lease.
type LeaseRequest struct {
	Name           string          // of the dispatcher
	Incarnation    uint64          `cbor:"Life"`
	Seq            uint64          // grows with each request of this incarnation; one that is not newer is late or doubled
	KnownVersion   uint64          `cbor:"Knows"`  // the newest policy that it has applied; no lease is granted under another
	ServingVersion uint64          `cbor:"Serves"` // under which it admits work now; 0: it admits none
	Program        string          // version of its program
	CurrentGrant   uint64          `cbor:"Heard"` // number of the latest lease that it goes by
	QuotaRequests  []quota.Request `cbor:"Wants"`
	Zone           int
	WorkerCount    int                `cbor:"Workers"` // that it knows
	OutlierReports []outlier.Report   `cbor:"Saw"`     // of those workers
	ColdStart      *coldstart.Request `cbor:"Start"`
}

// ListUpdate publishes what the reader of a zone has read from the list service.
type ListUpdate struct {
	Name         string // of the dispatcher
	Incarnation  uint64 `cbor:"Life"`
	Zone         int
	FencingToken uint64            `cbor:"Fence"` // of its turn as the reader; an older one is rejected
	Update       relay.Publication `cbor:"Word"`
}

// Vote says whether a holder can run a proposed policy, which it has checked against its own settings.
type Vote struct {
	Name        string // of the dispatcher
	Incarnation uint64 `cbor:"Life"`
	ChangeID    string `cbor:"Change"`
	Objection   string `cbor:"Why"` // why it can't; empty: it can
}

// LeaseRelease gives a lease back: the holder's process ends and admits nothing any more.
type LeaseRelease struct {
	Name        string // of the dispatcher
	Incarnation uint64 `cbor:"Life"`
	Seq         uint64 // as of LeaseRequest
}

// Proposal asks for a change of policy. What Text says is sent with it as values, read by the proposer: a holder that
// reads the text differently objects to it.
type Proposal struct {
	ID               string // chosen by the proposer; the same again has no effect
	Text             []byte
	Limits           []quota.Limit
	OutlierSettings  *outlier.Settings   `cbor:"Judges"`
	ColdStart        *coldstart.Settings `cbor:"Start"`
	Workflows        []template.Template `cbor:"Flows"`
	Pools            []string            // of workers, that the text has
	BaseVersion      uint64              `cbor:"Base"` // which the proposer changed; rejected where another is in force
	Author           string              `cbor:"Who"`
	Reason           string              `cbor:"Why"`
	SkipUnresponsive bool                `cbor:"WithoutSilent"` // go on without holders that do not vote, once their leases have expired
}

// Withdrawal ends a change that is not closing yet.
type Withdrawal struct {
	ID     string
	Author string `cbor:"Who"`
	Reason string `cbor:"Why"`
}
