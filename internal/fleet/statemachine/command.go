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
	Tick     *Tick           `cbor:"1,keyasint,omitempty"`
	Hold     *Hold           `cbor:"2,keyasint,omitempty"`
	Say      *Say            `cbor:"3,keyasint,omitempty"`
	Leave    *Leave          `cbor:"4,keyasint,omitempty"`
	Propose  *Propose        `cbor:"5,keyasint,omitempty"`
	Withdraw *Withdraw       `cbor:"6,keyasint,omitempty"`
	Relay    *Relay          `cbor:"7,keyasint,omitempty"`
	Flow     *claims.Command `cbor:"8,keyasint,omitempty"`
}

// Tick tells that time has passed, by a clock that was read when so many grants were seen.
type Tick struct {
	Passed time.Duration
	Seen   uint64
	Lead   uint64 // the term of whoever leads, and how often it has told time in it
	No     uint64
}

// Hold asks for a lease, or for another.
type Hold struct {
	Name    string
	Life    uint64
	Seq     uint64 // grows with each message of this life; one that is not newer is late or doubled
	Knows   uint64 // the newest version that it has whole; a lease is given under no other
	Serves  uint64 // the version under which it admits work now; 0: it admits none
	Program string
	Heard   uint64       // the latest grant that it has heard of, and goes by
	Wants   []quota.Want // of the limits of the fleet
	Zone    int
	Workers int              // that it knows
	Saw     []outlier.Report // of them
	Start   *coldstart.Want
}

// Relay is what the reader of a zone was told by the list service.
type Relay struct {
	Name  string
	Life  uint64
	Zone  int
	Fence uint64 // of its seat
	Word  relay.Word
}

// Say tells whether a holder could run the change, having taken it in whole.
type Say struct {
	Name   string
	Life   uint64
	Change string
	Why    string // it could not; empty: it could
}

// Leave gives a lease back: its holder admits nothing any more.
type Leave struct {
	Name string
	Life uint64
	Seq  uint64
}

// Propose asks for a change of policy. Base is the version that it was made from.
type Propose struct {
	ID            string
	Text          []byte
	Limits        []quota.Limit // as the text has them; a holder that reads others can't run it
	Judges        *outlier.Settings
	Start         *coldstart.Settings
	Flows         []template.Template
	Pools         []string // that the text has
	Base          uint64
	Who, Why      string
	WithoutSilent bool // wait for the leases of those that say nothing, and do without them
}

// Withdraw ends a change that is not in force yet.
type Withdraw struct{ ID, Who, Why string }

// Result is what came of a command.
type Result struct {
	Err      string // why nothing was done
	Code     string // of a fault: its word in the operators' table
	Revision uint64
	Era      uint64        // of the keepers; who has heard of a later one takes nothing of this
	Lease    time.Duration // of the lease given, from when it was asked for; 0: none was given
	Grant    uint64        // its number
	Parts    []quota.Part  // of the limits of the fleet, for as long
	Verdicts []outlier.Verdict
	Accused  []outlier.Life // of whom it is to say what it knows
	Start    *coldstart.Word
	Flow     *claims.Answer
	Stay     time.Duration // its claims on workflows are its own for so long from when it asked; 0: there are none
	Steps    bool          // of workflows are ready
	Why      string        // none was given
	InForce  uint64        // the version in force
	Policy   *Policy       // in force, where the asker does not have it
	Change   *Change       // under way, where the asker has yet to say something, or to stop
	Stop     bool          // admit nothing until a lease is given again
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
