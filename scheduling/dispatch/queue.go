package dispatch

import (
	"cmp"
	"slices"
)

// queueLookAhead is how many queued requests without a worker are looked at in one go. One that
// fits nowhere, since it is large or bound to few workers, must not block those behind it; a
// longer look costs processor time on every event while the fleet is full.
const queueLookAhead = 4

// requestQueue holds the requests that wait for a worker: most value per slot time first, among
// equals the oldest.
type requestQueue []*request

func (q *requestQueue) insert(r *request) {
	i, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		if c := cmp.Compare(b.valueDensity, a.valueDensity); c != 0 {
			return c
		}
		return cmp.Compare(a.arrivedAt, b.arrivedAt+1) // behind all that arrived at the same moment
	})
	*q = slices.Insert(*q, i, r)
}

func (q *requestQueue) remove(r *request) {
	i := slices.Index(*q, r)
	*q = slices.Delete(*q, i, i+1)
}

func (d *dispatcher) enqueue(r *request) {
	if r.queued || r.ended {
		return
	}
	r.queued = true
	d.queue.insert(r)
}

func (d *dispatcher) dequeue(r *request) {
	if r.queued {
		r.queued = false
		d.queue.remove(r)
	}
}

// sweepQueue answers what nobody can serve any more, demotes what can no longer be on time, and
// sends what has been held as long as holding can pay.
func (d *dispatcher) sweepQueue(out Actions) {
	unplaced := 0
	for i := 0; i < len(d.queue); {
		r := d.queue[i]
		switch {
		case d.nearDeadline(r) || d.valueless(r):
			d.answerUnserved(r, out) // and out of the queue: the next stands at i now
		case !r.demoted && d.now >= r.latestStart:
			d.demote(r) // another may stand at i now
		case unplaced < queueLookAhead && d.mayOvercommit(r):
			if !d.sendOvercommitted(r, out) {
				unplaced++
				i++
			}
		default:
			i++
		}
	}
}

// demote puts a request that can no longer be on time to where its value then places it.
func (d *dispatcher) demote(r *request) {
	r.demoted = true
	r.valueDensity *= r.class.LateValueShare
	d.dequeue(r)
	d.enqueue(r)
}
