// Package workflowsim runs workflows under faults in virtual time, from a seed: the coordinators' state and the claimants
// of some dispatchers as they are in service, and between them messages that are lost, late or duplicated, dispatchers
// that are killed, freeze or are partitioned, workers whose answers are lost, leaders that are lost, and coordinators
// that go on from a snapshot. It judges what workers were sent and how workflows ended by the invariants of packages
// claims and claimant.
//
// Faults of the protocol itself can be planted; the tests require each of them to be found. A second copy of the state
// that was restored from a snapshot on the way must answer as the first does, byte for byte.
//
// Everything is drawn from the seed alone, in a fixed order: the same seed gives the same run. It serves tests and
// measurements only.
package workflowsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/workflow/template"
)

// PlantedFault is a fault of the protocol that a run has on purpose.
type PlantedFault string

// The faults that can be planted.
const (
	NoFault                 PlantedFault = ""
	SendWithoutIntent       PlantedFault = "a step is sent before its dispatch intent is recorded"
	SkipLeaseCheck          PlantedFault = "a dispatcher does not check its claim lease before it sends"
	LeaseFromAnswer         PlantedFault = "a claim lease counts from its answer, not from its request"
	EarlyReclaim            PlantedFault = "the coordinators reclaim claims while their holder's claim lease is valid"
	AcceptStaleAnswer       PlantedFault = "an answer from before a lapse of the lease is accepted"
	ForgetIntentsInSnapshot PlantedFault = "a snapshot forgets recorded intents"
	KeepRunningAfterLapse   PlantedFault = "an attempt is not cancelled when the claim lease lapses"
	RequeuePossiblyRun      PlantedFault = "a step that may have run is handed out again when its holder is lost"
)

// AllFaults lists the faults that can be planted.
var AllFaults = []PlantedFault{SendWithoutIntent, SkipLeaseCheck, LeaseFromAnswer, EarlyReclaim, AcceptStaleAnswer, ForgetIntentsInSnapshot, KeepRunningAfterLapse, RequeuePossiblyRun}

// The system that is simulated.
const (
	dispatcherCount = 3
	cellCount       = 3
	leaseDuration   = 1500 * time.Millisecond
	dedupWindow     = 4 * time.Second // for how long a cell drops repeats of a keyed step
	maxClockDrift   = 0.009           // of a dispatcher's clock; lease.Drift allows 0.01
	tickInterval    = 20 * time.Millisecond
)

// The phases of a run, in virtual time.
const (
	faultPeriod  = 20 * time.Second // faults come
	settlePeriod = 60 * time.Second // after it, in which all workflows must end
)

// Result is what a run came to.
type Result struct {
	Violations                       []string // of invariants, each with its moment
	Workflows, Steps, Sends          int
	Unknown, Repeated, ExpiredClaims int // steps that ended as unknown; sends that repeat one; claims reclaimed
}

// simulation is one run.
type simulation struct {
	clock
	planted PlantedFault
	coordinators
	dispatchers  []*dispatcher
	incarnations uint64                  // of dispatchers so far
	executions   map[string][]*execution // by step name, in the order of their starts
	result       Result
}

// Job classes of the simulated steps, by how far they may be repeated.
const (
	classOnce  = "once"  // never
	classKeyed = "keyed" // in one cell, within dedupWindow
	classAny   = "any"   // always
)

// Names of the simulated templates.
const (
	courseTemplate     = "course" // a fan-out over titles
	compensateTemplate = "undone" // a failed step is compensated, an unknown one holds the workflow
)

// Templates returns the templates of the simulated workflows.
func Templates() []template.Template {
	pass := template.Reaction{Action: template.Continue}
	return []template.Template{{Name: courseTemplate, MaxLiveItems: 6, Steps: []template.Step{
		{Name: "loan", Class: classOnce, FanOutOver: "titles", OnFailed: pass, OnUnknown: pass},
		{Name: "package", Class: classKeyed, FanOutOver: "titles", Needs: []string{"loan"}, OnFailed: pass, OnUnknown: pass},
		{Name: "collect", Class: classAny, Needs: []string{"package"}, Trigger: template.AllEnded, MaxAttempts: 10},
	}}, {Name: compensateTemplate, MaxLiveItems: 2, Steps: []template.Step{
		{Name: "loan", Class: classOnce, OnFailed: template.Reaction{Action: template.Compensate, Step: "return"}, OnUnknown: template.Reaction{Action: template.HoldForOperator}},
		{Name: "return", Class: classOnce, OnUnknown: pass},
		{Name: "package", Class: classKeyed, Needs: []string{"loan"}, OnUnknown: pass},
	}}}
}

// submissions are the workflows of a run: by key, how many titles each is submitted with.
type submissions map[string]int

// templateFor returns the template that a workflow with so many titles is submitted for.
func templateFor(titles int) string {
	if titles%4 == 0 {
		return compensateTemplate
	}
	return courseTemplate
}

// Run simulates the system from a seed, with a planted fault or [NoFault].
func Run(seed uint64, planted PlantedFault) Result {
	s := &simulation{clock: clock{rand: rand.New(rand.NewPCG(seed, 11))}, planted: planted, executions: map[string][]*execution{}}
	s.state = statemachine.New(statemachine.Config{LeaseDuration: leaseDuration, VoteTimeout: time.Second, OnLeaseLoss: statemachine.KeepLastPolicy, PolicyHistory: 3})
	s.state.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: "one", Text: []byte("x"), Workflows: Templates()}})
	for i := range dispatcherCount {
		d := &dispatcher{name: fmt.Sprint("d", i), clockDrift: (s.rand.Float64() - 0.5) * 2 * maxClockDrift}
		s.dispatchers = append(s.dispatchers, d)
		s.start(d)
	}
	s.every(tickInterval, s.tick)
	s.every(20*time.Millisecond, s.checkRevokedExecutions)
	s.every(100*time.Millisecond, s.injectFault)
	submitted := submissions{}
	for i := range 4 + s.rand.IntN(5) {
		key := fmt.Sprint("f", i)
		submitted[key] = 1 + s.rand.IntN(24)
		s.after(s.randomDuration(faultPeriod*3/4), func() { s.submit(key, submitted[key]) })
	}
	for s.now < faultPeriod+settlePeriod && !s.settled(submitted) {
		s.step()
	}
	s.judge(submitted)
	return s.result
}

// faultsActive reports whether faults still come.
func (s *simulation) faultsActive() bool { return s.now < faultPeriod }

// violation records that an invariant does not hold at this moment.
func (s *simulation) violation(format string, args ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}
