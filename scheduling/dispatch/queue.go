package dispatch

import (
	"cmp"
	"slices"
)

// queueLookAhead is the number of requests without a suitable worker after which a pass over the queue
// stops. A request that fits no worker, since it is large or restricted to few workers, must not block the
// requests behind it. A larger number costs processor time on every event while the fleet is full.
const queueLookAhead = 4

// requestQueue holds the requests that wait for a worker, ordered by decreasing value density, then by
// arrival.
type requestQueue []*request

func (q *requestQueue) insert(r *request) {
	i, _ := slices.BinarySearchFunc(*q, r, func(a, b *request) int {
		if c := cmp.Compare(b.valueDensity, a.valueDensity); c != 0 {
			return c
		}
		return cmp.Compare(a.arrivedAt, b.arrivedAt+1) // behind all requests that arrived at the same time
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

// sweepQueue answers the requests that can no longer be served, demotes those that can no longer be on time,
// and sends those whose hold time has passed, even without known capacity.
func (d *dispatcher) sweepQueue(out Actions) {
	unplaced := 0
	for i := 0; i < len(d.queue); {
		r := d.queue[i]
		switch {
		case d.nearDeadline(r) || d.valueless(r):
			d.answerUnserved(r, out) // removes r from the queue, so the next request is at i now
		case !r.demoted && d.now >= r.latestStart:
			d.demote(r) // moves r, so another request may be at i now
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

// demote lowers the value density of a request that can no longer be on time and moves the request to its
// new place in the queue.
func (d *dispatcher) demote(r *request) {
	r.demoted = true
	r.valueDensity *= r.class.LateValueShare
	d.dequeue(r)
	d.enqueue(r)
}
