package chain

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// host is a replica with a simulated disk, whose writes become durable only when a test calls cluster.sync.
type host struct {
	id      MemberID
	replica *Replica
	disk    []Entry // the durable entries after base
	base    Snapshot
	writes  []Write
	applied []Entry
	reads   []Read
	up      bool
}

// link is the connection from one member to another.
type link struct{ from, to MemberID }

// cluster is a set of hosts with connections between them; a test decides which message, sync or failure comes next.
type cluster struct {
	violations []string // violated invariants
	minMembers int
	writers    int // View.WriterCount of each view; 0: all members
	hosts      map[MemberID]*host
	ids        []MemberID
	queues     map[link][]Message
	cut        map[link]bool
	view       View
	timeline   []string                    // the events at each host, one line per event
	history    []Entry                     // all entries committed so far, in order
	intercept  func(h *host, ready *Ready) // if set, called before a Ready is carried out, and may change it
}

func newCluster(count, minMembers int) *cluster {
	c := &cluster{minMembers: minMembers, hosts: map[MemberID]*host{}, queues: map[link][]Message{}, cut: map[link]bool{}}
	for id := MemberID(1); id <= MemberID(count); id++ {
		c.hosts[id] = &host{id: id, up: true, replica: New(id, minMembers, Snapshot{}, nil, 0)}
		c.ids = append(c.ids, id)
	}
	return c
}

func (c *cluster) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reportViolations fails the test for each violated invariant.
func (c *cluster) reportViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.violations {
		t.Error(violation)
	}
}

func (c *cluster) recordEvent(id MemberID, format string, args ...any) {
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
		c.recordViolation("member %d has diverged at index %d although no disk has lost synced data", h.id, d.Index)
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
		c.recordEvent(h.id, "writes %d..%d", write.Entries[0].Index, write.Entries[len(write.Entries)-1].Index)
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
		c.recordEvent(h.id, "answers read at %d", read.Index)
		h.reads = append(h.reads, read)
	}
}

// isWriter reports whether the member is a writer of the newest view.
func (c *cluster) isWriter(id MemberID) bool {
	return slices.Contains(c.view.Members[:c.writerCount()], id)
}

func (c *cluster) writerCount() int {
	if c.writers == 0 {
		return len(c.view.Members)
	}
	return min(c.writers, len(c.view.Members))
}

// checkCommitted checks that all members commit the same history, and that an entry committed in the newest view is
// durable at every writer.
func (c *cluster) checkCommitted(h *host, entry Entry) {
	c.recordEvent(h.id, "commits %d", entry.Index)
	h.applied = append(h.applied, entry)
	if entry.Index <= uint64(len(c.history)) {
		if known := c.history[entry.Index-1]; string(known.Data) != string(entry.Data) {
			c.recordViolation("member %d commits %q at index %d, where %q was committed",
				h.id, entry.Data, entry.Index, known.Data)
		}
		return
	}
	if entry.Index != uint64(len(c.history))+1 {
		c.recordViolation("member %d commits index %d right after index %d", h.id, entry.Index, len(c.history))
		return
	}
	c.history = append(c.history, entry)
	durableCopies := 0
	for _, id := range c.view.Members[:c.writerCount()] {
		other := c.hosts[id]
		if entry.Index <= other.base.Index || entry.Index <= other.base.Index+uint64(len(other.disk)) &&
			string(other.disk[entry.Index-other.base.Index-1].Data) == string(entry.Data) {
			durableCopies++
		}
	}
	if h.replica.Epoch() == c.view.Epoch && (durableCopies < c.writerCount() || durableCopies < c.minMembers) {
		c.recordViolation("index %d is committed with %d durable copies among the first %d of %v",
			entry.Index, durableCopies, c.writerCount(), c.view.Members)
	}
}

func (c *cluster) propose(id MemberID, texts ...string) {
	h := c.hosts[id]
	for _, text := range texts {
		h.replica.Propose([]Proposal{{Origin: id, Tag: 1, Data: []byte(text)}})
	}
	c.handleReady(h)
}

// sync makes a host's oldest pending write durable; it returns false if there is none.
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
	c.recordEvent(id, "synced to %d", last)
	h.replica.EntriesPersisted(last, write.Generation)
	c.handleReady(h)
	return true
}

// deliver delivers the oldest message from one member to another; it returns false if there is none.
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
	for progressed := true; progressed; {
		progressed = false
		for _, from := range c.ids {
			progressed = c.hosts[from].up && c.sync(from) || progressed
			for _, to := range c.ids {
				progressed = c.deliver(from, to) || progressed
			}
		}
	}
}

// powerLoss stops a member; its unsynced writes and all messages to and from it are lost.
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
	c.recordEvent(id, "loses power")
}

// powerOn restarts a member with the contents of its disk.
func (c *cluster) powerOn(id MemberID) {
	h := c.hosts[id]
	h.up, h.applied = true, nil
	h.replica = New(id, c.minMembers, h.base, append([]Entry(nil), h.disk...), 0)
	c.recordEvent(id, "starts with %d", h.replica.LastIndex())
}

// assertTimeline fails the test for violated invariants, and if the timeline differs from the golden file.
func assertTimeline(t *testing.T, c *cluster) {
	t.Helper()
	c.reportViolations(t)
	goldie.New(t).Assert(t, t.Name(), []byte(strings.Join(c.timeline, "\n")+"\n"))
}

// deliverAll delivers messages until none is left, without syncing any disk.
func (c *cluster) deliverAll() {
	for progressed := true; progressed; {
		progressed = false
		for _, from := range c.ids {
			for _, to := range c.ids {
				progressed = c.deliver(from, to) || progressed
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
