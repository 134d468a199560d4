package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardflow/scheduling/job"
)

const (
	// listLag is how long a change takes to show on the platform's list.
	listLag = 500 * time.Millisecond
	// reuseAfter is how soon an address may be given to another worker after its last one crashed.
	reuseAfter = 2 * time.Second
	// successorAfter is how soon another worker comes in the place of one that has drained and left.
	successorAfter = 2 * time.Second
	// lingers is how long a crashed worker that has no successor of its service stays on the list.
	lingers = 10 * time.Second
	// defaultPageSize is how many workers a page of the list names where the shape says nothing.
	defaultPageSize = 4
)

// instanceList is the platform's list with the workers on it.
type instanceList struct {
	cluster *Cluster
	mu      sync.Mutex
	workers []*Worker
	servers []*http.Server
	stopped bool         // no incarnation begins any more
	crashed []*Worker    // that are still listed
	down    map[int]bool // places whose next incarnation has not begun
	left    map[int]bool // those of them whose worker has drained and left: it is no longer listed
	caller  string       // the machine that has asked for a page last
	shown   []listEntry
	number  int
}

type listEntry struct {
	ID       string `json:"Id"`
	Service  string
	Address  string
	Zone     string
	State    string
	Capacity job.Resources
	Labels   []string
	leavesAt time.Time // as the worker's
	// RemainingMs is the least time that a draining worker has from now on.
	RemainingMs int64  `json:",omitempty"`
	Padding     string `json:",omitempty"` // what other workers, which are not emulated, would take on the list
}

func newInstanceList(y *Cluster) *instanceList {
	return &instanceList{cluster: y, down: map[int]bool{}, left: map[int]bool{}}
}

func (l *instanceList) start() {
	l.serve(cloudName, http.HandlerFunc(l.answer))
	for i := range l.cluster.Shape.Workers {
		l.add(i)
	}
	l.show()
}

func (l *instanceList) serve(machine string, handler http.Handler) {
	listener, err := l.cluster.Network.Machine(machine).Listen(l.cluster.Address(machine))
	if err != nil {
		panic(err) // an emulated machine can always listen, and a real one's address belongs to the cluster
	}
	server := &http.Server{Handler: handler}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// add lets a new incarnation of the worker in the place begin.
func (l *instanceList) add(place int) {
	l.mu.Lock()
	l.number++
	machine := workerName(place)
	address := l.cluster.Address(machine)
	w := newWorker(l.cluster.Checker, fmt.Sprint("i-", l.number), service, address, fmt.Sprint("z", place%3),
		[]string{"a", fmt.Sprint("r", place/3), onlyLabel(place), halfLabel(place)}, job.Resources{CPU: 8000, MemoryMB: 8000})
	w.machine, w.late, w.planted = machine, l.cluster.late, l.cluster.Shape.Planted
	if place < len(l.workers) {
		l.workers[place] = w
	} else {
		l.workers = append(l.workers, w)
	}
	l.mu.Unlock()
	l.serve(machine, w)
}

func workerName(place int) string { return fmt.Sprint("worker-", place+1) }

// Restart crashes the worker in the place, and lets its next incarnation begin after a while.
func (l *instanceList) Restart(place int, after time.Duration) {
	l.mu.Lock()
	w, down := l.workers[place], l.down[place]
	l.down[place] = true
	l.mu.Unlock()
	if down {
		return
	}
	w.Crash()
	l.cluster.Network.PowerOff(workerName(place))
	l.replaceAfter(place, after)
}

// replaceAfter lets the next incarnation of the worker in the place, which is down, begin after a while.
func (l *instanceList) replaceAfter(place int, after time.Duration) {
	time.AfterFunc(after, func() {
		if l.isStopped() {
			return // a server begun now would never be closed
		}
		l.cluster.Network.PowerOn(workerName(place))
		l.add(place)
		l.mu.Lock()
		delete(l.down, place)
		delete(l.left, place)
		l.mu.Unlock()
		time.AfterFunc(listLag, l.show)
	})
}

// Reuse crashes the worker in the place. It stays on the list for long, also once another worker has its address.
func (l *instanceList) Reuse(place int) {
	l.mu.Lock()
	crashed, down := l.workers[place], l.down[place]
	if !down {
		l.crashed = append(l.crashed, crashed)
	}
	l.mu.Unlock()
	if down {
		return
	}
	time.AfterFunc(lingers, func() {
		l.mu.Lock()
		l.crashed = slices.DeleteFunc(l.crashed, func(w *Worker) bool { return w == crashed })
		l.mu.Unlock()
		l.show()
	})
	l.Restart(place, reuseAfter)
}

// Drain lets the worker in the place drain. The list shows it after listLag, and names at least so much time as left. The
// worker serves on for that time, lingers for some more, and leaves.
func (l *instanceList) Drain(place int, remaining, linger time.Duration) {
	l.mu.Lock()
	w := l.workers[place]
	l.mu.Unlock()
	time.AfterFunc(listLag, func() {
		l.mu.Lock()
		drains := l.workers[place] == w && !l.down[place] && w.leavesAt.IsZero()
		if drains {
			w.leavesAt = time.Now().Add(remaining)
		}
		l.mu.Unlock()
		if !drains {
			return // it has crashed, or drains already
		}
		l.show()
		l.cluster.Checker.drainListed(w)
		time.AfterFunc(remaining+linger, func() { l.leave(place, w) })
	})
}

// leave ends the worker in the place in order, unless another one is there by now. Another one comes after a while.
func (l *instanceList) leave(place int, w *Worker) {
	l.mu.Lock()
	stays := l.stopped || l.workers[place] != w || l.down[place]
	if !stays {
		l.down[place], l.left[place] = true, true
	}
	l.mu.Unlock()
	if stays {
		return
	}
	w.Crash() // what still runs ends with it
	l.cluster.Network.Kill(workerName(place))
	time.AfterFunc(listLag, l.show)
	l.replaceAfter(place, successorAfter)
}

// lastCaller returns the machine that has asked for a page of the list last, where the network tells that.
func (l *instanceList) lastCaller() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caller
}

// show lets the list tell the present state.
func (l *instanceList) show() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown = nil
	padding := strings.Repeat("-", l.cluster.Shape.ListPadding)
	for i, w := range slices.Concat(l.crashed, l.workers) {
		if place := i - len(l.crashed); place >= 0 && l.left[place] {
			continue
		}
		entry := listEntry{ID: w.ID, Service: w.Service, Address: w.Address, Zone: w.Zone, State: "ready",
			Capacity: w.Capacity, Labels: w.Labels, Padding: padding}
		if !w.leavesAt.IsZero() && l.cluster.Shape.Planted != DrainsUnseen {
			entry.State, entry.leavesAt = "draining", w.leavesAt
		}
		l.shown = append(l.shown, entry)
	}
}

// pageSize returns how many workers a page names.
func (l *instanceList) pageSize() int {
	if size := l.cluster.Shape.ListPageSize; size > 0 {
		return size
	}
	return defaultPageSize
}

// answer tells one page. A page begins at a place in the list as it is then, so entries that leave between two pages
// move others to a page that has been read.
func (l *instanceList) answer(out http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caller = machineOf(r.RemoteAddr)
	from, _ := strconv.Atoi(r.URL.Query().Get("PageToken"))
	from = min(from, len(l.shown))
	to := min(from+l.pageSize(), len(l.shown))
	entries := slices.Clone(l.shown[from:to])
	for i := range entries {
		if at := entries[i].leavesAt; !at.IsZero() {
			entries[i].RemainingMs = max(time.Until(at).Milliseconds(), 1)
		}
	}
	page := map[string]any{"Instances": entries, "NextToken": nil}
	if to < len(l.shown) {
		page["NextToken"] = strconv.Itoa(to)
	}
	_ = json.NewEncoder(out).Encode(page)
}

func (l *instanceList) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, w := range l.workers {
		w.Crash()
	}
	for _, server := range l.servers {
		_ = server.Close()
	}
}

func (l *instanceList) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// EncodeJob returns the body with which a client hands a job in.
func EncodeJob(request job.Request) string {
	data, err := json.Marshal(request)
	if err != nil {
		panic(err) // a job.Request can always be written
	}
	return string(data)
}
