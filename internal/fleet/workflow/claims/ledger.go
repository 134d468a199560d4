// Package claims is what the keepers agree on of workflows: which there are, which of their steps
// are ready, who has claimed which until when, and how each has ended. It is a pure machine like the
// rest of the keepers' state: no clock, draw or I/O, no order of a map that shows.
//
// The promises it keeps, and that its tests check at every step:
//   - a step is claimed by one dispatcher at a time; its claim is free again only after the holder
//     must have found its lease over;
//   - one that is never to be repeated is claimed by nobody any more once it may have run: whatever
//     dies then, it is done, failed or unknown;
//   - one that may be repeated is, only in the cell and the time that its mark names;
//   - a word under an older claim counts for nothing;
//   - nothing is ready before all that it needs has ended;
//   - a flow that was acknowledged ends as done, failed or cancelled, or is held for an operator.
package claims

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/aging"
	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/template"
)

// MaxWorkflows are under way at the most; MaxEndedWorkflows are remembered after their end.
const (
	MaxWorkflows      = 20_000
	MaxEndedWorkflows = 20_000
	// MaxClaimsPerAnswer goes out in one answer at the most: an entry's answer stays small.
	MaxClaimsPerAnswer = 256
)

// WorkflowState is how far a flow is.
type WorkflowState uint8

// The states; from Finished on it has ended.
const (
	WorkflowRunning WorkflowState = iota
	WorkflowHeld                  // an operator is to settle a step
	WorkflowClosing               // nothing more is begun; what is out is waited for
	WorkflowDone
	WorkflowFailed // failed
	WorkflowCancelled
)

func (s WorkflowState) String() string {
	return [...]string{"running", "held", "closing", "done", "failed", "cancelled"}[min(s, WorkflowCancelled)]
}

// Workflow is one flow.
type Workflow struct {
	Key             string
	Number          uint64        `cbor:"No" json:"No"`     // of its submission
	TemplateVersion string        `cbor:"Form" json:"Form"` // of its template
	Submitter       string        `cbor:"Who" json:"Who"`
	SubmittedAt     time.Duration `cbor:"At" json:"At"` // of its submission, in the state's time
	Moments         map[string]time.Duration
	State           WorkflowState
	FinalState      WorkflowState       `cbor:"Then" json:"Then"` // what Closing ends as
	Reason          string              `cbor:"Why" json:"Why"`
	Tree            *expansion.Tree     // nil: it has ended
	OpenClaims      int                 `cbor:"Out" json:"Out"`     // claims that are out
	ResumeCount     uint64              `cbor:"Turn" json:"Turn"`   // how often it has gone on after it was held
	HeldSteps       int                 `cbor:"Stuck" json:"Stuck"` // steps to be settled
	RunUncertain    bool                `cbor:"Doubt" json:"Doubt"` // it may have run further, before the keepers were restored
	EndedAt         time.Duration       `cbor:"Ended" json:"Ended"`
	EndCounts       expansion.EndCounts `cbor:"Ends" json:"Ends"` // steps by how they have ended, of one that has ended
	Makespan        time.Duration
	g               *graph.Graph
}

// held is one claim.
type held struct {
	Key   string
	Who   string
	Ref   expansion.StepRef
	Grant uint64 // number among all grants of when its holder was told of it last
}

// VersionedTemplate is one template of one version.
type VersionedTemplate struct {
	Template  template.Template
	Workflows int `cbor:"Flows" json:"Flows"` // that go by it
}

// Table is all of it.
type Table struct {
	Templates        map[string]*VersionedTemplate `cbor:"Forms" json:"Forms"` // by version and name
	CurrentTemplates map[string]string             `cbor:"Live" json:"Live"`
	Workflows        map[string]*Workflow          `cbor:"Flows" json:"Flows"`
	EndedKeys        []string                      `cbor:"Over" json:"Over"` // keys of those that have ended, the oldest first
	Claims           map[uint64]*held
	LastNumber       uint64        `cbor:"No" json:"No"`           // of the latest claim or submission
	ActiveWorkflows  int           `cbor:"Active" json:"Active"`   // flows that have not ended
	ExpiredClaims    int           `cbor:"Expired" json:"Expired"` // claims that were taken back
	StaleReports     int           `cbor:"Late" json:"Late"`       // words under claims that were not held any more
	Now              time.Duration `cbor:"At" json:"At"`           // now, by the latest command or telling of time
	GrantsSeen       uint64        `cbor:"Seen" json:"Seen"`       // grants that the latest telling of time had seen
	LeaderTerm       uint64        `cbor:"Lead" json:"Lead"`       // by whom time was told last, and how often in a row
	TickNumber       uint64        `cbor:"Told" json:"Told"`

	of     map[string][]uint64           // claims by who holds them, in order
	ready  map[string]*aging.Queue[spot] // by pool
	later  aging.Queue[spot]             // not before a moment
	graphs map[string]*graph.Graph
	woke   bool // a pool has steps that had none
}

// spot is a step of a flow that is ready, as of a moment.
type spot struct {
	key   string
	no    uint64 // of the flow
	ref   expansion.StepRef
	since time.Duration
	turn  uint64 // of its flow
}

// New makes an empty one.
func New() *Table {
	l := &Table{}
	l.RebuildIndexes()
	return l
}

// RebuildIndexes makes what a snapshot leaves out: what follows from the rest.
func (l *Table) RebuildIndexes() {
	if l.CurrentTemplates == nil {
		l.CurrentTemplates = map[string]string{}
	}
	if l.Templates == nil {
		l.Templates = map[string]*VersionedTemplate{}
	}
	if l.Workflows == nil {
		l.Workflows = map[string]*Workflow{}
	}
	if l.Claims == nil {
		l.Claims = map[uint64]*held{}
	}
	l.of = map[string][]uint64{}
	for _, no := range slices.Sorted(maps.Keys(l.Claims)) {
		l.of[l.Claims[no].Who] = append(l.of[l.Claims[no].Who], no)
	}
	l.ready, l.later, l.graphs, l.woke = map[string]*aging.Queue[spot]{}, aging.Queue[spot]{}, map[string]*graph.Graph{}, false
	for _, name := range slices.Sorted(maps.Keys(l.Templates)) {
		g, err := graph.Compile(l.Templates[name].Template)
		if err != nil {
			continue // it was compiled before it was in force
		}
		l.graphs[name] = g
	}
	for _, key := range slices.Sorted(maps.Keys(l.Workflows)) {
		f := l.Workflows[key]
		if f.Tree == nil {
			continue
		}
		f.g = l.graphs[f.TemplateVersion]
		f.Tree.Graph = f.g
		f.Tree.ForEachStep(func(r expansion.StepRef, run *expansion.StepRun) {
			if run.State == expansion.Ready {
				l.queue(f, r, run)
			}
		})
	}
	l.woke = false // told when it was so
}

// SetTemplates puts the templates of a policy in force. Flows under way end by their own.
func (l *Table) SetTemplates(version uint64, all []template.Template) {
	clear(l.CurrentTemplates)
	for _, t := range all {
		name := fmt.Sprintf("%d/%s", version, t.Name)
		if g, err := graph.Compile(t); err == nil { // checked before it was proposed
			l.graphs[name] = g
			if l.Templates[name] == nil {
				l.Templates[name] = &VersionedTemplate{Template: t}
			}
			l.CurrentTemplates[t.Name] = name
		}
	}
	l.sweep()
}

// CheckPools tells which flow under way would wait for ever under a policy that has these pools alone;
// nil: none. One that is submitted before the policy is in force waits until another has its pool.
func (l *Table) CheckPools(pools []string) error {
	for _, key := range slices.Sorted(maps.Keys(l.Workflows)) {
		f := l.Workflows[key]
		if f.Tree == nil {
			continue
		}
		for _, n := range f.g.Nodes {
			if n.Pool != "" && !slices.Contains(pools, n.Pool) {
				return &PoolInUseError{n.Pool, key}
			}
		}
	}
	return nil
}

// sweep forgets templates that are neither in force nor gone by.
func (l *Table) sweep() {
	for name, f := range l.Templates { // each by itself
		if f.Workflows == 0 && l.CurrentTemplates[f.Template.Name] != name {
			delete(l.Templates, name)
			delete(l.graphs, name)
		}
	}
}

// Idle tells that no time need pass here.
func (l *Table) Idle() bool { return l.ActiveWorkflows == 0 }

// HasReadySteps tells whether a step may be claimed.
func (l *Table) HasReadySteps() bool { return l.more(slices.Collect(maps.Keys(l.ready))) }

// ReadySteps is how many steps may be claimed, at the most: some may have been overtaken.
func (l *Table) ReadySteps() (n int) {
	for _, q := range l.ready {
		n += q.Len()
	}
	return n
}

// AdvanceTime notes that time has passed: what was not to be before now may be claimed.
//
// Time is told by whoever leads, who has seen so many grants when it read its clock. Between two that
// lead, and where one's word was lost (they are numbered), more time may have passed than is ever
// told: what may be repeated for a while only, and was marked before, is not repeated any more.
func (l *Table) AdvanceTime(now time.Duration, lead, told, seen uint64) (news bool) {
	l.Now = now
	l.due()
	whole := l.LeaderTerm == lead && l.TickNumber+1 == told
	if l.GrantsSeen, l.LeaderTerm, l.TickNumber = seen, lead, told; !whole {
		for _, f := range l.Workflows { // each by itself
			if f.Tree != nil {
				f.Tree.ForEachStep(func(_ expansion.StepRef, run *expansion.StepRun) {
					if run.RepeatableUntil > 0 && run.RepeatableUntil < forever {
						run.RepeatableUntil = min(run.RepeatableUntil, now)
					}
				})
			}
		}
	}
	return l.news()
}

// news tells whether a pool has got steps that had none since it was last asked.
func (l *Table) news() bool {
	woke := l.woke
	l.woke = false
	return woke
}

// ClaimWouldBeEmpty tells whether a claim would bring nothing: for a state that may be old, a hint.
func (l *Table) ClaimWouldBeEmpty(c *ClaimRequest) bool {
	own := l.of[DispatcherKey(c.Dispatcher, c.Incarnation)]
	return c.LastSeenClaim > 0 && (len(own) == 0 || own[len(own)-1] <= c.LastSeenClaim) && !l.more(c.Pools)
}

// more tells whether steps wait in some pools.
func (l *Table) more(pools []string) bool {
	return slices.ContainsFunc(pools, func(p string) bool {
		q := l.ready[p]
		if q == nil {
			return false
		}
		_, ok := l.first(q)
		return ok
	})
}

// find is a spot's flow and step; nil where it is not ready any more, or anew.
func (l *Table) find(s spot) (*Workflow, *expansion.StepRun) {
	f := l.Workflows[s.key]
	if f == nil || f.Tree == nil || f.Number != s.no || f.ResumeCount != s.turn {
		return nil, nil
	}
	run := f.Tree.StepRun(s.ref)
	if run == nil || run.State != expansion.Ready || run.StateSince != s.since {
		return nil, nil
	}
	return f, run
}

// Compare orders spots of one flow.
func (s spot) Compare(o spot) int {
	return cmp.Or(cmp.Compare(s.ref.Step, o.ref.Step), slices.Compare(s.ref.Path[:], o.ref.Path[:]), cmp.Compare(s.since, o.since), cmp.Compare(s.turn, o.turn))
}

// queue puts a ready step where it waits.
func (l *Table) queue(f *Workflow, r expansion.StepRef, run *expansion.StepRun) {
	n := &f.g.Nodes[r.Step]
	not := max(run.EligibleSince+n.StartDelay, run.StateSince) // sent back for a while
	if n.StartMoment != "" {
		not = max(not, f.Moments[n.StartMoment])
	}
	l.later.Push(aging.Entry[spot]{ServeBy: not, Number: f.Number, Value: spot{f.Key, f.Number, r, run.StateSince, f.ResumeCount}})
	l.due()
}

// due has all that was not to be before now wait to be claimed. Whatever way a ledger has come to its
// state, after each command just the steps that may be claimed now do so, in one order.
func (l *Table) due() {
	for {
		e, ok := l.later.Peek()
		if !ok || e.ServeBy > l.Now {
			return
		}
		l.later.Pop()
		if f, run := l.find(e.Value); run != nil {
			l.put(f, e.Value, run)
		}
	}
}

func (l *Table) put(f *Workflow, s spot, run *expansion.StepRun) {
	n := &f.g.Nodes[s.ref.Step]
	q := l.ready[n.Pool]
	if q == nil {
		q = &aging.Queue[spot]{}
		l.ready[n.Pool] = q
	}
	latest := time.Duration(0)
	if w := f.g.Template.TargetMakespan; w > 0 {
		latest = max(f.SubmittedAt+w-n.RemainingCriticalPath, 1)
	}
	if _, ok := l.first(q); !ok {
		l.woke = true
	}
	q.Push(aging.Entry[spot]{ServeBy: aging.ServeBy(run.EligibleSince, latest), Number: f.Number, Value: s})
}

// first is the first of a queue that may be claimed; those before it that were overtaken, or whose
// flow goes on no more or is held, are let go of (a flow that is settled is queued anew).
func (l *Table) first(q *aging.Queue[spot]) (e aging.Entry[spot], ok bool) {
	for {
		if e, ok = q.Peek(); !ok {
			return e, false
		}
		if f, run := l.find(e.Value); run != nil && f.State == WorkflowRunning {
			return e, true
		}
		q.Pop()
	}
}

// take gives out the first ready step of some pools.
func (l *Table) take(pools []string) (f *Workflow, s spot, run *expansion.StepRun, ok bool) {
	var best *aging.Queue[spot]
	var least aging.Entry[spot]
	for _, p := range pools {
		if q := l.ready[p]; q != nil {
			if e, ok := l.first(q); ok && (best == nil || e.ServeBy < least.ServeBy || e.ServeBy == least.ServeBy && e.Number < least.Number) {
				best, least = q, e
			}
		}
	}
	if best == nil {
		return nil, spot{}, nil, false
	}
	best.Pop()
	f, run = l.find(least.Value)
	return f, least.Value, run, true
}

// fresh queues what has become ready in a flow.
func (l *Table) fresh(f *Workflow) {
	for _, r := range f.Tree.TakeReady() {
		if run := f.Tree.StepRun(r); run != nil && run.State == expansion.Ready {
			l.queue(f, r, run)
		}
	}
}

// Apply carries out a command, before which so many grants were given; one more counts for it. news
// tells whether those that wait should look.
func (l *Table) Apply(now time.Duration, grants uint64, c Command, may LeaseChecks) (a Answer, news bool, err error) {
	l.Now = now
	l.due()
	switch {
	case c.Submit != nil:
		a, err = l.submit(now, c.Submit)
	case c.Claim != nil:
		a, err = l.claim(now, grants, c.Claim, may)
	case c.RecordIntents != nil:
		a, err = l.mark(now, c.RecordIntents, may)
	case c.EndSteps != nil:
		a, err = l.end(now, c.EndSteps, may)
	case c.Cancel != nil:
		err = l.cancel(now, c.Cancel)
	case c.Resolve != nil:
		err = l.settle(now, c.Resolve)
	case c.Query != nil:
		a, err = l.Query(now, c.Query)
	default:
		err = &StateError{"", "no command that this program knows", "one of submit, claim, mark, end, cancel, settle, show"}
	}
	return a, l.news(), err
}

func (l *Table) submit(now time.Duration, c *Submission) (a Answer, err error) {
	if l.Workflows[c.Key] != nil {
		a.AlreadySubmitted = true
		return a, nil
	}
	name, ok := l.CurrentTemplates[c.Template]
	if !ok {
		return a, &NotFoundError{"template", c.Template, slices.Sorted(maps.Keys(l.CurrentTemplates))}
	}
	g := l.graphs[name]
	switch {
	case !template.ValidName(c.Key):
		return a, &InputError{c.Template, "key", fmt.Sprintf("%q", c.Key), "1 to 100 letters, digits and . _ : @ -"}
	case l.ActiveWorkflows >= MaxWorkflows:
		return a, &LimitError{MaxWorkflows}
	}
	size := 0
	for _, in := range g.InputNames() {
		v, ok := c.Inputs[in]
		if !ok || v.Count < 0 || v.Count > 0 && len(v.Items) > 0 {
			return a, &InputError{c.Template, in, "missing, or both a list and a count", "a list, or how many items there are"}
		}
		if n := v.Len(); n > g.Template.FanOutLimit() {
			return a, &InputError{c.Template, in, fmt.Sprintf("%d items", n), fmt.Sprintf("%d at most, the template's fan", g.Template.FanOutLimit())}
		}
		for _, s := range v.Items {
			size += len(s)
		}
	}
	for in := range c.Inputs {
		if !slices.Contains(g.InputNames(), in) {
			return a, &InputError{c.Template, in, "no fan-out is over it", fmt.Sprint("inputs among ", g.InputNames())}
		}
	}
	if size > template.MaxInputBytes {
		return a, &InputError{c.Template, "inputs", fmt.Sprintf("%d bytes", size), fmt.Sprintf("%d at most", template.MaxInputBytes)}
	}
	moments := map[string]time.Duration{}
	for _, m := range g.MomentNames() {
		d, ok := c.Moments[m]
		if !ok {
			return a, &InputError{c.Template, m, "missing", "a moment, from now on"}
		}
		moments[m] = now + max(d, 0)
	}
	l.LastNumber++
	f := &Workflow{Key: c.Key, Number: l.LastNumber, TemplateVersion: name, Submitter: c.Submitter, SubmittedAt: now, Moments: moments, g: g, Tree: expansion.New(g, c.Inputs)}
	l.Workflows[c.Key] = f
	l.Templates[name].Workflows++
	l.ActiveWorkflows++
	f.Tree.Start(now)
	l.fresh(f)
	l.look(now, f)
	return a, nil
}

// look ends a flow where all that is to come has come.
func (l *Table) look(now time.Duration, f *Workflow) {
	switch {
	case f.Tree == nil:
		return
	case f.State == WorkflowClosing && f.OpenClaims == 0:
		l.close(now, f, f.FinalState)
	case f.undoing() && f.State == WorkflowRunning && f.OpenClaims == 0 && !f.Tree.AnyInState(expansion.Ready):
		l.close(now, f, WorkflowFailed)
	case f.State == WorkflowRunning && f.OpenClaims == 0 && f.HeldSteps == 0 && f.Tree.Complete():
		l.close(now, f, WorkflowDone)
	}
}

func (l *Table) close(now time.Duration, f *Workflow, as WorkflowState) {
	f.State, f.EndedAt, f.EndCounts, f.Makespan, f.Tree, f.g = as, now, f.Tree.EndCounts, now-f.SubmittedAt, nil, nil
	l.ActiveWorkflows--
	l.Templates[f.TemplateVersion].Workflows--
	l.EndedKeys = append(l.EndedKeys, f.Key)
	if over := len(l.EndedKeys) - MaxEndedWorkflows; over > 0 {
		for _, k := range l.EndedKeys[:over] {
			delete(l.Workflows, k)
		}
		l.EndedKeys = slices.Delete(l.EndedKeys, 0, over)
	}
	l.sweep()
}
