package chain

import "slices"

// readQueues holds the reads at one member, in one queue per next step. A read first passes all writers in
// Append.PendingReads, which proves that none of them took part in a newer view before the read was confirmed. It then
// returns to its origin: up the chain in Ack.ConfirmedReads, or down the chain in Append.ConfirmedReads.
type readQueues struct {
	pending       []Read // unconfirmed; sent to the successor with the next Append
	confirmed     []Read // passed all writers; wait until this member knows that their index is committed
	toFollowers   []Read // confirmed; sent to the successor with the next Append
	toPredecessor []Read // confirmed; sent to the predecessor with the next Ack
}

// confirmPending confirms all unconfirmed reads. It is called at the tail, since reads there have passed all writers.
func (q *readQueues) confirmPending() {
	q.confirmed = append(q.confirmed, q.pending...)
	q.pending = nil
}

// takeCommitted removes and returns the confirmed reads whose index is committed. The queue is ordered by index.
func (q *readQueues) takeCommitted(commitIndex uint64) []Read {
	count := 0
	for count < len(q.confirmed) && q.confirmed[count].Index <= commitIndex {
		count++
	}
	reads := q.confirmed[:count]
	q.confirmed = q.confirmed[count:]
	return reads
}

// releaseReads sends confirmed reads towards their origins once their index is committed, at the tail and at followers.
func (r *Replica) releaseReads() {
	if len(r.reads.confirmed) == 0 || !r.IsServing() {
		return
	}
	r.routeReads(r.reads.takeCommitted(r.log.commitIndex))
}

// routeReads passes the reads of this member to the host, and sends the others towards their origins.
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
