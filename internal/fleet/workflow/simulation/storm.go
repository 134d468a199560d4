// Package simulation plays workflows under faults, by a seed: the keepers' state and some dispatchers'
// halves as they are, between them messages that are lost, late or doubled, dispatchers that are
// killed, stand still or are cut off, workers that lose answers, keepers that go on from a snapshot.
// What is judged is what workers were sent, and how flows ended.
//
// Faults can be planted in it, each of which must be found. It has no clock: time is its own.
package simulation

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/workflow/claimant"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/template"
)

// PlantedFault is a fault that is in the play on purpose.
type PlantedFault string

// The faults that can be planted.
const (
	NoFault                 PlantedFault = ""
	SendWithoutIntent       PlantedFault = "a step is sent before the keepers have written that it may run"
	SkipLeaseCheck          PlantedFault = "a dispatcher does not look at its stay before it sends"
	LeaseFromAnswer         PlantedFault = "a stay counts from its answer, and not from its question"
	EarlyReclaim            PlantedFault = "the keepers take claims back while their holder's stay holds"
	AcceptStaleAnswer       PlantedFault = "an answer's lapse is not looked at"
	ForgetIntentsInSnapshot PlantedFault = "a mark is forgotten by a snapshot"
	KeepRunningAfterLapse   PlantedFault = "a try is not called off when the stay lapses"
	RequeuePossiblyRun      PlantedFault = "a step that may have run is ready again when its holder is lost"
)

// AllFaults are all that can be planted.
var AllFaults = []PlantedFault{SendWithoutIntent, SkipLeaseCheck, LeaseFromAnswer, EarlyReclaim, AcceptStaleAnswer, ForgetIntentsInSnapshot, KeepRunningAfterLapse, RequeuePossiblyRun}

const (
	lease  = 1500 * time.Millisecond
	window = 4 * time.Second // for which a cell drops repeats
	cells  = 3
	storms = 20 * time.Second // how long faults come
	calm   = 60 * time.Second // in which all must end after them
)

// Result is what came of a play.
type Result struct {
	Violations                       []string // what must not be, and was
	Workflows, Steps, Sends          int
	Unknown, Repeated, ExpiredClaims int
}

// run is one step at a worker.
type run struct {
	from, to time.Duration // to: it ends, or was called off
	cell     int
	by       *dispatcher
	life     uint64
	ok       bool
}

type dispatcher struct {
	name     string
	life     uint64
	seq      uint64
	drift    float64
	up       bool
	thaw     time.Duration // it stands still until then
	cut      time.Duration // its messages are lost until then
	slow     time.Duration // answers to what comes until then take most of a lease
	hand     *claimant.Claimant
	out      map[uint64]*try
	saying   bool
	claiming bool
	grant    uint64
}

// held are the claims that are out here, in order: a play goes by its seed alone.
func (d *dispatcher) held() []uint64 { return slices.Sorted(maps.Keys(d.out)) }

type try struct {
	task claims.ClaimedStep
	told time.Duration
	at   *run
	over bool
	cell int
}

type event struct {
	at time.Duration
	no int
	f  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].no < e[j].no
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play is one.
type play struct {
	rnd            *rand.Rand
	plant          PlantedFault
	now            time.Duration
	queue          events
	count          int
	s              *statemachine.State
	twin           *statemachine.State // another keeper, which has come to its state another way; nil: none has yet
	told           time.Duration       // by the last tick
	still          time.Duration       // nobody leads until then
	stalled        time.Duration       // whoever leads tells no time until then
	lead, no, last uint64
	all            []*dispatcher
	runs           map[string][]*run
	class          map[string]string
	res            Result
	lives          uint64
}

// Templates are those that are played.
func Templates() []template.Template {
	pass := template.Reaction{Action: template.Continue}
	return []template.Template{{Name: "course", MaxLiveItems: 6, Steps: []template.Step{
		{Name: "loan", Class: "once", FanOutOver: "titles", OnFailed: pass, OnUnknown: pass},
		{Name: "package", Class: "keyed", FanOutOver: "titles", Needs: []string{"loan"}, OnFailed: pass, OnUnknown: pass},
		{Name: "collect", Class: "any", Needs: []string{"package"}, Trigger: template.AllEnded, MaxAttempts: 10},
	}}, {Name: "undone", MaxLiveItems: 2, Steps: []template.Step{
		{Name: "loan", Class: "once", OnFailed: template.Reaction{Action: template.Compensate, Step: "return"}, OnUnknown: template.Reaction{Action: template.HoldForOperator}},
		{Name: "return", Class: "once", OnUnknown: pass},
		{Name: "package", Class: "keyed", Needs: []string{"loan"}, OnUnknown: pass},
	}}}
}

// Run plays a storm.
func Run(seed uint64, plant PlantedFault) Result {
	p := &play{rnd: rand.New(rand.NewPCG(seed, 11)), plant: plant, runs: map[string][]*run{}, class: map[string]string{}}
	p.s = statemachine.New(statemachine.Config{LeaseDuration: lease, VoteTimeout: time.Second, OnLeaseLoss: statemachine.KeepLastPolicy, PolicyHistory: 3})
	p.s.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: "one", Text: []byte("x"), Workflows: Templates()}})
	for i := range 3 {
		d := &dispatcher{name: fmt.Sprint("d", i), drift: (p.rnd.Float64() - 0.5) * 0.018}
		p.all = append(p.all, d)
		p.begin(d)
	}
	p.every(20*time.Millisecond, p.tick)
	p.every(20*time.Millisecond, p.watch)
	p.every(100*time.Millisecond, p.harm)
	keys := map[string]int{}
	for i := range 4 + p.rnd.IntN(5) {
		key := fmt.Sprint("f", i)
		keys[key] = 1 + p.rnd.IntN(24)
		p.after(p.pause(storms*3/4), func() { p.submit(key, keys[key]) })
	}
	for p.now < storms+calm && !p.done(keys) {
		p.step()
	}
	p.judge(keys)
	return p.res
}

func (p *play) after(d time.Duration, f func()) {
	p.count++
	heap.Push(&p.queue, event{p.now + d, p.count, f})
}

func (p *play) every(d time.Duration, f func()) {
	p.after(d, func() { f(); p.every(d, f) })
}

func (p *play) pause(most time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(most) + 1))
}

func (p *play) step() {
	e := heap.Pop(&p.queue).(event)
	p.now = e.at
	e.f()
}

func (p *play) stormy() bool { return p.now < storms }

func (p *play) wrong(format string, args ...any) {
	p.res.Violations = append(p.res.Violations, fmt.Sprintf("%v: ", p.now)+fmt.Sprintf(format, args...))
}
