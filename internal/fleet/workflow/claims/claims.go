package claims

// This file owns claims: who runs which step, until when, and what becomes of a step whose holder
// is lost. It must never give out one that may have run and is not to be repeated.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/aging"
	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/fleet/workflow/template"
)

// Who names one life of a dispatcher.
func Who(name string, life uint64) string { return fmt.Sprintf("%s/%d", name, life) }

// Lives tells of lives of dispatchers, by Who, what they may do now.
type Lives struct {
	Claim func(who string) bool // take up new work: it holds a lease under the policy in force
	Hold  func(who string) bool // go on with what it has claimed
}

func (l *Ledger) claim(now time.Duration, grants uint64, c *Claim, may Lives) (a Answer, err error) {
	who := Who(c.Name, c.Life)
	if !may.Hold(who) {
		return a, &LeaseError{c.Name}
	}
	own := l.of[who]
	for _, no := range own {
		if h := l.Claims[no]; no > c.Heard && len(a.Tasks) < MostTasks {
			h.Grant = grants // its holder counts from this telling, not from an earlier one that was lost
			a.Tasks = append(a.Tasks, l.task(now, l.Flows[h.Key], h.Ref, no))
		}
	}
	for n := len(own); may.Claim(who) && n < c.Want && len(a.Tasks) < MostTasks; n++ {
		f, s, run, ok := l.take(c.Pools)
		if !ok {
			break
		}
		l.No++
		run.State, run.Since, run.Claim, run.Turn = expansion.Claimed, now, l.No, 0
		l.Claims[l.No] = &held{f.Key, who, s.ref, grants}
		l.of[who] = append(l.of[who], l.No)
		f.Out++
		a.Tasks = append(a.Tasks, l.task(now, f, s.ref, l.No))
	}
	a.More = l.more(c.Pools)
	return a, nil
}

func (l *Ledger) task(now time.Duration, f *Flow, r expansion.Ref, no uint64) Task {
	n := &f.g.Nodes[r.Step]
	run := f.Tree.Run(r)
	t := Task{No: no, Flow: f.Key, Template: f.g.Template.Name, Tenant: f.g.Template.Tenant, Team: f.g.Template.Team, Step: n.Name, Class: n.Class, Pool: n.Pool,
		Ref: r, Values: f.Tree.Values(r), Cell: run.Cell, Doubt: f.Doubt && !run.Sure, Share: f.g.Template.Share, Takes: n.Takes, Aged: now >= run.From+aging.Most}
	if run.Until > 0 {
		t.Left = max(run.Until-now, 1)
	}
	t.Results, t.Tallies = f.Tree.Needed(r)
	return t
}

// held is a claim that a dispatcher holds; nil: it does not.
func (l *Ledger) held(who string, no uint64) (*Flow, *held, *expansion.Run) {
	h := l.Claims[no]
	if h == nil || h.Who != who {
		l.Late++
		return nil, nil, nil
	}
	f := l.Flows[h.Key]
	return f, h, f.Tree.Run(h.Ref)
}

func (l *Ledger) mark(now time.Duration, c *Mark, may Lives) (a Answer, err error) {
	who := Who(c.Name, c.Life)
	if !may.Hold(who) {
		return a, &LeaseError{c.Name}
	}
	for _, m := range c.All {
		f, h, run := l.held(who, m.No)
		if f == nil {
			a.Refused = append(a.Refused, m.No)
			continue
		}
		if run.Turn == 0 && f.State != Running { // one of a flow that goes on no more is not begun
			a.Refused = append(a.Refused, m.No)
			l.drop(f, m.No)
			if run.Marked > 0 && f.State > Held {
				l.over(now, f, h.Ref, expansion.Unknown, nil, nil, "its flow was ended before it was repeated")
			} else {
				l.back(now, f, h.Ref, run, 0)
			}
			l.look(now, f)
			continue
		}
		if m.Turn < run.Turn {
			continue // it was overtaken
		}
		again := m.Turn == run.Turn // asked twice
		if run.Until > 0 && run.Until < forever && !m.Anew {
			// It is to be repeated while repeats are dropped. How much time has passed is known only by a
			// clock that was read after it was claimed.
			if h.Grant > l.Seen {
				continue // asked again
			}
			if run.Until <= now && !again {
				l.drop(f, m.No)
				l.over(now, f, h.Ref, expansion.Unknown, nil, nil, "the time is over in which it may be repeated")
				l.look(now, f)
				a.Refused = append(a.Refused, m.No)
				continue
			}
			if a.Lefts == nil {
				a.Lefts = map[uint64]time.Duration{}
			}
			a.Lefts[m.No] = max(run.Until-now, 1)
		}
		a.Written = append(a.Written, m.No)
		if again {
			continue
		}
		if run.Turn == 0 {
			run.Tries++
		}
		run.Turn = m.Turn
		if run.Since = max(now, 1); run.Marked == 0 || m.Anew {
			run.Cell = m.Cell
			switch {
			case m.Once:
				run.Until = 0
			case m.Window > 0:
				run.Until = run.Since + m.Window
			default:
				run.Until = forever
			}
		}
		run.Marked = run.Since
	}
	return a, nil
}

// forever is of steps that may be repeated at any time.
const forever = time.Duration(1<<63 - 1)

func (l *Ledger) end(now time.Duration, c *End, may Lives) (a Answer, err error) {
	who := Who(c.Name, c.Life)
	if !may.Hold(who) {
		return a, &LeaseError{c.Name}
	}
	for _, e := range c.All {
		f, h, run := l.held(who, e.No)
		if f == nil {
			a.Refused = append(a.Refused, e.No)
			continue
		}
		l.drop(f, e.No)
		switch e.How {
		case Done:
			items, bad := results(&f.g.Nodes[h.Ref.Step], &f.g.Template, e.Result)
			if bad != nil {
				l.over(now, f, h.Ref, expansion.Failed, nil, nil, bad.Error())
			} else {
				l.over(now, f, h.Ref, expansion.Done, e.Result, items, "")
			}
		case Failed:
			l.again(now, f, h.Ref, run, expansion.Failed, e.Why, e.Repeats)
		case Unknown:
			l.again(now, f, h.Ref, run, expansion.Unknown, e.Why, e.Repeats)
		case Back:
			// It has not run under this claim; where it had under none before, it never has.
			if run.Turn > 0 {
				if run.Tries--; run.Tries == 0 {
					run.Marked, run.Until, run.Cell = 0, 0, 0
				}
			}
			l.back(now, f, h.Ref, run, e.After)
		}
		l.look(now, f)
	}
	return a, nil
}

// results checks a step's result, and reads the items of a fan-out over it.
func results(n *graph.Node, t *template.Template, text []byte) (items []string, err error) {
	if len(text) > template.MaxResult {
		return nil, &ResultError{Step: n.Name, Bytes: len(text), Most: template.MaxResult}
	}
	if len(n.Fans) > 0 && (json.Unmarshal(text, &items) != nil || len(items) > t.Widest()) {
		return nil, &ResultError{Step: n.Name, Most: t.Widest()}
	}
	return items, nil
}

// drop lets go of a claim.
func (l *Ledger) drop(f *Flow, no uint64) {
	who := l.Claims[no].Who
	if i, ok := slices.BinarySearch(l.of[who], no); ok {
		l.of[who] = slices.Delete(l.of[who], i, i+1)
	}
	if len(l.of[who]) == 0 {
		delete(l.of, who)
	}
	delete(l.Claims, no)
	f.Out--
}

// back makes a step ready again that has not run under its last claim.
func (l *Ledger) back(now time.Duration, f *Flow, r expansion.Ref, run *expansion.Run, after time.Duration) {
	if f.State > Held {
		run.State = expansion.Waiting // its flow begins nothing more
		return
	}
	run.State, run.Since = expansion.Ready, now+min(max(after, 0), time.Minute)
	l.queue(f, r, run)
}

// again is for a step that has failed, or of which nobody knows: it is tried again where its class
// may be repeated, in the time that is left for that and as often as its template lets it.
func (l *Ledger) again(now time.Duration, f *Flow, r expansion.Ref, run *expansion.Run, how expansion.State, why string, repeats bool) {
	n := &f.g.Nodes[r.Step]
	if repeats && f.State == Running && run.Until > now && run.Tries < n.Most() {
		l.back(now, f, r, run, 100*time.Millisecond<<run.Tries)
		return
	}
	if repeats && run.Tries >= n.Most() && how == expansion.Unknown {
		how, why = expansion.Failed, fmt.Sprintf("tried %d times, the last time: %s", run.Tries, why)
	}
	l.over(now, f, r, how, nil, nil, why)
}

// over ends a step, and does to its flow what the template says.
func (l *Ledger) over(now time.Duration, f *Flow, r expansion.Ref, how expansion.State, result []byte, items []string, why string) {
	n := &f.g.Nodes[r.Step]
	act := n.OnFailed.Act
	if how == expansion.Unknown {
		act = n.OnUnknown.Act
	}
	run := f.Tree.Run(r)
	run.Why = why
	if how == expansion.Done || f.State == Closing {
		f.Tree.End(now, r, how, result, items)
		l.fresh(f)
		return
	}
	where := n.Name
	if at := f.Tree.Values(r); len(at) > 0 {
		where += fmt.Sprint(" ", at)
	}
	switch act {
	case template.Hold:
		if run.State, run.Was, run.Since = expansion.Stuck, how, now; f.Stuck == 0 {
			f.State, f.Why = Held, fmt.Sprintf("%s is %v: %s", where, how, why)
		}
		f.Stuck++
		f.Tree.Shut = true
		return
	case template.Stop:
		l.shut(f, Broken, fmt.Sprintf("%s is %v: %s", where, how, why))
	case template.Undo:
		f.Tree.Shut = false // for the step that undoes this one, which an earlier one's may have shut out
	}
	f.Tree.End(now, r, how, nil, nil)
	if act == template.Undo {
		l.undo(f, fmt.Sprintf("%s is %v: %s", where, how, why))
	}
	l.fresh(f)
}

// undo lets the steps run that take back what failed ones have left, and nothing else; then the
// flow has failed.
func (l *Ledger) undo(f *Flow, why string) {
	f.Tree.Shut, f.Then = true, Broken
	if f.State == Running {
		f.Why = why
	}
	f.Tree.Each(func(o expansion.Ref, run *expansion.Run) {
		if run.State == expansion.Ready && !f.g.Nodes[o.Step].Undoes {
			run.State = expansion.Waiting
		}
	})
}

// undoing tells whether nothing of a flow is begun any more but what undoes it.
func (f *Flow) undoing() bool { return f.State < Closing && f.Then == Broken }

// shut begins no more of a flow, which ends so once nothing of it is out.
func (l *Ledger) shut(f *Flow, as State, why string) {
	if f.State == Closing {
		return
	}
	f.State, f.Then, f.Why, f.Tree.Shut = Closing, as, why, true
	f.Tree.Each(func(_ expansion.Ref, run *expansion.Run) {
		if run.State == expansion.Ready {
			run.State = expansion.Waiting
		}
	})
}

// Gone takes back the claims of a dispatcher's life whose lease is over: a step that may have run
// and is never to be repeated is unknown from here on, any other is ready again.
func (l *Ledger) Gone(now time.Duration, who string) (news bool) {
	for _, no := range slices.Clone(l.of[who]) {
		h := l.Claims[no]
		f := l.Flows[h.Key]
		run := f.Tree.Run(h.Ref)
		l.drop(f, no)
		l.Expired++
		if run.Turn == 0 {
			l.back(now, f, h.Ref, run, 0)
		} else {
			l.again(now, f, h.Ref, run, expansion.Unknown, "its dispatcher "+who+" was lost while it may have run", run.Until > 0)
		}
		l.look(now, f)
	}
	return l.news()
}

// Holders are the lives that hold claims.
func (l *Ledger) Holders() []string { return slices.Sorted(maps.Keys(l.of)) }
