package chain

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// host is one replica with a disk that syncs on demand, and connections that keep order.
type host struct {
	id      MemberID
	replica *Replica
	disk    []Entry // durable
	base    Snapshot
	writes  []Write
	applied []Entry
	reads   []Read
	up      bool
}

// link is the connection from one member to another.
type link struct{ from, to MemberID }

// cluster is a set of hosts under one test's control.
type cluster struct {
	violations []string // promises that did not hold
	minimum    int
	writers    int // of each view; 0: all members
	hosts      map[MemberID]*host
	ids        []MemberID
	queues     map[link][]Message
	cut        map[link]bool
	view       View
	timeline   []string // what each host does, a line an event
	history    []Entry  // everything ever committed, in order
	intercept  func(h *host, ready *Ready)
}

func newCluster(count, minimum int) *cluster {
	c := &cluster{minimum: minimum, hosts: map[MemberID]*host{}, queues: map[link][]Message{}, cut: map[link]bool{}}
	for id := MemberID(1); id <= MemberID(count); id++ {
		c.hosts[id] = &host{id: id, up: true, replica: New(id, minimum, Snapshot{}, nil, 0)}
		c.ids = append(c.ids, id)
	}
	return c
}

func (c *cluster) violated(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reportViolations fails the test for each promise that did not hold.
func (c *cluster) reportViolations(t *testing.T) {
	t.Helper()
	for _, broken := range c.violations {
		t.Error(broken)
	}
}

func (c *cluster) note(id MemberID, format string, args ...any) {
	const width = 26
	columns := make([]string, len(c.ids))
	for i, other := range c.ids {
		if other == id {
			columns[i] = fmt.Sprintf(format, args...)
		}
		columns[i] = fmt.Sprintf("%-*s", width, columns[i])
	}
	c.timeline = append(c.timeline, strings.TrimRight(strings.Join(columns, "| "), " |"))
}

func (c *cluster) setView(epoch uint64, members ...MemberID) {
	c.view = View{epoch, members, c.writers}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.up {
			h.replica.SetView(c.view)
			c.handleReady(h)
		}
	}
}

func (c *cluster) handleReady(h *host) {
	ready := h.replica.Ready()
	if d := h.replica.Divergence(); d != nil {
		c.violated("member %d finds its log contradicted at %d, which sound disks can't bring about", h.id, d.Index)
	}
	if c.intercept != nil {
		c.intercept(h, &ready)
	}
	if ready.Snapshot != nil {
		h.base, h.disk, h.writes, h.applied = *ready.Snapshot, nil, nil, nil
		h.replica.SnapshotPersisted(ready.Snapshot.Index)
	}
	h.writes = append(h.writes, ready.Writes...)
	for _, write := range ready.Writes {
		c.note(h.id, "writes %d..%d", write.Entries[0].Index, write.Entries[len(write.Entries)-1].Index)
	}
	for _, envelope := range ready.Messages {
		pair := link{h.id, envelope.To}
		if !c.cut[pair] {
			c.queues[pair] = append(c.queues[pair], envelope.Message)
		}
	}
	if ready.PersistCompleteness {
		h.replica.CompletenessPersisted(h.replica.Epoch())
		c.handleReady(h)
	}
	for _, entry := range ready.CommittedEntries {
		c.checkCommitted(h, entry)
	}
	for _, read := range ready.ConfirmedReads {
		c.note(h.id, "answers read at %d", read.Index)
		h.reads = append(h.reads, read)
	}
}

// isWriter reports whether what is committed in the newest view must be durable at the member.
func (c *cluster) isWriter(id MemberID) bool {
	return slices.Contains(c.view.Members[:c.writerCount()], id)
}

func (c *cluster) writerCount() int {
	if c.writers == 0 {
		return len(c.view.Members)
	}
	return min(c.writers, len(c.view.Members))
}

// checkCommitted checks the promises: one history, and every writer of the view has it durable.
func (c *cluster) checkCommitted(h *host, entry Entry) {
	c.note(h.id, "commits %d", entry.Index)
	h.applied = append(h.applied, entry)
	if entry.Index <= uint64(len(c.history)) {
		if known := c.history[entry.Index-1]; string(known.Data) != string(entry.Data) {
			c.violated("member %d commits %q at %d, where %q was committed", h.id, entry.Data, entry.Index, known.Data)
		}
		return
	}
	if entry.Index != uint64(len(c.history))+1 {
		c.violated("member %d commits %d after %d", h.id, entry.Index, len(c.history))
		return
	}
	c.history = append(c.history, entry)
	have := 0
	for _, id := range c.view.Members[:c.writerCount()] {
		other := c.hosts[id]
		if entry.Index <= other.base.Index || entry.Index <= other.base.Index+uint64(len(other.disk)) &&
			string(other.disk[entry.Index-other.base.Index-1].Data) == string(entry.Data) {
			have++
		}
	}
	if h.replica.Epoch() == c.view.Epoch && (have < c.writerCount() || have < c.minimum) {
		c.violated("%d is committed with %d durable copies among the first %d of %v", entry.Index, have, c.writerCount(), c.view.Members)
	}
}

func (c *cluster) propose(id MemberID, texts ...string) {
	h := c.hosts[id]
	for _, text := range texts {
		h.replica.Propose([]Proposal{{Origin: id, Tag: 1, Data: []byte(text)}})
	}
	c.handleReady(h)
}

// sync makes the oldest write durable.
func (c *cluster) sync(id MemberID) bool {
	h := c.hosts[id]
	if len(h.writes) == 0 {
		return false
	}
	write := h.writes[0]
	h.writes = h.writes[1:]
	for _, entry := range write.Entries {
		if at := entry.Index - h.base.Index - 1; at < uint64(len(h.disk)) {
			h.disk = h.disk[:at]
		}
		h.disk = append(h.disk, entry)
	}
	last := write.Entries[len(write.Entries)-1].Index
	c.note(id, "synced to %d", last)
	h.replica.EntriesPersisted(last, write.Generation)
	c.handleReady(h)
	return true
}

// deliver hands over the oldest message from one member to another.
func (c *cluster) deliver(from, to MemberID) bool {
	pair := link{from, to}
	if len(c.queues[pair]) == 0 {
		return false
	}
	message := c.queues[pair][0]
	c.queues[pair] = c.queues[pair][1:]
	if h := c.hosts[to]; h.up {
		h.replica.Receive(from, &message)
		c.handleReady(h)
	}
	return true
}

func (c *cluster) runUntilQuiet() {
	for moved := true; moved; {
		moved = false
		for _, from := range c.ids {
			moved = c.hosts[from].up && c.sync(from) || moved
			for _, to := range c.ids {
				moved = c.deliver(from, to) || moved
			}
		}
	}
}

// powerLoss takes a member down; what was not synced is gone.
func (c *cluster) powerLoss(id MemberID) {
	h := c.hosts[id]
	h.up, h.writes = false, nil
	for pair := range c.queues {
		if pair.from == id || pair.to == id {
			delete(c.queues, pair)
		}
	}
	for _, other := range c.ids {
		if other != id && c.hosts[other].up {
			c.hosts[other].replica.Reconnected(id)
			c.handleReady(c.hosts[other])
		}
	}
	c.note(id, "loses power")
}

// powerOn starts a member again with what its disk holds.
func (c *cluster) powerOn(id MemberID) {
	h := c.hosts[id]
	h.up, h.applied = true, nil
	h.replica = New(id, c.minimum, h.base, append([]Entry(nil), h.disk...), 0)
	c.note(id, "starts with %d", h.replica.LastIndex())
}

func golden(t *testing.T, c *cluster) {
	t.Helper()
	c.reportViolations(t)
	goldie.New(t).Assert(t, t.Name(), []byte(strings.Join(c.timeline, "\n")+"\n"))
}

// deliverAll delivers everything without any sync.
func (c *cluster) deliverAll() {
	for moved := true; moved; {
		moved = false
		for _, from := range c.ids {
			for _, to := range c.ids {
				moved = c.deliver(from, to) || moved
			}
		}
	}
}

func texts(entries []Entry) string {
	list := []string{}
	for _, entry := range entries {
		list = append(list, string(entry.Data))
	}
	return strings.Join(list, " ")
}
