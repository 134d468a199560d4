package claims

import (
	"time"

	"yardflow/internal/workflow/expansion"
)

// Command is a command on workflows in the coordinators' log; exactly one of its fields is set.
type Command struct {
	Submit        *Submission      `cbor:"1,keyasint,omitempty"`
	Claim         *ClaimRequest    `cbor:"2,keyasint,omitempty"`
	RecordIntents *DispatchIntents `cbor:"3,keyasint,omitempty" json:"Mark"`
	EndSteps      *StepEnds        `cbor:"4,keyasint,omitempty" json:"End"`
	Cancel        *Cancellation    `cbor:"5,keyasint,omitempty"`
	Resolve       *Resolution      `cbor:"6,keyasint,omitempty" json:"Settle"`
	Query         *StatusQuery     `cbor:"7,keyasint,omitempty" json:"Show"` // changes nothing
}

// Submission starts a workflow. It is idempotent by its key.
type Submission struct {
	Key       string // names the workflow, see template.ValidName
	Template  string
	Inputs    map[string]expansion.Input `cbor:",omitempty"`
	Moments   map[string]time.Duration   `cbor:",omitempty"` // by name, as a time from now on
	Submitter string                     `cbor:"Who" json:"Who"`
}

// ClaimRequest claims ready steps for a dispatcher that holds a lease. Claims that it holds and has not seen are told
// again.
type ClaimRequest struct {
	Dispatcher    string   `cbor:"Name" json:"Name"`
	Incarnation   uint64   `cbor:"Life" json:"Life"`
	WantedSteps   int      `cbor:"Want" json:"Want"`   // claims to hold at once, those held already counted
	LastSeenClaim uint64   `cbor:"Heard" json:"Heard"` // number of the latest claim that it knows of; 0: it wants to be told of all
	Pools         []string // those that it has usable workers in; "" is of steps that run anywhere
}

// DispatchIntent says that a claimed step is about to be sent to a worker, and how far it may be repeated then.
type DispatchIntent struct {
	ClaimNumber  uint64        `cbor:"1,keyasint" json:"No"`
	AtMostOnce   bool          `cbor:"2,keyasint,omitempty" json:"Once"`   // it must never be sent again
	PinnedCell   int           `cbor:"3,keyasint,omitempty" json:"Cell"`   // one more than the worker's cell, where only that cell drops a repeat; 0: all do
	DedupWindow  time.Duration `cbor:"4,keyasint,omitempty" json:"Window"` // for how long workers drop repeats; 0: it may be repeated at any time
	NotRunBefore bool          `cbor:"5,keyasint,omitempty" json:"Anew"`   // the step has run nowhere so far: cell and window replace those of earlier intents
	Sequence     int           `cbor:"6,keyasint,omitempty" json:"Turn"`   // among the claim's intents, from 1 on; one older than the last recorded changes nothing
}

// DispatchIntents records intents before the first byte of any of the steps is sent. A step whose claim is no longer held
// is answered as rejected, and must not be sent.
type DispatchIntents struct {
	Dispatcher  string           `cbor:"Name" json:"Name"`
	Incarnation uint64           `cbor:"Life" json:"Life"`
	Intents     []DispatchIntent `cbor:"All" json:"All"`
}

// Outcome is how a claimed step has ended at its dispatcher.
type Outcome uint8

// The outcomes, in the order of their encoding.
const (
	OutcomeDone    Outcome = iota
	OutcomeFailed          // the worker answered that it has failed
	OutcomeUnknown         // it may have run, and may still be running
	OutcomeRequeue         // it has not run under this claim, and is to be handed out again
)

// StepEnd reports the end of one claim.
type StepEnd struct {
	ClaimNumber uint64        `cbor:"1,keyasint" json:"No"`
	Outcome     Outcome       `cbor:"2,keyasint,omitempty" json:"How"`
	Result      []byte        `cbor:"3,keyasint,omitempty"`                // of OutcomeDone, where later steps use it
	RetryAfter  time.Duration `cbor:"4,keyasint,omitempty" json:"After"`   // of OutcomeRequeue: how long it is not handed out; a minute at most
	Reason      string        `cbor:"5,keyasint,omitempty" json:"Why"`     // for operators
	Repeatable  bool          `cbor:"6,keyasint,omitempty" json:"Repeats"` // of OutcomeFailed and OutcomeUnknown: its class may be repeated
}

// StepEnds reports ends of claims.
type StepEnds struct {
	Dispatcher  string    `cbor:"Name" json:"Name"`
	Incarnation uint64    `cbor:"Life" json:"Life"`
	Ends        []StepEnd `cbor:"All" json:"All"`
}

// Cancellation cancels a workflow: no further step of it is started.
type Cancellation struct {
	Workflow    string `cbor:"Flow" json:"Flow"`
	RequestedBy string `cbor:"Who" json:"Who"`
}

// Resolution is an operator's decision on a step that holds its workflow.
type Resolution struct {
	Workflow    string            `cbor:"Flow" json:"Flow"`
	RequestedBy string            `cbor:"Who" json:"Who"`
	Step        expansion.StepRef `cbor:"Ref" json:"Ref"`
	Outcome     Outcome           `cbor:"As" json:"As"` // OutcomeDone, OutcomeFailed, or OutcomeRequeue: it has not run, and is handed out again
}

// ClaimedStep describes a claimed step to the dispatcher that holds the claim.
type ClaimedStep struct {
	ClaimNumber      uint64                             `cbor:"1,keyasint" json:"No"` // fencing token of all that the dispatcher reports of the step
	Workflow         string                             `cbor:"2,keyasint" json:"Flow"`
	Template         string                             `cbor:"3,keyasint"`
	Tenant           string                             `cbor:"4,keyasint,omitempty"`
	Team             string                             `cbor:"17,keyasint,omitempty"`
	Step             string                             `cbor:"5,keyasint"`
	Class            string                             `cbor:"6,keyasint"`
	Pool             string                             `cbor:"7,keyasint,omitempty"` // empty: any worker
	Ref              expansion.StepRef                  `cbor:"8,keyasint"`
	ItemValues       []string                           `cbor:"9,keyasint,omitempty" json:"Values"`   // of the items around it, the outermost first
	Results          map[string]string                  `cbor:"10,keyasint,omitempty"`                // of the steps it depends on, by name
	FanOutCounts     map[string]expansion.OutcomeCounts `cbor:"11,keyasint,omitempty" json:"Tallies"` // of the steps in whole fan-outs that it depends on, by name
	PinnedCell       int                                `cbor:"12,keyasint,omitempty" json:"Cell"`    // one more than the only cell that it may be repeated in; 0: any
	RepeatWindowLeft time.Duration                      `cbor:"13,keyasint,omitempty" json:"Left"`    // for how long it may be repeated, from when the claim was asked for; 0: it has not run
	RunUncertain     bool                               `cbor:"14,keyasint,omitempty" json:"Doubt"`   // it may have run before the coordinators were restored
	DispatcherShare  float64                            `cbor:"15,keyasint,omitempty" json:"Share"`
	ResultUsed       bool                               `cbor:"16,keyasint,omitempty" json:"Takes"` // its result is to be reported: later steps use it
	Overdue          bool                               `cbor:"18,keyasint,omitempty" json:"Aged"`  // it has waited for aging.MaxDelay, and competes with clients' requests as an equal
}

// Answer is the result of a command.
type Answer struct {
	Claimed          []ClaimedStep            `cbor:"1,keyasint,omitempty" json:"Tasks"`
	Rejected         []uint64                 `cbor:"2,keyasint,omitempty" json:"Refused"` // claims that the dispatcher does not hold, or that were taken back
	Recorded         []uint64                 `cbor:"7,keyasint,omitempty" json:"Written"` // of RecordIntents: claims whose intent is recorded; for one that is in neither list it asks again
	RepeatWindows    map[uint64]time.Duration `cbor:"8,keyasint,omitempty" json:"Lefts"`   // of RecordIntents: for how long the step may be repeated, from when the claim was asked for
	MoreReady        bool                     `cbor:"3,keyasint,omitempty" json:"More"`    // of Claim: further steps could be claimed
	AlreadySubmitted bool                     `cbor:"4,keyasint,omitempty" json:"Known"`   // of Submit: the key was taken, nothing has changed
	Statuses         []WorkflowStatus         `cbor:"5,keyasint,omitempty" json:"Views"`   // of Query: the workflow asked for, or the latest 200
	CountsByState    map[string]int           `cbor:"6,keyasint,omitempty" json:"Counts"`  // of Query for all: workflows by state
}
