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

// MostFlows are under way at the most; MostEnded are remembered after their end.
const (
	MostFlows = 20_000
	MostEnded = 20_000
	// MostTasks goes out in one answer at the most: an entry's answer stays small.
	MostTasks = 256
)

// State is how far a flow is.
type State uint8

// The states; from Finished on it has ended.
const (
	Running State = iota
	Held          // an operator is to settle a step
	Closing       // nothing more is begun; what is out is waited for
	Finished
	Broken // failed
	Cancelled
)

func (s State) String() string {
	return [...]string{"running", "held", "closing", "done", "failed", "cancelled"}[min(s, Cancelled)]
}

// Flow is one flow.
type Flow struct {
	Key      string
	No       uint64 // of its submission
	Form     string // of its template
	Who      string
	At       time.Duration // of its submission, in the state's time
	Moments  map[string]time.Duration
	State    State
	Then     State // what Closing ends as
	Why      string
	Tree     *expansion.Tree // nil: it has ended
	Out      int             // claims that are out
	Turn     uint64          // how often it has gone on after it was held
	Stuck    int             // steps to be settled
	Doubt    bool            // it may have run further, before the keepers were restored
	Ended    time.Duration
	Ends     [4]int // steps by how they have ended, of one that has ended
	Makespan time.Duration
	g        *graph.Graph
}

// held is one claim.
type held struct {
	Key   string
	Who   string
	Ref   expansion.Ref
	Grant uint64 // number among all grants of when its holder was told of it last
}

// Form is one template of one version.
type Form struct {
	Template template.Template
	Flows    int // that go by it
}

// Ledger is all of it.
type Ledger struct {
	Forms   map[string]*Form // by version and name
	Live    map[string]string
	Flows   map[string]*Flow
	Over    []string // keys of those that have ended, the oldest first
	Claims  map[uint64]*held
	No      uint64        // of the latest claim or submission
	Active  int           // flows that have not ended
	Expired int           // claims that were taken back
	Late    int           // words under claims that were not held any more
	At      time.Duration // now, by the latest command or telling of time
	Seen    uint64        // grants that the latest telling of time had seen
	Lead    uint64        // by whom time was told last, and how often in a row
	Told    uint64

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
	ref   expansion.Ref
	since time.Duration
	turn  uint64 // of its flow
}

// New makes an empty one.
func New() *Ledger {
	l := &Ledger{}
	l.Mend()
	return l
}

// Mend makes what a snapshot leaves out: what follows from the rest.
func (l *Ledger) Mend() {
	if l.Live == nil {
		l.Live = map[string]string{}
	}
	if l.Forms == nil {
		l.Forms = map[string]*Form{}
	}
	if l.Flows == nil {
		l.Flows = map[string]*Flow{}
	}
	if l.Claims == nil {
		l.Claims = map[uint64]*held{}
	}
	l.of = map[string][]uint64{}
	for _, no := range slices.Sorted(maps.Keys(l.Claims)) {
		l.of[l.Claims[no].Who] = append(l.of[l.Claims[no].Who], no)
	}
	l.ready, l.later, l.graphs, l.woke = map[string]*aging.Queue[spot]{}, aging.Queue[spot]{}, map[string]*graph.Graph{}, false
	for _, name := range slices.Sorted(maps.Keys(l.Forms)) {
		g, err := graph.Compile(l.Forms[name].Template)
		if err != nil {
			continue // it was compiled before it was in force
		}
		l.graphs[name] = g
	}
	for _, key := range slices.Sorted(maps.Keys(l.Flows)) {
		f := l.Flows[key]
		if f.Tree == nil {
			continue
		}
		f.g = l.graphs[f.Form]
		f.Tree.G = f.g
		f.Tree.Each(func(r expansion.Ref, run *expansion.Run) {
			if run.State == expansion.Ready {
				l.queue(f, r, run)
			}
		})
	}
	l.woke = false // told when it was so
}

// Set puts the templates of a policy in force. Flows under way end by their own.
func (l *Ledger) Set(version uint64, all []template.Template) {
	clear(l.Live)
	for _, t := range all {
		name := fmt.Sprintf("%d/%s", version, t.Name)
		if g, err := graph.Compile(t); err == nil { // checked before it was proposed
			l.graphs[name] = g
			if l.Forms[name] == nil {
				l.Forms[name] = &Form{Template: t}
			}
			l.Live[t.Name] = name
		}
	}
	l.sweep()
}

// Without tells which flow under way would wait for ever under a policy that has these pools alone;
// nil: none. One that is submitted before the policy is in force waits until another has its pool.
func (l *Ledger) Without(pools []string) error {
	for _, key := range slices.Sorted(maps.Keys(l.Flows)) {
		f := l.Flows[key]
		if f.Tree == nil {
			continue
		}
		for _, n := range f.g.Nodes {
			if n.Pool != "" && !slices.Contains(pools, n.Pool) {
				return &PoolError{n.Pool, key}
			}
		}
	}
	return nil
}

// sweep forgets templates that are neither in force nor gone by.
func (l *Ledger) sweep() {
	for name, f := range l.Forms { // each by itself
		if f.Flows == 0 && l.Live[f.Template.Name] != name {
			delete(l.Forms, name)
			delete(l.graphs, name)
		}
	}
}

// Idle tells that no time need pass here.
func (l *Ledger) Idle() bool { return l.Active == 0 }

// Waiting tells whether a step may be claimed.
func (l *Ledger) Waiting() bool { return l.more(slices.Collect(maps.Keys(l.ready))) }

// Ready is how many steps may be claimed, at the most: some may have been overtaken.
func (l *Ledger) Ready() (n int) {
	for _, q := range l.ready {
		n += q.Len()
	}
	return n
}

// Pass notes that time has passed: what was not to be before now may be claimed.
//
// Time is told by whoever leads, who has seen so many grants when it read its clock. Between two that
// lead, and where one's word was lost (they are numbered), more time may have passed than is ever
// told: what may be repeated for a while only, and was marked before, is not repeated any more.
func (l *Ledger) Pass(now time.Duration, lead, told, seen uint64) (news bool) {
	l.At = now
	l.due()
	whole := l.Lead == lead && l.Told+1 == told
	if l.Seen, l.Lead, l.Told = seen, lead, told; !whole {
		for _, f := range l.Flows { // each by itself
			if f.Tree != nil {
				f.Tree.Each(func(_ expansion.Ref, run *expansion.Run) {
					if run.Until > 0 && run.Until < forever {
						run.Until = min(run.Until, now)
					}
				})
			}
		}
	}
	return l.news()
}

// news tells whether a pool has got steps that had none since it was last asked.
func (l *Ledger) news() bool {
	woke := l.woke
	l.woke = false
	return woke
}

// Nothing tells whether a claim would bring nothing: for a state that may be old, a hint.
func (l *Ledger) Nothing(c *Claim) bool {
	own := l.of[Who(c.Name, c.Life)]
	return c.Heard > 0 && (len(own) == 0 || own[len(own)-1] <= c.Heard) && !l.more(c.Pools)
}

// more tells whether steps wait in some pools.
func (l *Ledger) more(pools []string) bool {
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
func (l *Ledger) find(s spot) (*Flow, *expansion.Run) {
	f := l.Flows[s.key]
	if f == nil || f.Tree == nil || f.No != s.no || f.Turn != s.turn {
		return nil, nil
	}
	run := f.Tree.Run(s.ref)
	if run == nil || run.State != expansion.Ready || run.Since != s.since {
		return nil, nil
	}
	return f, run
}

// Compare orders spots of one flow.
func (s spot) Compare(o spot) int {
	return cmp.Or(cmp.Compare(s.ref.Step, o.ref.Step), slices.Compare(s.ref.Path[:], o.ref.Path[:]), cmp.Compare(s.since, o.since), cmp.Compare(s.turn, o.turn))
}

// queue puts a ready step where it waits.
func (l *Ledger) queue(f *Flow, r expansion.Ref, run *expansion.Run) {
	n := &f.g.Nodes[r.Step]
	not := max(run.From+n.NotBefore, run.Since) // sent back for a while
	if n.At != "" {
		not = max(not, f.Moments[n.At])
	}
	l.later.Push(aging.Entry[spot]{Place: not, No: f.No, Of: spot{f.Key, f.No, r, run.Since, f.Turn}})
	l.due()
}

// due has all that was not to be before now wait to be claimed. Whatever way a ledger has come to its
// state, after each command just the steps that may be claimed now do so, in one order.
func (l *Ledger) due() {
	for {
		e, ok := l.later.First()
		if !ok || e.Place > l.At {
			return
		}
		l.later.Pop()
		if f, run := l.find(e.Of); run != nil {
			l.put(f, e.Of, run)
		}
	}
}

func (l *Ledger) put(f *Flow, s spot, run *expansion.Run) {
	n := &f.g.Nodes[s.ref.Step]
	q := l.ready[n.Pool]
	if q == nil {
		q = &aging.Queue[spot]{}
		l.ready[n.Pool] = q
	}
	latest := time.Duration(0)
	if w := f.g.Template.Wanted; w > 0 {
		latest = max(f.At+w-n.Left, 1)
	}
	if _, ok := l.first(q); !ok {
		l.woke = true
	}
	q.Push(aging.Entry[spot]{Place: aging.Place(run.From, latest), No: f.No, Of: s})
}

// first is the first of a queue that may be claimed; those before it that were overtaken, or whose
// flow goes on no more or is held, are let go of (a flow that is settled is queued anew).
func (l *Ledger) first(q *aging.Queue[spot]) (e aging.Entry[spot], ok bool) {
	for {
		if e, ok = q.First(); !ok {
			return e, false
		}
		if f, run := l.find(e.Of); run != nil && f.State == Running {
			return e, true
		}
		q.Pop()
	}
}

// take gives out the first ready step of some pools.
func (l *Ledger) take(pools []string) (f *Flow, s spot, run *expansion.Run, ok bool) {
	var best *aging.Queue[spot]
	var least aging.Entry[spot]
	for _, p := range pools {
		if q := l.ready[p]; q != nil {
			if e, ok := l.first(q); ok && (best == nil || e.Place < least.Place || e.Place == least.Place && e.No < least.No) {
				best, least = q, e
			}
		}
	}
	if best == nil {
		return nil, spot{}, nil, false
	}
	best.Pop()
	f, run = l.find(least.Of)
	return f, least.Of, run, true
}

// fresh queues what has become ready in a flow.
func (l *Ledger) fresh(f *Flow) {
	for _, r := range f.Tree.Fresh() {
		if run := f.Tree.Run(r); run != nil && run.State == expansion.Ready {
			l.queue(f, r, run)
		}
	}
}

// Apply carries out a command, before which so many grants were given; one more counts for it. news
// tells whether those that wait should look.
func (l *Ledger) Apply(now time.Duration, grants uint64, c Command, may Lives) (a Answer, news bool, err error) {
	l.At = now
	l.due()
	switch {
	case c.Submit != nil:
		a, err = l.submit(now, c.Submit)
	case c.Claim != nil:
		a, err = l.claim(now, grants, c.Claim, may)
	case c.Mark != nil:
		a, err = l.mark(now, c.Mark, may)
	case c.End != nil:
		a, err = l.end(now, c.End, may)
	case c.Cancel != nil:
		err = l.cancel(now, c.Cancel)
	case c.Settle != nil:
		err = l.settle(now, c.Settle)
	case c.Show != nil:
		a, err = l.Show(now, c.Show)
	default:
		err = &StateError{"", "no command that this program knows", "one of submit, claim, mark, end, cancel, settle, show"}
	}
	return a, l.news(), err
}

func (l *Ledger) submit(now time.Duration, c *Submit) (a Answer, err error) {
	if l.Flows[c.Key] != nil {
		a.Known = true
		return a, nil
	}
	name, ok := l.Live[c.Template]
	if !ok {
		return a, &UnknownError{"template", c.Template, slices.Sorted(maps.Keys(l.Live))}
	}
	g := l.graphs[name]
	switch {
	case !template.Named(c.Key):
		return a, &InputError{c.Template, "key", fmt.Sprintf("%q", c.Key), "1 to 100 letters, digits and . _ : @ -"}
	case l.Active >= MostFlows:
		return a, &FullError{MostFlows}
	}
	size := 0
	for _, in := range g.Inputs() {
		v, ok := c.Inputs[in]
		if !ok || v.Count < 0 || v.Count > 0 && len(v.Items) > 0 {
			return a, &InputError{c.Template, in, "missing, or both a list and a count", "a list, or how many items there are"}
		}
		if n := v.Len(); n > g.Template.Widest() {
			return a, &InputError{c.Template, in, fmt.Sprintf("%d items", n), fmt.Sprintf("%d at most, the template's fan", g.Template.Widest())}
		}
		for _, s := range v.Items {
			size += len(s)
		}
	}
	for in := range c.Inputs {
		if !slices.Contains(g.Inputs(), in) {
			return a, &InputError{c.Template, in, "no fan-out is over it", fmt.Sprint("inputs among ", g.Inputs())}
		}
	}
	if size > template.MaxInput {
		return a, &InputError{c.Template, "inputs", fmt.Sprintf("%d bytes", size), fmt.Sprintf("%d at most", template.MaxInput)}
	}
	moments := map[string]time.Duration{}
	for _, m := range g.Moments() {
		d, ok := c.Moments[m]
		if !ok {
			return a, &InputError{c.Template, m, "missing", "a moment, from now on"}
		}
		moments[m] = now + max(d, 0)
	}
	l.No++
	f := &Flow{Key: c.Key, No: l.No, Form: name, Who: c.Who, At: now, Moments: moments, g: g, Tree: expansion.New(g, c.Inputs)}
	l.Flows[c.Key] = f
	l.Forms[name].Flows++
	l.Active++
	f.Tree.Start(now)
	l.fresh(f)
	l.look(now, f)
	return a, nil
}

// look ends a flow where all that is to come has come.
func (l *Ledger) look(now time.Duration, f *Flow) {
	switch {
	case f.Tree == nil:
		return
	case f.State == Closing && f.Out == 0:
		l.close(now, f, f.Then)
	case f.undoing() && f.State == Running && f.Out == 0 && !f.Tree.Any(expansion.Ready):
		l.close(now, f, Broken)
	case f.State == Running && f.Out == 0 && f.Stuck == 0 && f.Tree.Over():
		l.close(now, f, Finished)
	}
}

func (l *Ledger) close(now time.Duration, f *Flow, as State) {
	f.State, f.Ended, f.Ends, f.Makespan, f.Tree, f.g = as, now, f.Tree.Ends, now-f.At, nil, nil
	l.Active--
	l.Forms[f.Form].Flows--
	l.Over = append(l.Over, f.Key)
	if over := len(l.Over) - MostEnded; over > 0 {
		for _, k := range l.Over[:over] {
			delete(l.Flows, k)
		}
		l.Over = slices.Delete(l.Over, 0, over)
	}
	l.sweep()
}
