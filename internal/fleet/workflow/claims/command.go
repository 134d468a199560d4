package claims

// This file owns what the ledger is asked and what it answers, each a small typed value. It must
// never act on one.

import (
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

// Command is one of the commands below; just one of its parts is set.
type Command struct {
	Submit        *Submission      `cbor:"1,keyasint,omitempty"`
	Claim         *ClaimRequest    `cbor:"2,keyasint,omitempty"`
	RecordIntents *DispatchIntents `cbor:"3,keyasint,omitempty" json:"Mark"`
	EndSteps      *StepEnds        `cbor:"4,keyasint,omitempty" json:"End"`
	Cancel        *Cancellation    `cbor:"5,keyasint,omitempty"`
	Resolve       *Resolution      `cbor:"6,keyasint,omitempty" json:"Settle"`
	Query         *StatusQuery     `cbor:"7,keyasint,omitempty" json:"Show"`
}

// Submission asks for a flow. Asked twice by one key it is asked for once.
type Submission struct {
	Key       string
	Template  string
	Inputs    map[string]expansion.Input `cbor:",omitempty"`
	Moments   map[string]time.Duration   `cbor:",omitempty"` // from now on
	Submitter string                     `cbor:"Who" json:"Who"`
}

// ClaimRequest asks for ready steps, by a dispatcher that has a lease. What it was told already and has not
// heard of is told again.
type ClaimRequest struct {
	Dispatcher    string   `cbor:"Name" json:"Name"`
	Incarnation   uint64   `cbor:"Life" json:"Life"`
	WantedSteps   int      `cbor:"Want" json:"Want"`   // steps it would have at once
	LastSeenClaim uint64   `cbor:"Heard" json:"Heard"` // the latest claim it has heard of
	Pools         []string // that it has workers in now
}

// DispatchIntent says of one claim that its step may have run from now on.
type DispatchIntent struct {
	ClaimNumber  uint64        `cbor:"1,keyasint" json:"No"`
	AtMostOnce   bool          `cbor:"2,keyasint,omitempty" json:"Once"`   // never to be repeated
	PinnedCell   int           `cbor:"3,keyasint,omitempty" json:"Cell"`   // one more than that of the worker, where only it drops a repeat; 0: all do
	DedupWindow  time.Duration `cbor:"4,keyasint,omitempty" json:"Window"` // for which repeats are dropped; 0: it may be repeated at any time
	NotRunBefore bool          `cbor:"5,keyasint,omitempty" json:"Anew"`   // it has run nowhere so far: this mark goes before earlier ones
	Sequence     int           `cbor:"6,keyasint,omitempty" json:"Turn"`   // among the claim's marks, from 1 on: one that is late changes nothing
}

// DispatchIntents is written before the first byte leaves. One whose claim is not held any more is refused,
// and its step must not be sent.
type DispatchIntents struct {
	Dispatcher  string           `cbor:"Name" json:"Name"`
	Incarnation uint64           `cbor:"Life" json:"Life"`
	Intents     []DispatchIntent `cbor:"All" json:"All"`
}

// Outcome is how a claimed step has ended at its dispatcher.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone    Outcome = iota
	OutcomeFailed          // by the worker's own word
	OutcomeUnknown         // it may have run, and may yet
	OutcomeRequeue         // it has not run: it is to be claimed again
)

// StepEnd is one claim's end.
type StepEnd struct {
	ClaimNumber uint64        `cbor:"1,keyasint" json:"No"`
	Outcome     Outcome       `cbor:"2,keyasint,omitempty" json:"How"`
	Result      []byte        `cbor:"3,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"4,keyasint,omitempty" json:"After"` // of Back: not again before
	Reason      string        `cbor:"5,keyasint,omitempty" json:"Why"`
	Repeatable  bool          `cbor:"6,keyasint,omitempty" json:"Repeats"` // of Unknown: its class may be repeated
}

// StepEnds tells ends.
type StepEnds struct {
	Dispatcher  string    `cbor:"Name" json:"Name"`
	Incarnation uint64    `cbor:"Life" json:"Life"`
	Ends        []StepEnd `cbor:"All" json:"All"`
}

// Cancellation ends a flow: nothing more of it is begun.
type Cancellation struct {
	Workflow    string `cbor:"Flow" json:"Flow"`
	RequestedBy string `cbor:"Who" json:"Who"`
}

// Resolve says how a step has ended that nobody knows of, or has a held flow go on.
type Resolution struct {
	Workflow    string            `cbor:"Flow" json:"Flow"`
	RequestedBy string            `cbor:"Who" json:"Who"`
	Step        expansion.StepRef `cbor:"Ref" json:"Ref"`
	Outcome     Outcome           `cbor:"As" json:"As"` // Done or Failed; Back: it is sent again, at the operator's word
}

// Query asks how far a flow is; without a key, for all in short.
type StatusQuery struct {
	Workflow string `cbor:"Flow" json:"Flow"`
}

// WorkflowStatus is how far a flow is.
type WorkflowStatus struct {
	Key           string
	Template      string
	Submitter     string `cbor:"Who" json:"Who"`
	State         string
	Reason        string              `cbor:"Why" json:"Why"`
	Age, Makespan time.Duration       // since its submission; from it to its end
	EndCounts     expansion.EndCounts `cbor:"Ends" json:"Ends"` // steps that have ended: done, failed, unknown, skipped
	OpenClaims    int                 `cbor:"Out" json:"Out"`
	LiveItems     int                 `cbor:"Live" json:"Live"` // claims that are out; items of fan-outs under way
	RunUncertain  bool                `cbor:"Doubt" json:"Doubt"`
	Steps         []StepStatus        // that are under way, of one shown by key; 200 at most
}

// StepStatus is how far a step is.
type StepStatus struct {
	Name             string
	Ref              expansion.StepRef
	ItemValues       []string `cbor:"Values" json:"Values"`
	State            string
	InStateFor       time.Duration `cbor:"For" json:"For"`
	ClaimedBy        string        `cbor:"Who" json:"Who"` // that has claimed it
	Reason           string        `cbor:"Why" json:"Why"`
	PossiblyExecuted bool          `cbor:"MayRun" json:"MayRun"` // it has been marked
}

// ClaimedStep is one claimed step as its dispatcher is told.
type ClaimedStep struct {
	ClaimNumber      uint64                             `cbor:"1,keyasint" json:"No"`
	Workflow         string                             `cbor:"2,keyasint" json:"Flow"`
	Template         string                             `cbor:"3,keyasint"`
	Tenant           string                             `cbor:"4,keyasint,omitempty"`
	Team             string                             `cbor:"17,keyasint,omitempty"`
	Step             string                             `cbor:"5,keyasint"`
	Class            string                             `cbor:"6,keyasint"`
	Pool             string                             `cbor:"7,keyasint,omitempty"`
	Ref              expansion.StepRef                  `cbor:"8,keyasint"`
	ItemValues       []string                           `cbor:"9,keyasint,omitempty" json:"Values"` // the items around it
	Results          map[string]string                  `cbor:"10,keyasint,omitempty"`
	FanOutCounts     map[string]expansion.OutcomeCounts `cbor:"11,keyasint,omitempty" json:"Tallies"`
	PinnedCell       int                                `cbor:"12,keyasint,omitempty" json:"Cell"`  // one more than the one that it may be repeated in; 0: any
	RepeatWindowLeft time.Duration                      `cbor:"13,keyasint,omitempty" json:"Left"`  // in which it may be repeated; 0: no matter
	RunUncertain     bool                               `cbor:"14,keyasint,omitempty" json:"Doubt"` // it may have run before the keepers were restored
	DispatcherShare  float64                            `cbor:"15,keyasint,omitempty" json:"Share"`
	ResultUsed       bool                               `cbor:"16,keyasint,omitempty" json:"Takes"` // its result goes to later steps
	Overdue          bool                               `cbor:"18,keyasint,omitempty" json:"Aged"`  // it has waited for its age: it is due among fresh work
}

// Answer is what came of a command.
type Answer struct {
	Claimed          []ClaimedStep            `cbor:"1,keyasint,omitempty" json:"Tasks"`
	Rejected         []uint64                 `cbor:"2,keyasint,omitempty" json:"Refused"` // claims that are not held any more
	Recorded         []uint64                 `cbor:"7,keyasint,omitempty" json:"Written"` // of Mark: claims whose mark is; others are to be asked again
	RepeatWindows    map[uint64]time.Duration `cbor:"8,keyasint,omitempty" json:"Lefts"`   // of them: from when they were claimed, how long they may be repeated
	MoreReady        bool                     `cbor:"3,keyasint,omitempty" json:"More"`    // others wait
	AlreadySubmitted bool                     `cbor:"4,keyasint,omitempty" json:"Known"`   // of Submit: it was asked for before
	Statuses         []WorkflowStatus         `cbor:"5,keyasint,omitempty" json:"Views"`   // of Show; the newest 200 where no key was given
	CountsByState    map[string]int           `cbor:"6,keyasint,omitempty" json:"Counts"`  // of Show: flows by state
}
