// Package budget decides what a process holds for its callers: how many connections, and how many bytes on them. A listener
// asks before it holds anything. What does not fit is refused, or callers that stand still give way to it.
//
// Each class of callers has a part of its own, so that one class never waits for another. Within a class connections that
// have not brought a whole request yet give way first, the one without progress for the longest time before all others. A
// connection whose request is whole does not give way until its answer is written, and then only if the caller takes none of
// it for a while. Of the bytes a part is left to connections that claim few, so that
// large requests do not crowd out ordinary ones; a large request that is alone may use all.
//
// Invariants, which tests of this package hold:
//   - a class never has more connections, and never claims more bytes, than its limits say;
//   - no decision depends on another class;
//   - a connection whose request is whole is never closed for another before its answer is written;
//   - what a closed connection has claimed is free at once.
//
// The package has no I/O, no clock and no randomness: callers pass the time, and close the connections that are returned to
// them. A Budget is not safe for concurrent use.
package budget

import (
	"container/list"
	"time"
)

// Class is a kind of callers.
type Class uint8

// Classes of callers.
const (
	Clients   Class = iota // hand jobs in at a dispatcher
	Readiness              // the platform's readiness checks
	Operators              // callers of a control process that are no process of the system, or have not said so yet
	Processes              // dispatchers and control processes, connected to a control process
	classCount
)

var classNames = [classCount]string{"clients", "readiness", "operators", "processes"}

// String returns the name of the class as it appears in logs and metrics.
func (c Class) String() string { return classNames[c] }

// ClassLimits is the part of one class of callers. A class without connections admits nobody.
type ClassLimits struct {
	Connections int   // open at once
	Backlog     int   // connections that may wait in the kernel to be accepted; 0: as many as the system allows
	Bytes       int64 // claimed at once, beyond what each connection costs by itself
	SmallBytes  int64 // a connection that claims no more than this may use all of Bytes
	LargeBytes  int64 // claimed at once by connections that claim more than SmallBytes, unless one is alone
}

// Limits is the part of each class.
type Limits [classCount]ClassLimits

// Stage is how far the caller's current request has come.
type Stage uint8

// Stages of a request.
const (
	Idle      Stage = iota // no byte of the next request has arrived
	Reading                // a part of a request has arrived
	Serving                // the request is whole, and is being served
	Answering              // the answer is being written
)

// Connection is one connection of a caller. Open returns it, and Close ends it.
type Connection struct {
	class      Class
	stage      Stage
	hasServed  bool // it has brought a whole request before
	closed     bool
	claimed    int64
	progressAt time.Duration

	queue   *list.List    // the list of connections that may give way that holds it; nil while it is served
	element *list.Element // its place in queue
}

// Claimed returns the number of bytes that the connection has claimed.
func (c *Connection) Claimed() int64 { return c.claimed }

// Class returns the class of the connection.
func (c *Connection) Class() Class { return c.class }

// part is the state of one class.
type part struct {
	limits  ClassLimits
	open    int
	claimed int64
	large   int64 // claimed by connections that claim more than SmallBytes
	larges  int   // number of these connections

	// Connections that may give way, in the order in which they do. Each list has the connection without progress for the
	// longest time in front.
	unproven   list.List // have not brought a whole request yet
	incomplete list.List // have brought one before, and a part of the next one
	answering  list.List // are written an answer to; they give way only if they stand still
	idle       list.List // have brought one before, and wait; they give way only after a while
}

// Budget is what a process may hold for its callers, and what it holds.
type Budget struct {
	parts      [classCount]part
	stallAfter time.Duration
}

// DefaultStallAfter is the time without progress after which a connection counts as standing still. A client with a round
// trip of 100 ms that loses a segment goes on within it.
const DefaultStallAfter = 500 * time.Millisecond

// New returns a budget with which nothing is held. A connection without progress for stallAfter gives its bytes up for
// others.
func New(limits Limits, stallAfter time.Duration) *Budget {
	b := &Budget{stallAfter: stallAfter}
	for class := range b.parts {
		b.parts[class].limits = limits[class]
	}
	return b
}

// Usage is what a class holds.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what a class holds.
func (b *Budget) Usage(class Class) Usage {
	p := &b.parts[class]
	return Usage{Connections: p.open, Bytes: p.claimed}
}

// Limits returns the part of a class.
func (b *Budget) Limits(class Class) ClassLimits { return b.parts[class].limits }

// Open admits a connection of a class. If the class has no connection left, another one gives way, which is closed already
// when Open returns it. The connection is nil if none can: all serve.
func (b *Budget) Open(class Class, now time.Duration) (opened, evicted *Connection) {
	p := &b.parts[class]
	evicted, admitted := b.makeRoom(p, now)
	if !admitted {
		return nil, nil
	}
	opened = &Connection{class: class, progressAt: now}
	p.open++
	b.enqueue(opened)
	return opened, evicted
}

// makeRoom closes a connection of a class without room for one more. It reports whether there is room.
func (b *Budget) makeRoom(p *part, now time.Duration) (evicted *Connection, hasRoom bool) {
	if p.open < p.limits.Connections {
		return nil, true
	}
	evicted = p.firstToGiveWay(now - b.stallAfter)
	if evicted == nil {
		return nil, false
	}
	b.Close(evicted)
	return evicted, true
}

// firstToGiveWay returns the connection that gives way to another one, or nil if there is none. A connection that is answered, or
// was answered lately, gives way only if it has not made progress since stalledSince, so that its caller has got the answer.
func (p *part) firstToGiveWay(stalledSince time.Duration) *Connection {
	for _, queue := range []*list.List{&p.unproven, &p.incomplete, &p.answering, &p.idle} {
		front := queue.Front()
		if front == nil {
			continue
		}
		c := front.Value.(*Connection)
		isAnswered := queue == &p.answering || queue == &p.idle
		if !isAnswered || c.progressAt <= stalledSince {
			return c
		}
	}
	return nil
}

// Move counts a connection in another class from now on, as one that has not brought a whole request yet. It gives its
// claims back. If the class has no connection left, another one gives way; if none can, Move reports false and the
// connection stays in its class.
func (b *Budget) Move(c *Connection, class Class, now time.Duration) (evicted *Connection, moved bool) {
	if c.closed {
		return nil, false
	}
	p := &b.parts[class]
	evicted, hasRoom := b.makeRoom(p, now)
	if !hasRoom {
		return nil, false
	}
	b.Release(c, c.claimed)
	b.dequeue(c)
	b.parts[c.class].open--
	c.class, c.stage, c.hasServed, c.progressAt = class, Idle, false, now
	p.open++
	b.enqueue(c)
	return evicted, true
}

// SetStage records how far the request of a connection has come. A new stage counts as progress. A request that has been
// served, or is given up, claims nothing any more: Idle gives all claims back.
func (b *Budget) SetStage(c *Connection, stage Stage, now time.Duration) {
	if c.closed {
		return
	}
	if stage == Idle {
		b.Release(c, c.claimed)
	}
	b.dequeue(c)
	c.stage, c.progressAt = stage, now
	c.hasServed = c.hasServed || stage == Serving
	if stage != Serving {
		b.enqueue(c)
	}
}

// Progress records that a connection has brought a considerable part of its request.
func (b *Budget) Progress(c *Connection, now time.Duration) {
	if c.closed || c.queue == nil {
		return
	}
	c.progressAt = now
	c.queue.MoveToBack(c.element)
}

// Close ends a connection and gives back what it holds. Closing a closed connection has no effect.
func (b *Budget) Close(c *Connection) {
	if c.closed {
		return
	}
	b.Release(c, c.claimed)
	b.dequeue(c)
	b.parts[c.class].open--
	c.closed = true
}

// enqueue adds a connection to those that may give way.
func (b *Budget) enqueue(c *Connection) {
	p := &b.parts[c.class]
	switch {
	case c.stage == Answering:
		c.queue = &p.answering
	case !c.hasServed:
		c.queue = &p.unproven
	case c.stage == Reading:
		c.queue = &p.incomplete
	default:
		c.queue = &p.idle
	}
	c.element = c.queue.PushBack(c)
}

// dequeue removes a connection from those that may give way.
func (b *Budget) dequeue(c *Connection) {
	if c.queue == nil {
		return
	}
	c.queue.Remove(c.element)
	c.queue, c.element = nil, nil
}
