package broker

// This file holds the worker table: the list that was last handed in, with what is known here beside it (bans, an
// outdated list, ejections, pools). It never knows where a list comes from.

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/platform/invariant"
	"yardflow/internal/workflow/pool"
	"yardflow/scheduling/dispatch"
)

// Worker is one entry of the worker list.
type Worker struct {
	ID, Addr         string
	Zone, Kind, Cell int
	State            dispatch.WorkerState
	Weight           float64
	StartedAt        time.Time // of the latest incarnation; zero: long ago
}

// workerTable is every worker that was ever listed. Its mu is held while a list is posted to the module, so that lists
// reach the module in the order in which they took effect here.
type workerTable struct {
	mu                sync.Mutex
	byID              map[dispatch.WorkerID]*workerState
	banned            map[string]bool // by the worker's name, whether the list has it or not
	listStale         bool            // the list service's list counts as out of date
	listedByDiscovery func(string) bool
	pools             *pool.Set // for steps of workflows; nil: there are none
}

func newWorkerTable() workerTable {
	return workerTable{byID: map[dispatch.WorkerID]*workerState{}, banned: map[string]bool{}}
}

// workerState is one worker. It is made when the worker is first listed and never removed.
type workerState struct {
	name, addr string
	listed     dispatch.Worker // as the list has it
	ready      bool            // by the list
	banned     bool            // by operators
	inFlight   int             // attempts outstanding there, where the fleet has limits

	// The time of the module's clock at which operators banned it last and lifted that ban; 0: never.
	bannedAt, unbannedAt time.Duration

	health   dispatch.Health     // by the fleet's outlier ejection
	healthOf outlier.Incarnation // which it holds for: a worker that was restarted since is healthy
	trial    uint64              // number of the latest trial, which is used up or under way
}

// incarnation is the worker's present one, as the list has it.
func (w *workerState) incarnation() outlier.Incarnation {
	return outlier.Incarnation{Worker: w.name, Started: w.listed.Launched.Milliseconds()}
}

// workerID depends on the worker's name alone, never on an address or an order of arrival: the module lays workers on a
// ring by their ids and shares it with the other dispatchers, which must come to the same ids.
func workerID(name string) dispatch.WorkerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return dispatch.WorkerID(h.Sum64())
}

// entry is what the module is handed of a worker. The caller holds mu.
//
// A ban is a fact, not a decision: such a worker drains, whatever the list says. Operators restart it meanwhile, and the
// list is seconds late with that: a worker whose ban was lifted counts as started then, unless the list has a later start.
func (t *workerTable) entry(w *workerState) dispatch.Worker {
	e := w.listed
	if e.Launched < w.bannedAt {
		e.Launched = max(e.Launched, w.unbannedAt)
	}
	if w.incarnation() == w.healthOf {
		e.Health = w.health
	}
	e.Pools = t.pools.PoolsOf(w.name, e.Zone, e.Kind, e.Cell)
	if (w.banned || t.stale(w)) && e.State == dispatch.Ready {
		e.State = dispatch.Draining
	}
	return e
}

// entries are those of all workers. The caller holds mu.
func (t *workerTable) entries() []dispatch.Worker {
	list := make([]dispatch.Worker, 0, len(t.byID))
	for _, w := range t.byID {
		list = append(list, t.entry(w))
	}
	return list
}

// stale reports whether what is known of a worker counts as out of date. The caller holds mu.
func (t *workerTable) stale(w *workerState) bool {
	return t.listStale && (t.listedByDiscovery == nil || t.listedByDiscovery(w.name))
}

// usable reports whether a worker may be sent to. The caller holds mu.
func (t *workerTable) usable(w *workerState) bool { return w.ready && !w.banned && !t.stale(w) }

func (t *workerTable) count() (known, ready int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.byID {
		if t.usable(w) {
			ready++
		}
	}
	return len(t.byID), ready
}

func (t *workerTable) addInFlight(w *workerState, attempts int) {
	t.mu.Lock()
	w.inFlight += attempts
	t.mu.Unlock()
}

// state returns a worker's state, made where it is new; false where another name has the same id. The caller holds mu.
func (t *workerTable) state(name string, now func() time.Duration) (*workerState, bool) {
	id := workerID(name)
	w := t.byID[id]
	if w == nil {
		w = &workerState{name: name, banned: t.banned[name]}
		if w.banned { // by a process before this one
			w.bannedAt = now()
		}
		t.byID[id] = w
	}
	return w, invariant.Check(w.name == name, "two workers share an id")
}

// update takes in one entry of a list. The caller holds the table's mu.
func (w *workerState) update(entry Worker) {
	if entry.Addr != "" {
		w.addr = entry.Addr
	}
	id := workerID(entry.ID)
	if entry.State == dispatch.Removed && w.listed.ID == id {
		// Such an entry need say no more than the id. What is known of the worker stays: by its cell the module knows
		// where a retry would be dropped as a duplicate.
		w.ready, w.listed.State = false, dispatch.Removed
		return
	}
	w.ready = entry.State == dispatch.Ready
	w.listed = dispatch.Worker{ID: id, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, State: entry.State, Weight: entry.Weight}
	if !entry.StartedAt.IsZero() {
		w.listed.Launched = time.Duration(entry.StartedAt.UnixNano())
	}
}

// UpdateWorkers hands in a list. A full or cached one removes the workers that it does not name.
func (b *Broker) UpdateWorkers(form dispatch.ListForm, workers []Worker) {
	list := make([]dispatch.Worker, 0, len(workers))
	b.workers.mu.Lock()
	listed := map[dispatch.WorkerID]bool{}
	for _, entry := range workers {
		w, ok := b.workers.state(entry.ID, b.clock.now)
		if !ok {
			continue
		}
		w.update(entry)
		listed[w.listed.ID] = true
		list = append(list, b.workers.entry(w))
	}
	if form == dispatch.ListFull || form == dispatch.ListCached {
		for id, w := range b.workers.byID {
			if !listed[id] {
				w.ready, w.listed.State = false, dispatch.Removed
			}
		}
	}
	b.postWorkerList(form, list)
	b.workers.mu.Unlock()
	b.traceWorkers(form, workers)
}

func (b *Broker) traceWorkers(form dispatch.ListForm, workers []Worker) {
	if !b.Tracing() {
		return
	}
	for _, w := range workers {
		b.Tracef("list form=%d %s state=%d started=%d zone=%d kind=%d cell=%d", form, w.ID, w.State, max(w.StartedAt.UnixMilli(), 0), w.Zone, w.Kind, w.Cell)
	}
}

// postWorkerList queues a list for the module. The caller holds the table's mu.
func (b *Broker) postWorkerList(form dispatch.ListForm, list []dispatch.Worker) {
	b.post(func(now time.Duration, out dispatch.Actions) { b.loop.module.UpdateWorkers(now, form, list, out) })
}

// SetBanned makes exactly these workers, by name, the ones that get nothing new. It binds from this call on: MaySend sees
// it before the first byte, whatever the module has yet to hear. It returns the addresses of those newly banned.
func (b *Broker) SetBanned(names []string) (addrs []string) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	clear(b.workers.banned)
	for _, name := range names {
		b.workers.banned[name] = true
	}
	var changed []dispatch.Worker
	for _, w := range b.workers.byID {
		banned := b.workers.banned[w.name]
		if banned == w.banned {
			continue
		}
		w.banned = banned
		if banned {
			w.bannedAt = b.clock.now()
			addrs = append(addrs, w.addr)
		} else {
			w.unbannedAt = b.clock.now()
		}
		changed = append(changed, b.workers.entry(w))
	}
	if len(changed) > 0 {
		b.postWorkerList(dispatch.ListOverride, changed)
	}
	return addrs
}

// SetListStale says whether the list service's list counts as out of date, so that what has changed is not known. Like a
// ban it is a fact and binds from this call on: while it lasts every worker that the service has ever listed drains. It
// reports whether this is a change.
func (b *Broker) SetListStale(stale bool) bool {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	if b.workers.listStale == stale {
		return false
	}
	b.workers.listStale = stale
	b.postWorkerList(dispatch.ListOverride, b.workers.entries())
	return true
}

// SetListedByDiscovery sets who knows whether the list service has ever listed a worker; a stale list says nothing of
// others. listed must not call the broker. Before the first list; without it all workers count as listed.
func (b *Broker) SetListedByDiscovery(listed func(worker string) bool) {
	b.workers.listedByDiscovery = listed
}

// SetPools puts another set of worker pools in force. The pool bits of requests belong to one set: no request with bits
// of another may be open.
func (b *Broker) SetPools(set *pool.Set) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	if set == nil && b.workers.pools == nil {
		return
	}
	b.workers.pools = set
	b.postWorkerList(dispatch.ListOverride, b.workers.entries())
}

// ReadyPools reports whether any worker may be sent to, and in which pools such workers are, a bit each.
func (b *Broker) ReadyPools() (anyReady bool, pools uint64) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	for _, w := range b.workers.byID {
		if b.workers.usable(w) {
			anyReady = true
			pools |= b.workers.pools.PoolsOf(w.name, w.listed.Zone, w.listed.Kind, w.listed.Cell)
		}
	}
	return anyReady, pools
}

// KnowsWorker reports whether a worker of that name was ever listed.
func (b *Broker) KnowsWorker(name string) bool {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	w := b.workers.byID[workerID(name)]
	return w != nil && w.name == name
}

// WorkerName returns a worker's name by the number that the module knows it by; the number in hexadecimal where it is not
// known.
func (b *Broker) WorkerName(id dispatch.WorkerID) string {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	if w := b.workers.byID[id]; w != nil {
		return w.name
	}
	return fmt.Sprintf("%x", uint64(id))
}

// ListedWorkers returns how many workers the list has, whatever their state.
func (b *Broker) ListedWorkers() (n int) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	for _, w := range b.workers.byID {
		if w.listed.State != dispatch.Removed {
			n++
		}
	}
	return n
}

func (b *Broker) maySendTo(id dispatch.WorkerID, addr string) bool {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	w := b.workers.byID[id]
	return w != nil && b.workers.usable(w) && w.addr == addr
}
