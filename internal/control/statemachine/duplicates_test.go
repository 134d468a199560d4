package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yardflow/scheduling/job"
)

// duplicator simulates a node whose commands are applied immediately, and again as duplicates at any later time.
// Partitioned members, frozen processes and slow connections cause such duplicates.
type duplicator struct {
	*FSM
	random      *rand.Rand
	unfenced    bool // injected fault: duplicates pass all fences, as if they were new commands
	sent        []Command
	incarnation uint64
	session     SessionID // of the present incarnation of the node; 0 before one is opened
	sequence    uint64
	reports     uint64
	listed      bool // w1 is in the platform's list
	cancelled   map[string]bool
	jobs        int
	violations  []string
}

// simulateDuplicates takes 400 random steps, or stops after the first violation of an invariant.
func simulateDuplicates(seed uint64, unfenced bool) *duplicator {
	c := &duplicator{FSM: New(2), random: rand.New(rand.NewPCG(seed, 3)), unfenced: unfenced, cancelled: map[string]bool{}}
	for range 400 {
		c.step()
		c.checkInvariants()
		if len(c.violations) > 0 {
			break
		}
	}
	return c
}

// send applies a command, and records it for later duplicates.
func (c *duplicator) send(command Command) Result {
	c.sent = append(c.sent, command)
	return c.Apply(&command)
}

// sendFenced sends a command of the node's session, with the fields that fence it.
func (c *duplicator) sendFenced(command Command) Result {
	c.sequence++
	command.Session, command.Sequence, command.AcknowledgedThrough = c.session, c.sequence, c.sequence-1
	return c.send(command)
}

// deliverDuplicate applies a random one of the recorded commands again.
func (c *duplicator) deliverDuplicate() {
	if len(c.sent) == 0 {
		return
	}
	command := c.sent[c.random.IntN(len(c.sent))]
	if c.unfenced {
		command = c.withoutFences(command)
	}
	c.Apply(&command)
}

// withoutFences returns a command that the fences can't distinguish from a new one.
func (c *duplicator) withoutFences(command Command) Command {
	command.Session, command.Sequence, command.AcknowledgedThrough = 0, 0, 0
	if open := command.OpenSession; open != nil {
		unfenced := *open
		unfenced.ExpectedLatest = c.LatestSession(open.Node)
		command.OpenSession = &unfenced
	}
	if instances := command.InstancesChanged; instances != nil {
		unfenced := *instances
		unfenced.Sequence = c.LastReport + 1
		command.InstancesChanged = &unfenced
	}
	return command
}

func (c *duplicator) step() {
	switch c.random.IntN(10) {
	case 0: // the node's next incarnation
		c.incarnation++
		c.session = c.send(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: c.incarnation, ExpectedLatest: c.LatestSession("front-1")}}).Session
	case 1:
		c.reportInstances()
	case 2, 3:
		c.submitAndCancelJob()
	case 4:
		c.Apply(&Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}})
	default:
		c.deliverDuplicate()
	}
}

// reportInstances reports w1 as listed if it was not listed before, and as removed otherwise.
func (c *duplicator) reportInstances() {
	if c.session == 0 || c.InstanceReader() != c.session {
		return
	}
	c.reports++
	c.listed = !c.listed
	instances := &InstancesChanged{Reader: c.session, Sequence: c.reports, Removed: []string{"w1"}}
	if c.listed {
		instances.Removed, instances.Changed = nil, []Instance{{ID: "w1", Service: "s", Address: "a1", Capacity: job.Resources{CPU: 9}}}
	}
	c.sendFenced(Command{InstancesChanged: instances})
}

// submitAndCancelJob submits a job and cancels it immediately.
func (c *duplicator) submitAndCancelJob() {
	if c.session == 0 {
		return
	}
	c.jobs++
	id := fmt.Sprintf("%016x", c.jobs)
	c.sendFenced(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 1, Owner: c.session,
		Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}})
	c.sendFenced(Command{CancelJob: &CancelJob{Job: id}})
	c.cancelled[id] = true
}

// checkInvariants checks that the session of the present incarnation is open, that w1 is in the state if and only if the
// newest report lists it, and that a terminal job is not started again.
func (c *duplicator) checkInvariants() {
	if c.session != 0 && (c.Sessions[c.session] == nil || c.Sessions[c.session].Incarnation != c.incarnation) {
		c.violations = append(c.violations, "a former incarnation has closed the present session")
	}
	if c.Workers["w1"] != nil != c.listed {
		c.violations = append(c.violations, "an outdated instance report was applied")
	}
	for id := range c.cancelled {
		if j := c.Jobs[id]; j != nil && !j.State.Terminal() {
			c.violations = append(c.violations, "a terminal job was started again")
		}
	}
}

// TestDelayedDuplicatesKeepTheInvariants checks that duplicates of commands at any later time violate no invariant, and that
// they violate each of the three invariants if they are not fenced (injected fault).
func TestDelayedDuplicatesKeepTheInvariants(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		if c := simulateDuplicates(seed, false); len(c.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.violations[0])
		}
	}
	found := map[string]bool{}
	for seed := range uint64(seeds) {
		for _, violation := range simulateDuplicates(seed, true).violations {
			found[violation] = true
		}
	}
	if len(found) != 3 {
		t.Errorf("without fences only these violations are found, want three: %v", found)
	}
}
