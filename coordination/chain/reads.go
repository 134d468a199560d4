package chain

import "slices"

// readQueues are the reads at one member, by what they wait for. A read passes all writers, as Append.PendingReads,
// which shows that none of them has taken part in a newer view before the read was confirmed; then it goes to its
// origin, up the chain with an Ack or down the chain as Append.ConfirmedReads.
type readQueues struct {
	passing       []Read // to be passed on to the successor
	confirmed     []Read // have passed all writers, and wait until their index is committed here
	toFollowers   []Read // to be sent to the successor
	toPredecessor []Read // to be sent with the next Ack
}

// confirmPassing is called at the last writer, which reads need not pass on.
func (q *readQueues) confirmPassing() {
	q.confirmed = append(q.confirmed, q.passing...)
	q.passing = nil
}

// takeCommitted removes the confirmed reads whose index is committed. They are in the order of their index.
func (q *readQueues) takeCommitted(commitIndex uint64) []Read {
	count := 0
	for count < len(q.confirmed) && q.confirmed[count].Index <= commitIndex {
		count++
	}
	reads := q.confirmed[:count]
	q.confirmed = q.confirmed[count:]
	return reads
}

// releaseReads sends confirmed reads to their origins once their index is committed, at the tail and behind it.
func (r *Replica) releaseReads() {
	if len(r.reads.confirmed) == 0 || !r.IsServing() {
		return
	}
	r.routeReads(r.reads.takeCommitted(r.log.commitIndex))
}

// routeReads answers the reads of this member, and passes the others on to their origins.
func (r *Replica) routeReads(reads []Read) {
	for _, read := range reads {
		switch {
		case read.Origin == r.id:
			r.ready.ConfirmedReads = append(r.ready.ConfirmedReads, read)
		case slices.Index(r.view.Members, read.Origin) > r.position:
			r.reads.toFollowers = append(r.reads.toFollowers, read)
			r.sendDue = true
		case r.predecessorID() != 0 && !r.isFollower():
			r.reads.toPredecessor = append(r.reads.toPredecessor, read)
			r.ackDue = true
		}
	}
}
