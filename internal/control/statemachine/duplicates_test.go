package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yardflow/scheduling/job"
)

// duplicator simulates a node whose commands are applied at once, and again as duplicates at any later time, as by
// members that were partitioned, processes that were frozen and slow connections.
type duplicator struct {
	*FSM
	random      *rand.Rand
	unfenced    bool // planted fault: duplicates are fenced as if they were sent just now
	sent        []Command
	incarnation uint64
	session     SessionID // of the present incarnation of the node; 0: none was opened yet
	sequence    uint64
	reports     uint64
	listed      bool // the worker is in the platform's list
	cancelled   map[string]bool
	jobs        int
	violations  []string
}

// simulateDuplicates takes 400 random steps, or fewer where an invariant is violated.
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

// send applies a command, and keeps it to be duplicated later.
func (c *duplicator) send(command Command) Result {
	c.sent = append(c.sent, command)
	return c.Apply(&command)
}

// sendFenced sends a command of the node's session.
func (c *duplicator) sendFenced(command Command) Result {
	c.sequence++
	command.Session, command.Sequence, command.AcknowledgedThrough = c.session, c.sequence, c.sequence-1
	return c.send(command)
}

// deliverDuplicate applies one of the commands that were sent again.
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

// withoutFences returns a command that no fence can tell from one that is sent just now.
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

// reportInstances reports that the platform's list names w1 where it did not, and the other way round.
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

// submitAndCancelJob submits a job and cancels it at once.
func (c *duplicator) submitAndCancelJob() {
	if c.session == 0 {
		return
	}
	c.jobs++
	id := fmt.Sprintf("%016x", c.jobs)
	c.sendFenced(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 1, Owner: c.session,
		Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}})
	c.sendFenced(Command{CancelJob: &CancelJob{id}})
	c.cancelled[id] = true
}

// checkInvariants checks that the present incarnation keeps its session, that a worker is there as the newest report
// says, and that a terminal job is not started again.
func (c *duplicator) checkInvariants() {
	if c.session != 0 && (c.Sessions[c.session] == nil || c.Sessions[c.session].Incarnation != c.incarnation) {
		c.violations = append(c.violations, "a former incarnation has closed the present session")
	}
	if c.Workers["w1"] != nil != c.listed {
		c.violations = append(c.violations, "an old report is in force")
	}
	for id := range c.cancelled {
		if known := c.Jobs[id]; known != nil && !known.State.Terminal() {
			c.violations = append(c.violations, "a terminal job was started again")
		}
	}
}

// TestDelayedDuplicatesKeepTheInvariants applies duplicates of commands at any later time. With the fault planted that
// they are not fenced, each invariant is found to be violated.
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
		t.Errorf("without fences only these violations are found: %v", found)
	}
}
