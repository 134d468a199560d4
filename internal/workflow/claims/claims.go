// Package claims is the workflows' part of the coordinators' replicated state: which workflows there are, which of their
// steps are ready, which dispatcher has claimed which step, and how each step has ended.
//
// The life of a step: it becomes ready (package expansion), a dispatcher claims it ([ClaimRequest]), has the intent to
// dispatch it recorded before the first byte is sent to a worker ([DispatchIntent]: from then on it counts as possibly
// executed), and reports its end ([StepEnd]). When the dispatcher's claim lease expires, its claims are reclaimed
// ([Table.ReclaimFrom]).
//
// Invariants, checked by the tests of this package and by package simulation:
//   - a step is claimed by one dispatcher at a time, and a claim is reclaimed only after its holder must have seen its
//     lease expire;
//   - a step of an at-most-once class that is possibly executed is never handed out again: whatever fails then, it ends
//     as done, failed or unknown;
//   - a repeatable step is repeated only in the cell and within the deduplication window of its recorded intent;
//   - a report under a claim that is no longer held changes nothing: the claim's number is its fencing token;
//   - a step is not ready before all that it depends on has ended;
//   - a workflow whose submission was acknowledged ends as done, failed or cancelled, or is held for an operator.
//
// The [Table] is a pure state machine: each coordinator applies the same commands in the same order and must reach the
// same state, byte for byte. It has no clock, randomness or I/O, and no order of a map may show in its state or answers.
// A field whose Go name changes keeps its stored name by tag.
package claims

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/workflow/aging"
	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// Limits of the table. They bound the memory and the snapshot of each coordinator.
const (
	MaxWorkflows      = 20_000 // workflows that have not ended; a further submission is rejected
	MaxEndedWorkflows = 20_000 // ended workflows that are remembered; the oldest is forgotten beyond it

	// MaxClaimsPerAnswer bounds the steps of one answer, and so its size. A dispatcher that wants more asks again.
	MaxClaimsPerAnswer = 256
)

// WorkflowState is how far a workflow has come.
type WorkflowState uint8

// The states, in the order of their encoding. From WorkflowDone on a workflow has ended, which is final.
const (
	WorkflowRunning WorkflowState = iota
	WorkflowHeld                  // no step is started until an operator has resolved the steps that hold it
	WorkflowClosing               // no step is started; it ends once its open claims have
	WorkflowDone
	WorkflowFailed
	WorkflowCancelled
)

// String returns the state's word on the operators' console.
func (s WorkflowState) String() string {
	return [...]string{"running", "held", "closing", "done", "failed", "cancelled"}[min(s, WorkflowCancelled)]
}

// Workflow is one submitted workflow. Times are the replicated state's own.
type Workflow struct {
	Key             string                   // chosen by the submitter; a second submission under it is the same
	Number          uint64                   `cbor:"No" json:"No"`     // of its submission, among all claims and submissions
	TemplateVersion string                   `cbor:"Form" json:"Form"` // key in Table.Templates
	Submitter       string                   `cbor:"Who" json:"Who"`
	SubmittedAt     time.Duration            `cbor:"At" json:"At"`
	Moments         map[string]time.Duration // by name, before which steps do not start
	State           WorkflowState
	FinalState      WorkflowState       `cbor:"Then" json:"Then"` // what it ends as: of WorkflowClosing; WorkflowFailed while it is compensated
	Reason          string              `cbor:"Why" json:"Why"`   // why it is held, closing or ended, for operators
	Tree            *expansion.Tree     // nil: it has ended
	OpenClaims      int                 `cbor:"Out" json:"Out"`
	ResumeCount     uint64              `cbor:"Turn" json:"Turn"`   // how often it was held and resumed
	HeldSteps       int                 `cbor:"Stuck" json:"Stuck"` // steps that an operator has to resolve
	RunUncertain    bool                `cbor:"Doubt" json:"Doubt"` // the coordinators were restored from an older state: steps may have run that it does not know of
	EndedAt         time.Duration       `cbor:"Ended" json:"Ended"`
	EndCounts       expansion.EndCounts `cbor:"Ends" json:"Ends"` // set once it has ended; before, see Tree.EndCounts
	Makespan        time.Duration       // from submission to end; set once it has ended

	graph *graph.Graph // nil: it has ended
}

// compensating reports whether a workflow starts only the steps that take back what a failed one has done.
func (w *Workflow) compensating() bool {
	return w.State < WorkflowClosing && w.FinalState == WorkflowFailed
}

// ended reports whether a workflow's state is final.
func (w *Workflow) ended() bool { return w.Tree == nil }

// heldClaim is a claim that a dispatcher holds on a step.
type heldClaim struct {
	Workflow    string            `cbor:"Key" json:"Key"`
	Holder      string            `cbor:"Who" json:"Who"` // DispatcherKey
	Step        expansion.StepRef `cbor:"Ref" json:"Ref"`
	GrantNumber uint64            `cbor:"Grant" json:"Grant"` // number, among all grants of the coordinators, of the latest answer that told the holder of it
}

// VersionedTemplate is a template of one version of the policy.
type VersionedTemplate struct {
	Template  template.Template
	Workflows int `cbor:"Flows" json:"Flows"` // active workflows that run by it
}

// Table is the replicated state of all workflows. The zero value is not ready: see [New] and [Table.RebuildIndexes].
type Table struct {
	Templates        map[string]*VersionedTemplate `cbor:"Forms" json:"Forms"` // by "VERSION/NAME": those in force, and those that active workflows run by
	CurrentTemplates map[string]string             `cbor:"Live" json:"Live"`   // keys in Templates of those in force, by name
	Workflows        map[string]*Workflow          `cbor:"Flows" json:"Flows"` // by key
	EndedKeys        []string                      `cbor:"Over" json:"Over"`   // keys of ended workflows, the oldest first
	Claims           map[uint64]*heldClaim         // by number
	LastNumber       uint64                        `cbor:"No" json:"No"` // of the latest claim or submission
	ActiveWorkflows  int                           `cbor:"Active" json:"Active"`
	ExpiredClaims    int                           `cbor:"Expired" json:"Expired"` // claims reclaimed so far
	StaleReports     int                           `cbor:"Late" json:"Late"`       // intents and ends so far under claims that were not held any more

	// The state's time, see AdvanceTime.
	Now        time.Duration `cbor:"At" json:"At"`
	GrantsSeen uint64        `cbor:"Seen" json:"Seen"` // grants that were given before the latest tick's clock was read
	LeaderTerm uint64        `cbor:"Lead" json:"Lead"` // of the leader that sent the latest tick
	TickNumber uint64        `cbor:"Told" json:"Told"` // of the latest tick, among those of its leader

	// Indexes, which follow from the rest.
	claimsByHolder map[string][]uint64                // ascending
	readyByPool    map[string]*aging.Queue[readyStep] // steps that can be claimed, by pool
	delayed        aging.Queue[readyStep]             // ready steps that must not be claimed before a moment
	graphs         map[string]*graph.Graph            // by key in Templates
	readyNews      bool                               // a pool that had no ready step has one since takeReadyNews was called
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.RebuildIndexes()
	return t
}

// RebuildIndexes derives from a decoded snapshot what the snapshot leaves out.
func (t *Table) RebuildIndexes() {
	t.makeMaps()
	t.claimsByHolder = map[string][]uint64{}
	for _, number := range slices.Sorted(maps.Keys(t.Claims)) {
		holder := t.Claims[number].Holder
		t.claimsByHolder[holder] = append(t.claimsByHolder[holder], number)
	}
	t.graphs = map[string]*graph.Graph{}
	for _, name := range slices.Sorted(maps.Keys(t.Templates)) {
		g, err := graph.Compile(t.Templates[name].Template)
		if err != nil {
			continue // cannot be: it was compiled before it was in force
		}
		t.graphs[name] = g
	}
	t.readyByPool, t.delayed = map[string]*aging.Queue[readyStep]{}, aging.Queue[readyStep]{}
	for _, key := range slices.Sorted(maps.Keys(t.Workflows)) {
		if w := t.Workflows[key]; !w.ended() {
			w.graph = t.graphs[w.TemplateVersion]
			w.Tree.Graph = w.graph
			t.enqueueAllReady(w)
		}
	}
	t.readyNews = false // it was announced when it happened
}

// makeMaps replaces the nil maps of a decoded table: an empty map is encoded as none.
func (t *Table) makeMaps() {
	if t.CurrentTemplates == nil {
		t.CurrentTemplates = map[string]string{}
	}
	if t.Templates == nil {
		t.Templates = map[string]*VersionedTemplate{}
	}
	if t.Workflows == nil {
		t.Workflows = map[string]*Workflow{}
	}
	if t.Claims == nil {
		t.Claims = map[uint64]*heldClaim{}
	}
}

// Idle reports whether no workflow is active, so that no time has to pass here.
func (t *Table) Idle() bool { return t.ActiveWorkflows == 0 }

// Apply executes a command. grants is how many grants of any kind the coordinators have given, this command counted as
// one. readyNews reports whether dispatchers that wait for steps should ask.
func (t *Table) Apply(now time.Duration, grants uint64, c Command, leases LeaseChecks) (a Answer, readyNews bool, err error) {
	t.Now = now
	t.releaseDelayed()
	switch {
	case c.Submit != nil:
		a, err = t.submit(now, c.Submit)
	case c.Claim != nil:
		a, err = t.claimSteps(now, grants, c.Claim, leases)
	case c.RecordIntents != nil:
		a, err = t.recordIntents(now, c.RecordIntents, leases)
	case c.EndSteps != nil:
		a, err = t.endSteps(now, c.EndSteps, leases)
	case c.Cancel != nil:
		err = t.cancel(now, c.Cancel)
	case c.Resolve != nil:
		err = t.resolve(now, c.Resolve)
	case c.Query != nil:
		a, err = t.Query(now, c.Query)
	default:
		err = &StateError{"", "no command that this program knows", "one of submit, claim, mark, end, cancel, settle, show"}
	}
	return a, t.takeReadyNews(), err
}

// AdvanceTime sets the state's time, and makes claimable what was not to be claimed before now. It reports whether
// dispatchers that wait for steps should ask.
//
// The leader of a term sends numbered ticks; grantsSeen is how many grants it knew of when it read its clock. Between two
// leaders, and where a tick was lost, more time may have passed than the ticks say. Nobody knows then whether the window
// of a recorded intent is over, so that no step with such a window is repeated any more.
func (t *Table) AdvanceTime(now time.Duration, leaderTerm, tickNumber, grantsSeen uint64) (readyNews bool) {
	t.Now = now
	t.releaseDelayed()
	contiguous := t.LeaderTerm == leaderTerm && t.TickNumber+1 == tickNumber
	t.GrantsSeen, t.LeaderTerm, t.TickNumber = grantsSeen, leaderTerm, tickNumber
	if !contiguous {
		t.closeRepeatWindows(now)
	}
	return t.takeReadyNews()
}

func (t *Table) closeRepeatWindows(now time.Duration) {
	for _, w := range t.Workflows { // each by itself: the order does not matter
		if w.ended() {
			continue
		}
		w.Tree.ForEachStep(func(_ expansion.StepRef, run *expansion.StepRun) {
			if hasRepeatWindow(run) {
				run.RepeatableUntil = min(run.RepeatableUntil, now)
			}
		})
	}
}

// SetTemplates puts the templates of a policy version in force. Active workflows go on by the template that they were
// submitted for.
func (t *Table) SetTemplates(version uint64, templates []template.Template) {
	clear(t.CurrentTemplates)
	for _, tmpl := range templates {
		g, err := graph.Compile(tmpl)
		if err != nil {
			continue // cannot be: it was compiled when the policy was proposed
		}
		name := fmt.Sprintf("%d/%s", version, tmpl.Name)
		t.graphs[name] = g
		if t.Templates[name] == nil {
			t.Templates[name] = &VersionedTemplate{Template: tmpl}
		}
		t.CurrentTemplates[tmpl.Name] = name
	}
	t.dropUnusedTemplates()
}

// CheckPools returns a PoolInUseError where an active workflow would wait for ever under a policy that has these pools
// alone. It is no guarantee: a workflow that is submitted before the policy is in force waits until a later policy has
// its pool.
func (t *Table) CheckPools(pools []string) error {
	for _, key := range slices.Sorted(maps.Keys(t.Workflows)) {
		w := t.Workflows[key]
		if w.ended() {
			continue
		}
		for _, n := range w.graph.Nodes {
			if n.Pool != "" && !slices.Contains(pools, n.Pool) {
				return &PoolInUseError{n.Pool, key}
			}
		}
	}
	return nil
}

// dropUnusedTemplates forgets the templates that are not in force and that no active workflow runs by.
func (t *Table) dropUnusedTemplates() {
	for name, v := range t.Templates { // each by itself: the order does not matter
		if v.Workflows == 0 && t.CurrentTemplates[v.Template.Name] != name {
			delete(t.Templates, name)
			delete(t.graphs, name)
		}
	}
}
