package broker

// This file owns the workers as last told, with what is known here beside the list: bans, staleness,
// verdicts, pools. It must never know where a list comes from.

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

// Worker is one entry of the worker list.
type Worker struct {
	ID, Addr         string
	Zone, Kind, Cell int
	State            dispatch.WorkerState
	Weight           float64
	StartedAt        time.Time // zero: long ago
}

type workerState struct {
	name, addr string
	ready      bool
	banned     bool
	told       dispatch.Worker // as the list has it
	open       int             // attempts out there, where there are limits of the fleet
	verdict    dispatch.Health
	judged     outlier.Incarnation // whose that is: another life of the worker is another matter
	trial      uint64
	out, back  time.Duration // when it was last taken out, and called back; 0: never
}

// of is the life that the worker is in, as the list has it.
func (p *workerState) of() outlier.Incarnation {
	return outlier.Incarnation{Worker: p.name, Started: p.told.Launched.Milliseconds()}
}

// entry is what the module is handed of a worker; the caller holds mu. A ban is a fact, not a
// decision: such a worker drains, whatever the list says. Operators restart it
// while it is out; where the list has not told of that, being seconds late, one
// that was called back counts as started then.
func (b *Broker) entry(p *workerState) dispatch.Worker {
	w := p.told
	if w.Launched < p.out {
		w.Launched = max(w.Launched, p.back)
	}
	if p.of() == p.judged {
		w.Health = p.verdict
	}
	w.Pools = b.pools.PoolsOf(p.name, w.Zone, w.Kind, w.Cell)
	if (p.banned || b.stale(p)) && w.State == dispatch.Ready {
		w.State = dispatch.Draining
	}
	return w
}

// workerID is the same at every dispatcher, wherever it reaches the worker:
// the module lays workers on a circle by their ids and shares it out with the
// other dispatchers, so it must come from the id alone, never from an address
// or an order of arrival.
func workerID(name string) dispatch.WorkerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return dispatch.WorkerID(h.Sum64())
}

// UpdateWorkers hands in what the list service told.
func (b *Broker) UpdateWorkers(form dispatch.ListForm, workers []Worker) {
	list := make([]dispatch.Worker, 0, len(workers))
	b.mu.Lock()
	listed := map[dispatch.WorkerID]bool{}
	for _, w := range workers {
		id := workerID(w.ID)
		p := b.workersByID[id]
		if p == nil {
			p = &workerState{name: w.ID, banned: b.banned[w.ID]}
			if p.banned { // by a process before this one
				p.out = b.now()
			}
			b.workersByID[id] = p
		}
		if !invariant.Check(p.name == w.ID, "two workers share an id") {
			continue
		}
		if w.Addr != "" {
			p.addr = w.Addr
		}
		if w.State == dispatch.Removed && p.told.ID == id {
			// Such an entry need say no more than the id. What is known of the worker
			// stays: by its cell the module knows where a repeat would be dropped.
			p.ready, p.told.State, listed[id] = false, dispatch.Removed, true
			list = append(list, b.entry(p))
			continue
		}
		p.ready = w.State == dispatch.Ready
		listed[id] = true
		l := dispatch.Worker{ID: id, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State, Weight: w.Weight}
		if !w.StartedAt.IsZero() {
			l.Launched = time.Duration(w.StartedAt.UnixNano())
		}
		p.told = l
		list = append(list, b.entry(p))
	}
	if form == dispatch.ListFull || form == dispatch.ListCached {
		for id, p := range b.workersByID {
			if !listed[id] { // absent from a complete list: removed
				p.ready, p.told.State = false, dispatch.Removed
			}
		}
	}
	b.queueWorkerList(form, list)
	b.mu.Unlock()
	if b.Tracing() {
		for _, w := range workers {
			b.Tracef("list form=%d %s state=%d started=%d zone=%d kind=%d cell=%d", form, w.ID, w.State, max(w.StartedAt.UnixMilli(), 0), w.Zone, w.Kind, w.Cell)
		}
	}
}

// queueWorkerList queues a list for the module. The caller holds mu: lists reach the module
// in the order in which they came to hold.
func (b *Broker) queueWorkerList(form dispatch.ListForm, list []dispatch.Worker) {
	b.queue = append(b.queue, func(now time.Duration, out dispatch.Actions) { b.module.UpdateWorkers(now, form, list, out) })
	select {
	case b.poke <- struct{}{}:
	default:
	}
}

// SetBanned makes exactly these workers the ones that get nothing new, from this call
// on: Allowed sees it before the first byte, whatever the module has yet to hear.
// It returns the addresses of those newly banned.
func (b *Broker) SetBanned(names []string) (addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.banned)
	for _, name := range names {
		b.banned[name] = true
	}
	var list []dispatch.Worker
	for _, p := range b.workersByID {
		was := p.banned
		if p.banned = b.banned[p.name]; p.banned == was {
			continue
		}
		if was {
			p.back = b.now()
		} else {
			p.out = b.now()
			addrs = append(addrs, p.addr)
		}
		list = append(list, b.entry(p))
	}
	if len(list) > 0 {
		b.queueWorkerList(dispatch.ListOverride, list)
	}
	return addrs
}

// SetPools has workers told by pools from here on. The bits of before mean nothing any more: no request
// with bits of another set may be open.
func (b *Broker) SetPools(set *pool.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if set == nil && b.pools == nil {
		return
	}
	b.pools = set
	list := make([]dispatch.Worker, 0, len(b.workersByID))
	for _, p := range b.workersByID {
		list = append(list, b.entry(p))
	}
	b.queueWorkerList(dispatch.ListOverride, list)
}

// ReadyPools tells whether any worker is ready, and in which pools, by their bits.
func (b *Broker) ReadyPools() (any bool, pools uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.workersByID {
		if b.usable(p) {
			any = true
			pools |= b.pools.PoolsOf(p.name, p.told.Zone, p.told.Kind, p.told.Cell)
		}
	}
	return any, pools
}

// KnowsWorker tells whether a worker of that name was ever listed.
func (b *Broker) KnowsWorker(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.workersByID[workerID(name)]
	return p != nil && p.name == name
}

// SetListStale says whether the list service's list counts as out of date, so that what has changed
// is not known. Like a ban it is a fact, and binds from this call on: while it lasts every worker
// that the service has named drains, whatever was told of it. It returns whether that is new.
func (b *Broker) SetListStale(stale bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listStale == stale {
		return false
	}
	b.listStale = stale
	list := make([]dispatch.Worker, 0, len(b.workersByID))
	for _, p := range b.workersByID {
		list = append(list, b.entry(p))
	}
	b.queueWorkerList(dispatch.ListOverride, list)
	return true
}

// SetListedByDiscovery sets who tells whether the list service has ever named a worker; of others it has no
// drain to tell. named must not call the broker. Before the first list; unset: it has named all.
func (b *Broker) SetListedByDiscovery(named func(worker string) bool) { b.named = named }

// stale tells whether what is known of a worker counts as out of date; the caller holds mu.
func (b *Broker) stale(p *workerState) bool {
	return b.listStale && (b.named == nil || b.named(p.name))
}

// usable tells whether a worker may be sent to; the caller holds mu.
func (b *Broker) usable(p *workerState) bool { return p.ready && !p.banned && !b.stale(p) }

// AwaitSubscribe blocks until the module wants to hear from the list service.
func (b *Broker) AwaitSubscribe(ctx context.Context) error {
	select {
	case <-b.ask:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-b.done:
		return ErrClosed
	}
}

// SetTrace sets who is told, a line each, what came in and what was decided: lab/fleet
// counts it over a whole fleet. Before any request.
func (b *Broker) SetTrace(f func(line string)) { b.trace = f }

// Tracing tells whether lines are wanted. Callers ask first: a call of Tracef costs memory
// for its values even where nothing is written.
func (b *Broker) Tracing() bool { return b.trace != nil }

// Tracef writes a line where lines are wanted.
func (b *Broker) Tracef(format string, args ...any) {
	if b.trace != nil {
		b.trace(fmt.Sprintf(format, args...))
	}
}

// SetBroadcast sets who carries messages to the other dispatchers; it must not wait for anybody.
// Before any request, and before the first list.
func (b *Broker) SetBroadcast(tell func(msg []byte)) { b.tell = tell }

// maxHeard bounds the messages that wait for the module: a flood costs those beyond it.
const maxHeard = 64

// ReceivePeerMessage hands in what another dispatcher told. msg is the broker's from now on.
func (b *Broker) ReceivePeerMessage(msg []byte) {
	if b.heardOf.Add(1) > maxHeard {
		b.heardOf.Add(-1)
		return
	}
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.heardOf.Add(-1)
		b.module.PeerMessage(now, 0, msg, out)
	})
}

// SetOutcomeObserver sets who is told how each attempt at a worker ended. Before any request.
func (b *Broker) SetOutcomeObserver(f func(worker string, code Code)) { b.observe = f }

func (b *Broker) maySendTo(id dispatch.WorkerID, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.workersByID[id]
	return p != nil && b.usable(p) && p.addr == addr
}
