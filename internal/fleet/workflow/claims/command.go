package claims

// This file owns what the ledger is asked and what it answers, each a small typed value. It must
// never act on one.

import (
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

// Command is one of the commands below; just one of its parts is set.
type Command struct {
	Submit *Submit `cbor:"1,keyasint,omitempty"`
	Claim  *Claim  `cbor:"2,keyasint,omitempty"`
	Mark   *Mark   `cbor:"3,keyasint,omitempty"`
	End    *End    `cbor:"4,keyasint,omitempty"`
	Cancel *Cancel `cbor:"5,keyasint,omitempty"`
	Settle *Settle `cbor:"6,keyasint,omitempty"`
	Show   *Show   `cbor:"7,keyasint,omitempty"`
}

// Submit asks for a flow. Asked twice by one key it is asked for once.
type Submit struct {
	Key      string
	Template string
	Inputs   map[string]expansion.Input `cbor:",omitempty"`
	Moments  map[string]time.Duration   `cbor:",omitempty"` // from now on
	Who      string
}

// Claim asks for ready steps, by a dispatcher that has a lease. What it was told already and has not
// heard of is told again.
type Claim struct {
	Name  string
	Life  uint64
	Want  int      // steps it would have at once
	Heard uint64   // the latest claim it has heard of
	Pools []string // that it has workers in now
}

// Marked says of one claim that its step may have run from now on.
type Marked struct {
	No     uint64        `cbor:"1,keyasint"`
	Once   bool          `cbor:"2,keyasint,omitempty"` // never to be repeated
	Cell   int           `cbor:"3,keyasint,omitempty"` // one more than that of the worker, where only it drops a repeat; 0: all do
	Window time.Duration `cbor:"4,keyasint,omitempty"` // for which repeats are dropped; 0: it may be repeated at any time
	Anew   bool          `cbor:"5,keyasint,omitempty"` // it has run nowhere so far: this mark goes before earlier ones
	Turn   int           `cbor:"6,keyasint,omitempty"` // among the claim's marks, from 1 on: one that is late changes nothing
}

// Mark is written before the first byte leaves. One whose claim is not held any more is refused,
// and its step must not be sent.
type Mark struct {
	Name string
	Life uint64
	All  []Marked
}

// Outcome is how a claimed step has ended at its dispatcher.
type Outcome uint8

// The outcomes.
const (
	Done    Outcome = iota
	Failed          // by the worker's own word
	Unknown         // it may have run, and may yet
	Back            // it has not run: it is to be claimed again
)

// Ended is one claim's end.
type Ended struct {
	No      uint64        `cbor:"1,keyasint"`
	How     Outcome       `cbor:"2,keyasint,omitempty"`
	Result  []byte        `cbor:"3,keyasint,omitempty"`
	After   time.Duration `cbor:"4,keyasint,omitempty"` // of Back: not again before
	Why     string        `cbor:"5,keyasint,omitempty"`
	Repeats bool          `cbor:"6,keyasint,omitempty"` // of Unknown: its class may be repeated
}

// End tells ends.
type End struct {
	Name string
	Life uint64
	All  []Ended
}

// Cancel ends a flow: nothing more of it is begun.
type Cancel struct{ Flow, Who string }

// Settle says how a step has ended that nobody knows of, or has a held flow go on.
type Settle struct {
	Flow, Who string
	Ref       expansion.Ref
	As        Outcome // Done or Failed; Back: it is sent again, at the operator's word
}

// Show asks how far a flow is; without a key, for all in short.
type Show struct{ Flow string }

// View is how far a flow is.
type View struct {
	Key, Template, Who string
	State, Why         string
	Age, Makespan      time.Duration // since its submission; from it to its end
	Ends               [4]int        // steps that have ended: done, failed, unknown, skipped
	Out, Live          int           // claims that are out; items of fan-outs under way
	Doubt              bool
	Steps              []StepView // that are under way, of one shown by key; 200 at most
}

// StepView is how far a step is.
type StepView struct {
	Name   string
	Ref    expansion.Ref
	Values []string
	State  string
	For    time.Duration
	Who    string // that has claimed it
	Why    string
	MayRun bool // it has been marked
}

// Task is one claimed step as its dispatcher is told.
type Task struct {
	No       uint64                     `cbor:"1,keyasint"`
	Flow     string                     `cbor:"2,keyasint"`
	Template string                     `cbor:"3,keyasint"`
	Tenant   string                     `cbor:"4,keyasint,omitempty"`
	Team     string                     `cbor:"17,keyasint,omitempty"`
	Step     string                     `cbor:"5,keyasint"`
	Class    string                     `cbor:"6,keyasint"`
	Pool     string                     `cbor:"7,keyasint,omitempty"`
	Ref      expansion.Ref              `cbor:"8,keyasint"`
	Values   []string                   `cbor:"9,keyasint,omitempty"` // the items around it
	Results  map[string]string          `cbor:"10,keyasint,omitempty"`
	Tallies  map[string]expansion.Tally `cbor:"11,keyasint,omitempty"`
	Cell     int                        `cbor:"12,keyasint,omitempty"` // one more than the one that it may be repeated in; 0: any
	Left     time.Duration              `cbor:"13,keyasint,omitempty"` // in which it may be repeated; 0: no matter
	Doubt    bool                       `cbor:"14,keyasint,omitempty"` // it may have run before the keepers were restored
	Share    float64                    `cbor:"15,keyasint,omitempty"`
	Takes    bool                       `cbor:"16,keyasint,omitempty"` // its result goes to later steps
	Aged     bool                       `cbor:"18,keyasint,omitempty"` // it has waited for its age: it is due among fresh work
}

// Answer is what came of a command.
type Answer struct {
	Tasks   []Task                   `cbor:"1,keyasint,omitempty"`
	Refused []uint64                 `cbor:"2,keyasint,omitempty"` // claims that are not held any more
	Written []uint64                 `cbor:"7,keyasint,omitempty"` // of Mark: claims whose mark is; others are to be asked again
	Lefts   map[uint64]time.Duration `cbor:"8,keyasint,omitempty"` // of them: from when they were claimed, how long they may be repeated
	More    bool                     `cbor:"3,keyasint,omitempty"` // others wait
	Known   bool                     `cbor:"4,keyasint,omitempty"` // of Submit: it was asked for before
	Views   []View                   `cbor:"5,keyasint,omitempty"` // of Show; the newest 200 where no key was given
	Counts  map[string]int           `cbor:"6,keyasint,omitempty"` // of Show: flows by state
}
