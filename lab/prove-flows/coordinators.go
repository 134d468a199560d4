package main

// This file owns what three real coordinators agree on: steps a second in batches, bytes and memory, and
// whether histories of submissions under a fallen leader are linearizable.

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/template"
	"yardflow/lab/rig/harness"
	"yardflow/lab/rig/prove"
)

// proveSize measures memory and bytes, without processes.
func proveSize(t *prove.Table) {
	form := template.Template{Name: "f", MaxLiveItems: 64, Steps: []template.Step{{Name: "loan", Class: "once", FanOutOver: "in"}, {Name: "package", Class: "any", FanOutOver: "in", Needs: []string{"loan"}}, {Name: "collect", Class: "any", Needs: []string{"package"}}}}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	w := newWorld(1, form)
	before := heap()
	const flows = 5000
	for i := range flows {
		w.submit(fmt.Sprint("flow-", i), "f", 3)
	}
	perFlow := float64(heap()-before) / flows
	text, err := statemachine.Encode(w.l)
	if err != nil {
		t.Row("snapshot", err.Error(), "none", false)
		return
	}
	form.MaxLiveItems = 5000
	one := newWorld(1, form)
	before = heap()
	one.submit("wide", "f", 9000)
	wide := float64(heap()-before) / float64(form.MaxLiveItems)
	runtime.KeepAlive(one)
	runtime.KeepAlive(w)
	t.Row("keeper memory: a flow of 7 steps; an item under way (two steps)", fmt.Sprintf("%.0f B; %.0f B", perFlow, wide), "a flow 8 KB at most", perFlow > 0 && perFlow <= 8<<10)
	t.Row("snapshot: a flow", fmt.Sprintf("%.0f B", float64(len(text))/flows), "1 KB at most", float64(len(text))/flows <= 1024)
}

// proveCoordinators has clients stand for dispatchers, each with all the steps that it can have.
func proveCoordinators(t *prove.Table) {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		t.Row("keepers", err.Error(), "no fault of the stage", false)
		return
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs("bin")
	if err == nil {
		err = measureCoordinators(t, harness.Config{Bin: bin, Dir: dir, Coordinators: 3, OnLeaseLoss: "last", Lease: 3 * time.Second, Answer: time.Second, Seed: *seed})
	}
	if err != nil {
		t.Row("keepers", err.Error(), "no fault of the stage", false)
	}
}

const wide = `
[[flow]]
name = "wide"
most = 20000
fan = 1000000
[[flow.step]]
name = "one"
class = "issue-loan"
each = "titles"
[[flow.step]]
name = "two"
class = "package-file"
each = "titles"
needs = ["one"]
`

func measureCoordinators(t *prove.Table, c harness.Config) error {
	r, err := harness.New(c)
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.Propose("one", wide, 0, false); err != nil {
		return err
	}
	if _, err := r.Change("one", statemachine.InForce); err != nil {
		return err
	}
	if err := r.Submit("w", "wide", 900_000); err != nil {
		return err
	}
	var done, bytes atomic.Int64
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { worker(ctx, r, i, &done, &bytes) })
	}
	time.Sleep(time.Second)
	from, began := done.Load(), time.Now()
	wg.Wait()
	rate := float64(done.Load()-from) / time.Since(began).Seconds()
	t.Row("steps a second that 3 keepers agree on, claimed, marked and ended", fmt.Sprintf("%.0f", rate), "5000 or more", rate >= 5000)
	t.Row("entry bytes a step, all its words", fmt.Sprintf("%.0f", float64(bytes.Load())/float64(max(done.Load(), 1))), "200 at most", bytes.Load() <= 200*done.Load())
	s, _, err := r.State()
	if err != nil {
		return err
	}
	ended := s.Workflows.Workflows["w"].Tree.EndCounts
	t.Row("steps that clients ended, and that the keepers have ended", fmt.Sprintf("%d, %d", done.Load(), ended[0]), "alike but for words without an answer", int64(ended[0]) >= done.Load() && int64(ended[0]) < done.Load()+12*256)
	return histories(t, r)
}

// clientOf makes a client of the three coordinators that calls the one at an index first.
func clientOf(r *harness.Rig, first int) *transport.Client {
	var addresses []string
	for i := range r.Coordinators {
		addresses = append(addresses, r.Coordinators[(first+i)%len(r.Coordinators)].Addr)
	}
	return transport.NewClient("rig", addresses)
}

// worker stands for a dispatcher.
func worker(ctx context.Context, r *harness.Rig, i int, done, bytes *atomic.Int64) {
	cl := clientOf(r, i)
	defer cl.Close()
	name, seq, incarnation := fmt.Sprint("w", i), uint64(0), uint64(1)
	do := func(c statemachine.Command) *claims.Answer {
		if text, err := statemachine.Encode(c); err == nil && c.Workflow != nil {
			bytes.Add(int64(len(text)))
		}
		one, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		res, err := cl.Do(one, c)
		if err != nil {
			return nil
		}
		return res.Workflow
	}
	renewLease := func() {
		seq++
		do(statemachine.Command{LeaseRequest: &statemachine.LeaseRequest{Name: name, Incarnation: incarnation, Seq: seq, KnownVersion: 1, ServingVersion: 1}})
	}
	renewLease()
	last, lastClaim := time.Now(), uint64(0)
	for ctx.Err() == nil {
		if time.Since(last) > time.Second {
			renewLease()
			last = time.Now()
		}
		a := do(statemachine.Command{Workflow: &claims.Command{Claim: &claims.ClaimRequest{Dispatcher: name, Incarnation: incarnation, WantedSteps: 256, LastSeenClaim: lastClaim, Pools: []string{""}}}})
		if a == nil || len(a.Claimed) == 0 {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		var marks []claims.DispatchIntent
		var ends []claims.StepEnd
		for _, k := range a.Claimed {
			lastClaim = max(lastClaim, k.ClaimNumber)
			marks, ends = append(marks, claims.DispatchIntent{ClaimNumber: k.ClaimNumber, AtMostOnce: k.Class == "issue-loan", Sequence: 1}), append(ends, claims.StepEnd{ClaimNumber: k.ClaimNumber})
		}
		for a = nil; a == nil && ctx.Err() == nil; {
			a = do(statemachine.Command{Workflow: &claims.Command{RecordIntents: &claims.DispatchIntents{Dispatcher: name, Incarnation: incarnation, Intents: marks}}})
		}
		for a = nil; a == nil && ctx.Err() == nil; {
			a = do(statemachine.Command{Workflow: &claims.Command{EndSteps: &claims.StepEnds{Dispatcher: name, Incarnation: incarnation, Ends: ends}}})
		}
		if a != nil {
			done.Add(int64(len(ends) - len(a.Rejected)))
		}
	}
}

type asked struct {
	key  string
	look bool
}

// submissions is what a key's history must look like: it is there from the first submission on.
var submissions = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			k := o.Input.(asked).key
			by[k] = append(by[k], o)
		}
		var out [][]porcupine.Operation
		for _, o := range by {
			out = append(out, o)
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, in, out any) (bool, any) {
		there := state.(bool)
		if out == nil { // no answer: it may have been taken, or not
			return true, there || !in.(asked).look
		}
		if in.(asked).look {
			return out.(bool) == there, there
		}
		return out.(bool) == there, true
	},
}

// histories submits by few keys from many sides while the coordinator that leads falls.
func histories(t *prove.Table, r *harness.Rig) error {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	var h history
	var wg sync.WaitGroup
	began := time.Now()
	for c := range 9 {
		wg.Go(func() { h.submitAndLook(ctx, r, c, began) })
	}
	time.Sleep(1500 * time.Millisecond)
	_, leader, err := r.State()
	if err != nil || leader == 0 {
		return fmt.Errorf("no leader: %w", err)
	}
	r.Coordinators[leader-1].Kill()
	time.Sleep(1500 * time.Millisecond)
	if err := r.Coordinators[leader-1].Start(); err != nil {
		return err
	}
	wg.Wait()
	h.separateUnanswered()
	holds := porcupine.CheckOperations(submissions, h.operations)
	t.Row("histories of submissions with the leader killed: linearizable", fmt.Sprintf("%t, %d calls", holds, len(h.operations)), "true", holds && len(h.operations) > 500)
	return nil
}

// history collects the calls of several clients.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// submitAndLook is client c, which submits workflows and looks whether they are there until ctx ends.
func (h *history) submitAndLook(ctx context.Context, r *harness.Rig, c int, began time.Time) {
	client := clientOf(r, c)
	defer client.Close()
	for i := 0; ctx.Err() == nil; i++ {
		in := asked{key: fmt.Sprintf("h%d", i/3), look: (c+i)%3 == 0}
		called := time.Since(began)
		one, end := context.WithTimeout(ctx, time.Second)
		res, err := client.Do(one, statemachine.Command{Workflow: in.command()})
		end()
		o := porcupine.Operation{ClientId: c, Input: in, Call: int64(called), Return: int64(time.Since(began))}
		switch {
		case err != nil && in.look:
			continue
		case err != nil:
			o.Return = math.MaxInt64
		case in.look:
			o.Output = res.Workflow != nil
		case res.Workflow != nil:
			o.Output = res.Workflow.AlreadySubmitted
		default:
			continue
		}
		h.add(o)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
		} else {
			time.Sleep(2 * time.Millisecond)
		}
	}
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// separateUnanswered gives each call without an answer a client of its own: the one that made it went on.
func (h *history) separateUnanswered() {
	next := 100
	for i := range h.operations {
		if h.operations[i].Return == math.MaxInt64 {
			h.operations[i].ClientId = next
			next++
		}
	}
}

// command returns what is sent to the coordinators.
func (in asked) command() *claims.Command {
	if in.look {
		return &claims.Command{Query: &claims.StatusQuery{Workflow: in.key}}
	}
	return &claims.Command{Submit: &claims.Submission{Key: in.key, Template: "wide", Inputs: map[string]expansion.Input{"titles": {Count: 1}}}}
}
