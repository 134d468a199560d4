package harness

// This file simulates changes of the policy in virtual time: coordinators on the raft library and the leases of hundreds of
// dispatchers, with messages that are late, lost and delivered twice, coordinators that crash and come back, and dispatchers
// that stand still. The same seed gives the same run to the letter: it never looks at a clock, and draws by its seed alone.
// The library's own draws of when to call an election never matter, since it never comes to one by itself.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"

	"yardflow/internal/fleet/statemachine"
)

// PolicySimulation is one simulation.
type PolicySimulation struct {
	Seed              uint64
	Coordinators      int
	Dispatchers       int
	OnLeaseLoss       statemachine.LeaseLossMode
	Length            time.Duration // with faults; half as much again follows without, in which the system comes to rest
	LossRate          float64       // share of the messages
	DuplicationRate   float64
	MaxMessageDelay   time.Duration // a duplicate takes up to ten times as long
	WithoutFaults     bool          // no crashes, stops or partitions
	CoordinatorOutage time.Duration // all coordinators are down for so long, from a quarter of Length on
}

// PolicySimulationResult is the result of a PolicySimulation.
type PolicySimulationResult struct {
	Digest          string // of all that happened
	Violations      []string
	FinalVersion    uint64          // of the policy: so many came into force
	ChangePending   bool            // a change is left under way at the end
	MaxOverlap      time.Duration   // longest between admissions under two versions, where the last policy is kept
	ChangeDurations []time.Duration // from the proposal until all dispatchers that can be reached hold leases under it
	Requests        int             // of dispatchers
	RequestBytes    int
	RecoveredAfter  time.Duration // from when the coordinators are up again until every dispatcher holds a lease
	PeakRequests    int           // most in 100 ms meanwhile
	AdmittedBefore  float64       // share of observations at which a dispatcher admits, before the coordinators are down
	AdmittedWithout float64       // the same while they are down
	AdmittedOverall float64       // the same of the whole run
}

const (
	policyTick          = 50 * time.Millisecond // of the coordinators
	policyLeaseDuration = 2 * time.Second
	policyVoteTimeout   = 3 * time.Second
	minMessageDelay     = time.Millisecond
	maxRestDelay        = 10 * time.Millisecond // of a message once there are no faults any more
	maxViolations       = 5                     // that a result lists
)

// outagePhase is where a simulation is with regard to CoordinatorOutage.
type outagePhase int

const (
	beforeOutage outagePhase = iota
	duringOutage
	afterOutage
)

// admissionCount counts observations of dispatchers.
type admissionCount struct{ admitted, observed int }

// share returns the share of observations at which the dispatcher admits; 0 of none.
func (c admissionCount) share() float64 { return float64(c.admitted) / float64(max(c.observed, 1)) }

// add counts an observation.
func (c *admissionCount) add(admitted bool) {
	c.observed++
	if admitted {
		c.admitted++
	}
}

// policyRun is a PolicySimulation under way.
type policyRun struct {
	PolicySimulation
	virtualTime
	random         *rand.Rand
	coordinators   []*simulatedCoordinator
	dispatchers    []*simulatedDispatcher
	serial         uint64 // of proposals and incarnations
	faultsOver     bool
	phase          outagePhase
	outageEnd      time.Duration
	proposedAt     map[uint64]time.Duration // by version, until all have it
	firstAdmission map[uint64]time.Duration // by version
	admissions     admissionCount
	byPhase        [afterOutage + 1]admissionCount
	requestSlot    int // the 100 ms that are counted
	slotRequests   int
	digest         hash.Hash
	result         PolicySimulationResult
}

// Run simulates until the system has come to rest.
func (c PolicySimulation) Run() PolicySimulationResult {
	r := &policyRun{PolicySimulation: c, random: rand.New(rand.NewPCG(c.Seed, 29)), digest: sha256.New(),
		proposedAt: map[uint64]time.Duration{}, firstAdmission: map[uint64]time.Duration{}}
	r.startCoordinators()
	r.startDispatchers()
	r.after(time.Second, r.proposePolicy)
	if !c.WithoutFaults {
		r.after(time.Second, r.injectFault)
	}
	if c.CoordinatorOutage > 0 {
		r.after(c.Length/4, r.stopAllCoordinators)
	}
	r.after(c.Length, r.endFaults)
	end := c.Length * 3 / 2
	for r.now < end && r.step(math.MaxInt64) {
	}
	r.checkFinalPolicy()
	r.result.AdmittedBefore, r.result.AdmittedWithout = r.byPhase[beforeOutage].share(), r.byPhase[duringOutage].share()
	r.result.AdmittedOverall = r.admissions.share()
	r.result.Digest = hex.EncodeToString(r.digest.Sum(nil))
	return r.result
}

func (r *policyRun) startCoordinators() {
	var peers []raft.Peer
	for i := range r.Coordinators {
		peers = append(peers, raft.Peer{ID: uint64(i + 1)})
	}
	for i := range r.Coordinators {
		c := &simulatedCoordinator{id: uint64(i + 1), storage: raft.NewMemoryStorage()}
		r.coordinators = append(r.coordinators, c)
		r.startCoordinator(c, peers)
	}
}

// checkFinalPolicy requires that all coordinators end with one policy, and notes a change that is left under way.
func (r *policyRun) checkFinalPolicy() {
	newest := r.coordinators[0]
	for _, c := range r.coordinators {
		if c.state.Revision > newest.state.Revision {
			newest = c
		}
	}
	if change := newest.state.Change; change != nil && change.Stage < statemachine.InForce {
		r.result.ChangePending = true
	}
	want := newest.state.CurrentPolicy()
	r.result.FinalVersion = want.Version
	for _, c := range r.coordinators {
		if got := c.state.CurrentPolicy(); got.Version != want.Version || got.Digest != want.Digest {
			r.addViolation("keepers %d and %d are left with versions %d and %d", c.id, newest.id, got.Version, want.Version)
		}
	}
}

func (r *policyRun) addViolation(format string, args ...any) {
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf("at %v: ", r.now)+fmt.Sprintf(format, args...))
	}
}

// between draws a time between two.
func (r *policyRun) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Float64()*float64(most-least))
}

// deliver delivers a message late, or not at all, or twice.
func (r *policyRun) deliver(receive func()) {
	if !r.faultsOver && r.random.Float64() < r.LossRate {
		return
	}
	maxDelay := r.MaxMessageDelay
	if r.faultsOver {
		maxDelay = min(maxDelay, maxRestDelay)
	}
	r.after(r.between(minMessageDelay, maxDelay), receive)
	if !r.faultsOver && r.random.Float64() < r.DuplicationRate {
		r.after(r.between(minMessageDelay, 10*maxDelay), receive)
	}
}
