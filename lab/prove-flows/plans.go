package main

// This file owns what flows take in time, in virtual time: the ledger as it is, dispatchers that claim
// now and then, slots that run steps; beside it a plan that knows all runs before.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/internal/workflow/aging"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
	"yardflow/lab/rig/prove"
)

const (
	plants = 40                    // slots
	look   = 20 * time.Millisecond // between two claims of the dispatchers
	way    = 15 * time.Millisecond // of a claim and of a mark, by the coordinators' log
)

// draw is a template drawn, of some steps that need earlier ones; several are over one input.
func draw(rnd *rand.Rand, name string) template.Template {
	t := template.Template{Name: name, MaxLiveItems: 100}
	for i := range 3 + rnd.IntN(6) {
		s := template.Step{Name: fmt.Sprint("s", i), Class: "any", TypicalDuration: time.Duration(1+rnd.IntN(4)) * time.Second,
			OnFailed: template.Reaction{Action: template.Continue}, OnUnknown: template.Reaction{Action: template.Continue}}
		if rnd.IntN(2) == 0 {
			s.FanOutOver = "in"
		}
		for j := range i {
			if rnd.IntN(i+1) == 0 || j == i-1 && rnd.IntN(2) == 0 {
				s.Needs = append(s.Needs, fmt.Sprint("s", j))
			}
		}
		t.Steps = append(t.Steps, s)
	}
	return t
}

// length is how long a step runs, the same in every play.
func length(t *template.Template, step int, path [template.MaxFanOutDepth]int, seed uint64) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, uint64(step)<<32|uint64(path[0])))
	return time.Duration(float64(t.Steps[step].ExpectedDuration()) * (0.5 + rnd.Float64()))
}

type out struct {
	at time.Duration
	no uint64
}

// world runs flows by the ledger.
type world struct {
	l       *claims.Table
	now     time.Duration
	no      uint64
	running []out
	forms   map[string]template.Template
	seed    uint64
	free    int
	longest time.Duration // a ready step's wait
	ready   int           // most at a moment
	steps   int
}

var always = claims.LeaseChecks{MayClaim: func(string) bool { return true }, MayHold: func(string) bool { return true }}

func (w *world) apply(c claims.Command) claims.Answer {
	w.no++
	a, _, err := w.l.Apply(w.now, w.no, c, always)
	if err != nil {
		panic(err) // the play's own fault
	}
	return a
}

// turn lets so much time pass: what has run ends, and what is ready begins where a slot is free.
func (w *world) turn() {
	w.now += look
	w.l.AdvanceTime(w.now, 1, uint64(w.now/look), w.no)
	var ends []claims.StepEnd
	w.running = slices.DeleteFunc(w.running, func(o out) bool {
		if o.at <= w.now {
			ends = append(ends, claims.StepEnd{ClaimNumber: o.no})
			w.free++
		}
		return o.at <= w.now
	})
	if len(ends) > 0 {
		w.apply(claims.Command{EndSteps: &claims.StepEnds{Dispatcher: "d", Incarnation: 1, Ends: ends}})
	}
	if w.free == 0 {
		return
	}
	a := w.apply(claims.Command{Claim: &claims.ClaimRequest{Dispatcher: "d", Incarnation: 1, WantedSteps: w.free + len(w.running), Pools: []string{""}, LastSeenClaim: w.l.LastNumber}})
	for _, k := range a.Claimed {
		f := w.l.Workflows[k.Workflow]
		if run := f.Tree.StepRun(k.Ref); run != nil {
			w.longest = max(w.longest, w.now-run.EligibleSince)
		}
		t := w.forms[k.Template]
		w.apply(claims.Command{RecordIntents: &claims.DispatchIntents{Dispatcher: "d", Incarnation: 1, Intents: []claims.DispatchIntent{{ClaimNumber: k.ClaimNumber, Sequence: 1}}}})
		w.running = append(w.running, out{w.now + 2*way + length(&t, k.Ref.Step, k.Ref.Path, w.seed+hash(k.Workflow)), k.ClaimNumber})
		w.free--
		w.steps++
	}
}

func hash(s string) (h uint64) {
	for _, c := range s {
		h = h*31 + uint64(c)
	}
	return h
}

func (w *world) submit(key, form string, items int) {
	in := map[string]expansion.Input{}
	g, _ := graph.Compile(w.forms[form])
	for _, name := range g.InputNames() {
		in[name] = expansion.Input{Count: items}
	}
	w.apply(claims.Command{Submit: &claims.Submission{Key: key, Template: form, Inputs: in}})
}

func newWorld(seed uint64, forms ...template.Template) *world {
	w := &world{l: claims.New(), now: time.Second, forms: map[string]template.Template{}, seed: seed, free: plants}
	for _, f := range forms {
		w.forms[f.Name] = f
	}
	w.l.SetTemplates(1, forms)
	return w
}

// plan is the makespan of one flow alone by a list schedule that knows all runs: whenever a slot is
// free, the ready step with the longest way to the end by its true runs begins.
func plan(t template.Template, items int, seed uint64) (makespan, critical time.Duration) {
	nodes := planNodes(t, items, seed)
	for n := len(nodes) - 1; n >= 0; n-- { // steps need earlier ones alone
		for _, m := range nodes[n].after {
			nodes[n].left = max(nodes[n].left, nodes[m].left)
		}
		nodes[n].left += nodes[n].run
		critical = max(critical, nodes[n].left)
	}
	return listSchedule(nodes), critical
}

// planNode is one run of a step.
type planNode struct {
	needs, after []int         // nodes, by index
	run          time.Duration // of itself
	left         time.Duration // of the longest path from its start to the end
	waits        int           // for so many nodes that have not ended
}

// planNodes returns a workflow's runs: a step that fans out has one for each item.
func planNodes(t template.Template, items int, seed uint64) (nodes []planNode) {
	g, _ := graph.Compile(t)
	at := map[[2]int]int{}
	width := func(step int) int {
		if t.Steps[step].FanOutOver != "" {
			return items
		}
		return 1
	}
	for step := range t.Steps {
		for i := range width(step) {
			at[[2]int{step, i}] = len(nodes)
			nodes = append(nodes, planNode{run: length(&t, step, [template.MaxFanOutDepth]int{i}, seed)})
		}
	}
	for step := range t.Steps {
		for i := range width(step) {
			n := at[[2]int{step, i}]
			for _, j := range g.Nodes[step].Dependencies {
				if g.Nodes[j].Scope == g.Nodes[step].Scope {
					nodes[n].needs = append(nodes[n].needs, at[[2]int{j, i}])
					continue
				}
				for k := range width(j) {
					nodes[n].needs = append(nodes[n].needs, at[[2]int{j, k}])
				}
			}
			for _, m := range nodes[n].needs {
				nodes[m].after = append(nodes[m].after, n)
			}
			nodes[n].waits = len(nodes[n].needs)
		}
	}
	return nodes
}

// listSchedule returns when all nodes have ended if each free slot takes the ready one with the longest path left.
func listSchedule(nodes []planNode) (now time.Duration) {
	var ready, running []int
	ends := make([]time.Duration, len(nodes))
	for n := range nodes {
		if nodes[n].waits == 0 {
			ready = append(ready, n)
		}
	}
	for len(ready)+len(running) > 0 {
		slices.SortFunc(ready, func(a, b int) int { return cmp.Compare(nodes[b].left, nodes[a].left) })
		for len(ready) > 0 && len(running) < plants {
			n := ready[0]
			ready = ready[1:]
			ends[n] = now + nodes[n].run
			running = append(running, n)
		}
		next := slices.MinFunc(running, func(a, b int) int { return cmp.Compare(ends[a], ends[b]) })
		now = ends[next]
		running = slices.DeleteFunc(running, func(n int) bool {
			if ends[n] > now {
				return false
			}
			for _, m := range nodes[n].after {
				if nodes[m].waits--; nodes[m].waits == 0 {
					ready = append(ready, m)
				}
			}
			return true
		})
	}
	return now
}

// provePlans measures makespans of flows alone, and waits at high load.
func provePlans(t *prove.Table) {
	rnd := rand.New(rand.NewPCG(34, 3))
	proveMakespans(t, rnd)
	proveWaitsUnderLoad(t, rnd)
}

// proveMakespans compares drawn workflows with a schedule that knows all.
func proveMakespans(t *prove.Table, rnd *rand.Rand) {
	worst, sum, overCritical := 0.0, 0.0, 0.0
	const drawn = 40
	for i := range drawn {
		form := draw(rnd, fmt.Sprint("f", i))
		items := 5 + rnd.IntN(80)
		w := newWorld(uint64(i), form)
		w.submit("k", form.Name, items)
		for w.l.Workflows["k"].Tree != nil && w.now < time.Hour {
			w.turn()
		}
		best, critical := plan(form, items, uint64(i)+hash("k"))
		ratio := float64(w.l.Workflows["k"].Makespan) / float64(best)
		worst, sum, overCritical = max(worst, ratio), sum+ratio, overCritical+float64(w.l.Workflows["k"].Makespan)/float64(critical)
	}
	t.Row("makespan of 40 drawn flows on 40 slots against a list schedule that knows all: mean, worst", fmt.Sprintf("%.3f, %.3f", sum/drawn, worst), "mean 1.25 at most", sum/drawn <= 1.25)
	t.Row("and against the critical path: mean", fmt.Sprintf("%.2f", overCritical/drawn), "", true)
}

// proveWaitsUnderLoad submits workflows at a load of 0.95 for ten minutes.
func proveWaitsUnderLoad(t *prove.Table, rnd *rand.Rand) {
	const items, load = 12, 0.95
	forms, meanWork := drawForms(rnd, items)
	w := newWorld(99, forms...)
	next := w.now
	var keys []string
	for n := 0; w.now < 10*time.Minute; {
		for next <= w.now {
			f := forms[rnd.IntN(len(forms))]
			key := fmt.Sprint("k", n)
			w.submit(key, f.Name, items)
			keys = append(keys, key)
			n++
			next += time.Duration(rnd.ExpFloat64() * meanWork / (plants * load) * float64(time.Second))
		}
		w.ready = max(w.ready, w.l.ReadySteps())
		w.turn()
	}
	loaded, steps := w.now, w.steps
	for w.l.ActiveWorkflows > 0 && w.now < 30*time.Minute {
		w.turn()
	}
	hurried, late := w.countHurried(keys)
	rate := float64(steps) / loaded.Seconds()
	bound := aging.MaxWait(w.ready, rate, rate) + look
	t.Row("10 min at load 0.95: longest wait of a ready step", fmt.Sprintf("%.1f s, %d steps", w.longest.Seconds(), steps), fmt.Sprintf("its bound, %.1f s", bound.Seconds()), w.longest <= bound && steps > 0)
	t.Row("flows in a hurry (twice their critical path) that were late", fmt.Sprintf("%d of %d", late, hurried), "", !math.IsNaN(rate))
	t.Row("flows that never ended", fmt.Sprint(w.l.ActiveWorkflows), "0", w.l.ActiveWorkflows == 0)
}

// drawForms draws twelve templates, a third of them in a hurry, and returns the mean work of a workflow in seconds.
func drawForms(rnd *rand.Rand, items float64) (forms []template.Template, meanWork float64) {
	const drawn = 12
	for i := range drawn {
		f := draw(rnd, fmt.Sprint("l", i))
		g, _ := graph.Compile(f)
		if i%3 == 0 {
			f.TargetMakespan = 2 * g.CriticalPath // in a hurry; most have all the time
		}
		forms = append(forms, f)
		for _, s := range f.Steps {
			n := 1.0
			if s.FanOutOver != "" {
				n = items
			}
			meanWork += n * s.ExpectedDuration().Seconds() / drawn
		}
	}
	return forms, meanWork
}

// countHurried returns how many of the workflows have a target for their makespan, and how many missed it.
func (w *world) countHurried(keys []string) (hurried, late int) {
	for _, key := range keys {
		f := w.l.Workflows[key]
		form := w.forms[f.TemplateVersion[2:]]
		if form.TargetMakespan > 0 {
			hurried++
			if f.Makespan > form.TargetMakespan {
				late++
			}
		}
	}
	return hurried, late
}
