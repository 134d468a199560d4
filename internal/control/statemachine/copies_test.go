package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yardflow/scheduling/job"
)

// copies plays nodes whose commands reach the state at once, and again as copies at any later time, as by members that
// were cut off, frozen processes and connections that are slow.
type copies struct {
	*FSM
	random  *rand.Rand
	plain   bool // planted: copies come as if they were sent just now
	late    []Command
	life    uint64
	session SessionID // of the present life of the node that is watched; 0: not open
	number  uint64
	reading uint64
	listed  bool // the worker is in the platform's list
	over    map[string]bool
	jobs    int
	broken  []string
}

func playCopies(seed uint64, plain bool) *copies {
	c := &copies{FSM: New(2), random: rand.New(rand.NewPCG(seed, 3)), plain: plain, over: map[string]bool{}}
	for range 400 {
		c.step()
		c.check()
		if len(c.broken) > 0 {
			break
		}
	}
	return c
}

// send carries a command out, and keeps a copy that may come later.
func (c *copies) send(command Command) Result {
	c.late = append(c.late, command)
	return c.Apply(&command)
}

// sendOwn sends a command of the watched node's session.
func (c *copies) sendOwn(command Command) Result {
	c.number++
	command.Session, command.Sequence, command.AcknowledgedThrough = c.session, c.number, c.number-1
	return c.send(command)
}

// again carries a copy out.
func (c *copies) again() {
	if len(c.late) == 0 {
		return
	}
	command := c.late[c.random.IntN(len(c.late))]
	if c.plain {
		command = c.asNew(command)
	}
	c.Apply(&command)
}

// asNew returns a copy without what fences it.
func (c *copies) asNew(command Command) Command {
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

func (c *copies) step() {
	switch c.random.IntN(10) {
	case 0: // the node's next life
		c.life++
		c.session = c.send(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: c.life, ExpectedLatest: c.LatestSession("front-1")}}).Session
	case 1:
		c.readList()
	case 2, 3:
		c.runJob()
	case 4:
		c.Apply(&Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}})
	default:
		c.again()
	}
}

// readList tells what the platform's list says now.
func (c *copies) readList() {
	if c.session == 0 || c.InstanceReader() != c.session {
		return
	}
	c.reading++
	c.listed = !c.listed
	instances := &InstancesChanged{Reader: c.session, Sequence: c.reading, Removed: []string{"w1"}}
	if c.listed {
		instances.Removed, instances.Changed = nil, []Instance{{ID: "w1", Service: "s", Address: "a1", Capacity: job.Resources{CPU: 9}}}
	}
	c.sendOwn(Command{InstancesChanged: instances})
}

// runJob hands a job in, and cancels it right away.
func (c *copies) runJob() {
	if c.session == 0 {
		return
	}
	c.jobs++
	id := fmt.Sprintf("%016x", c.jobs)
	c.sendOwn(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 1, Owner: c.session,
		Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}})
	c.sendOwn(Command{CancelJob: &CancelJob{id}})
	c.over[id] = true
}

// check has the invariants: the present life keeps its session, a worker that the newest reading lacks stays away, and
// a job that is over does not begin anew.
func (c *copies) check() {
	if c.session != 0 && (c.Sessions[c.session] == nil || c.Sessions[c.session].Incarnation != c.life) {
		c.broken = append(c.broken, "a former life has ended the present session")
	}
	if c.Workers["w1"] != nil != c.listed {
		c.broken = append(c.broken, "an old reading is in force")
	}
	for id := range c.over {
		if known := c.Jobs[id]; known != nil && !known.State.Terminal() {
			c.broken = append(c.broken, "a job that was over has begun anew")
		}
	}
}

// TestLateCopies plays copies of commands at any later time; planted, they come without their fences, and each
// invariant is found to be broken.
func TestLateCopies(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		if c := playCopies(seed, false); len(c.broken) > 0 {
			t.Fatalf("seed %d: %s", seed, c.broken[0])
		}
	}
	found := map[string]bool{}
	for seed := range uint64(seeds) {
		for _, broken := range playCopies(seed, true).broken {
			found[broken] = true
		}
	}
	if len(found) != 3 {
		t.Errorf("without fences only this is found: %v", found)
	}
}
